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

func TestJobThatWouldMissItsTargetIsRefusedWithRetryAfter(t *testing.T) {
	is := is.New(t)
	s := New(admission.Default(), DefaultOrder())
	v := offer(s, 0, job("a", 0, 300*ms), 2*time.Second)
	is.True(!v.Admitted)
	is.True(v.RetryAfter > 0)
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
