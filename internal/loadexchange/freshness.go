package loadexchange

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// Registry is what the exchange needs of this entry's knowledge of the registry.
type Registry interface {
	// Known returns what is known of the registry. It reports false before all of it was read.
	Known() (k Knowledge, ok bool)
	// Now returns the time on a clock that counts the time in which the VM is suspended.
	Now() time.Duration
	// Confirmed is called with what a peer knew when it answered a question that was asked at
	// a time on that clock.
	Confirmed(k Knowledge, asked time.Duration)
	// ServerChanges returns the changes of servers after a state in their order, or the first of
	// them; none if not all of them are known.
	ServerChanges(after directory.Version) []RegistryChange
}

// RegistryChange is a change of an item as the registry published it.
type RegistryChange struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Knowledge is what an entry knows of the registry, and how old that is.
type Knowledge struct {
	// Servers is the state up to which all changes of servers are known. None of them is later
	// than ServersChanged.
	Servers, ServersChanged directory.Version
	// Config is the state up to which all configurations are known. ConfigVersion is the newest.
	Config        directory.Version
	ConfigVersion uint64
	// ServersAge and ConfigAge are the times since the registry was in these states.
	ServersAge, ConfigAge time.Duration
	// Changes are, in the answer of a peer, the first changes of servers after the state that was
	// known when it was asked.
	Changes []RegistryChange
}

// freshnessPart asks a peer what it knows of the registry, or answers. Ages are in milliseconds,
// rounded up.
type freshnessPart struct {
	// Nonce identifies the question.
	Nonce uint64 `cbor:"1,keyasint"`
	// Era and ServersRevision are the state up to which the sender knows all changes of servers.
	Era             uint64 `cbor:"3,keyasint,omitempty"`
	ServersRevision uint64 `cbor:"4,keyasint,omitempty"`
	// Answer is set in answers, and the fields below only there.
	Answer         bool   `cbor:"2,keyasint,omitempty"`
	ServersAge     int64  `cbor:"5,keyasint,omitempty"`
	ServersChanged uint64 `cbor:"6,keyasint,omitempty"`
	ConfigRevision uint64 `cbor:"7,keyasint,omitempty"`
	ConfigAge      int64  `cbor:"8,keyasint,omitempty"`
	ConfigVersion  uint64 `cbor:"9,keyasint,omitempty"`
	// Changes are the first changes of servers after the state in the question.
	Changes []RegistryChange `cbor:"10,keyasint,omitempty"`
}

func roundUp(age time.Duration) int64 { return (age + time.Millisecond - 1).Milliseconds() }

// answerFreshness returns the answer to a question; nil if not all of k is known in one era, or
// for too long not.
func answerFreshness(nonce uint64, k Knowledge) *freshnessPart {
	if k.Servers.Era != k.Config.Era || max(k.ServersAge, k.ConfigAge) > maxFreshnessAge {
		return nil
	}
	return &freshnessPart{
		Nonce: nonce, Answer: true, Era: k.Servers.Era,
		ServersRevision: k.Servers.Revision, ServersChanged: k.ServersChanged.Revision, ServersAge: roundUp(k.ServersAge),
		ConfigRevision: k.Config.Revision, ConfigVersion: k.ConfigVersion, ConfigAge: roundUp(k.ConfigAge),
	}
}

// valid reports whether an answer has all fields, with ages that are possible.
func (f *freshnessPart) valid() bool {
	return min(f.ServersChanged, f.ConfigRevision) > 0 && min(f.ServersAge, f.ConfigAge) >= 0 && max(f.ServersAge, f.ConfigAge) <= maxFreshnessAge.Milliseconds()
}

// knowledge returns what an answer says.
func (f *freshnessPart) knowledge() Knowledge {
	at := func(revision uint64) directory.Version { return directory.Version{Era: f.Era, Revision: revision} }
	return Knowledge{
		Servers: at(f.ServersRevision), ServersChanged: at(f.ServersChanged), ServersAge: time.Duration(f.ServersAge) * time.Millisecond,
		Config: at(f.ConfigRevision), ConfigVersion: f.ConfigVersion, ConfigAge: time.Duration(f.ConfigAge) * time.Millisecond,
		Changes: f.Changes,
	}
}

const (
	// entriesPerReader is the number of entries for each of those that ask the registry first,
	// and minReaders the least number of these, so that one that is cut off delays nobody.
	entriesPerReader = 16
	minReaders       = 2
	// freshnessTTL is the time for which an answer to a question is accepted.
	freshnessTTL = 2 * time.Second
	// maxFreshnessAge bounds the age in an answer: a larger one is of no use, and would
	// overflow when it is converted.
	maxFreshnessAge = time.Hour
)

// readersLocked returns the entries that ask the registry before the others do, so that these
// learn from them: those of all live entries with the links of the highest capacity, which read a
// configuration first, in the order of their rendezvous weights. Views may differ; then an entry
// more or less asks.
func (x *Exchange) readersLocked(now time.Time) []string {
	entries := x.livePeersLocked(now)
	entries[x.options.Self] = true
	capacity := func(addr string) float64 {
		if p := x.peers[addr]; p != nil {
			return p.capacity
		}
		return x.options.Capacity
	}
	all := highestWeights("registry", entries, len(entries))
	slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(capacity(b), capacity(a)) })
	return all[:min(len(all), max(minReaders, len(entries)/entriesPerReader))]
}

// RegistryPosition returns the position of this entry among those that ask the registry before the
// others do, the first of which is 0, and their number. The position is -1 if it is none of them.
func (x *Exchange) RegistryPosition() (rank, readers int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.readersLocked(time.Now())
	return slices.Index(all, x.options.Self), len(all)
}

func (x *Exchange) rankLocked(now time.Time) int {
	return slices.Index(x.readersLocked(now), x.options.Self)
}

// AskFreshness asks two peers, one of those that ask the registry first and any other one, for
// the age of their knowledge of the registry. What they answer is at least as recent as the
// time of the question less that age, whatever the datagrams took and whatever the clocks of
// the peers show. known is the state up to which this entry knows all changes of servers: they answer
// with those after it.
func (x *Exchange) AskFreshness(known directory.Version) {
	if x.options.Registry == nil {
		return
	}
	x.mu.Lock()
	now, wall := x.options.Registry.Now(), time.Now()
	readers, alive := x.readersLocked(wall), slices.Collect(maps.Keys(x.livePeersLocked(wall)))
	maps.DeleteFunc(x.freshnessAsked, func(_ uint64, at time.Duration) bool { return now-at > freshnessTTL })
	nonce := rand.Uint64()
	x.freshnessAsked[nonce] = now
	x.mu.Unlock()
	to := map[string]bool{}
	for _, list := range [][]string{readers, alive} {
		if len(list) > 0 {
			to[list[rand.IntN(len(list))]] = true
		}
	}
	delete(to, x.options.Self)
	x.send(&message{Incarnation: x.incarnation, Freshness: &freshnessPart{Nonce: nonce, Era: known.Era, ServersRevision: known.Revision}}, to)
}

// exchangeFreshness answers a question of a peer, or records an answer.
func (x *Exchange) exchangeFreshness(from string, f *freshnessPart) {
	if f == nil || x.options.Registry == nil {
		return
	}
	if !f.Answer {
		if k, ok := x.options.Registry.Known(); ok {
			if answer := answerFreshness(f.Nonce, k); answer != nil {
				if asked := (directory.Version{Era: f.Era, Revision: f.ServersRevision}); asked.Before(k.ServersChanged) {
					answer.Changes = x.options.Registry.ServerChanges(asked)
				}
				x.send(&message{Incarnation: x.incarnation, Freshness: answer}, map[string]bool{from: true})
			}
		}
		return
	}
	x.mu.Lock()
	asked, ok := x.freshnessAsked[f.Nonce]
	x.mu.Unlock()
	if ok && f.valid() && x.options.Registry.Now()-asked <= freshnessTTL {
		x.options.Registry.Confirmed(f.knowledge(), asked)
	}
}
