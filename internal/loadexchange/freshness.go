package loadexchange

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// Registry is what the exchange needs of this entry's knowledge of the registry.
type Registry interface {
	// Known returns the state of the registry that is in force here and the age of that
	// knowledge. It reports false while there is none.
	Known() (at directory.Version, age time.Duration, ok bool)
	// Now returns the time on a clock that counts the time in which the VM is suspended.
	Now() time.Duration
	// Confirmed is called when a peer knew that the registry was in a state, and in no later
	// one, as of a time on that clock.
	Confirmed(at directory.Version, asOf time.Duration)
}

// freshnessPart asks a peer for the age of its knowledge of the registry, or answers.
type freshnessPart struct {
	// Nonce identifies the question.
	Nonce uint64 `cbor:"1,keyasint"`
	// Answer is set in answers, and the fields below only there.
	Answer   bool   `cbor:"2,keyasint,omitempty"`
	Era      uint64 `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Age is in milliseconds, rounded up.
	Age int64 `cbor:"5,keyasint,omitempty"`
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
// learn from them: the first of all live entries in the order of their rendezvous weights.
// Views may differ; then an entry more or less asks.
func (x *Exchange) readersLocked(now time.Time) []string {
	entries := x.livePeersLocked(now)
	entries[x.options.Self] = true
	return highestWeights("registry", entries, max(minReaders, len(entries)/entriesPerReader))
}

// ReadsRegistry reports whether this entry is one of those that ask the registry before the
// others do.
func (x *Exchange) ReadsRegistry() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Contains(x.readersLocked(time.Now()), x.options.Self)
}

// AskFreshness asks two peers, one of those that ask the registry first and any other one, for
// the age of their knowledge of the registry. What they answer is at least as recent as the
// time of the question less that age, whatever the datagrams took and whatever the clocks of
// the peers show.
func (x *Exchange) AskFreshness() {
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
	x.send(&message{Incarnation: x.incarnation, Freshness: &freshnessPart{Nonce: nonce}}, to)
}

// exchangeFreshness answers a question of a peer, or records an answer.
func (x *Exchange) exchangeFreshness(from string, f *freshnessPart) {
	if f == nil || x.options.Registry == nil {
		return
	}
	if !f.Answer {
		at, age, ok := x.options.Registry.Known()
		if !ok || age > maxFreshnessAge {
			return
		}
		x.send(&message{Incarnation: x.incarnation, Freshness: &freshnessPart{
			Nonce: f.Nonce, Answer: true, Era: at.Era, Revision: at.Revision, Age: (age + time.Millisecond - 1).Milliseconds(),
		}}, map[string]bool{from: true})
		return
	}
	x.mu.Lock()
	asked, ok := x.freshnessAsked[f.Nonce]
	x.mu.Unlock()
	if !ok || f.Age < 0 || f.Age > maxFreshnessAge.Milliseconds() || x.options.Registry.Now()-asked > freshnessTTL {
		return
	}
	x.options.Registry.Confirmed(directory.Version{Era: f.Era, Revision: f.Revision}, asked-time.Duration(f.Age)*time.Millisecond)
}
