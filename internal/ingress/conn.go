package ingress

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/outbuffer"
)

// linger is the time for which the rest of a refused request is read, so that it does not reset
// the connection before the client has read the answer.
const linger = 500 * time.Millisecond

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	port *port
	out  *outbuffer.Conn // Conn, or nil

	leave sync.Once

	// The lock of the port guards the fields below.
	stage   stage
	since   time.Time // since when it is in the stage
	element *list.Element
}

func newConn(nc net.Conn, p *port) *Conn {
	c := &Conn{Conn: nc, port: p}
	if out, ok := nc.(*outbuffer.Conn); ok {
		c.out = out
		out.OnClose(c.closed)
	}
	return c
}

func (c *Conn) closed() {
	c.leave.Do(func() { c.port.leave(c) })
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if c.out == nil { // else it may close later
		c.closed()
	}
	return err
}

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// evict closes the connection in favour of others.
func (c *Conn) evict() {
	if c.out.Behind() {
		c.out.Evict()
		return
	}
	_ = c.Close()
}

// Established records that a connection whose protocol is not HTTP is one of a known peer. It
// reports false if the connection was closed in favour of another one.
func (c *Conn) Established() bool {
	return c.port.enter(c, running)
}

// awaitHeader records that the next request is awaited.
func (c *Conn) awaitHeader() {
	c.port.enter(c, idle)
}

type contextKey struct{}

// from returns the connection of a request, nil if it has none.
func from(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// wrap returns a handler that records how far the connections have come.
func (p *port) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := from(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !p.enter(c, running) {
			panic(http.ErrAbortHandler) // its connection was closed when its header was whole
		}
		defer func() {
			if r.ContentLength != 0 && r.Body != http.NoBody {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(linger)) // fails only if it is closed
			}
			p.enter(c, finishing)
		}()
		next.ServeHTTP(w, r)
	})
}
