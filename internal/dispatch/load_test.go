package dispatch_test

import (
	"context"
	"math/rand/v2"
	"slices"
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

// These tests simulate a load on several dispatchers that share the same servers, in
// virtual time, and check the outcomes of the requests.

// Parameters of the simulated fleet: engines of 65,000 tokens, prompts of 5,000 and
// answers of 5,000 tokens in 3 s, and a target of 900 ms to the first token.
const (
	entries     = 12
	memory      = 65_000
	prefillRate = 50.0 // tokens a millisecond
	step        = 600 * time.Microsecond
	target      = 900 * time.Millisecond
	lag         = 3 * time.Millisecond // of messages between entries
	memoryShare = 0.9                  // see dispatch.Options.MemoryShare
)

// engine is the actual state of one decode server, as opposed to the entries' views.
type engine struct {
	mu   sync.Mutex
	runs map[*placement.Run]time.Time
}

// used returns the memory in use.
func (e *engine) used() float64 {
	sum := 0.0
	for r, began := range e.runs {
		sum += float64(r.Prompt) + float64(time.Since(began))/float64(step)
	}
	return sum
}

// admit adds a run, or reports false when its prompt does not fit into the memory.
func (e *engine) admit(r *placement.Run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used()+float64(r.Prompt) > memory {
		return false
	}
	e.runs[r] = time.Now()
	return true
}

// end removes a run and reports whether the memory was exceeded at its end.
func (e *engine) end(r *placement.Run) (overrun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	overrun = e.used() > memory
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
	fleet    *simFleet
	decodes  []*server
	prefills []*server
	d        *dispatch.Dispatcher[*server]
	waiting  []dispatch.Waiting // as announced
}

func (e *entry) PrefillServers(_ string, out []*server) []*server { return append(out, e.prefills...) }

func (e *entry) DecodeServers(_ string, out []*server) []*server { return append(out, e.decodes...) }

func (*entry) Assigned(*server) {}

// simFleet is a set of entries that share engines, with counts of outcomes.
type simFleet struct {
	entries []*entry
	engines []*engine

	mu                                         sync.Mutex
	asked, refused, onTime, noMemory, overruns int
	refusedLate                                int
	// waited counts the jobs that were predicted to wait, and waitedLonger those that waited longer
	// than predicted, if compareWaits is set.
	compareWaits         bool
	waited, waitedLonger int
	// unpromised counts the jobs that were assigned to a decode server that was down or whose
	// memory was not projected to suffice from the end of the prefill on.
	unpromised int
}

func newSimFleet(engines int, announce bool, seed uint64) *simFleet {
	f := &simFleet{}
	for range engines {
		f.engines = append(f.engines, &engine{runs: map[*placement.Run]time.Time{}})
	}
	for n := range entries {
		e := &entry{fleet: f}
		for i, g := range f.engines {
			e.decodes = append(e.decodes, newServer(string(rune('a'+i)), int32(i+1), g))
		}
		for i := range 3 {
			e.prefills = append(e.prefills, newServer(string(rune('p'+i)), int32(100+i), nil))
		}
		o := dispatch.Options{
			MaxQueued: 100, NewPlanner: newPlanner, Policy: admission.Default(), Order: schedule.FIFO{}, MemoryShare: memoryShare,
			Seed: entries*seed + uint64(n) + 1,
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
	s.view.SetCounted(12, memory)
	s.view.ObserveStep(0, step, 0)
	s.view.ObservePrefill(0, prefillRate, time.Millisecond)
	return s
}

func newPlanner(string) *placement.Planner {
	p := placement.NewPlanner()
	p.Prefill.Scorers = []placement.Scorer{placement.WaitCost{}, placement.PrefillCost{}}
	p.Decode.Must = []placement.Filter{placement.Usable{}, placement.ProjectedMemory{MemoryShare: memoryShare}}
	p.Rate.Add(prefillRate)
	p.MemoryShare = memoryShare
	return p
}

// announce sends the waiting requests to the other entries, which receive them after the
// lag.
func (e *entry) announce(_ string, waiting []dispatch.Waiting) {
	e.fleet.mu.Lock()
	e.waiting = slices.Clone(waiting)
	e.fleet.mu.Unlock()
	time.AfterFunc(lag, func() {
		for _, o := range e.fleet.entries {
			if o != e {
				o.d.SetRemoteWaiting("", e.fleet.remoteWaits(o))
			}
		}
	})
}

// remoteWaits returns the requests that wait at all entries but one.
func (f *simFleet) remoteWaits(except *entry) []dispatch.Waiting {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []dispatch.Waiting
	for _, e := range f.entries {
		if e != except {
			all = append(all, e.waiting...)
		}
	}
	return all
}

// shareRuns sends to each entry the runs of the other entries at a server, after the
// lag.
func (e *entry) shareRuns(i int) {
	time.AfterFunc(lag, func() {
		for _, o := range e.fleet.entries {
			var runs []*placement.Run
			for _, from := range e.fleet.entries {
				if from == o {
					continue
				}
				from.d.Update(from.decodes[i], func(_ time.Duration, v *placement.Server) {
					_, localRuns := v.LocalUse()
					for _, r := range localRuns {
						runs = append(runs, &placement.Run{Prompt: r.Prompt, Answer: r.Answer, Began: r.Began})
					}
				})
			}
			o.d.Update(o.decodes[i], func(_ time.Duration, v *placement.Server) {
				v.SetRemoteUse(placement.Use{Slots: len(runs)}, runs)
			})
			o.d.Pump()
		}
	})
}

// serve simulates one request. estimate is the caller's estimate of the answer's length.
func (e *entry) serve(prompt, answer, estimate int) {
	f := e.fleet
	arrived := time.Now()
	f.add(&f.asked)
	job := &dispatch.Job{Weight: 1, Goal: admission.Goal{FirstToken: target}, PromptTokens: prompt, MaxTokens: 10_000, ExpectedTokens: estimate}
	predicted := time.Duration(0)
	if f.compareWaits {
		predicted = e.d.Explain(job).State.Wait
	}
	w, err := e.d.Offer(job)
	if err != nil {
		f.add(&f.refused)
		return
	}
	a, err := e.d.Acquire(context.Background(), w)
	if predicted > 0 {
		f.add(&f.waited)
		if err != nil || time.Since(arrived) > predicted {
			f.add(&f.waitedLonger)
		}
	}
	if err != nil {
		f.add(&f.refused)
		f.add(&f.refusedLate)
		return
	}
	e.d.Update(a.Decode, func(_ time.Duration, v *placement.Server) {
		if v.Unavailable || a.PeakMemory > memoryShare*memory || a.TimeToPrefillEnd <= 0 {
			f.add(&f.unpromised)
		}
	})
	at := 0
	for i, s := range e.decodes {
		if s == a.Decode {
			at = i
		}
	}
	e.shareRuns(at)
	time.Sleep(time.Duration(float64(prompt)/prefillRate) * time.Millisecond)
	e.d.EndPrefill(job, a.Prefill, a.Use, dispatch.PrefillResult{})
	defer e.shareRuns(at)
	defer e.d.EndDecode(a.Decode, a.Use)
	run := &placement.Run{Prompt: prompt}
	if !a.Decode.engine.admit(run) {
		f.add(&f.noMemory)
		return
	}
	if time.Since(arrived) <= target {
		f.add(&f.onTime)
	}
	time.Sleep(time.Duration(answer) * step)
	if a.Decode.engine.end(run) {
		f.add(&f.overruns)
	}
	e.d.RecordAnswerLength(job, answer)
}

func (f *simFleet) add(n *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
}

// generate sends requests at random times and entries, at a mean rate per second.
func (f *simFleet) generate(rate float64, length time.Duration, seed uint64) {
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

// capacity is the number of requests a second that an engine decodes: those that fit
// into its memory with half of their answer, divided by the duration of an answer.
const capacity = memory / 7500.0 / 3.0

// TestBurstBeyondCapacity sends 1.5 times the capacity of 6 engines to 12 entries.
// Dispatched requests must find free decode memory, since otherwise their prefill is
// wasted; the others must be refused on arrival, not after a wait.
func TestBurstBeyondCapacity(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(6, true, seed)
			f.generate(1.5*6*capacity, 20*time.Second, seed)
			dispatched := f.asked - f.refused
			t.Logf("seed %d: asked %d, refused %d (%d after a wait), on time %d, no memory %d, overruns %d",
				seed, f.asked, f.refused, f.refusedLate, f.onTime, f.noMemory, f.overruns)
			is.True(f.noMemory*20 <= dispatched)             // at most 5% of prefills are wasted
			is.True(f.onTime*10 >= dispatched*9)             // accepted requests are on time
			is.True(f.refusedLate*4 <= f.refused)            // most refusals are on arrival
			is.True(float64(f.onTime) >= 0.75*6*capacity*20) // the servers are used
		})
	}
}

// TestMostWaitsAreAsLongAsPredicted guards callers against predictions after which they wait in
// vain.
func TestMostWaitsAreAsLongAsPredicted(t *testing.T) {
	is := is.New(t)
	waited, longer := 0, 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(6, true, seed)
			f.compareWaits = true
			f.generate(1.2*6*capacity, 20*time.Second, seed)
			waited, longer = waited+f.waited, longer+f.waitedLonger
		})
	}
	t.Logf("of %d waits %d were longer than predicted", waited, longer)
	is.True(longer*4 <= waited)
}

// TestPrefillsHaveDecodeRoomWhileServersFail sends 1.5 times the capacity while servers go down
// and come back, and guards against prefills whose decode has no promised room.
func TestPrefillsHaveDecodeRoomWhileServersFail(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(6, true, seed)
			go func() {
				for i := range 14 { // 19.6 s
					for _, down := range []bool{true, false} {
						for _, e := range f.entries {
							e.d.Update(e.decodes[i%6], func(_ time.Duration, v *placement.Server) { v.Unavailable = down })
							e.d.Pump()
						}
						time.Sleep(700 * time.Millisecond)
					}
				}
			}()
			f.generate(1.5*6*capacity, 20*time.Second, seed)
			t.Logf("seed %d: asked %d, refused %d, on time %d, no memory %d, unpromised %d", seed, f.asked, f.refused, f.onTime, f.noMemory, f.unpromised)
			is.Equal(f.unpromised, 0)
			is.True(f.noMemory*20 <= f.asked-f.refused) // at most 5% of prefills are wasted
		})
	}
}

// TestFreedMemoryIsAssignedOnce has requests wait at two entries for one engine. Both
// entries observe at the same time that its memory is free; only the request that
// arrived first may be assigned. Without announcements, both are.
func TestFreedMemoryIsAssignedOnce(t *testing.T) {
	for _, announce := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(1, announce, 0)
			full := []*placement.Run{{Prompt: 50_000, Answer: 2000}}
			others := func(runs []*placement.Run) {
				for _, e := range f.entries[:2] {
					e.d.Update(e.decodes[0], func(_ time.Duration, v *placement.Server) { v.SetRemoteUse(placement.Use{Slots: len(runs)}, runs) })
				}
			}
			others(full)
			assigned := make(chan int, 2)
			for i, e := range f.entries[:2] {
				w, err := e.d.Offer(&dispatch.Job{Weight: 1, Goal: admission.Goal{FirstToken: 3 * target}, PromptTokens: 20_000, MaxTokens: 10_000, ExpectedTokens: 5000})
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
			time.Sleep(3 * target) // the job that still waits is refused
		})
	}
}

// TestLoadBelowCapacityIsNotRefused sends half of the capacity: nothing is refused.
func TestLoadBelowCapacityIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(6, true, 3)
		f.generate(0.5*6*capacity, 20*time.Second, 3)
		is.Equal(f.refused, 0)
		is.Equal(f.noMemory, 0)
		is.Equal(f.onTime, f.asked)
	})
}

// TestWholeTargetCountsInTheQueue has memory come free at a known time. It guards a job that is on
// time by little against a refusal, and one that will be late against a wait for it.
func TestWholeTargetCountsInTheQueue(t *testing.T) {
	for free, served := range map[time.Duration]bool{650 * time.Millisecond: true, 2 * target: false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(1, true, 0)
			f.setRemoteRuns(&placement.Run{Prompt: 55_000, Answer: float64(free / step)})
			time.AfterFunc(free, func() { f.setRemoteRuns() })
			began := time.Now()
			f.entries[0].serve(5000, 5000, 5000)
			is.Equal(f.onTime == 1, served)
			is.Equal(f.refusedLate, 0)
			is.Equal(time.Since(began) == 0, !served)
		})
	}
}

// TestUrgentJobsAreQueuedBeyondTheLimit fills the queue: a job that continues an earlier
// attempt is taken all the same.
func TestUrgentJobsAreQueuedBeyondTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &entry{}
		d := dispatch.New(e, dispatch.Options{MaxQueued: 1, NewPlanner: newPlanner, Policy: admission.Predicted{}, Order: schedule.FIFO{}})
		job := func(urgent bool) error {
			_, err := d.Offer(&dispatch.Job{Weight: 1, Goal: admission.Goal{FirstToken: target}, PromptTokens: 1, Urgent: urgent})
			return err
		}
		is.NoErr(job(false))
		is.True(job(false) != nil)
		is.NoErr(job(true))
	})
}
