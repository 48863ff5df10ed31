package router_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/router"
)

// slotServer processes as many calls at once as it has slots, and queues the others.
// Service times are log-normal, like those of the users' ledger services.
type slotServer struct {
	slots chan struct{}
	mean  time.Duration

	mu  sync.Mutex // guards rnd
	rnd *rand.Rand
}

// serviceSigma is the standard deviation of the logarithm of the service time.
const serviceSigma = 0.5

func newSlotServer(slots int, mean time.Duration, seed uint64) *slotServer {
	return &slotServer{slots: make(chan struct{}, slots), mean: mean, rnd: rand.New(rand.NewPCG(seed, 1))}
}

func (s *slotServer) serve(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	service := float64(s.mean) * math.Exp(serviceSigma*s.rnd.NormFloat64()-serviceSigma*serviceSigma/2)
	s.mu.Unlock()
	time.Sleep(time.Duration(service))
	return ok("ok")(ctx, o)
}

// TestOverloadedPlainServersAnswerInTime sends 1.5 times the capacity of three servers.
// Nearly all accepted calls must be answered in time, the servers must stay busy, and
// the other calls must be refused at once with a retry delay.
func TestOverloadedPlainServersAnswerInTime(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		const (
			service, within = target / 5, target
			slots, calls    = 6, 3000
			capacity        = 3 * slots // calls in a service time
			offered         = 1.5
			every           = service * 2 / 3 / capacity
			answerable      = calls / offered // calls that the servers can answer
			minDone         = 0.9
			minInTime       = 0.95
			refusedAtOnceMS = 1
		)
		for i, id := range plainServers {
			f.servers.set(id, newSlotServer(slots, service, uint64(i)).serve)
		}
		var all sync.WaitGroup
		var done, inTime, refused atomic.Int64
		for range calls {
			time.Sleep(every)
			all.Go(func() {
				began := time.Now()
				a := f.call(context.Background(), "/once/x")
				took := time.Since(began)
				switch {
				case a.status == 200:
					done.Add(1)
					if took <= within {
						inTime.Add(1)
					}
				case a.failure.Outcome == apierror.OutcomeNotRun && a.failure.RetryAfter > 0 && took <= refusedAtOnceMS*time.Millisecond:
					refused.Add(1)
				}
			})
		}
		all.Wait()
		t.Logf("of %d calls %d done, %d in time, %d refused at once", calls, done.Load(), inTime.Load(), refused.Load())
		is.Equal(done.Load()+refused.Load(), int64(calls))
		is.True(float64(done.Load()) >= minDone*answerable)
		is.True(float64(inTime.Load()) >= minInTime*float64(done.Load()))
	})
}

// TestBurstThatEndsWithinTheTargetIsServed sends as many plain calls at once as the servers answer
// within four fifths of the target, and guards them against refusals, whatever their time limit.
func TestBurstThatEndsWithinTheTargetIsServed(t *testing.T) {
	for _, limit := range []time.Duration{target, 10 * time.Second} {
		withFleet(t, func(t *testing.T, f *fleet) {
			is := is.New(t)
			const service, slots, calls = target / 5, 6, 4 * 3 * 6
			for _, id := range plainServers {
				server := make(chan struct{}, slots)
				f.servers.set(id, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
					server <- struct{}{}
					defer func() { <-server }()
					time.Sleep(service)
					return ok("ok")(ctx, o)
				})
			}
			f.limitOnce(limit)
			is.Equal(f.ask(40, service, within("/once/x", limit))[0].served, 40) // speeds are learnt
			got := f.ask(calls, time.Microsecond, within("/once/x", limit))[0]
			is.Equal(got.served, calls)
			is.Equal(got.onTime, calls)
		})
	}
}

// TestRefusedPlainCallersFindRoomWhenTheyComeBack sends twice as many plain calls at once as the
// servers answer within the target. It guards callers that follow the advised delay against a
// second refusal.
func TestRefusedPlainCallersFindRoomWhenTheyComeBack(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		const service, slots, limit, calls = target / 5, 6, 10 * time.Second, 2 * 5 * 3 * 6
		for i, id := range plainServers {
			f.servers.set(id, newSlotServer(slots, service, uint64(i)).serve)
		}
		f.limitOnce(limit)
		f.ask(300, service/20, within("/once/x", limit)) // speeds are learnt
		var all sync.WaitGroup
		var refused, served atomic.Int64
		for range calls {
			time.Sleep(time.Microsecond) // one after the other
			all.Go(func() {
				a := f.try(within("/once/x", limit)())
				if a.failure == nil {
					return
				}
				refused.Add(1)
				time.Sleep(a.failure.RetryAfter)
				if f.try(within("/once/x", limit)()).failure == nil {
					served.Add(1)
				}
			})
		}
		all.Wait()
		t.Logf("%d of %d refused, %d of them served when they came back", refused.Load(), calls, served.Load())
		is.True(served.Load() >= refused.Load()*9/10)
	})
}

// limitOnce sets the time limit of the route of calls that run at most once.
func (f *fleet) limitOnce(limit time.Duration) {
	config := *f.directory.Current().Config
	config.Version++
	config.Routes = slices.Clone(config.Routes)
	config.Routes[1].Timeout = limit
	f.directory.SetConfig(&config)
}
