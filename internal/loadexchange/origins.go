package loadexchange

import (
	"strconv"
	"time"

	"github.com/samphirestream/samphirestream/internal/origin"
)

const (
	// originKeepers is the number of peers to which it is reported by which software a stream was
	// begun, so that one of them is left when entries are killed together.
	originKeepers = 3
	// originAsked is the number of peers that are asked: their view of the peers may differ
	// from that of the entry that reported to its keepers.
	originAsked = 2 * originKeepers
)

// TellOrigin reports to some peers by which software a stream was begun. Which ones depends on
// the stream, so that an entry that is asked to take it up finds them.
func (x *Exchange) TellOrigin(k origin.Key, software string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, addr := range x.keepersLocked(k, originKeepers) {
		x.tellLocked(addr, k, software)
	}
}

// AskOrigin asks the peers that probably received by which software a stream was begun.
// Their answers go to the handler. It reports whether there is any such peer.
func (x *Exchange) AskOrigin(k origin.Key) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	keepers := x.keepersLocked(k, originAsked)
	for _, addr := range keepers {
		m := x.originsLocked(addr)
		m.AskedOrigins = append(m.AskedOrigins, k)
	}
	x.requestFlush()
	return len(keepers) > 0
}

// originsLocked returns the message on streams that waits to be sent to a peer.
func (x *Exchange) originsLocked(addr string) *message {
	m, ok := x.originMessages[addr]
	if !ok {
		m = &message{Incarnation: x.incarnation, Origins: map[string][]origin.Key{}}
		x.originMessages[addr] = m
	}
	return m
}

func (x *Exchange) tellLocked(addr string, k origin.Key, software string) {
	m := x.originsLocked(addr)
	m.Origins[software] = append(m.Origins[software], k)
	x.requestFlush()
}

// keepersLocked returns the live peers that come first in the order of a stream.
func (x *Exchange) keepersLocked(k origin.Key, n int) []string {
	return highestWeights(strconv.FormatUint(uint64(k), 36), x.livePeersLocked(time.Now()), n)
}

// sendOrigins sends the messages on streams that wait.
func (x *Exchange) sendOrigins() {
	x.mu.Lock()
	messages := x.originMessages
	x.originMessages = map[string]*message{}
	for _, m := range messages {
		x.seq++
		m.Seq = x.seq
	}
	x.mu.Unlock()
	for addr, m := range messages {
		x.send(m, map[string]bool{addr: true})
	}
}

// answerOrigins answers a peer that asked by which software streams were begun.
func (x *Exchange) answerOrigins(from string, asked []origin.Key) {
	for _, k := range asked {
		if software, ok := x.handler.Origin(k); ok {
			x.mu.Lock()
			x.tellLocked(from, k, software)
			x.mu.Unlock()
		}
	}
}
