package outbuffer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/membudget"
)

// fixture is an HTTP server on the loopback interface whose connections are wrapped.
type fixture struct {
	*Listener
	budget *membudget.Budget
	addr   string
	// ended receives the duration of each call of the handler.
	ended chan time.Duration
}

// eventSize is the size of an event in bytes.
const eventSize = 1 << 10

// testStall is the time after which a caller that takes no byte is disconnected in the tests.
const testStall = time.Second

func serveEvents(t *testing.T, limit int64, events int) *fixture {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{budget: membudget.New(limit), addr: tcp.Addr().String(), ended: make(chan time.Duration, 100)}
	f.Listener = Wrap(tcp, f.budget, log.NewNopLogger())
	f.stall = testStall
	event := []byte(strings.Repeat("e", eventSize))
	srv := &http.Server{ConnContext: Context, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		From(r.Context()).Begin(r.Context(), "r", membudget.Holder{Caller: r.RemoteAddr, Organisation: r.Header.Get("Org")})
		control := http.NewResponseController(w)
		for range events {
			if _, err := w.Write(event); err != nil || control.Flush() != nil {
				break
			}
		}
		f.ended <- time.Since(began)
	})}
	go func() { _ = srv.Serve(f.Listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	return f
}

// request sends a request on a connection whose receive buffer is small.
func (f *fixture) request(t *testing.T, organisation string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nOrg: "+organisation+"\r\n\r\n")
	return c, bufio.NewReader(c)
}

// empty waits until the budget is.
func (f *fixture) empty(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(10 * testStall); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if s := f.budget.Stats(); s.Answers == 0 && s.Readers == 0 && f.draining.Load() == 0 {
			return
		}
	}
	t.Fatalf("bytes are still held: %+v", f.budget.Stats())
}

func answerOf(r *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return int(n), err
}

// TestSlowReaderDoesNotHoldTheWriter guards against a caller that reads slowly and holds the
// stream of its server, and against the loss of bytes that are sent after the answer's end.
func TestSlowReaderDoesNotHoldTheWriter(t *testing.T) {
	is := is.New(t)
	f := serveEvents(t, 64<<20, 250)
	_, r := f.request(t, "a")
	is.True(<-f.ended < time.Second) // written whole before a byte is read
	is.True(f.budget.Stats().Answers > 0)
	time.Sleep(300 * time.Millisecond)
	n, err := answerOf(r)
	is.NoErr(err)
	is.Equal(n, 250*eventSize)
	f.empty(t)
}

// TestSlowReaderThatMovesIsKept guards against the disconnection of a caller that reads
// slowly for longer than testStall, and against an unbounded buffer.
func TestSlowReaderThatMovesIsKept(t *testing.T) {
	is := is.New(t)
	const events = 2000
	f := serveEvents(t, 64<<20, events)
	_, r := f.request(t, "a")
	began := time.Now()
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	total, buf := 0, make([]byte, 16<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		total += n
		if time.Since(began) < 3*testStall {
			time.Sleep(40 * time.Millisecond)
		}
		is.True(f.budget.Stats().Answers <= maxBuffered)
	}
	is.Equal(err, io.EOF)
	is.Equal(total, events*eventSize)
	is.True(time.Since(began) > testStall)
	f.empty(t)
}

// TestStalledReaderIsDisconnected guards against a caller that never reads and holds memory
// and its server for ever, and against an answer that looks complete to it. A sound stream
// beside it must pass.
func TestStalledReaderIsDisconnected(t *testing.T) {
	is := is.New(t)
	f := serveEvents(t, 64<<20, 1500)
	_, stalled := f.request(t, "a")
	_, sound := f.request(t, "a")
	n, err := answerOf(sound)
	is.NoErr(err)
	is.Equal(n, 1500*eventSize)
	is.True(<-f.ended < testStall)
	took := <-f.ended
	is.True(took >= testStall && took < 3*testStall)
	is.Equal(f.Stalled(), int64(1))
	_, err = answerOf(stalled)
	is.True(err != nil)
	f.empty(t)
}

// TestManySlowReadersOfOneOrganisation guards against an organisation whose slow readers take
// all memory: readers of another one must still be buffered, and the bytes return.
func TestManySlowReadersOfOneOrganisation(t *testing.T) {
	is := is.New(t)
	f := serveEvents(t, 2<<20, 600)
	var stopped []net.Conn
	for range 30 {
		c, _ := f.request(t, "large")
		stopped = append(stopped, c)
	}
	time.Sleep(time.Second)
	is.True(f.budget.Stats().Answers < 2<<20*3/4)
	_, other := f.request(t, "small")
	time.Sleep(200 * time.Millisecond)
	n, err := answerOf(other)
	is.NoErr(err)
	is.Equal(n, 600*eventSize)
	is.True(f.budget.Stats().Peak < 2<<20)
	for _, c := range stopped {
		_ = c.Close()
	}
	f.empty(t)
}

// TestDrainWaitsForUnsentBytes guards against a stop that cuts the rest of an answer off.
func TestDrainWaitsForUnsentBytes(t *testing.T) {
	is := is.New(t)
	f := serveEvents(t, 64<<20, 250)
	_, r := f.request(t, "a")
	<-f.ended
	go func() { time.Sleep(100 * time.Millisecond); _, _ = answerOf(r) }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f.Drain(ctx)
	is.NoErr(ctx.Err())
}

// TestAbortedAnswersDoNotLookComplete guards against an answer that broke off halfway and, for
// a caller whose answers end with the connection, looks complete.
func TestAbortedAnswersDoNotLookComplete(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{ConnContext: Context, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		From(r.Context()).Abort()
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = srv.Serve(Wrap(tcp, membudget.New(1<<20), log.NewNopLogger())) }()
	defer srv.Close()
	for _, version := range []string{"1.0", "1.1"} {
		c, err := net.Dial("tcp", tcp.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, _ = io.WriteString(c, "GET / HTTP/"+version+"\r\nHost: h\r\n\r\n")
		n, err := answerOf(bufio.NewReader(c))
		is.Equal(n, len("half"))
		is.True(err != nil)
	}
}
