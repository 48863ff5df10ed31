package loadexchange

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/origin"
)

const (
	// originPeers is the number of peers to which it is reported what began a stream, so that
	// one of them is left when entries are killed together.
	originPeers = 3
	// originPeersAsked is the number of peers that are asked: their view of the peers may differ
	// from that of the entry that reported to its own.
	originPeersAsked = 2 * originPeers
	// maxReported is the maximum number of streams in one report, of at most 9 bytes each: a
	// message larger than maxDatagram is not sent.
	maxReported = 500
)

// originReport are streams that were begun alike.
type originReport struct {
	Software string       `cbor:"1,keyasint"`
	Streams  []origin.Key `cbor:"2,keyasint"`
	// Service is missing in reports of entries before it was added.
	Service   string `cbor:"3,keyasint,omitempty"`
	Ambiguous bool   `cbor:"4,keyasint,omitempty"`
}

func newOriginReport(o origin.Origin, streams ...origin.Key) originReport {
	return originReport{Service: o.Service, Software: o.Software, Ambiguous: o.Ambiguous, Streams: streams}
}

func (r originReport) origin() origin.Origin {
	return origin.Origin{Service: r.Service, Software: r.Software, Ambiguous: r.Ambiguous}
}

// TellOrigin reports at once to some peers and to keepers what began a stream. Which peers depends
// on its content, so that an entry that is asked to take it up finds them.
func (x *Exchange) TellOrigin(s origin.Stream, o origin.Origin, keepers []string) {
	to := x.originPeersOf(s.Content, originPeers, keepers)
	x.sendOnce(&message{Origins: []originReport{newOriginReport(o, s.ID, s.Content)}}, to)
}

// contactLocked records that a message goes to a keeper, so that it may answer.
func (x *Exchange) contactLocked(addr string) {
	k := x.keepers[addr]
	k.contacted = time.Now()
	x.keepers[addr] = k
}

// TellKeeper reports to one keeper what began streams.
func (x *Exchange) TellKeeper(addr string, streams map[origin.Origin][]origin.Key) {
	x.mu.Lock()
	x.contactLocked(addr)
	x.mu.Unlock()
	x.tellStreams(streams, map[string]bool{addr: true})
}

// TellPeer reports to one peer what began streams.
func (x *Exchange) TellPeer(addr string, streams map[origin.Origin][]origin.Key) {
	x.tellStreams(streams, map[string]bool{addr: true})
}

// TellPeers reports to all live peers what began streams.
func (x *Exchange) TellPeers(streams map[origin.Origin][]origin.Key) {
	x.mu.Lock()
	to := x.livePeersLocked(time.Now())
	x.mu.Unlock()
	x.tellStreams(streams, to)
}

func (x *Exchange) tellStreams(streams map[origin.Origin][]origin.Key, to map[string]bool) {
	for o, list := range streams {
		for part := range slices.Chunk(list, maxReported) {
			x.sendOnce(&message{Origins: []originReport{newOriginReport(o, part...)}}, to)
		}
	}
}

// KeeperHeard returns the time of the last message of a keeper; zero if there is none.
func (x *Exchange) KeeperHeard(addr string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.keepers[addr].heard
}

// AskOrigin asks the peers that probably received it, and keepers, what began the stream with one
// of the keys of s. Their answers go to the handler. It reports whether anybody was asked.
func (x *Exchange) AskOrigin(k origin.Key, s origin.Stream, keepers []string) bool {
	to := x.originPeersOf(s.Content, originPeersAsked, keepers)
	x.sendOnce(&message{AskedOrigins: []origin.Key{k}}, to)
	return len(to) > 0
}

// originPeersOf returns the live peers that come first in the order of a stream, and keepers.
func (x *Exchange) originPeersOf(k origin.Key, n int, keepers []string) map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	to := map[string]bool{}
	for _, addr := range highestWeights(k.RendezvousKey(), x.livePeersLocked(time.Now()), n) {
		to[addr] = true
	}
	for _, addr := range keepers {
		to[addr] = true
		x.contactLocked(addr)
	}
	return to
}

// sendOnce sends a message that is not repeated.
func (x *Exchange) sendOnce(m *message, to map[string]bool) {
	if len(to) == 0 {
		return
	}
	x.mu.Lock()
	x.seq++
	m.Incarnation, m.Seq = x.incarnation, x.seq
	x.mu.Unlock()
	x.send(m, to)
}

// answerOrigins answers a peer that asked what began streams.
func (x *Exchange) answerOrigins(from string, asked []origin.Key) {
	if m := answerOrigins(asked, x.handler.Origin); m != nil {
		x.sendOnce(m, map[string]bool{from: true})
	}
}

// answerOrigins returns the message that answers a question; nil if nothing is known.
func answerOrigins(asked []origin.Key, known func(origin.Key) (o origin.Origin, ok bool)) *message {
	m := &message{}
	for _, k := range asked {
		if o, ok := known(k); ok {
			m.Origins = append(m.Origins, newOriginReport(o, k))
		}
	}
	if len(m.Origins) == 0 {
		return nil
	}
	return m
}

// applyKeeper records a message of a keeper, which is no peer. A keeper that has started again
// has forgotten what it was told.
func (x *Exchange) applyKeeper(from string, m *message, now time.Time) {
	x.mu.Lock()
	former, contacted := x.keepers[from]
	if !contacted {
		x.mu.Unlock()
		_ = level.Warn(x.log).Log("msg", "answer of a process that was not asked", "from", from)
		return
	}
	x.keepers[from] = keeperState{incarnation: m.Incarnation, heard: now, contacted: former.contacted}
	x.mu.Unlock()
	for _, o := range m.Origins {
		x.handler.SetRemoteOrigins(o.origin(), o.Streams)
	}
	x.applyEvidence(m, now)
	if m.Order != nil {
		x.applyOrder(m.Order)
	}
	if !former.heard.IsZero() && former.incarnation != m.Incarnation {
		x.handler.KeeperRestarted(from)
		x.tellRestarted(from)
	}
}

// keeperState is what is known of a keeper.
type keeperState struct {
	incarnation int64
	// heard and contacted are the times of its last message and of the last one to it.
	heard, contacted time.Time
}

// keeperTTL is the time for which a keeper counts as running since its last message, and for
// which it is remembered since the last message to it.
const keeperTTL = 30 * time.Second

// Keepers returns the number of keepers that answered lately.
func (x *Exchange) Keepers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, k := range x.keepers {
		if time.Since(k.heard) <= keeperTTL {
			n++
		}
	}
	return n
}

// expireKeepersLocked forgets the keepers that were not contacted for a while.
func (x *Exchange) expireKeepersLocked(now time.Time) {
	maps.DeleteFunc(x.keepers, func(_ string, k keeperState) bool { return now.Sub(k.contacted) > keeperTTL })
}
