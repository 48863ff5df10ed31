package ingress

import (
	"cmp"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/bodyread"
	"github.com/samphirestream/samphirestream/internal/membudget"
)

// Limits of the time to receive a request body.
const (
	// BodyStall is the time without a byte after which the rest is not awaited. Two lost
	// packets in a row delay a sound caller by 3 s (RFC 6298).
	BodyStall = 5 * time.Second
	// bodyTimeout bounds a whole body unless the caller of ReadBody sets another bound.
	bodyTimeout = 15 * time.Second
)

// ErrBodyTooLarge is the error of a body that is longer than its limit.
var ErrBodyTooLarge = errors.New("the body is longer than its limit")

// BodyOptions bound the body of a request.
type BodyOptions struct {
	// Limit is the maximum size in bytes.
	Limit int
	// Timeout bounds the whole body, however it moves; 0 is bodyTimeout. Latest, if not zero, is
	// the time after which the caller has given up.
	Timeout time.Duration
	Latest  time.Time
	// Copies is the number of copies of the body that the handler makes. Memory is taken for
	// them too.
	Copies int
	// Memory is the account of the request; nil has no bound.
	Memory *membudget.Request
}

// HasBody reports whether a request has a body that may be unread.
func HasBody(r *http.Request) bool { return r.ContentLength != 0 && r.Body != http.NoBody }

// Memory returns the account of a request: it holds the memory of its header, and releases all
// after the request. It is nil where the server is not one of this package.
func Memory(r *http.Request) *membudget.Request {
	if c := from(r.Context()); c != nil {
		return c.account
	}
	return nil
}

// ReadBody reads the body of a request into memory that is reserved before it is taken. The error
// is a *membudget.Refusal, ErrBodyTooLarge, os.ErrDeadlineExceeded for a body that did not come
// in time, or that of the connection. After an error the rest is not read, and the connection
// must not be used again.
func ReadBody(w http.ResponseWriter, r *http.Request, o BodyOptions) ([]byte, error) {
	if !HasBody(r) {
		return nil, nil
	}
	if r.ContentLength > int64(o.Limit) {
		w.Header().Set("Connection", "close")
		return nil, ErrBodyTooLarge
	}
	now := time.Now()
	control := http.NewResponseController(w)
	in := &movingBody{body: http.MaxBytesReader(w, r.Body, int64(o.Limit)), control: control, memory: o.Memory, conn: from(r.Context()), latest: now.Add(cmp.Or(o.Timeout, bodyTimeout))}
	if !o.Latest.IsZero() && o.Latest.Before(in.latest) {
		in.latest = o.Latest
	}
	body, err := bodyread.Read(in, r.ContentLength, o.Limit, func(n int64) error { return o.Memory.Reserve(time.Now(), membudget.Bodies, n*int64(1+o.Copies)) })
	in.done()
	if err == nil {
		err = in.setDeadline(time.Time{})
	}
	if err == nil {
		if in.conn != nil {
			in.conn.bodyRead = true
		}
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || errors.Is(err, bodyread.ErrTooLong) {
		return nil, ErrBodyTooLarge
	}
	return nil, err
}

// movingBody reads a body that must move within BodyStall and end by latest.
type movingBody struct {
	body    io.Reader
	control *http.ResponseController
	memory  *membudget.Request
	conn    *Conn
	latest  time.Time
	sender  *membudget.Sender
}

// Read implements io.Reader.
func (b *movingBody) Read(p []byte) (int, error) {
	now := time.Now()
	until := now.Add(BodyStall)
	if b.latest.Before(until) {
		until = b.latest
	}
	if b.sender == nil {
		b.sender = b.memory.AddSender(now, func() { _ = b.control.SetReadDeadline(time.Unix(0, 0)) })
	}
	if err := b.setDeadline(until); err != nil {
		return 0, errors.Annotate(err, "the time for the body can not be bounded")
	}
	if b.sender.Evicted() {
		return 0, os.ErrDeadlineExceeded
	}
	if b.conn != nil && !b.conn.port.enter(b.conn, receiving) {
		return 0, refusedError{}
	}
	n, err := b.body.Read(p)
	b.sender.Moved(time.Now(), int64(n))
	return n, err
}

func (b *movingBody) setDeadline(t time.Time) error {
	if err := b.control.SetReadDeadline(t); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil // a writer that is no connection
}

// done records that the body is not read any more.
func (b *movingBody) done() {
	b.sender.Remove()
	if b.conn != nil {
		b.conn.port.enter(b.conn, running)
	}
}
