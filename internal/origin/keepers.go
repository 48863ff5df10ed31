package origin

import (
	"slices"
	"strconv"

	"github.com/samphirestream/samphirestream/internal/membership"
)

// Keeper is a process beside a model server that remembers streams. It outlives the entries:
// without it nobody knows the streams that were in progress when all entries ended at once.
type Keeper struct {
	// Addr is the address of the process.
	Addr string
	// Software is the version of the server beside it, and Leaving is set if that leaves.
	Software string
	Leaving  bool
}

const (
	// keepers is the number of keepers of a stream. If one VM in three ends at once, all of
	// them are gone for one stream in 81.
	keepers = 4
	// askedKeepers is the number of keepers of each version that are asked: the servers may
	// have changed since the stream was recorded.
	askedKeepers = 6
	// maxAsked is the number of keepers that are asked if none of those has answered: those of a
	// stream may not be among them after many servers have registered while all entries were down.
	maxAsked = 64
)

// KeepersOf returns the keepers of a stream that a version of software began. Those beside
// servers of that version come first, since the stream can go on as long as one of them is left.
func KeepersOf(stream Key, software string, all []Keeper) []string {
	return choose(stream, software, all, keepers)
}

// Asked returns the keepers that are asked by which version a stream was begun.
func Asked(stream Key, all []Keeper) []string {
	var out []string
	seen := map[string]bool{}
	versions := map[string]bool{}
	for _, k := range all {
		if versions[k.Software] {
			continue
		}
		versions[k.Software] = true
		for _, addr := range choose(stream, k.Software, all, askedKeepers) {
			if !seen[addr] {
				seen[addr] = true
				out = append(out, addr)
			}
		}
	}
	return out
}

// AskedNext returns the keepers that are asked if none of Asked has answered.
func AskedNext(stream Key, all []Keeper) []string {
	addrs := make([]string, len(all))
	for i, k := range all {
		addrs[i] = k.Addr
	}
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	return membership.TopByRendezvous(stream.RendezvousKey(), addrs, maxAsked)
}

// RendezvousKey returns the key by which processes are put in the order of a stream.
func (k Key) RendezvousKey() string { return strconv.FormatUint(uint64(k), 36) }

// choose returns the first n keepers in the order of a stream (rendezvous hashing): those
// beside servers of its version, and then the others, each time those that stay first.
func choose(stream Key, software string, all []Keeper, n int) []string {
	var ranks [4][]string
	for _, k := range all {
		rank := 0
		if k.Software != software {
			rank += 2
		}
		if k.Leaving {
			rank++
		}
		ranks[rank] = append(ranks[rank], k.Addr)
	}
	var out []string
	for _, addrs := range ranks {
		// Servers that share a VM have one keeper.
		slices.Sort(addrs)
		addrs = slices.DeleteFunc(slices.Compact(addrs), func(addr string) bool { return slices.Contains(out, addr) })
		if len(out) < n {
			out = append(out, membership.TopByRendezvous(stream.RendezvousKey(), addrs, n-len(out))...)
		}
	}
	return out
}
