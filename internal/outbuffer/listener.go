// Package outbuffer wraps the connections of callers, so that a caller that reads slowly does
// not hold up the reading of its answer from a server. What the socket of a connection does
// not take is kept in a bounded buffer, whose memory comes from a membudget.Budget, and is
// sent by a goroutine that lives only while there is something to send. A caller that keeps up
// costs neither a buffer nor a goroutine nor a further system call.
package outbuffer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/membudget"
)

// Limits of the buffers.
const (
	// maxBuffered is the maximum number of bytes that are kept for one caller. Most answers
	// fit into it whole, so that the server is done while the caller still reads. When it is
	// full, the server is read at the caller's speed.
	maxBuffered = 256 << 10
	// blockSize is the size in bytes of the pieces in which a buffer grows.
	blockSize = 4 << 10
	// stallTimeout is the time after which a caller is disconnected that accepts no byte
	// while there are some for it. Callers give up after a gap of 2 to 2.4 s themselves; two
	// lost packets in a row delay a sound one by 3 s (RFC 6298).
	stallTimeout = 5 * time.Second
	// stallChecks is the number of times within stallTimeout that a caller that takes nothing
	// is looked at.
	stallChecks = 10
	// socketBuffer is the size in bytes that is set for the send buffers of callers'
	// connections, which the kernel keeps. By default they grow to megabytes for a caller
	// that does not read. It allows 50 Mbit/s for a round trip of 10 ms.
	socketBuffer = 64 << 10
	// drainInterval is the interval at which Drain looks for unsent bytes.
	drainInterval = 10 * time.Millisecond
)

// Listener accepts connections that are wrapped in a Conn.
type Listener struct {
	net.Listener
	budget *membudget.Budget
	log    log.Logger
	// stall is stallTimeout, except in tests.
	stall time.Duration

	draining atomic.Int64 // connections with unsent bytes
	stalled  atomic.Int64
}

// Wrap wraps a TCP listener.
func Wrap(ln net.Listener, budget *membudget.Budget, logger log.Logger) *Listener {
	return &Listener{Listener: ln, budget: budget, log: logger, stall: stallTimeout}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	_ = tcp.SetWriteBuffer(socketBuffer) // without it the kernel's size holds
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nc, nil
	}
	c := &Conn{Conn: tcp, tcp: tcp, listener: l, raw: raw}
	c.attemptFunc = c.attempt
	return c, nil
}

// Drain waits until no connection has unsent bytes, or ctx ends.
func (l *Listener) Drain(ctx context.Context) {
	for l.draining.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainInterval)
	}
}

// Stalled returns the number of callers that were disconnected since they accepted no byte.
func (l *Listener) Stalled() int64 { return l.stalled.Load() }

type contextKey struct{}

// Context returns a context from which Begin finds the connection. It is meant for
// http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, own)
	}
	return ctx
}

// From returns the connection of a request, or nil.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// logDisconnect writes a line about a caller that is disconnected.
func (c *Conn) logDisconnect(err error, buffered int) {
	_ = level.Warn(c.listener.log).Log("msg", "caller disconnected", "request", c.request, "cause", err, "caller", c.holder.Caller, "organisation", c.holder.Organisation, "unsent_bytes", buffered)
}
