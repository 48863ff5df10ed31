// Package memnet delivers datagrams between entries in memory, for tests and emulations.
package memnet

import (
	"net"
	"sync"
	"time"
)

// EntryLatency is a usual latency between entries.
const EntryLatency = 2 * time.Millisecond

// Network delivers datagrams between entries in memory.
type Network struct {
	latency time.Duration

	mu    sync.Mutex // guards the fields below
	conns map[string]*Conn
	drop  func(from, to string) bool
}

// New returns a network without entries, in which a datagram takes some time.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, conns: map[string]*Conn{}}
}

// SetDrop sets which datagrams are lost; nil loses none.
func (n *Network) SetDrop(drop func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

// Listen returns the end of the network at an address.
func (n *Network) Listen(addr string) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &Conn{network: n, addr: addr, in: make(chan datagram, maxDatagramsQueued), closed: make(chan struct{})}
	n.conns[addr] = c
	return c
}

// Close ends all reads.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.closeOnce.Do(func() { close(c.closed) })
	}
}

// maxDatagramsQueued is the length of the receive queue of an entry.
const maxDatagramsQueued = 1024

type datagram struct {
	from    string
	payload []byte
}

// Conn is the end of the network at an address.
type Conn struct {
	network   *Network
	addr      string
	in        chan datagram
	closed    chan struct{}
	closeOnce sync.Once
}

// ReadFrom implements net.PacketConn in part.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		from, err := net.ResolveUDPAddr("udp", d.from)
		return copy(p, d.payload), from, err
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn in part. A datagram for a full queue is lost.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	peer := c.network.conns[to.String()]
	lost := c.network.drop != nil && c.network.drop(c.addr, to.String())
	c.network.mu.Unlock()
	if peer == nil || lost {
		return len(p), nil
	}
	d := datagram{from: c.addr, payload: append([]byte(nil), p...)}
	deliver := func() {
		select {
		case peer.in <- d:
		default:
		}
	}
	if c.network.latency == 0 {
		deliver() // timers would not keep the order
	} else {
		time.AfterFunc(c.network.latency, deliver)
	}
	return len(p), nil
}

// Close implements net.PacketConn in part.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}
