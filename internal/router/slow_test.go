package router_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/router"
)

// pacedReader returns one event after each gap.
type pacedReader struct {
	left int
	gap  time.Duration
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(p.gap)
	p.left--
	return copy(b, fmt.Sprintf("id: %d\ndata: x\n\n", p.left)), nil
}

func paced(events int, gap time.Duration) behaviour {
	return func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
		return reply(200, &pacedReader{left: events, gap: gap}), nil
	}
}

// load sends calls at a constant rate and counts those answered within a time.
func (f *fleet) load(calls int, every time.Duration, path string, within time.Duration) (inTime int) {
	var all sync.WaitGroup
	var n atomic.Int64
	for range calls {
		time.Sleep(every)
		all.Go(func() {
			began := time.Now()
			if a := f.call(context.Background(), path); a.status == 200 && time.Since(began) <= within {
				n.Add(1)
			}
		})
	}
	all.Wait()
	return int(n.Load())
}

// arrivals counts the calls that reached each server.
func (f *fleet) arrivals() map[string]int {
	n := map[string]int{}
	for _, call := range f.servers.recorded() {
		n[call]++
	}
	return n
}

// TestSlowServersGetFewerCalls makes one of three servers ten times slower. Calls must
// prefer the fast ones, so that nearly all are on time.
func TestSlowServersGetFewerCalls(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		work := func(d time.Duration) behaviour {
			return func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
				time.Sleep(d)
				return ok("ok")(ctx, o)
			}
		}
		f.servers.setAll(plainServers, work(40*time.Millisecond))
		f.servers.set("a1", work(400*time.Millisecond))
		const calls = 1000
		inTime := f.load(calls, 10*time.Millisecond, "/safe/x", 200*time.Millisecond)
		got := f.arrivals()
		is.True(got["a1"] < calls/10) // a third of an even share
		is.True(inTime > calls*9/10)
	})
}

// TestFlakyServersGetFewerCalls makes one of three servers fail every other call.
func TestFlakyServersGetFewerCalls(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var n atomic.Int64
		f.servers.set("a1", func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			if n.Add(1)%2 == 0 {
				return fails(500)(ctx, o)
			}
			return ok("ok")(ctx, o)
		})
		const calls = 1000
		answered := f.load(calls, 10*time.Millisecond, "/safe/x", timeout)
		is.True(f.arrivals()["a1"] < calls/10)
		is.True(answered > calls*99/100)
	})
}

// TestSlowDecodeServersGetFewerCalls makes one of three decode servers stream slower
// than the route's gap allows.
func TestSlowDecodeServersGetFewerCalls(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, paced(10, gap/10))
		f.servers.set("d1", paced(10, 2*gap))
		const calls = 100
		inTime := f.load(calls, 200*time.Millisecond, "/stream/x", target)
		is.True(f.arrivals()["d1"] < calls/10)
		is.True(inTime > calls*9/10)
	})
}

// TestServersThatBreakCallsArePaused makes one of three decode servers accept
// connections and break each call without an answer. It always has the least load.
func TestServersThatBreakCallsArePaused(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, paced(10, gap))
		f.servers.set("d1", unanswered)
		const calls, seconds = 100, 10
		f.load(calls, seconds*time.Second/calls, "/stream/x", timeout)
		is.True(f.arrivals()["d1"] <= 12) // at most three before each pause of 1, 2, 4 and 4 s
		f.servers.set("d1", paced(10, gap))
		before := f.arrivals()["d1"]
		time.Sleep(4 * time.Second)
		f.load(calls, seconds*time.Second/calls, "/stream/x", timeout)
		is.True(f.arrivals()["d1"]-before > calls/6) // it gets calls again
	})
}

// TestServersThatAllBreakCallsAreUsed makes all decode servers break every other
// call: they must not all be paused.
func TestServersThatAllBreakCallsAreUsed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var n atomic.Int64
		f.servers.setAll(decodeServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			if n.Add(1)%2 == 0 {
				return unanswered(ctx, o)
			}
			return ok(events)(ctx, o)
		})
		const calls = 100
		is.True(f.load(calls, 100*time.Millisecond, "/stream/x", target) >= calls*4/10)
	})
}

// TestServersThatBreakRemoteCallsArePaused has the other entries report two calls that
// a server broke, once while it is idle and once while it streams.
func TestServersThatBreakRemoteCallsArePaused(t *testing.T) {
	for name, tc := range map[string]struct {
		streaming int
		used      bool
	}{"empty": {0, false}, "streaming": {5, true}} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.servers.setAll(decodeServers, ok(events))
				now := time.Now()
				run := loadexchange.Run{Prompt: 100, Answer: 3000, Began: now.Add(-time.Second)}
				runs := slices.Repeat([]loadexchange.Run{run}, tc.streaming)
				for _, id := range []string{"d2", "d3"} {
					f.SetRemoteUsage(id, []loadexchange.Usage{{Runs: append(runs, run, run, run)}})
				}
				broken := []time.Time{now.Add(-100 * time.Millisecond)}
				f.SetRemoteUsage("d1", []loadexchange.Usage{{Runs: runs, BrokenCallTimes: broken}, {BrokenCallTimes: broken}})
				f.call(context.Background(), "/stream/x")
				is.Equal(f.arrivals()["d1"] > 0, tc.used)
			})
		})
	}
}
