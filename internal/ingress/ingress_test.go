package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/membudget"
)

// testLimits are those of the server of serve.
var testLimits = RequestLimits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// serve serves an empty answer, after the body, on the loopback interface.
func serve(t *testing.T, limits Limits) (*Guard, func() net.Conn) {
	t.Helper()
	g := New(limits, t.Name(), log.NewNopLogger())
	s := g.NewServer(Options{Name: "test", Main: true, Limits: Fixed(testLimits)}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(w, r, BodyOptions{Limit: 1 << 20, Memory: Memory(r)})
	}))
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return g, func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// TestOrderOfEviction guards against the closing of connections that are served, and of idle ones
// while others send no header or no body.
func TestOrderOfEviction(t *testing.T) {
	for name, tc := range map[string]struct {
		waiting map[stage]time.Duration // connections, by how long they have been in their stage
		want    stage
		none    bool
	}{
		"served":                 {map[stage]time.Duration{running: time.Hour}, 0, true},
		"idle":                   {map[stage]time.Duration{running: time.Hour, idle: 0}, idle, false},
		"sound, beside idle":     {map[stage]time.Duration{idle: time.Minute, fresh: 10 * time.Millisecond, receiving: 10 * time.Millisecond}, idle, false},
		"no header, beside idle": {map[stage]time.Duration{idle: time.Hour, fresh: 2 * time.Second}, fresh, false},
		"no body, beside idle":   {map[stage]time.Duration{idle: time.Hour, receiving: 2 * time.Second}, receiving, false},
		"answered":               {map[stage]time.Duration{idle: time.Hour, fresh: time.Hour, finishing: 200 * time.Millisecond}, finishing, false},
		"nothing else":           {map[stage]time.Duration{running: time.Hour, finishing: 0}, finishing, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Limits{Memory: 64 << 20, Descriptors: 100}, t.Name(), log.NewNopLogger()).newPort(Options{Name: "test", Main: true})
			now := time.Now()
			for s, age := range tc.waiting {
				p.enterLocked(&Conn{port: p, stage: fresh}, s, now.Add(-age))
			}
			var want *Conn
			if !tc.none {
				want = p.waiting[tc.want].Front().Value.(*Conn)
			}
			is.New(t).True(p.victimLocked(now) == want)
		})
	}
}

// TestLimitsHoldForOpenConnections guards against limits that only new connections have.
func TestLimitsHoldForOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var limits atomic.Pointer[RequestLimits]
		limits.Store(&testLimits)
		p := New(Limits{Memory: 64 << 20, Descriptors: 100}, t.Name(), log.NewNopLogger()).newPort(Options{Name: "test", Main: true, Limits: func() RequestLimits { return *limits.Load() }})
		client, server := net.Pipe()
		c := p.admit(server)
		p.enter(c, idle)
		time.Sleep(10 * time.Second)
		limits.Store(&RequestLimits{HeaderBytes: testLimits.HeaderBytes, HeaderTimeout: testLimits.HeaderTimeout, IdleTimeout: time.Second})
		began := time.Now()
		_, err := client.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.True(time.Since(began) <= sweepInterval)
		synctest.Wait()
		is.Equal(p.count(func() int64 { return int64(p.open) }), int64(0))
	})
}

// TestMemoryOfRequests guards against requests whose memory is not counted or not released, and
// against a refusal that a client does not get.
func TestMemoryOfRequests(t *testing.T) {
	is := is.New(t)
	g, dial := serve(t, Limits{Memory: 1 << 20, Descriptors: 100})
	for fields, status := range map[int]int{100: http.StatusOK, 1000: http.StatusServiceUnavailable} {
		c := dial()
		var header strings.Builder
		for i := range fields {
			fmt.Fprintf(&header, "F%d:\r\n", i)
		}
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", header.String())
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
	}
	half := dial()
	_, err := io.WriteString(half, "GET / HTTP/1.1\r\nHost: h\r\n")
	is.NoErr(err)
	_, err = io.WriteString(half, "A:")
	is.NoErr(err)
	is.NoErr(half.Close())
	kept := dial()
	answers := bufio.NewReader(kept)
	for range 3 {
		_, err := io.WriteString(kept, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		is.NoErr(err)
		_, err = http.ReadResponse(answers, nil)
		is.NoErr(err)
	}
	held := func() int64 { s := g.budget.Stats(); return s.Headers + s.Bodies + int64(s.Senders) }
	for until := time.Now().Add(10 * time.Second); held() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(held(), int64(0)) // on connections that are open, too
	is.True(g.budget.Stats().Refused[membudget.ScopeProcess]+g.budget.Stats().Refused[membudget.ScopeCaller] > 0)
}

// closingConn is closed in favour of others while it is read.
type closingConn struct {
	net.Conn
	onRead func()
}

// Read implements net.Conn.
func (c *closingConn) Read(p []byte) (int, error) {
	c.onRead()
	return copy(p, strings.Repeat("A:\r\n", len(p)/4)), nil
}

// TestEvictedConnectionsHoldNothing guards against memory that a connection takes when it has been
// closed, and that is never released.
func TestEvictedConnectionsHoldNothing(t *testing.T) {
	g := New(Limits{Memory: 64 << 20, Descriptors: 100}, t.Name(), log.NewNopLogger())
	p := g.newPort(Options{Name: "test", Limits: Fixed(testLimits)})
	_, server := net.Pipe()
	below := &closingConn{Conn: server}
	c := p.admit(below)
	below.onRead = func() {}
	_, err := c.Read(make([]byte, 400))
	is.New(t).NoErr(err)
	below.onRead = c.evict
	_, err = c.Read(make([]byte, 400))
	is.New(t).True(err != nil)
	is.New(t).Equal(g.budget.Stats().Headers, int64(0))
}

// fullListener has no descriptor for its first connections.
type fullListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	_, server := net.Pipe()
	return server, nil
}

// TestListenerOutlivesALackOfDescriptors guards against a port that is closed for good when the
// process once has no descriptor.
func TestListenerOutlivesALackOfDescriptors(t *testing.T) {
	g := New(Limits{Memory: 64 << 20, Descriptors: 100}, t.Name(), log.NewNopLogger())
	c, err := g.Listener(Options{Name: "test"}, &fullListener{failures: 3}).Accept()
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(c.Close())
}

// TestUsualRequestsDoNotNeedTheBudget guards against a readiness check, or a request without a
// body, that is refused while bodies use the memory up.
func TestUsualRequestsDoNotNeedTheBudget(t *testing.T) {
	is := is.New(t)
	g, dial := serve(t, Limits{Memory: 1 << 20, Descriptors: 100})
	g.budget.Force(membudget.Holder{}, membudget.Bodies, g.budget.Stats().Limit)
	c := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("Field: value\r\n", 15)+"\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}
