package transport

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// ErrNotSent reports a call that was not sent, so the peer can not have run it.
const ErrNotSent = errors.ConstError("the call was not sent")

// Dialer opens connections to other processes.
type Dialer struct {
	Self     protocol.NodeRef
	Security *Security
	// IdleTimeout is the time within which a read must receive data and a write
	// must send writeStep bytes. Otherwise the connection fails.
	IdleTimeout time.Duration
	// Connect opens a raw connection; nil means TCP.
	Connect func(ctx context.Context, addr string) (net.Conn, error)
}

// heartbeatsPerTimeout is the number of heartbeats sent within the idle timeout.
const heartbeatsPerTimeout = 3

func (d *Dialer) connect(ctx context.Context, addr string) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, addr)
	}
	var nd net.Dialer
	return nd.DialContext(ctx, "tcp", addr)
}

// dial connects, authenticates and exchanges hellos.
func (d *Dialer) dial(ctx context.Context, addr string, ch Channel) (net.Conn, Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := d.connect(ctx, addr)
	if err != nil {
		return nil, Hello{}, errors.Trace(err)
	}
	conn := d.Security.client(raw)
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	err = sendHello(conn, Hello{Channel: ch, From: d.Self})
	if err != nil {
		_ = raw.Close()
		return nil, Hello{}, errors.Trace(err)
	}
	hello, err := receiveHello(conn)
	if err != nil {
		_ = raw.Close()
		return nil, Hello{}, errors.Trace(err)
	}
	return conn, hello, conn.SetDeadline(time.Time{})
}

// OpenStream opens a token stream to addr and returns the peer's identity.
func (d *Dialer) OpenStream(ctx context.Context, addr string) (*Stream, protocol.NodeRef, error) {
	conn, hello, err := d.dial(ctx, addr, ChannelStream)
	if err != nil {
		return nil, protocol.NodeRef{}, errors.Annotatef(err, "opening a stream to %s", addr)
	}
	return newStream(conn, d.IdleTimeout), hello.From, nil
}

// Peer makes RPC calls to one address over one connection, which it opens on
// demand and replaces after a failure.
type Peer struct {
	dialer *Dialer
	addr   string

	mu      sync.Mutex // guards the fields below; not held while dialling
	current *rpcConn
	// dialing is the dial that new calls wait for, nil if none; dials are all in progress.
	dialing *dialing
	dials   map[*dialing]struct{}
}

// rpcConn is one connection for RPC calls.
type rpcConn struct {
	codec  clientCodec
	client *rpc.Client
	// calls is the number of calls in progress. retired is set when new calls use
	// another connection. The peer's lock guards both.
	calls   int
	retired bool
}

// dialing is an attempt to connect, shared by all calls that wait for it.
type dialing struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when conn and err are set
	conn   *rpcConn
	err    error
	closed bool // the peer was closed; its lock guards it
}

// NewPeer returns a peer without connecting to it.
func (d *Dialer) NewPeer(addr string) *Peer {
	return &Peer{dialer: d, addr: addr, dials: map[*dialing]struct{}{}}
}

// Addr returns the address of the peer.
func (p *Peer) Addr() string { return p.addr }

// Call makes one RPC call. The error is ErrNotSent if the peer can not have
// received the call; after any other error the peer may have run it. reply is
// set only on success. A call that fails on a stale connection is retried once.
func (p *Peer) Call(ctx context.Context, method string, args, reply any) error {
	err := p.callOnce(ctx, method, args, reply)
	if errors.Is(err, errStaleConn) && ctx.Err() == nil {
		err = p.callOnce(ctx, method, args, reply)
	}
	if err != nil {
		return errors.Annotatef(err, "calling %s of %s", method, p.addr)
	}
	return nil
}

// errStaleConn reports a connection that failed before any byte of a call was
// written.
const errStaleConn = errors.ConstError("the connection was closed")

// callOnce makes one call. net/rpc may still write to the reply of an abandoned
// call, so each call decodes into a new value that is copied on success.
func (p *Peer) callOnce(ctx context.Context, method string, args, reply any) error {
	conn, err := p.connect(ctx)
	if err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	defer p.release(conn)
	out := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	go conn.client.Go(method, args, out.Interface(), done) // blocks while it writes
	select {
	case call := <-done:
		if call.Error != nil {
			return p.handleError(conn, call.Error)
		}
		reflect.ValueOf(reply).Elem().Set(out.Elem())
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleError classifies the error of a call, and discards the connection unless
// the server returned the error.
func (p *Peer) handleError(conn *rpcConn, err error) error {
	if _, ok := err.(rpc.ServerError); ok {
		return err
	}
	p.discard(conn)
	if errors.Is(err, ErrNotSent) {
		return errors.WithType(err, errStaleConn)
	}
	return err
}

// connect returns the open connection. If there is none, it waits for the dial in
// progress, which it starts if needed. The caller releases the connection.
func (p *Peer) connect(ctx context.Context) (*rpcConn, error) {
	p.mu.Lock()
	if c := p.current; c != nil && !c.codec.isClosed() {
		c.calls++
		p.mu.Unlock()
		return c, nil
	}
	d := p.dialing
	if d == nil {
		dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handshakeTimeout)
		d = &dialing{cancel: cancel, done: make(chan struct{})}
		p.dialing = d
		p.dials[d] = struct{}{}
		go p.dial(dialCtx, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	p.mu.Lock()
	if d.conn.retired { // meanwhile, and perhaps closed
		p.mu.Unlock()
		return p.connect(ctx)
	}
	defer p.mu.Unlock()
	d.conn.calls++
	return d.conn, nil
}

// release ends a call's use of a connection.
func (p *Peer) release(conn *rpcConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.calls--
	conn.closeIfUnused()
}

// closeIfUnused closes a retired connection without calls in progress.
func (c *rpcConn) closeIfUnused() {
	if c.retired && c.calls == 0 {
		_ = c.client.Close()
	}
}

func (p *Peer) dial(ctx context.Context, d *dialing) {
	defer d.cancel()
	conn, _, err := p.dialer.dial(ctx, p.addr, ChannelRPC)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	if err == nil && d.closed {
		_ = conn.Close()
		err = errors.New("the peer was closed")
	}
	delete(p.dials, d)
	if p.dialing == d {
		p.dialing = nil
	}
	if err != nil {
		d.err = errors.Trace(err)
		return
	}
	if p.current != nil && !p.current.codec.isClosed() { // a later dial was faster
		_ = conn.Close()
		d.conn = p.current
		return
	}
	idleTimeout := p.dialer.IdleTimeout
	codec := newClientCodec(&idleConn{Conn: conn, idleTimeout: idleTimeout}, idleTimeout/heartbeatsPerTimeout)
	d.conn = &rpcConn{codec: codec, client: rpc.NewClientWithCodec(codec)}
	p.current = d.conn
}

// discard closes a failed connection, so that the next call uses another one.
func (p *Peer) discard(conn *rpcConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == conn {
		p.current = nil
	}
	_ = conn.client.Close()
}

// ReplaceConn makes the next call use a new connection. Calls in progress keep the
// former one until they end or its idle timeout closes it. A dial in progress goes on
// beside that of the next call, and the first to succeed is used.
func (p *Peer) ReplaceConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	if p.current == nil {
		return
	}
	p.current.retired = true
	p.current.closeIfUnused()
	p.current = nil
}

// Close closes the connection and aborts the dials in progress.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for d := range p.dials {
		d.closed = true
		d.cancel()
	}
	p.dialing = nil
	if p.current != nil {
		_ = p.current.client.Close()
		p.current = nil
	}
}
