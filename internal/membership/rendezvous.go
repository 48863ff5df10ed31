package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight returns the rendezvous weight of a node for a key (Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates", 1998).
func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// weightedName is a name with its rendezvous weight.
type weightedName struct {
	name   string
	weight uint64
}

// ranksBefore orders by weight, highest first.
func (w weightedName) ranksBefore(other weightedName) bool {
	return cmp.Or(cmp.Compare(other.weight, w.weight), cmp.Compare(w.name, other.name)) < 0
}

// TopByRendezvous returns the n names with the highest rendezvous weights for a
// key, highest first. Processes with the same set of names get the same result, and
// adding or removing a name does not change the order of the others.
func TopByRendezvous(key string, names []string, n int) []string {
	top := make([]weightedName, 0, n+1)
	for _, name := range names {
		w := weightedName{name, weight(key, name)}
		if len(top) == n && !w.ranksBefore(top[n-1]) {
			continue
		}
		i := len(top)
		for i > 0 && w.ranksBefore(top[i-1]) {
			i--
		}
		top = slices.Insert(top, i, w)
		top = top[:min(len(top), n)]
	}
	out := make([]string, len(top))
	for i, w := range top {
		out[i] = w.name
	}
	return out
}
