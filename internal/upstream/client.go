// Package upstream sends HTTP/1.1 requests to backend servers over persistent
// connections. Unlike net/http's Transport it never retries a request, changes no
// header, and reports for each failure whether the request may have reached the
// server, which determines what may be retried.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Progress is the progress of an exchange before it failed.
type Progress int

// Values of Progress.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Progress = iota
	// Unanswered means that the request may have arrived, and no complete response
	// header was received.
	Unanswered
	// Broken means that the response began and was not received completely.
	Broken
)

// String implements fmt.Stringer.
func (p Progress) String() string {
	switch p {
	case NotSent:
		return "not_sent"
	case Unanswered:
		return "unanswered"
	default:
		return "broken"
	}
}

// Error is a failed exchange.
type Error struct {
	Progress Progress
	// Timeout is set when the exchange timed out, as opposed to a connection that was
	// refused or closed.
	Timeout bool
	Err     error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Progress.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ProgressOf returns the progress at which an exchange failed. It returns Broken,
// the most conservative value, for errors that are not an *Error.
func ProgressOf(err error) Progress {
	var e *Error
	if errors.As(err, &e) {
		return e.Progress
	}
	return Broken
}

// Request is one request, with all fields as they are sent.
type Request struct {
	Method string
	// Target is the path and query in the form of the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce excludes kept connections that were idle for longer than
	// FreshIdle, since a request that is lost on a stale connection may not be
	// retried.
	AtMostOnce bool
	// Matches, if not nil, reports whether a response answers this request.
	// Other responses are discarded.
	Matches func(http.Header) bool
	// ID, if not "", names the request. A connection whose last request had the same ID is not
	// reused, since Matches does not distinguish a late copy of the response to that one.
	ID string
	// LastUse closes the connection after the response. It is meant for requests whose
	// responses name no request: a late second copy of one would be taken for the response to
	// the next request on the connection.
	LastUse bool
}

// Options configure a client.
type Options struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// UnresponsiveTimeout is the time after which unacknowledged bytes or unanswered
	// keep-alive probes close a connection.
	UnresponsiveTimeout time.Duration
	// FreshIdle is the idle time within which a kept connection is reused if the
	// server sends no Keep-Alive timeout, or the request may only be sent once.
	FreshIdle time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
}

// Client sends requests and keeps idle connections to backend servers. It is safe
// for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{
		options: o,
		dialer:  net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: keepAlive(o.UnresponsiveTimeout), Control: userTimeout(o.UnresponsiveTimeout)},
		idle:    map[string][]*conn{},
	}
}

// keepAliveProbes is the number of lost TCP keep-alive probes that close a
// connection.
const keepAliveProbes = 2

func keepAlive(timeout time.Duration) net.KeepAliveConfig {
	interval := max(time.Second, timeout/(keepAliveProbes+1))
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 4 << 10

// Send sends a request and returns the response once its header is complete.
// The end of ctx aborts the exchange, also while the body is read. The error is an
// *Error. The caller closes the body.
func (c *Client) Send(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	cn, err := c.connect(ctx, addr, r)
	if err != nil {
		return nil, &Error{Progress: NotSent, Timeout: isTimeout(err), Err: err}
	}
	cn.lastID = r.ID
	stop := context.AfterFunc(ctx, cn.interrupt)
	fail := func(progress Progress, err error) (*http.Response, error) {
		stop()
		cn.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Progress: progress, Timeout: isTimeout(err), Err: err}
	}
	if n, err := cn.write(r); err != nil {
		progress := Unanswered
		if n == 0 {
			progress = NotSent
		}
		return fail(progress, err)
	}
	resp, err := cn.readResponse(r)
	if err != nil {
		return fail(Unanswered, err)
	}
	b := &body{ReadCloser: resp.Body, ctx: ctx, stop: stop, conn: cn, client: c}
	if !r.LastUse {
		b.reuseFor = c.reuseTime(resp)
	}
	resp.Body = b
	return resp, nil
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// maxCopied is the size of a body in bytes up to which it is copied behind the header, to be
// sent with one write. Larger ones would take their memory twice.
const maxCopied = 4 << 10

// write sends a request and returns the number of bytes that were sent.
func (cn *conn) write(r *Request) (int, error) {
	header := encodeHeader(r)
	if len(r.Body) <= maxCopied {
		return cn.net.Write(append(header, r.Body...))
	}
	parts := net.Buffers{header, r.Body}
	n, err := parts.WriteTo(cn.net)
	return int(n), err
}

// encodeHeader returns the bytes of a request before its body.
func encodeHeader(r *Request) []byte {
	out := make([]byte, 0, 512+min(len(r.Body), maxCopied))
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, r.Host...)
	out = append(out, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

// connect returns an idle connection that can be reused, or a new one.
func (c *Client) connect(ctx context.Context, addr string, r *Request) (*conn, error) {
	for {
		cn := c.takeIdle(addr)
		if cn == nil {
			break
		}
		if (r.ID == "" || r.ID != cn.lastID) && cn.reusable(r.AtMostOnce, c.options.FreshIdle) {
			return cn, nil
		}
		cn.close()
	}
	return c.dial(ctx, addr)
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{net: nc, addr: addr}
	cn.r = bufio.NewReaderSize(&cn.preamble, readBuffer)
	cn.preamble.r = nc
	return cn, nil
}

// Probe opens a connection, which the next request to the address uses. It fails if
// the server is unreachable, which an idle connection does not show.
func (c *Client) Probe(ctx context.Context, addr string) error {
	cn, err := c.dial(ctx, addr)
	if err != nil {
		return &Error{Progress: NotSent, Timeout: isTimeout(err), Err: err}
	}
	cn.idleSince = time.Now()
	cn.reuseUntil = cn.idleSince.Add(c.options.FreshIdle)
	c.putIdle(cn)
	return nil
}

func (c *Client) takeIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cn
}

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.addr]) >= c.options.MaxIdle {
		cn.close()
		return
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[addr] {
		cn.close()
	}
	delete(c.idle, addr)
}

// CloseExpired closes the idle connections whose time for reuse is over.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.reuseUntil) {
				kept = append(kept, cn)
				continue
			}
			cn.close()
		}
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// idleTimeoutShare is the fraction of a server's idle timeout within which its
// connection is reused. The rest is a margin for the network latency.
const idleTimeoutShare = 0.6

// reuseTime returns the time for which the connection may be reused after a
// response; 0 if it can not be reused.
func (c *Client) reuseTime(resp *http.Response) time.Duration {
	// A response with neither a length nor chunks ends with its connection.
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return 0
	}
	if d, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		return time.Duration(float64(d) * idleTimeoutShare)
	}
	return c.options.FreshIdle
}

// conn is one connection to a server.
type conn struct {
	net  net.Conn
	addr string
	r    *bufio.Reader
	// lastID is the ID of the last request.
	lastID string
	// preamble bounds what r reads of the connection before the body of an answer.
	preamble preambleReader
	// idleSince is the time at which the connection became idle, and reuseUntil the
	// time until which it may be reused.
	idleSince  time.Time
	reuseUntil time.Time
}

func (cn *conn) close() { _ = cn.net.Close() }

// interrupt aborts reads and writes in progress.
func (cn *conn) interrupt() { _ = cn.net.SetDeadline(time.Unix(1, 0)) }

// reusable reports whether an idle connection may carry another request. once is set
// for requests that may only be sent once.
func (cn *conn) reusable(once bool, freshIdle time.Duration) bool {
	now := time.Now()
	if !now.Before(cn.reuseUntil) || once && now.Sub(cn.idleSince) > freshIdle {
		return false
	}
	return cn.r.Buffered() == 0 && openWithoutData(cn.net)
}

// maxPreambleBytes bounds what is read before the body of an answer: its header, interim
// responses and responses to other requests. A faulty server may send bytes without end.
const maxPreambleBytes = 1 << 20

var errPreambleTooLong = errors.Errorf("no answer within %d bytes", maxPreambleBytes)

// preambleReader fails after maxPreambleBytes while it is limited.
type preambleReader struct {
	r       io.Reader
	limited bool
	left    int
}

// limit begins the preamble of an answer, and unlimit ends it.
func (p *preambleReader) limit()   { p.limited, p.left = true, maxPreambleBytes }
func (p *preambleReader) unlimit() { p.limited = false }

// Read implements io.Reader.
func (p *preambleReader) Read(b []byte) (int, error) {
	if !p.limited {
		return p.r.Read(b)
	}
	if p.left <= 0 {
		return 0, errPreambleTooLong
	}
	n, err := p.r.Read(b)
	p.left -= n
	return n, err
}

// maxStrays is the maximum number of responses to other requests that are skipped.
const maxStrays = 3

// readResponse reads the response to a request. It skips interim responses and
// responses to other requests.
func (cn *conn) readResponse(r *Request) (*http.Response, error) {
	cn.preamble.limit()
	defer cn.preamble.unlimit()
	for strays := 0; strays <= maxStrays; {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue {
			return nil, errors.Errorf("the status %03d is none of HTTP", resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, nil
		}
		strays++
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errors.New("a response to another request ends with the connection")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// body is a response body whose Close returns the connection to the client for reuse
// if the body was read to its end.
type body struct {
	io.ReadCloser
	ctx      context.Context //nolint:containedctx // the body is used within one request
	stop     func() bool
	conn     *conn
	client   *Client
	reuseFor time.Duration
	complete bool // read to its end
	closed   bool
}

// Read implements io.Reader. Errors other than io.EOF are an *Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
		return n, err
	}
	if err != nil {
		if b.ctx.Err() != nil {
			err = b.ctx.Err()
		}
		return n, &Error{Progress: Broken, Timeout: isTimeout(err), Err: err}
	}
	return n, nil
}

// Close ends the exchange. A connection whose response was not read to its end,
// or that holds further bytes, is closed.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	uninterrupted := b.stop()
	if !b.complete || !uninterrupted || b.reuseFor == 0 || b.conn.r.Buffered() > 0 {
		b.conn.close()
		return nil
	}
	b.conn.idleSince = time.Now()
	b.conn.reuseUntil = b.conn.idleSince.Add(b.reuseFor)
	b.client.putIdle(b.conn)
	return nil
}
