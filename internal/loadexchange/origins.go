package loadexchange

import (
	"slices"
	"strconv"
	"time"

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
	Service string `cbor:"3,keyasint,omitempty"`
}

func newOriginReport(o origin.Origin, streams ...origin.Key) originReport {
	return originReport{Service: o.Service, Software: o.Software, Streams: streams}
}

func (r originReport) origin() origin.Origin {
	return origin.Origin{Service: r.Service, Software: r.Software}
}

// TellOrigin reports at once to some peers and to keepers what began a stream.
// Which peers depends on the stream, so that an entry that is asked to take it up finds them.
func (x *Exchange) TellOrigin(k origin.Key, o origin.Origin, keepers []string) {
	to := x.originPeersOf(k, originPeers, keepers)
	x.sendOnce(&message{Origins: []originReport{newOriginReport(o, k)}}, to)
}

// TellKeeper reports to one keeper what began streams.
func (x *Exchange) TellKeeper(addr string, streams map[origin.Origin][]origin.Key) {
	for o, list := range streams {
		for part := range slices.Chunk(list, maxReported) {
			x.sendOnce(&message{Origins: []originReport{newOriginReport(o, part...)}}, map[string]bool{addr: true})
		}
	}
}

// AskOrigin asks the peers that probably received it, and keepers, what began a stream. Their
// answers go to the handler. It reports whether anybody was asked.
func (x *Exchange) AskOrigin(k origin.Key, keepers []string) bool {
	to := x.originPeersOf(k, originPeersAsked, keepers)
	x.sendOnce(&message{AskedOrigins: []origin.Key{k}}, to)
	return len(to) > 0
}

// originPeersOf returns the live peers that come first in the order of a stream, and keepers.
func (x *Exchange) originPeersOf(k origin.Key, n int, keepers []string) map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	to := map[string]bool{}
	for _, addr := range highestWeights(strconv.FormatUint(uint64(k), 36), x.livePeersLocked(time.Now()), n) {
		to[addr] = true
	}
	for _, addr := range keepers {
		to[addr] = true
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
	former, known := x.keepers[from]
	x.keepers[from] = keeperState{incarnation: m.Incarnation, heard: now}
	x.mu.Unlock()
	for _, o := range m.Origins {
		x.handler.SetRemoteOrigins(o.origin(), o.Streams)
	}
	x.applyEvidence(m, now)
	if known && former.incarnation != m.Incarnation {
		x.handler.KeeperRestarted(from)
		x.tellRestarted(from)
	}
}

// keeperState is what is known of a keeper.
type keeperState struct {
	incarnation int64
	heard       time.Time // when its last message was received
}

// keeperTTL is the time for which a keeper counts as running since its last message.
const keeperTTL = 30 * time.Second

// Keepers returns the number of keepers that answered lately.
func (x *Exchange) Keepers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for addr, k := range x.keepers {
		if time.Since(k.heard) > keeperTTL {
			delete(x.keepers, addr)
			continue
		}
		n++
	}
	return n
}
