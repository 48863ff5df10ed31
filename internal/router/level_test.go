package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/memnet"
	"github.com/samphirestream/samphirestream/internal/router"
)

// plainLoad is a load on a plain service behind many entries that report to each other.
type plainLoad struct {
	entries int
	speeds  []float64 // of the servers, relative to the usual
	work    time.Duration
	target  time.Duration
	rate    float64 // calls a second, twice as many in bursts
	seed    uint64
}

// Duration of a plainLoad. Nothing is counted in the warm-up. A burst of burstTime begins
// every burstEvery.
const (
	playedTime   = 14 * time.Second
	loadWarmUp   = 4 * time.Second
	burstEvery   = 5 * time.Second
	burstTime    = 2 * time.Second
	burstFactor  = 2
	loadSlots    = 6
	sampleTime   = 5 * time.Millisecond
	millisecondF = float64(time.Millisecond)
)

// plainOutcomes are the results of a plainLoad.
type plainOutcomes struct {
	lengths    []int // samples of the calls at each server
	latencies  []time.Duration
	calls, hit int // all counted calls, and those answered within the target
}

func quantile[T any](sorted []T, q float64) T { return sorted[int(q*float64(len(sorted)-1))] }

// spread returns the 99th percentile of the queue lengths over their mean.
func (o *plainOutcomes) spread() float64 {
	sum := 0
	for _, n := range o.lengths {
		sum += n
	}
	slices.Sort(o.lengths)
	return float64(quantile(o.lengths, 0.99)) * float64(len(o.lengths)) / float64(sum)
}

func (o *plainOutcomes) String() string {
	slices.Sort(o.latencies)
	return fmt.Sprintf("calls %d, spread %.2f, p50 %.1f ms, p99 %.1f ms, in target %.4f", o.calls, o.spread(),
		float64(quantile(o.latencies, 0.5))/millisecondF, float64(quantile(o.latencies, 0.99))/millisecondF, o.inTarget())
}

func (o *plainOutcomes) inTarget() float64 { return float64(o.hit) / float64(o.calls) }

// countingServer counts the calls that a slotServer has.
type countingServer struct {
	*slotServer
	present atomic.Int64
}

func (s *countingServer) serve(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
	s.present.Add(1)
	defer s.present.Add(-1)
	return s.slotServer.serve(ctx, o)
}

// playPlain plays a load in virtual time.
func playPlain(t *testing.T, l plainLoad) (out plainOutcomes) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := memnet.New(memnet.EntryLatency)
		fakes := newFakeServers()
		fakes.discard = true
		servers := make([]*countingServer, len(l.speeds))
		for i, speed := range l.speeds {
			servers[i] = &countingServer{slotServer: newSlotServer(loadSlots, time.Duration(float64(l.work)/speed), l.seed+uint64(i))}
			fakes.set(fmt.Sprint("s", i), servers[i].serve)
		}
		routers := make([]*router.Router, l.entries)
		addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }
		var background, calls sync.WaitGroup
		for i := range routers {
			d := directory.New()
			d.SetConfig(&directory.Config{
				Version: 1,
				Routes: []directory.Route{{
					Name: "once", Host: "h", Prefix: "/once/", Kind: directory.AtMostOnce, Timeout: 1500 * time.Millisecond, LatencyTarget: l.target,
					Shares: []directory.TrafficShare{{Service: "app", Weight: 1}}, Attempts: 1,
				}},
				Services: map[string]*directory.Service{"app": {Name: "app"}},
			})
			for k := range servers {
				d.Put(&directory.Server{ID: fmt.Sprint("s", k), Service: "app", Slots: loadSlots, DataCentre: "dc"})
			}
			x := loadexchange.New(network.Listen(addr(i)), loadexchange.Options{Self: addr(i), Seeds: []string{addr(0)}}, nopLogger)
			o := testOptions
			o.Peers = x
			routers[i] = router.New(d, fakes, o, nopLogger)
			x.SetHandler(routers[i])
			background.Go(func() { x.Run(ctx) })
			time.Sleep(31 * time.Millisecond) // entries do not start at the same moment
		}
		began := time.Now()
		background.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(sampleTime)
				if at := time.Since(began); at >= loadWarmUp && at < playedTime {
					for _, s := range servers {
						out.lengths = append(out.lengths, int(s.present.Load()))
					}
				}
			}
		})
		var mu sync.Mutex
		rnd := rand.New(rand.NewPCG(l.seed, 2))
		for at := time.Duration(0); at < playedTime; at = time.Since(began) {
			rate := l.rate
			if at%burstEvery >= burstEvery-burstTime {
				rate *= burstFactor
			}
			time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
			r := routers[rnd.IntN(len(routers))]
			calls.Go(func() {
				sent := time.Now()
				a := serve(ctx, r, newCall("/once/x"))
				took := time.Since(sent)
				if sent.Sub(began) < loadWarmUp {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				out.calls++
				if a.status != 200 {
					return
				}
				out.latencies = append(out.latencies, took)
				if took <= l.target {
					out.hit++
				}
			})
		}
		calls.Wait()
		cancel()
		network.Close()
		background.Wait()
		time.Sleep(20 * time.Second) // timers of the entries end
	})
	return out
}

func evenSpeeds(n int) []float64 { return slices.Repeat([]float64{1}, n) }

// TestManyEntriesSpreadPlainCalls has 30 entries that report to each other once a second
// choose among few servers. Before they considered what the others send within that time,
// all chose the same server.
func TestManyEntriesSpreadPlainCalls(t *testing.T) {
	for _, tc := range []struct {
		name        string
		load        plainLoad
		maxSpread   float64
		minInTarget float64
	}{
		{"4 servers, 15 ms", plainLoad{30, evenSpeeds(4), 15 * time.Millisecond, 120 * time.Millisecond, 200, 1}, 5, 0.998},
		{"6 servers, 60 ms", plainLoad{30, evenSpeeds(6), 60 * time.Millisecond, 300 * time.Millisecond, 200, 1}, 3.5, 0.998},
		{"uneven, 15 ms", plainLoad{30, []float64{0.55, 1.2, 1.2, 1.2}, 15 * time.Millisecond, 120 * time.Millisecond, 200, 1}, 5.1, 0.998},
		{"uneven, 60 ms", plainLoad{30, []float64{0.55, 0.55, 1.2, 1.2, 1.2, 1.2}, 60 * time.Millisecond, 300 * time.Millisecond, 200, 1}, 3.5, 0.993},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			out := playPlain(t, tc.load)
			t.Log(&out)
			is.True(out.spread() <= tc.maxSpread)
			is.True(out.inTarget() >= tc.minInTarget)
		})
	}
}

// TestOneEntryUsesTheEmptiestPlainServer guards against choices that are spread although all
// load is known: without other entries no server may get a second call before each has one.
func TestOneEntryUsesTheEmptiestPlainServer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			time.Sleep(100 * time.Millisecond)
			return ok("ok")(ctx, o)
		})
		var calls sync.WaitGroup
		for range 3 * len(plainServers) {
			calls.Go(func() { f.call(context.Background(), "/once/x") })
			synctest.Wait() // each call is counted before the next one
		}
		for i := 0; i < 3; i++ {
			round := f.servers.recorded()[i*len(plainServers):][:len(plainServers)]
			slices.Sort(round)
			is.Equal(round, plainServers)
		}
		calls.Wait()
	})
}

// TestFailingPlainServersGetFewCalls has one plain server fail. The age of what the entries know
// of each other's calls must not send it as many calls as the others.
func TestFailingPlainServersGetFewCalls(t *testing.T) {
	withPeers(t, func(t *testing.T, f *fleet, p *recordingPeers) {
		is := is.New(t)
		p.age, p.entries = 10*time.Second, 30
		f.servers.setAll(plainServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			time.Sleep(15 * time.Millisecond)
			return ok("ok")(ctx, o)
		})
		f.servers.set("a1", fails(500))
		const calls = 300
		for range calls {
			f.call(context.Background(), "/once/x")
			time.Sleep(100 * time.Millisecond)
		}
		failed := 0
		for _, s := range f.servers.recorded() {
			if s == "a1" {
				failed++
			}
		}
		t.Logf("%d of %d calls at the failing server", failed, calls)
		is.True(failed < calls/10)
	})
}
