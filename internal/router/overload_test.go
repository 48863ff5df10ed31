package router_test

import (
	"context"
	"math"
	"math/rand/v2"
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
