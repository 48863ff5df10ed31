package router_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// dripping returns a whole event and then, for ever, one byte of the next each 100 ms.
type dripping struct {
	ctx   context.Context
	first *bytes.Buffer
	drip  string
}

func (d *dripping) Read(p []byte) (int, error) {
	if n, _ := d.first.Read(p); n > 0 {
		return n, nil
	}
	select {
	case <-time.After(100 * time.Millisecond):
		return copy(p, d.drip), nil
	case <-d.ctx.Done():
		return 0, &upstream.Error{Progress: upstream.Broken, Err: d.ctx.Err()}
	}
}

// TestStalledStreamsContinueOnAnotherServer guards against streams of a reachable server that
// bring bytes, but no event, until their callers give up: bytes of an event without an end,
// and comments.
func TestStalledStreamsContinueOnAnotherServer(t *testing.T) {
	for name, drip := range map[string]string{"bytes": "x", "comments": ": alive\n\n"} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				n, stalledAt := 0, time.Time{}
				f.servers.setAll(decodeServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
					if n++; n == 1 {
						stalledAt = time.Now()
						return reply(200, &dripping{ctx: ctx, first: bytes.NewBufferString("id: 1\ndata: a\n\n"), drip: drip}), nil
					}
					is.Equal(o.LastEvent, "1")
					is.True(time.Since(stalledAt) <= patience-target+gap) // enough for a first event before callers give up
					return ok("id: 2\ndata: b\n\n")(ctx, o)
				})
				a := f.call(context.Background(), "/resumable/x")
				is.True(!a.aborted)
				is.True(bytes.HasSuffix(a.body.Bytes(), []byte("id: 2\ndata: b\n\n")))
				is.Equal(n, 2)
			})
		})
	}
}

// TestSlowStreamsAreNotCut guards against the end of streams that stand still for less than
// callers tolerate, or that may not be repeated.
func TestSlowStreamsAreNotCut(t *testing.T) {
	for path, pause := range map[string]time.Duration{"/resumable/x": 3 * gap, "/stream/x": 9 * gap} {
		t.Run(path, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.servers.setAll(decodeServers, func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
					return reply(200, &pacedReader{left: 5, gap: pause}), nil
				})
				a := f.call(context.Background(), path)
				is.True(!a.aborted)
				is.Equal(bytes.Count(a.body.Bytes(), []byte("data:")), 5)
				is.Equal(len(f.servers.recorded()), 2)
			})
		})
	}
}

// TestLongSlowPrefillsAreNotAbandoned guards against the end of a long prefill at a server
// that takes 2.4 times as long as predicted, which sound servers do at times.
func TestLongSlowPrefillsAreNotAbandoned(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		c := *f.directory.Current().Config
		c.Version, c.Routes = 2, append([]directory.Route(nil), c.Routes...)
		for i := range c.Routes {
			c.Routes[i].LatencyTarget = 8 * time.Second
		}
		f.directory.SetConfig(&c)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.prefillTime = 4800 * time.Millisecond
		call := newCall("/stream/x")
		call.PromptTokens, call.MaxTokens = 40_000, 5000 // 2 s as assumed
		is.Equal(serve(context.Background(), f.Router, call).body.String(), events)
		is.Equal(f.arrivals()["prefill p1"]+f.arrivals()["prefill p2"], 1)
	})
}

// slowAnswer is to a caller that takes no byte for a while.
type slowAnswer struct {
	recordedAnswer
	pause time.Duration
}

func (a *slowAnswer) Write(p []byte) error {
	time.Sleep(a.pause)
	return a.recordedAnswer.Write(p)
}

// TestSlowCallersAreNotStalledServers guards against a stream that is resumed elsewhere since
// its caller holds up the reading of its events.
func TestSlowCallersAreNotStalledServers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, func(ctx context.Context, _ *router.OutgoingCall) (*router.Reply, error) {
			return reply(200, &contextReader{ctx: ctx, pacedReader: pacedReader{left: 3, gap: gap}}), nil
		})
		a := &slowAnswer{pause: 9 * gap}
		f.Serve(context.Background(), newCall("/resumable/x"), a)
		is.True(!a.aborted)
		is.Equal(bytes.Count(a.body.Bytes(), []byte("data:")), 3)
		is.Equal(len(f.servers.recorded()), 2)
	})
}

// contextReader fails once its request is cancelled.
type contextReader struct {
	ctx context.Context
	pacedReader
}

func (r *contextReader) Read(p []byte) (int, error) {
	n, err := r.pacedReader.Read(p)
	if cause := r.ctx.Err(); cause != nil {
		return 0, &upstream.Error{Progress: upstream.Broken, Err: cause}
	}
	return n, err
}
