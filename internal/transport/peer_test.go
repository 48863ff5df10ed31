package transport

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

const (
	testIdleTimeout = 3 * time.Second
	testAddr        = "agent"
)

// testService is an RPC service. Wait returns when release is closed.
type testService struct{ release chan struct{} }

func (s *testService) Echo(args string, reply *string) error {
	*reply = args
	return nil
}

func (s *testService) Fail(string, *string) error { return errors.New("refused") }

func (s *testService) Wait(args string, reply *string) error {
	<-s.release
	*reply = args
	return nil
}

// network connects a dialer to a server by in-memory pipes. It can drop the
// traffic of open connections and block new ones.
type network struct {
	mu    sync.Mutex
	conns []*blackholeConn
	ln    *pipeListener
	// hang makes new connections block until their deadline.
	hang bool
}

// blackholeConn drops all writes after startDropping.
type blackholeConn struct {
	net.Conn
	mu         sync.Mutex
	dropWrites bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	drop := c.dropWrites
	c.mu.Unlock()
	if drop {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) startDropping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropWrites = true
}

type pipeListener struct {
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return nil }

func (n *network) connect(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hang {
		n.mu.Unlock()
		<-ctx.Done()
		n.mu.Lock()
		return nil, ctx.Err()
	}
	a, b := net.Pipe()
	client, server := &blackholeConn{Conn: a}, &blackholeConn{Conn: b}
	n.conns = append(n.conns, client, server)
	n.ln.accept <- server
	return client, nil
}

// blackholeAll drops further traffic of all open connections in both directions.
func (n *network) blackholeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.startDropping()
	}
}

func (n *network) opened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns) / 2
}

// serve starts a server and returns a dialer for it.
func serve(t *testing.T, svc *testService) (*Server, *Dialer, *network) {
	t.Helper()
	n := &network{ln: &pipeListener{accept: make(chan net.Conn, 8), done: make(chan struct{})}}
	s := &Server{Self: protocol.NodeRef{Node: testAddr}, Security: &Security{}, RPC: rpc.NewServer(), IdleTimeout: testIdleTimeout, Log: log.NewNopLogger()}
	if err := s.RPC.RegisterName("Test", svc); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.Serve(ctx, n.ln)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return s, &Dialer{Security: &Security{}, IdleTimeout: testIdleTimeout, Connect: n.connect}, n
}

func call(ctx context.Context, p *Peer, method string) (string, error) {
	var reply string
	err := p.Call(ctx, "Test."+method, "x", &reply)
	return reply, err
}

func TestIdleRPCConnectionStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d, n := serve(t, &testService{})
		p := d.NewPeer(testAddr)
		defer p.Close()
		_, err := call(t.Context(), p, "Echo")
		is.NoErr(err)
		time.Sleep(20 * testIdleTimeout)
		_, err = call(t.Context(), p, "Echo")
		is.NoErr(err)
		is.Equal(n.opened(), 1)
	})
}

func TestRPCConnectionFailsWithinIdleTimeoutAndIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		svc := &testService{release: make(chan struct{})}
		_, d, n := serve(t, svc)
		p := d.NewPeer(testAddr)
		defer p.Close()
		_, err := call(t.Context(), p, "Echo")
		is.NoErr(err)
		n.blackholeAll()
		start := time.Now()
		_, err = call(t.Context(), p, "Wait")
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotSent)) // the peer may have run it
		is.True(time.Since(start) <= testIdleTimeout)
		close(svc.release)
		_, err = call(t.Context(), p, "Echo")
		is.NoErr(err)
		is.Equal(n.opened(), 2)
	})
}

func TestServerErrorKeepsOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		svc := &testService{release: make(chan struct{})}
		_, d, n := serve(t, svc)
		p := d.NewPeer(testAddr)
		defer p.Close()
		waiting := callBeside(t, p, "Wait")
		_, err := call(t.Context(), p, "Fail")
		is.True(err != nil)
		close(svc.release)
		is.NoErr(<-waiting)
		is.Equal(n.opened(), 1)
	})
}

// callBeside begins a call beside the test and returns its error.
func callBeside(t *testing.T, p *Peer, method string) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := call(t.Context(), p, method)
		done <- err
	}()
	synctest.Wait()
	return done
}

func TestReplaceConnKeepsCallsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		svc := &testService{release: make(chan struct{})}
		_, d, n := serve(t, svc)
		p := d.NewPeer(testAddr)
		defer p.Close()
		waiting := callBeside(t, p, "Wait")
		p.ReplaceConn()
		_, err := call(t.Context(), p, "Echo")
		is.NoErr(err)
		is.Equal(n.opened(), 2)
		close(svc.release)
		is.NoErr(<-waiting)
	})
}

// TestReplaceConnDoesNotWaitForAHungDial dials while the network drops packets, and again
// when it does not any more.
func TestReplaceConnDoesNotWaitForAHungDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d, n := serve(t, &testService{})
		n.hang = true
		p := d.NewPeer(testAddr)
		defer p.Close()
		first := callBeside(t, p, "Echo")
		n.hang = false
		p.ReplaceConn()
		start := time.Now()
		_, err := call(t.Context(), p, "Echo")
		is.NoErr(err)
		is.Equal(time.Since(start), time.Duration(0))
		is.True(errors.Is(<-first, ErrNotSent))
		_, err = call(t.Context(), p, "Echo") // the failed dial leaves the connection alone
		is.NoErr(err)
		is.Equal(n.opened(), 1)
	})
}

func TestDialDoesNotDelayCallsBeyondTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d, n := serve(t, &testService{})
		n.hang = true
		p := d.NewPeer(testAddr)
		defer p.Close()
		first := callBeside(t, p, "Echo")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := call(ctx, p, "Echo")
		is.True(errors.Is(err, ErrNotSent))
		is.Equal(time.Since(start), 10*time.Millisecond)
		is.True(errors.Is(<-first, ErrNotSent))
	})
}

func TestLateReplyIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		svc := &testService{release: make(chan struct{})}
		_, d, _ := serve(t, svc)
		p := d.NewPeer(testAddr)
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply := "untouched"
		is.True(p.Call(ctx, "Test.Wait", "late", &reply) != nil)
		close(svc.release)
		synctest.Wait()
		is.Equal(reply, "untouched")
	})
}

func TestServerWaitsForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		svc := &testService{release: make(chan struct{})}
		s, d, _ := serve(t, svc)
		p := d.NewPeer(testAddr)
		defer p.Close()
		go func() { _, _ = call(t.Context(), p, "Wait") }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(s.WaitIdle(ctx) != nil)
		close(svc.release)
		is.NoErr(s.WaitIdle(t.Context()))
	})
}

func TestClosedConnectionIsReplacedBeforeTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, d, n := serve(t, &testService{})
		p := d.NewPeer(testAddr)
		defer p.Close()
		_, err := call(t.Context(), p, "Echo")
		is.NoErr(err)
		s.closeAll()
		synctest.Wait()
		_, err = call(t.Context(), p, "Echo")
		is.NoErr(err)
		is.Equal(n.opened(), 2)
	})
}

// failingConn fails every write while fail is set.
type failingConn struct {
	net.Conn
	mu   sync.Mutex
	fail bool
}

func (c *failingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	fail := c.fail
	c.mu.Unlock()
	if fail {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// TestCallOnABrokenConnectionIsSentOnANewOne guards against failing a call whose
// connection breaks after it was chosen and before the call is written.
func TestCallOnABrokenConnectionIsSentOnANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d, n := serve(t, &testService{})
		var first *failingConn
		d.Connect = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := n.connect(ctx, addr)
			if first == nil && err == nil {
				first = &failingConn{Conn: conn}
				return first, nil
			}
			return conn, err
		}
		p := d.NewPeer(testAddr)
		defer p.Close()
		_, err := call(t.Context(), p, "Echo")
		is.NoErr(err)
		first.mu.Lock()
		first.fail = true
		first.mu.Unlock()
		_, err = call(t.Context(), p, "Echo")
		is.NoErr(err)
		is.Equal(n.opened(), 2)
	})
}
