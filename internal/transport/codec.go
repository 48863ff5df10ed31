package transport

import (
	"bufio"
	"io"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
)

// rpcHeader precedes the body of each RPC message, in a frame of its own. A
// heartbeat is a header without a body.
type rpcHeader struct {
	Method    string `cbor:"1,keyasint"`
	Seq       uint64 `cbor:"2,keyasint"`
	Error     string `cbor:"3,keyasint,omitempty"`
	Heartbeat bool   `cbor:"4,keyasint,omitempty"`
}

// codec implements the common part of rpc.ClientCodec and rpc.ServerCodec with
// CBOR frames. A failed read or write closes the connection, since the start of
// the next frame would be unknown.
type codec struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	in   []byte

	writing writeLock // guards out and writes
	out     []byte

	once   sync.Once
	closed chan struct{}
}

func newCodec(conn io.ReadWriteCloser) *codec {
	return &codec{conn: conn, r: bufio.NewReader(conn), writing: newWriteLock(), closed: make(chan struct{})}
}

// readHeader returns the next header that is not a heartbeat. It calls
// onHeartbeat for each heartbeat.
func (c *codec) readHeader(onHeartbeat func()) (rpcHeader, error) {
	for {
		var h rpcHeader
		if err := c.read(&h); err != nil || !h.Heartbeat {
			return h, err
		}
		onHeartbeat()
	}
}

// read decodes the next frame; a nil v skips it.
func (c *codec) read(v any) error {
	var err error
	c.in, err = ReadFrame(c.r, c.in)
	if err == nil && v != nil {
		err = Decode(c.in, v)
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}

// write sends frames as one write. The error is ErrNotSent if no byte was
// written. The connection stays open if a frame can not be encoded.
func (c *codec) write(frames ...any) error {
	c.writing.lock()
	defer c.writing.unlock()
	return c.writeLocked(frames...)
}

func (c *codec) writeLocked(frames ...any) error {
	out := c.out[:0]
	var err error
	for _, f := range frames {
		if out, err = AppendFrame(out, f); err != nil {
			return errors.WithType(err, ErrNotSent)
		}
	}
	c.out = out
	n, err := c.conn.Write(out)
	if err == nil {
		return nil
	}
	_ = c.Close()
	if n == 0 {
		return errors.WithType(err, ErrNotSent)
	}
	return errors.Trace(err)
}

// sendHeartbeat writes a heartbeat, unless another frame is being written.
func (c *codec) sendHeartbeat() error {
	if !c.writing.tryLock() {
		return nil
	}
	defer c.writing.unlock()
	return c.writeLocked(rpcHeader{Heartbeat: true})
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		err = c.conn.Close()
	})
	return err
}

func (c *codec) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// clientCodec sends a heartbeat at each interval, which the server answers with
// one.
type clientCodec struct{ *codec }

func newClientCodec(conn io.ReadWriteCloser, interval time.Duration) clientCodec {
	c := clientCodec{newCodec(conn)}
	go c.sendHeartbeats(interval)
	return c
}

func (c clientCodec) sendHeartbeats(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		if c.sendHeartbeat() != nil {
			return
		}
	}
}

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(rpcHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader(func() {})
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.read(body) }

// serverCodec answers heartbeats and counts the requests that wait for a
// response.
type serverCodec struct {
	*codec
	pending *pendingCalls
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader(func() { _ = c.sendHeartbeat() })
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	if err == nil {
		c.pending.add(1)
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.read(body) }

// WriteResponse implements rpc.ServerCodec. A response that can not be sent
// closes the connection, so that the client does not wait for it.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.pending.add(-1)
	err := c.write(rpcHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}
