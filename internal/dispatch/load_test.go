package dispatch_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// These tests play a load to several dispatchers that share the same servers, in
// virtual time, and check what callers get.

// Figures of the played fleet: engines of 65,000 tokens, prompts of 5,000 and
// answers of 5,000 tokens in 3 s, and a target of 900 ms to the first token.
const (
	entries     = 12
	memory      = 65_000
	prefillRate = 50.0 // tokens a millisecond
	step        = 600 * time.Microsecond
	target      = 900 * time.Millisecond
	lag         = 3 * time.Millisecond // between entries
	share       = 0.9
	trust       = 0.6
)

// engine is the truth of one decode server.
type engine struct {
	mu   sync.Mutex
	runs map[*placement.Run]time.Time
}

// held is the memory in use.
func (e *engine) held() float64 {
	sum := 0.0
	for r, began := range e.runs {
		sum += float64(r.Prompt) + float64(time.Since(began))/float64(step)
	}
	return sum
}

// admit refuses a run for whose prompt there is no memory.
func (e *engine) admit(r *placement.Run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held()+float64(r.Prompt) > memory {
		return false
	}
	e.runs[r] = time.Now()
	return true
}

// end ends a run and reports whether memory had run out.
func (e *engine) end(r *placement.Run) (overrun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	overrun = e.held() > memory
	delete(e.runs, r)
	return overrun
}

// server is one entry's view of an engine.
type server struct {
	name   string
	view   placement.Server
	engine *engine
}

func (s *server) Name() string            { return s.name }
func (s *server) View() *placement.Server { return &s.view }

// entry is one process of the fleet.
type entry struct {
	fleet   *playedFleet
	servers []*server // decode servers
	prefill []*server
	d       *dispatch.Dispatcher[*server]
	waits   []time.Duration
}

func (e *entry) Prefills(_ string, out []*server) []*server { return append(out, e.prefill...) }
func (e *entry) Decodes(_ string, out []*server) []*server  { return append(out, e.servers...) }

type playedFleet struct {
	entries []*entry
	engines []*engine

	mu                                       sync.Mutex
	asked, refused, onTime, noRoom, overruns int
	refusedLate                              int
}

func newPlayedFleet(engines int, announce bool) *playedFleet {
	f := &playedFleet{}
	for range engines {
		f.engines = append(f.engines, &engine{runs: map[*placement.Run]time.Time{}})
	}
	for range entries {
		e := &entry{fleet: f}
		for i, g := range f.engines {
			e.servers = append(e.servers, newServer(string(rune('a'+i)), int32(i+1), g))
		}
		for i := range 3 {
			e.prefill = append(e.prefill, newServer(string(rune('p'+i)), int32(100+i), nil))
		}
		o := dispatch.Options{
			Queue: 100, NewPlanner: newPlanner, Policy: admission.Default(), Order: schedule.FIFO{}, MemoryShare: share, WaitTrust: trust,
		}
		if announce {
			o.Announce = e.announce
		}
		e.d = dispatch.New(e, o)
		f.entries = append(f.entries, e)
	}
	return f
}

func newServer(name string, id int32, g *engine) *server {
	s := &server{name: name, engine: g}
	s.view.ID = id
	s.view.Count(12, memory)
	s.view.ObserveStep(0, step, 0)
	s.view.ObservePrefill(prefillRate, time.Millisecond)
	return s
}

func newPlanner() *placement.Planner {
	p := placement.NewPlanner()
	p.Prefill.Scorers = []placement.Scorer{placement.WaitCost{}, placement.PrefillCost{}}
	p.Decode.Must = []placement.Filter{placement.Usable{}, placement.ProjectedRoom{Share: share}}
	p.Rate.Add(prefillRate)
	return p
}

// announce tells the other entries which requests wait, after the lag.
func (e *entry) announce(_ string, arrivals []time.Duration) {
	e.fleet.mu.Lock()
	e.waits = append([]time.Duration(nil), arrivals...)
	e.fleet.mu.Unlock()
	time.AfterFunc(lag, func() {
		for _, o := range e.fleet.entries {
			if o != e {
				o.d.WaitElsewhere("", e.fleet.waitsOfOthers(o))
			}
		}
	})
}

func (f *playedFleet) waitsOfOthers(than *entry) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []time.Duration
	for _, e := range f.entries {
		if e != than {
			all = append(all, e.waits...)
		}
	}
	return all
}

// tell tells the others what an entry runs at a server, after the lag.
func (e *entry) tell(i int) {
	time.AfterFunc(lag, func() {
		for _, o := range e.fleet.entries {
			var runs []*placement.Run
			for _, from := range e.fleet.entries {
				if from == o {
					continue
				}
				from.d.Update(from.servers[i], func(_ time.Duration, v *placement.Server) {
					_, own := v.Own()
					for _, r := range own {
						runs = append(runs, &placement.Run{Prompt: r.Prompt, Answer: r.Answer, Began: r.Began})
					}
				})
			}
			o.d.Update(o.servers[i], func(_ time.Duration, v *placement.Server) {
				v.Others(placement.Use{Slots: len(runs)}, runs)
			})
			o.d.Pump()
		}
	})
}

// serve plays one request: its length is estimated wrongly.
func (e *entry) serve(prompt, answer, estimate int) {
	f := e.fleet
	arrived := time.Now()
	f.add(&f.asked)
	job := &dispatch.Job{Weight: 1, Goal: admission.Goal{FirstToken: target}, PromptTokens: prompt, MaxTokens: 10_000, Expected: estimate}
	w, err := e.d.Offer(job)
	if err != nil {
		f.add(&f.refused)
		return
	}
	a, err := e.d.Acquire(context.Background(), w)
	if err != nil {
		f.add(&f.refused)
		f.add(&f.refusedLate)
		return
	}
	at := 0
	for i, s := range e.servers {
		if s == a.Decode {
			at = i
		}
	}
	e.tell(at)
	time.Sleep(time.Duration(float64(prompt)/prefillRate) * time.Millisecond)
	e.d.PrefillEnded(job, a.Prefill, a.Use, dispatch.PrefillResult{})
	defer e.tell(at)
	defer e.d.EndDecode(a.Decode, a.Use)
	truth := &placement.Run{Prompt: prompt}
	if !a.Decode.engine.admit(truth) {
		f.add(&f.noRoom)
		return
	}
	if time.Since(arrived) <= target {
		f.add(&f.onTime)
	}
	time.Sleep(time.Duration(answer) * step)
	if a.Decode.engine.end(truth) {
		f.add(&f.overruns)
	}
	e.d.Answered(job, answer)
}

func (f *playedFleet) add(n *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
}

// play sends a number of requests a second for some time.
func (f *playedFleet) play(rate float64, length time.Duration, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var wg sync.WaitGroup
	for until := time.Now().Add(length); time.Now().Before(until); {
		e := f.entries[rnd.IntN(len(f.entries))]
		prompt, answer := 2000+rnd.IntN(6000), 1000+rnd.IntN(8000)
		estimate := int(float64(answer) * (0.5 + rnd.Float64()))
		wg.Go(func() { e.serve(prompt, answer, estimate) })
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
	}
	wg.Wait()
}

// capacity is the number of requests a second that an engine decodes: those that
// fit into its memory with half of their answer, in the time of an answer.
const capacity = memory / 7500.0 / 3.0

// TestBurstBeyondCapacity plays 1.5 times the capacity of 6 engines to 12
// entries. What is dispatched must find room, since a prefill that no server
// decodes is wasted; the rest must be refused on arrival, not after a wait.
func TestBurstBeyondCapacity(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newPlayedFleet(6, true)
			f.play(1.5*6*capacity, 20*time.Second, seed)
			dispatched := f.asked - f.refused
			t.Logf("seed %d: asked %d, refused %d (%d after a wait), on time %d, no room %d, overruns %d",
				seed, f.asked, f.refused, f.refusedLate, f.onTime, f.noRoom, f.overruns)
			is.True(f.noRoom*20 <= dispatched)               // at most 5% of prefills are wasted
			is.True(f.onTime*10 >= dispatched*9)             // what is taken is on time
			is.True(f.refusedLate*4 <= f.refused)            // refusals come at once
			is.True(float64(f.onTime) >= 0.75*6*capacity*20) // and the servers are used
		})
	}
}

// TestTurnsKeepEntriesApart lets requests wait at two entries for one engine. When
// its room comes free, both entries see that at the same time; only the request
// that arrived first may take it.
func TestTurnsKeepEntriesApart(t *testing.T) {
	for _, announce := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newPlayedFleet(1, announce)
			full := []*placement.Run{{Prompt: 50_000, Answer: 2000}}
			others := func(runs []*placement.Run) {
				for _, e := range f.entries[:2] {
					e.d.Update(e.servers[0], func(_ time.Duration, v *placement.Server) { v.Others(placement.Use{Slots: len(runs)}, runs) })
				}
			}
			others(full)
			assigned := make(chan int, 2)
			for i, e := range f.entries[:2] {
				w, err := e.d.Offer(&dispatch.Job{Weight: 1, Goal: admission.Goal{FirstToken: 3 * target}, PromptTokens: 20_000, MaxTokens: 10_000, Expected: 5000})
				is.NoErr(err)
				go func() {
					if _, err := e.d.Acquire(context.Background(), w); err == nil {
						assigned <- i
					}
				}()
				time.Sleep(2 * lag)
			}
			others(nil)
			for _, e := range f.entries[:2] {
				e.d.Pump()
			}
			synctest.Wait()
			is.Equal(len(assigned), map[bool]int{false: 2, true: 1}[announce])
			if announce {
				is.Equal(<-assigned, 0)
			}
			time.Sleep(3 * target) // what still waits is given up
		})
	}
}

// TestCalmLoadIsServedWhole plays half of the capacity: nothing is refused.
func TestCalmLoadIsServedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPlayedFleet(6, true)
		f.play(0.5*6*capacity, 20*time.Second, 3)
		is.Equal(f.refused, 0)
		is.Equal(f.noRoom, 0)
		is.Equal(f.onTime, f.asked)
	})
}
