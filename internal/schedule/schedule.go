// Package schedule holds the requests of one pool that wait at one entry. It
// admits them, orders them, and gives up those that can not meet their target
// any more. It does no I/O and has no clock or lock of its own.
package schedule

import (
	"math"
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/fairqueue"
)

// Job is one request that waits. Times are on the caller's monotonic clock.
type Job struct {
	Provider string
	// Weight is the share of the provider.
	Weight float64
	Goal   admission.Goal
	// Arrived is the time of arrival.
	Arrived time.Duration
	// Path is the least time from dispatch to the first token.
	Path time.Duration
	// Work is the prefill time in milliseconds.
	Work float64
	// Urgent jobs continue an earlier attempt. They go first and are neither
	// refused nor given up.
	Urgent bool
	// Owner is the caller's record of the job.
	Owner any

	item fairqueue.Item[*Job]
}

// Lagging reports whether a dispatched job belongs to a provider that used less
// than its share while others waited. Engines serve it before those.
func (j *Job) Lagging() bool { return j.item.Lagging }

// HoldWait is the predicted wait at the best prefill server above which a job
// stays in the queue of its entry, where it can still be ordered and given up.
const HoldWait = 200 * time.Millisecond

// drainMemory is the time over which the speed of the queue is averaged.
const drainMemory = 2 * time.Second

// Schedule is the queue of one pool at one entry.
type Schedule struct {
	policy admission.Policy
	order  Order
	fair   *fairqueue.Queue[*Job]
	urgent []*Job

	lastPop  time.Duration
	backlog  bool    // jobs have waited since lastPop
	work     float64 // milliseconds of prefill that left the queue, decaying
	busyTime float64 // milliseconds in which jobs waited, decaying
}

// New returns an empty schedule.
func New(policy admission.Policy, order Order) *Schedule {
	s := &Schedule{policy: policy, order: order, fair: fairqueue.New[*Job]()}
	s.fair.Credit = order.Credit()
	return s
}

// Len returns the number of jobs that wait.
func (s *Schedule) Len() int { return s.fair.Len() + len(s.urgent) }

// Offer asks to admit a job. wait is its predicted time in the queue, and path
// that from dispatch to the first token, with the wait at the server.
func (s *Schedule) Offer(now time.Duration, j *Job, wait, path time.Duration) admission.Verdict {
	if j.Urgent {
		s.urgent = append(s.urgent, j)
		return admission.Verdict{Admitted: true}
	}
	v := s.policy.Admit(j.Goal, admission.State{Queued: s.Len(), Wait: wait, Path: path, Best: j.Path})
	if v.Admitted {
		s.push(now, j)
	}
	return v
}

func (s *Schedule) push(now time.Duration, j *Job) {
	if s.Len() == 0 {
		s.lastPop, s.backlog = now, true
	}
	j.item = fairqueue.Item[*Job]{
		Value: j, Rank: s.order.Rank(j), Cost: j.Work,
		Due: float64(j.Arrived + s.policy.LastStart(j.Goal, j.Path)),
	}
	s.fair.Push(s.order.Flow(j), j.Weight, &j.item)
}

// Wait predicts the time that a new job will wait, from the work ahead of it
// and the speed at which work lately left the queue.
func (s *Schedule) Wait(j *Job) time.Duration {
	ahead := s.fair.CostAhead(s.order.Flow(j), j.Weight)
	if ahead == 0 || s.work == 0 {
		return 0
	}
	return time.Duration(ahead * s.busyTime / s.work * float64(time.Millisecond))
}

// Doomed removes and returns a job that can not meet its target any more, or
// nil.
func (s *Schedule) Doomed(now time.Duration) *Job {
	item := s.fair.Overdue(float64(now))
	if item == nil {
		return nil
	}
	s.fair.Remove(item)
	return item.Value
}

// Head returns the next job without removing it, or nil.
func (s *Schedule) Head() *Job {
	if len(s.urgent) > 0 {
		return s.urgent[0]
	}
	if item := s.fair.Head(); item != nil {
		return item.Value
	}
	return nil
}

// Pop removes the head, which is dispatched.
func (s *Schedule) Pop(now time.Duration) *Job {
	if len(s.urgent) > 0 {
		j := s.urgent[0]
		s.urgent = s.urgent[1:]
		return j
	}
	item := s.fair.Pop()
	if item == nil {
		return nil
	}
	s.observe(now, item.Cost)
	return item.Value
}

// observe learns the speed of the queue. Time without waiting jobs does not
// count.
func (s *Schedule) observe(now time.Duration, work float64) {
	gap := now - s.lastPop
	if s.backlog {
		keep := math.Exp(-float64(gap) / float64(drainMemory))
		s.work = s.work*keep + work
		s.busyTime = s.busyTime*keep + float64(gap)/float64(time.Millisecond)
	}
	s.lastPop, s.backlog = now, s.fair.Len() > 0
}

// Remove takes a job out of the queue; it reports false when the job has left
// it.
func (s *Schedule) Remove(j *Job) bool {
	for i, u := range s.urgent {
		if u == j {
			s.urgent = append(s.urgent[:i:i], s.urgent[i+1:]...)
			return true
		}
	}
	return s.fair.Remove(&j.item)
}

// Refund gives a provider back the service that a failed attempt lost, as the
// lag of CIF-Q (Ng, Stoica and Zhang, INFOCOM 1998) accounts for it.
func (s *Schedule) Refund(j *Job, work float64) { s.fair.Refund(s.order.Flow(j), work) }

// Renew counts the waiting of all jobs from now on, after a time in which no
// server took work.
func (s *Schedule) Renew(now time.Duration) {
	s.fair.Redue(func(j *Job) float64 {
		return float64(now + s.policy.LastStart(j.Goal, j.Path))
	})
}

// RetryAfter is the advice to a job that was given up: the time in which the
// present backlog is served.
func (s *Schedule) RetryAfter(j *Job) time.Duration { return admission.RetryAfter(s.Wait(j)) }

// Return puts back a job that was dispatched and refused before any work was
// done. Its provider is not charged, and it keeps its place and its target.
func (s *Schedule) Return(now time.Duration, j *Job) {
	if j.Urgent {
		s.urgent = append(s.urgent, j)
		return
	}
	s.fair.Refund(s.order.Flow(j), j.Work)
	s.work = max(0, s.work-j.Work)
	s.push(now, j)
}
