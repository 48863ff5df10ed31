package standin

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/gossip"
)

// errUnreachable is the error of a pull across a partition, or from an address
// without a host that serves notes.
const errUnreachable = errors.ConstError("the peer is unreachable")

// Network is an in-memory network with delay, loss and partitions, for tests and
// benchmarks. It is not safe for concurrent use.
type Network struct {
	// After schedules f after a delay on the clock of the test.
	After func(d time.Duration, f func())
	Rand  *rand.Rand
	// Loss is the probability that a datagram is lost.
	Loss float64
	// Delay returns the one-way delay between two addresses.
	Delay func(from, to string) time.Duration
	// Partitioned, if set, reports whether a partition separates one address from
	// another in this direction.
	Partitioned func(from, to string) bool

	hosts map[string]Host
}

// Host handles the datagrams and the pulls that arrive at an address.
type Host struct {
	Receive func(from string, payload []byte)
	Notes   *gossip.NotesService
}

// Attach connects a host to the network. A second host at one address replaces
// the first.
func (m *Network) Attach(addr string, h Host) {
	if m.hosts == nil {
		m.hosts = map[string]Host{}
	}
	m.hosts[addr] = h
}

// Detach removes a host.
func (m *Network) Detach(addr string) { delete(m.hosts, addr) }

// Endpoint returns an endpoint that sends from an address.
func (m *Network) Endpoint(addr string) *Endpoint { return &Endpoint{net: m, addr: addr} }

// Endpoint is one address of a Network. It implements gossip.Transport and
// gossip.BulkPuller.
type Endpoint struct {
	net  *Network
	addr string
	// BulkBytes counts the bytes of the notes and snapshots that were pulled.
	BulkBytes int64
}

// Send implements gossip.Transport.
func (e *Endpoint) Send(addr string, payload []byte) {
	m := e.net
	if m.partitioned(e.addr, addr) || m.Rand.Float64() < m.Loss {
		return
	}
	m.After(m.delay(e.addr, addr), func() {
		if h, ok := m.hosts[addr]; ok && h.Receive != nil {
			h.Receive(e.addr, payload)
		}
	})
}

// Pull implements gossip.BulkPuller. Loss does not apply, since a connection resends
// lost packets.
func (e *Endpoint) Pull(addr string, after uint64, done func(gossip.SinceReply, error)) {
	m := e.net
	m.After(2*m.delay(e.addr, addr), func() {
		h, ok := m.hosts[addr]
		if !ok || h.Notes == nil || m.partitioned(e.addr, addr) || m.partitioned(addr, e.addr) {
			done(gossip.SinceReply{}, errUnreachable)
			return
		}
		var reply gossip.SinceReply
		err := h.Notes.Since(gossip.SinceArgs{After: after}, &reply)
		for _, raw := range reply.Notes {
			e.BulkBytes += int64(len(raw))
		}
		e.BulkBytes += int64(len(reply.Snapshot))
		done(reply, err)
	})
}

func (m *Network) partitioned(from, to string) bool {
	return m.Partitioned != nil && m.Partitioned(from, to)
}

func (m *Network) delay(from, to string) time.Duration {
	if m.Delay == nil {
		return time.Millisecond
	}
	return m.Delay(from, to)
}
