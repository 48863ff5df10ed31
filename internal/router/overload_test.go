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

// slotServer works on a number of calls at once, and queues the others. The
// lengths of the work are log-normal, as those of the users' ledgers are.
type slotServer struct {
	slots chan struct{}
	mean  time.Duration

	mu  sync.Mutex // guards rnd
	rnd *rand.Rand
}

// workSpread is the standard deviation of the logarithm of the work.
const workSpread = 0.5

func newSlotServer(slots int, mean time.Duration, seed uint64) *slotServer {
	return &slotServer{slots: make(chan struct{}, slots), mean: mean, rnd: rand.New(rand.NewPCG(seed, 1))}
}

func (s *slotServer) serve(ctx context.Context, o *router.Outgoing) (*router.Reply, error) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	work := float64(s.mean) * math.Exp(workSpread*s.rnd.NormFloat64()-workSpread*workSpread/2)
	s.mu.Unlock()
	time.Sleep(time.Duration(work))
	return ok("ok")(ctx, o)
}

// TestOverloadedPlainServersAnswerInTime sends half as many calls again as three
// servers can do. Those that are taken are nearly all in time, the servers are
// kept busy, and the others learn at once when to come back.
func TestOverloadedPlainServersAnswerInTime(t *testing.T) {
	play(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		const (
			work, within    = target / 5, target
			slots, calls    = 6, 3000
			capacity        = 3 * slots // calls in a time of work
			offered         = 1.5
			every           = work * 2 / 3 / capacity
			whole           = calls / offered // calls that the servers can do
			leastDone       = 0.9
			leastInTime     = 0.95
			refusedAtOnceMS = 1
		)
		for i, id := range plainServers {
			f.servers.set(id, newSlotServer(slots, work, uint64(i)).serve)
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
		is.True(float64(done.Load()) >= leastDone*whole)
		is.True(float64(inTime.Load()) >= leastInTime*float64(done.Load()))
	})
}
