package router_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/router"
)

// pacedReader gives one event after each gap.
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
	return func(context.Context, *router.Outgoing) (*router.Reply, error) {
		return reply(200, &pacedReader{left: events, gap: gap}), nil
	}
}

// load sends calls at a steady rate and counts those that are answered in time.
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

// arrivals counts the calls that each server got.
func (f *fleet) arrivals() map[string]int {
	n := map[string]int{}
	for _, call := range f.servers.noted() {
		n[call]++
	}
	return n
}

// TestSlowServersGetLess has one of three servers work ten times as long. Calls
// take what is fast first, so that nearly all are on time.
func TestSlowServersGetLess(t *testing.T) {
	play(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		work := func(d time.Duration) behaviour {
			return func(ctx context.Context, o *router.Outgoing) (*router.Reply, error) {
				time.Sleep(d)
				return ok("ok")(ctx, o)
			}
		}
		f.all(plainServers, work(40*time.Millisecond))
		f.servers.set("a1", work(400*time.Millisecond))
		const calls = 1000
		inTime := f.load(calls, 10*time.Millisecond, "/safe/x", 200*time.Millisecond)
		got := f.arrivals()
		is.True(got["a1"] < calls/10) // a third of an even share
		is.True(inTime > calls*9/10)
	})
}

// TestGreyServersGetLess has one of three servers fail every other call.
func TestGreyServersGetLess(t *testing.T) {
	play(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var n atomic.Int64
		f.servers.set("a1", func(ctx context.Context, o *router.Outgoing) (*router.Reply, error) {
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

// TestSlowDecodeServersGetLess has one of three decode servers stream slower than
// the route's gap allows.
func TestSlowDecodeServersGetLess(t *testing.T) {
	play(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.all(decodeServers, paced(10, gap/10))
		f.servers.set("d1", paced(10, 2*gap))
		const calls = 100
		inTime := f.load(calls, 200*time.Millisecond, "/stream/x", target)
		is.True(f.arrivals()["d1"] < calls/10)
		is.True(inTime > calls*9/10)
	})
}
