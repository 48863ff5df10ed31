package dispatch_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// offerAt offers a job of a priority at an entry and returns a channel that receives the name
// of its decode server.
func (e *entry) offerAt(t *testing.T, priority, prompt int) chan string {
	t.Helper()
	w, err := e.d.Offer(&dispatch.Job{
		Weight: 1, Competing: true, Priority: priority, Goal: admission.Goal{FirstToken: 3 * target}, PromptTokens: prompt, MaxTokens: 10_000, ExpectedTokens: 5000,
	})
	is.New(t).NoErr(err)
	out := make(chan string, 1)
	go func() {
		if a, err := e.d.Acquire(context.Background(), w); err == nil {
			out <- a.Decode.Name()
		}
	}()
	return out
}

// setRemoteRuns makes runs of other entries known to all.
func (f *simFleet) setRemoteRuns(runs ...*placement.Run) {
	for _, e := range f.entries {
		e.d.Update(e.decodes[0], func(_ time.Duration, v *placement.Server) { v.SetRemoteUse(placement.Use{Slots: len(runs)}, runs) })
		e.d.Pump()
	}
}

// TestMemoryGoesToTheJobThatGoesFirst has a job wait for the only engine before another one
// arrives at another entry. It guards against memory for the earlier one if it is less urgent,
// and for the later one if both are as urgent.
func TestMemoryGoesToTheJobThatGoesFirst(t *testing.T) {
	for _, c := range []struct {
		earlier, later int // priorities
		laterFirst     bool
	}{{5, 1, true}, {2, 2, false}, {1, 5, false}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(1, true, 0)
			f.setRemoteRuns(&placement.Run{Prompt: 50_000, Answer: 2000})
			earlier := f.entries[0].offerAt(t, c.earlier, 20_000)
			time.Sleep(2 * lag)
			later := f.entries[1].offerAt(t, c.later, 20_000)
			time.Sleep(2 * lag)
			f.setRemoteRuns()
			synctest.Wait()
			is.Equal(len(later) == 1, c.laterFirst)
			is.Equal(len(earlier) == 1, !c.laterFirst)
			time.Sleep(3 * target) // the job that still waits is refused
		})
	}
}

// TestLessUrgentJobsLeaveMemoryWhileItIsShort guards more urgent jobs that come back within
// seconds against memory that less urgent runs hold, and quiet days against a reserve; and less
// urgent ones against one that lasts longer than runs do.
func TestLessUrgentJobsLeaveMemoryWhileItIsShort(t *testing.T) {
	for _, c := range []struct {
		short    bool
		answer   int // in tokens
		after    time.Duration
		reserved bool
	}{
		{false, 3000, 30 * time.Millisecond, false},
		{true, 3000, 30 * time.Millisecond, true},
		{true, 100, 500 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(1, true, 0)
			e := f.entries[0]
			job := func(priority, prompt int) *dispatch.Job {
				return &dispatch.Job{Weight: 1, Competing: true, Priority: priority, Goal: admission.Goal{FirstToken: target}, PromptTokens: prompt, MaxTokens: 10_000, ExpectedTokens: c.answer}
			}
			f.setRemoteRuns(&placement.Run{Prompt: 50_000, Answer: 2000})
			first := job(5, 10)
			w, err := e.d.Offer(first) // different priorities are known
			is.NoErr(err)
			a, err := e.d.Acquire(context.Background(), w)
			is.NoErr(err)
			e.d.EndPrefill(first, a.Prefill, a.Use, dispatch.PrefillResult{})
			e.d.EndDecode(a.Decode, a.Use)
			if c.short {
				_, err := e.d.Offer(job(0, 20_000))
				is.True(err != nil)
			}
			f.setRemoteRuns(&placement.Run{Prompt: 10_000, Answer: 2000}) // the urgent ones use less for a while
			time.Sleep(c.after)
			for priority, refused := range map[int]bool{0: false, 5: c.reserved} {
				w, err := e.d.Offer(job(priority, 20_000))
				is.Equal(err != nil, refused)
				if err == nil {
					_, err = e.d.Acquire(context.Background(), w)
					is.NoErr(err)
				}
			}
			time.Sleep(3 * target)
		})
	}
}

// TestLessUrgentJobsAreNotStarved guards against a class that more urgent ones overtake for
// ever: of any four less urgent jobs of an entry, one goes before later more urgent ones.
func TestLessUrgentJobsAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(1, true, 0)
		f.setRemoteRuns(&placement.Run{Prompt: 56_000, Answer: 2000})
		var low []chan string
		for range 4 {
			low = append(low, f.entries[0].offerAt(t, 5, 20_000))
			time.Sleep(lag)
		}
		high := f.entries[1].offerAt(t, 0, 20_000)
		time.Sleep(2 * lag)
		f.setRemoteRuns()
		synctest.Wait()
		got := slices.IndexFunc(low, func(c chan string) bool { return len(c) == 1 })
		is.Equal(got, 3)
		is.Equal(len(high), 0)
		time.Sleep(4 * target)
	})
}

// TestAnswersThatTheirCallersCutOffAreNotBegun guards against prefills and decodes for callers
// who give up during the answer.
func TestAnswersThatTheirCallersCutOffAreNotBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(1, true, 0)
		for left, refused := range map[time.Duration]bool{0: false, 2500 * time.Millisecond: true, 4 * time.Second: false} {
			_, err := f.entries[0].d.Offer(&dispatch.Job{
				Weight: 1, Goal: admission.Goal{FirstToken: target}, TimeLeft: left, PromptTokens: 1000, MaxTokens: 10_000, ExpectedTokens: 5000,
			})
			is.Equal(err != nil, refused)
		}
	})
}

// TestCallersDoNotWaitBeyondTheTimeThatTheAnswerNeeds guards against a wait for the target where
// the caller gives up before the answer could end.
func TestCallersDoNotWaitBeyondTheTimeThatTheAnswerNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(1, true, 0)
		f.setRemoteRuns(&placement.Run{Prompt: 56_000, Answer: 600}) // lasts longer than expected
		const left, answer = 3600 * time.Millisecond, 5000 * step
		w, err := f.entries[0].d.Offer(&dispatch.Job{
			Weight: 1, Goal: admission.Goal{FirstToken: target}, TimeLeft: left, PromptTokens: 5000, MaxTokens: 10_000, ExpectedTokens: 5000,
		})
		is.NoErr(err)
		offered := time.Now()
		_, err = f.entries[0].d.Acquire(context.Background(), w)
		is.True(err != nil)
		is.True(time.Since(offered) <= left-answer)
	})
}

// TestPredictionsAreTriedWhenNothingWasObserved guards against a pool that refuses all callers by
// speeds that no longer hold.
func TestPredictionsAreTriedWhenNothingWasObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newSimFleet(1, true, 0).entries[0]
		const left = 4 * time.Second
		job := &dispatch.Job{Weight: 1, Goal: admission.Goal{FirstToken: target}, TimeLeft: left, PromptTokens: 1000, MaxTokens: 10_000, ExpectedTokens: 5000}
		e.d.Update(e.decodes[0], func(now time.Duration, v *placement.Server) {
			for range 50 {
				v.ObserveStep(now, 5*step, 0)
			}
		})
		for range 3 {
			_, err := e.d.Offer(job)
			is.True(err != nil) // the answer would take 15 s
			time.Sleep(left + time.Second)
			w, err := e.d.Offer(job)
			is.NoErr(err)
			a, err := e.d.Acquire(context.Background(), w)
			is.NoErr(err)
			e.d.EndPrefill(job, a.Prefill, a.Use, dispatch.PrefillResult{})
			e.d.EndDecode(a.Decode, a.Use)
		}
	})
}
