package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/admission"
)

const ms = time.Millisecond

func job(provider string, arrived, minTimeToFirstToken time.Duration) *Job {
	return &Job{
		Provider: provider, Weight: 1, Goal: admission.NewGoal(0, 0, 0, 0),
		Arrived: arrived, MinTimeToFirstToken: minTimeToFirstToken, PrefillMillis: 100,
	}
}

// offer offers a job with the wait that the schedule predicts.
func offer(s *Schedule, now time.Duration, j *Job, timeToFirstToken time.Duration) admission.Verdict {
	return s.Offer(now, j, s.Wait(j), timeToFirstToken)
}

func TestJobThatWouldMissItsTargetIsRefused(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), DefaultOrder())
	v := offer(s, 0, job("a", 0, 300*ms), 2*time.Second)
	is.True(!v.Admitted)
	is.Equal(v.Excess, 2*time.Second-admission.DefaultFirstToken)
	is.Equal(s.Len(), 0)
}

func TestPromptThatMissesItsTargetOnIdleServersIsServedLate(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), DefaultOrder())
	is.True(offer(s, 0, job("a", 0, 2*time.Second), 2*time.Second).Admitted)
	is.Equal(s.PopLate(time.Second), nil)
}

func TestPopLateReturnsJobsThatMissTheirTarget(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), DefaultOrder())
	long, short := job("a", 0, 900*ms), job("a", 0, 100*ms)
	offer(s, 0, long, 900*ms)
	offer(s, 0, short, 100*ms)
	is.Equal(s.PopLate(300*ms), nil)
	is.Equal(s.PopLate(600*ms), long) // 1.4 s less the margin and its time to first token
	is.Equal(s.PopLate(600*ms), nil)
	is.Equal(s.Head(), short)
}

func TestRequeuedJobKeepsItsRankAndItsTarget(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), DefaultOrder())
	a, b := job("a", 0, 100*ms), job("b", 0, 100*ms)
	offer(s, 0, a, 100*ms)
	offer(s, 0, b, 100*ms)
	is.Equal(s.Pop(ms), a)
	s.Requeue(2*ms, a)
	is.Equal(s.Pop(3*ms), b) // neither was charged; b was queued before a was requeued
	is.Equal(s.PopLate(2*time.Second), a)
}

func TestUrgentJobsGoFirstAndAreNotRefused(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), DefaultOrder())
	waiting, urgent := job("a", 0, 100*ms), job("b", 0, 100*ms)
	urgent.Urgent = true
	offer(s, 0, waiting, 100*ms)
	is.True(offer(s, 0, urgent, time.Hour).Admitted)
	is.Equal(s.PopLate(time.Minute), waiting)
	is.Equal(s.Pop(0), urgent)
}

func TestRestartTargetsCountsFromNow(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), DefaultOrder())
	a := job("a", 0, 100*ms)
	offer(s, 0, a, 0)
	s.RestartTargets(10 * time.Second)
	is.Equal(s.PopLate(11*time.Second), nil)
	is.Equal(s.PopLate(12*time.Second), a)
}

// TestMoreUrgentJobsGoFirst guards against less urgent jobs that hold up more urgent ones,
// and against organisations of one priority that are not served in turn.
func TestMoreUrgentJobsGoFirst(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), FairArrivalOrder())
	add := func(provider string, priority int, arrived time.Duration) *Job {
		j := job(provider, arrived, 100*ms)
		j.Priority = priority
		is.True(offer(s, arrived, j, 100*ms).Admitted)
		return j
	}
	low := add("a", 5, 0)
	flood, flood2 := add("b", 1, ms), add("b", 1, 2*ms)
	small := add("c", 1, 3*ms)
	for _, want := range []*Job{flood, small, flood2, low} {
		is.Equal(s.Head(), want)
		is.Equal(s.Pop(10*ms), want)
	}
	is.Equal(s.Len(), 0)
}

// TestJobsWithoutProvidersAreServedByArrival guards deployments without organisations
// against another order than that of arrival.
func TestJobsWithoutProvidersAreServedByArrival(t *testing.T) {
	is := is.New(t)
	fair, fifo := New(admission.Default(), FairArrivalOrder()), New(admission.Default(), FIFO{})
	for i := range 40 {
		at := time.Duration(i*37%40) * ms
		a, b := job("", at, 100*ms), job("", at, 100*ms)
		a.PrefillMillis, b.PrefillMillis = float64(i%7*50), float64(i%7*50)
		is.Equal(fair.Wait(a), fifo.Wait(b))
		offer(fair, at, a, 100*ms)
		offer(fifo, at, b, 100*ms)
		if i%3 == 0 {
			is.Equal(fair.Pop(at).Arrived, fifo.Pop(at).Arrived)
		}
	}
	for fifo.Len() > 0 {
		is.Equal(fair.Pop(time.Second).Arrived, fifo.Pop(time.Second).Arrived)
	}
}
