package emulator

import (
	"net"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/loadexchange"
)

// peerLatency is the network latency between entries.
const peerLatency = 2 * time.Millisecond

// Network delivers datagrams between entries in memory, after peerLatency.
type Network struct {
	mu    sync.Mutex // guards conns
	conns map[string]*conn
}

// NewNetwork returns a network without entries.
func NewNetwork() *Network { return &Network{conns: map[string]*conn{}} }

// Listen returns the end of the network at an address.
func (n *Network) Listen(addr string) loadexchange.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &conn{network: n, addr: addr, in: make(chan datagram, maxDatagramsQueued), closed: make(chan struct{})}
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

// conn implements loadexchange.Conn.
type conn struct {
	network   *Network
	addr      string
	in        chan datagram
	closed    chan struct{}
	closeOnce sync.Once
}

// ReadFrom implements loadexchange.Conn.
func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		from, err := net.ResolveUDPAddr("udp", d.from)
		return copy(p, d.payload), from, err
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements loadexchange.Conn. A datagram for a full queue is lost.
func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	peer := c.network.conns[to.String()]
	c.network.mu.Unlock()
	if peer == nil {
		return len(p), nil
	}
	d := datagram{from: c.addr, payload: append([]byte(nil), p...)}
	time.AfterFunc(peerLatency, func() {
		select {
		case peer.in <- d:
		default:
		}
	})
	return len(p), nil
}

// Close implements loadexchange.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}
