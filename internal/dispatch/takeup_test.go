package dispatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// Streams that are taken up: their callers hold 30 events of 72 tokens.
const (
	held     = 30 * 72
	timeLeft = 8 * time.Second
)

func takeUpJob(prompt int) *dispatch.Job {
	return &dispatch.Job{
		Weight: 1, TakesUp: true, Goal: admission.TakeUpGoal(admission.Goal{FirstToken: target}, timeLeft),
		PromptTokens: prompt, HeldTokens: held, ReservedShare: 0.15, MaxTokens: 10_000, ExpectedTokens: 5000,
	}
}

// herdOutcome counts what became of streams that were taken up.
type herdOutcome struct {
	began, refusedAtOnce, refusedLater int
	// late are those of began whose callers had left before the first token, and noMemory those
	// whose prompts were prefilled in vain.
	late, noMemory int
}

// herd takes streams up at all entries within a short time.
func (f *simFleet) herd(n int) (out herdOutcome) {
	var mu sync.Mutex // guards out
	count := func(n *int) {
		mu.Lock()
		defer mu.Unlock()
		*n++
	}
	var all sync.WaitGroup
	for i := range n {
		time.Sleep(5 * time.Millisecond)
		e := f.entries[i%len(f.entries)]
		all.Go(func() {
			arrived, job := time.Now(), takeUpJob(5000)
			w, err := e.d.Offer(job)
			if err != nil {
				count(&out.refusedAtOnce)
				return
			}
			a, err := e.d.Acquire(context.Background(), w)
			if err != nil {
				count(&out.refusedLater)
				return
			}
			count(&out.began)
			at := int(a.Decode.Name()[0] - 'a')
			e.shareRuns(at)
			time.Sleep(max(5000/prefillRate*time.Millisecond, a.TimeToPrefillEnd))
			e.d.EndPrefill(job, a.Prefill, a.Use, dispatch.PrefillResult{})
			if time.Since(arrived) > 4*target {
				count(&out.late)
			}
			run := &placement.Run{Prompt: 5000 + held}
			if a.Decode.engine.admit(run) {
				time.Sleep((5000 - held) * step)
				a.Decode.engine.end(run)
			} else {
				count(&out.noMemory)
			}
			e.d.EndDecode(a.Decode, a.Use)
			e.shareRuns(at)
		})
	}
	all.Wait()
	return out
}

// TestHerdOfTakeUpsBesideNewLoad has streams taken up within 0.1 to 0.6 s beside twice the
// capacity of new requests, which fill all memory when they come. It guards against take-ups
// that go behind new requests, that wait though they can not be in time, or whose prompts are
// prefilled in vain, and against new requests that are served no more when the herd is done.
func TestHerdOfTakeUpsBesideNewLoad(t *testing.T) {
	const engines = 6
	var alone [3]int // new requests on time after the herd if there is none, by seed
	for _, c := range []struct{ streams, began int }{{0, 0}, {20, 16}, {120, 16}} {
		for seed := range alone {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSimFleet(engines, true, uint64(seed))
				f.prefillsQueue = true
				start := time.Now()
				var load sync.WaitGroup
				load.Go(func() { f.generate(2*engines*capacity, 20*time.Second, uint64(seed)) })
				time.Sleep(6 * time.Second)
				out := f.herd(c.streams)
				// The last stream of the herd has begun after 10.2 s and ended 2 s later.
				time.Sleep(13*time.Second - time.Since(start))
				before := f.onTimeNow()
				load.Wait()
				after := f.onTime - before
				if c.streams == 0 {
					alone[seed] = after
				}
				t.Logf("seed %d, %d streams: %+v; new: asked %d, on time %d, of them after the herd %d", seed, c.streams, out, f.asked, f.onTime, after)
				is.True(out.began >= c.began)
				is.Equal(out.late, 0)
				is.True(out.noMemory*20 <= out.began)    // at most 5% of prefills are wasted
				is.True(out.refusedLater <= c.streams/4) // most refusals are at once
				is.True(after*5 >= alone[seed]*4)
			})
		}
	}
}

func (f *simFleet) onTimeNow() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.onTime
}

// TestTakeUpsThatComeTooLateAreRefusedAtOnce guards against take-ups that wait, or have their
// prompts prefilled, though their callers will have left.
func TestTakeUpsThatComeTooLateAreRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		run     placement.Run // at the only engine
		pinned  bool
		admits  bool
		maxWait time.Duration
	}{
		"free soon":                      {run: placement.Run{Prompt: 55_000, Answer: 2000}, admits: true},
		"free too late":                  {run: placement.Run{Prompt: 55_000, Answer: 10_000}},
		"one version, free soon":         {run: placement.Run{Prompt: 55_000, Answer: 2000}, pinned: true, maxWait: 2 * target, admits: true},
		"one version, free too late":     {run: placement.Run{Prompt: 55_000, Answer: 10_000}, pinned: true, maxWait: 2 * target},
		"one version, beyond its limit":  {run: placement.Run{Prompt: 55_000, Answer: 6000}, pinned: true, maxWait: 2 * target},
		"one version, other server free": {run: placement.Run{Prompt: 55_000, Answer: 10_000}, pinned: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := 1
				if name == "one version, other server free" {
					engines = 2
				}
				f := newSimFleet(engines, true, 0)
				f.setRemoteRuns(&c.run)
				job := takeUpJob(20_000)
				if c.pinned {
					job.MayDecode, job.MaxWait = func(server string) bool { return server == "a" }, c.maxWait
				}
				d := f.entries[0].d
				w, err := d.Offer(job)
				is.Equal(err == nil, c.admits)
				if err != nil {
					var refusal *dispatch.Refusal
					is.True(errors.As(err, &refusal))
					is.True(refusal.RetryAfter > 0)
					return
				}
				began := time.Now()
				time.AfterFunc(1300*time.Millisecond, func() { f.setRemoteRuns() })
				_, err = d.Acquire(context.Background(), w)
				is.NoErr(err)
				is.True(time.Since(began) < 2*target)
			})
		})
	}
}

// TestTakeUpsGoBeforeNewRequests guards against a take-up that stands behind new requests, at
// its entry and at another one, and against more urgent new requests that stand behind it.
func TestTakeUpsGoBeforeNewRequests(t *testing.T) {
	for name, c := range map[string]struct {
		entry, priority int // of the new request; the take-up has 1 and is at entry 0
		newFirst        bool
	}{"same entry": {0, 1, false}, "another entry": {1, 1, false}, "more urgent": {1, 0, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSimFleet(1, true, 0)
				f.setRemoteRuns(&placement.Run{Prompt: 50_000, Answer: 2000})
				fresh := f.entries[c.entry].offerAt(t, c.priority, 30_000, false)
				time.Sleep(2 * lag)
				job := takeUpJob(30_000)
				job.Competing, job.Priority = true, 1
				w, err := f.entries[0].d.Offer(job)
				is.NoErr(err)
				taken := make(chan string, 1)
				go func() {
					if a, err := f.entries[0].d.Acquire(context.Background(), w); err == nil {
						taken <- a.Decode.Name()
					}
				}()
				time.Sleep(2 * lag)
				f.setRemoteRuns()
				synctest.Wait()
				is.Equal(len(fresh) == 1, c.newFirst)
				is.Equal(len(taken) == 1, !c.newFirst)
				time.Sleep(4 * target) // the job that still waits is refused
			})
		})
	}
}

// TestHeldPartOfAnAnswerUsesMemory guards against a decode server whose memory is given out
// although the part of the answer that the caller holds does not fit beside the prompt.
func TestHeldPartOfAnAnswerUsesMemory(t *testing.T) {
	for heldTokens, atOnce := range map[int]bool{0: true, 7200: false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(1, true, 0)
			f.setRemoteRuns(&placement.Run{Prompt: 38_000, Answer: 2000})
			job := takeUpJob(15_000)
			job.HeldTokens, job.ReservedShare = heldTokens, 0
			w, err := f.entries[0].d.Offer(job)
			is.NoErr(err)
			began := time.Now()
			time.AfterFunc(time.Second, func() { f.setRemoteRuns() })
			_, err = f.entries[0].d.Acquire(context.Background(), w)
			is.NoErr(err)
			is.Equal(time.Since(began) < 500*time.Millisecond, atOnce)
			time.Sleep(2 * time.Second)
		})
	}
}
