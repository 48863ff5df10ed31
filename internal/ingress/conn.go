package ingress

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/membudget"
	"github.com/samphirestream/samphirestream/internal/outbuffer"
)

// Memory of a header.
const (
	// fieldBytes is the memory of a field beside its text: an entry of a map, a slice and a name,
	// and the same in a copy that is sent on.
	fieldBytes = 256
	// textFactor is the number of copies of the text of a header.
	textFactor = 2
	// usualHeader is the memory of a header in bytes that counts with its connection. Requests
	// with usual headers come in, and readiness is answered, while bodies use the budget up.
	usualHeader = 8 << 10
	// maxAhead is the size in bytes of the buffer in which net/http may already hold the
	// beginning of the next request.
	maxAhead = 4 << 10
)

// linger is the time for which the rest of a refused request is read, so that it does not reset
// the connection before the client has read the answer.
const linger = 500 * time.Millisecond

// Answers to a header that does not fit into the memory, and to one that is too long.
const (
	noMemory       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// refusedError ends the reading of a request that was refused, or whose connection was closed in
// favour of another one. As an error of the network it makes net/http close without an answer.
type refusedError struct{}

// Error implements the error interface.
func (refusedError) Error() string { return "the connection was refused in favour of others" }

// Timeout and Temporary implement net.Error.
func (refusedError) Timeout() bool   { return true }
func (refusedError) Temporary() bool { return false }

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	port *port
	out  *outbuffer.Conn // Conn, or nil

	// inHeader is set while the bytes that are read belong to a header of HTTP.
	inHeader atomic.Bool
	// account holds the memory of the request, from the first bytes of its header on.
	account *membudget.Request
	// headerRead is the number of bytes that were read of the header, and headerNeed the memory
	// that they need.
	headerRead int
	headerNeed int64
	// sender is not nil once a part of a header has come without the rest.
	sender *membudget.Sender
	// ahead is the memory that a header in the bytes that were read last would need.
	ahead int64
	// bodyRead is set when the body of the request has been read whole.
	bodyRead bool

	leave sync.Once

	// The lock of the port guards the fields below.
	stage   stage
	since   time.Time // since when it is in the stage
	element *list.Element
	// known is set if it is one of a known peer, and does not count.
	known bool
}

func newConn(nc net.Conn, p *port) *Conn {
	c := &Conn{Conn: nc, port: p}
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String()) // "" for other networks
	c.account = p.guard.budget.Open(membudget.Holder{Caller: host})
	c.inHeader.Store(p.Limits != nil)
	if out, ok := nc.(*outbuffer.Conn); ok {
		c.out = out
		out.OnClose(c.closed)
	}
	return c
}

func (c *Conn) closed() {
	c.leave.Do(func() {
		c.account.End() // a read that was in progress takes nothing any more
		c.port.leave(c)
	})
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
	return c.port.establish(c)
}

// Read implements net.Conn. It takes memory for a header before net/http can parse it.
func (c *Conn) Read(p []byte) (int, error) {
	inHeader := c.inHeader.Load()
	if inHeader && c.sender == nil && c.account.Held(membudget.Headers) > 0 {
		c.sender = c.account.AddSender(time.Now(), c.evict)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	need := headerMemory(n, bytes.Count(p[:n], []byte("\n")))
	if !inHeader {
		c.ahead = min(need, headerMemory(maxAhead, maxAhead))
		return n, err
	}
	now := time.Now()
	if c.headerRead == 0 && !c.port.enter(c, fresh) {
		return 0, refusedError{}
	}
	c.headerRead += n
	c.sender.Moved(now, int64(n))
	c.headerNeed += need + c.ahead
	if c.reserveHeader(now, c.headerNeed) != nil {
		c.refuse(noMemory)
		return 0, refusedError{}
	}
	if c.headerRead > c.port.Limits().HeaderBytes+maxAhead {
		c.refuse(headerTooLarge)
		return 0, refusedError{}
	}
	c.ahead = 0
	return n, err
}

// reserveHeader takes the memory for a header, beyond what counts with the connection.
func (c *Conn) reserveHeader(now time.Time, need int64) error {
	return c.account.Resize(now, membudget.Headers, max(need-usualHeader, 0))
}

// headerMemory returns the memory that a header of that many bytes and fields needs.
func headerMemory(text, fields int) int64 { return int64(textFactor*text + fieldBytes*fields) }

// refuse answers a request whose header is not read on.
func (c *Conn) refuse(answer string) {
	if !c.port.enter(c, finishing) {
		return
	}
	c.account.Close()
	if _, err := c.Conn.Write([]byte(answer)); err != nil || c.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(linger)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// awaitHeader records that the next request is awaited.
func (c *Conn) awaitHeader() {
	c.headerRead, c.headerNeed = 0, 0
	c.inHeader.Store(true)
	c.port.enter(c, idle)
}

// begin records that a header has been read.
func (c *Conn) begin() {
	c.inHeader.Store(false)
	c.sender.Remove()
	c.sender = nil
}

type contextKey struct{}

// from returns the connection of a request, nil if it has none.
func from(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// wrap returns a handler that serves the requests whose header fits into the memory, and that
// records how far their connections have come.
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
		c.bodyRead = !HasBody(r)
		if !c.bodyRead {
			_ = c.SetReadDeadline(time.Now().Add(BodyStall)) // fails only if it is closed
		}
		defer func() {
			if !c.bodyRead {
				_ = c.SetReadDeadline(time.Now().Add(linger))
			}
			c.account.Close()
			p.enter(c, finishing)
		}()
		if err := c.reserveHeader(time.Now(), memoryOf(r)); err != nil {
			w.Header().Set("Connection", "close")
			p.refuseRequest(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// memoryOf returns the memory of a request's header.
func memoryOf(r *http.Request) int64 {
	text, fields := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			text += len(name) + len(v)
		}
	}
	return headerMemory(text, fields)
}

func (p *port) refuseRequest(w http.ResponseWriter, r *http.Request, err error) {
	if p.Refuse != nil {
		p.Refuse(w, r, err)
		return
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, errors.Cause(err).Error(), http.StatusServiceUnavailable)
}
