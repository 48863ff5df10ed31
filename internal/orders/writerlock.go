package orders

import (
	"net"
	"net/netip"
	"net/url"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// WriterLock is a lock for sending orders to an engine. One process of a VM holds it
// at a time.
type WriterLock interface {
	// Acquire takes the lock. It returns nil if this WriterLock holds it already.
	Acquire() error
	// Release releases the lock, if it is held.
	Release()
}

// ListenerLock holds the lock by listening on an address. The operating system
// lets one process at a time listen on it, and frees it when the process ends, even
// in a crash.
type ListenerLock struct {
	addr     string
	listener net.Listener
}

// NewListenerLock returns a lock that listens on addr, an IP address and a
// port of this VM.
func NewListenerLock(addr string) *ListenerLock { return &ListenerLock{addr: addr} }

// Acquire implements WriterLock.
func (l *ListenerLock) Acquire() error {
	if l.listener != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return errors.Annotatef(err, "another process holds the writer lock %s; end it, or set backend.writer_lock to a free address", l.addr)
	case err != nil:
		return errors.Annotatef(err, "the writer lock %s; set backend.writer_lock to a free address of this VM", l.addr)
	}
	l.listener = ln
	return nil
}

// Release implements WriterLock.
func (l *ListenerLock) Release() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// writerLockPort is the port of the default lock addresses.
const writerLockPort = 7199

// DefaultWriterLock returns the loopback address of the writer lock that the agents
// of one engine on one VM share. It depends only on the host and port of the
// engine's URL.
func DefaultWriterLock(engineURL string) string {
	host := engineURL
	if u, err := url.Parse(engineURL); err == nil {
		host = u.Host
	}
	h := xxhash.Sum64String(host)
	// Other programs rarely listen on addresses in 127.64.0.0/10.
	ip := netip.AddrFrom4([4]byte{127, 64 | byte(h)&63, byte(h >> 8), byte(h >> 16)})
	return netip.AddrPortFrom(ip, writerLockPort).String()
}
