// Package schedule implements the queue of one pool at one entry. It admits requests,
// orders them, and finds those that can no longer meet their target. It does no I/O
// and has no clock or lock of its own.
package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/fairqueue"
)

// Job is one waiting request. Times are on the monotonic clock of the code that uses
// this package.
type Job struct {
	Provider string
	// Priority is the rank among the jobs of the pool; jobs of a lower one go first.
	Priority int
	// Weight is the provider's weight in fair sharing.
	Weight float64
	Goal   admission.Goal
	// Arrived is the time of arrival.
	Arrived time.Duration
	// Ahead is the time by which the job goes before others that arrived when it did.
	Ahead time.Duration
	// MinTimeToFirstToken is the minimum time from dispatch to the first token.
	MinTimeToFirstToken time.Duration
	// LatestStart is the latest time of dispatch for which the answer ends before the caller
	// gives up; 0 if that is not known.
	LatestStart time.Duration
	// PrefillMillis is the prefill time in milliseconds.
	PrefillMillis float64
	// Urgent jobs continue an earlier attempt. They go first and are never refused.
	Urgent bool
	// Owner is a value of the code that uses this package, such as its own record of
	// the job.
	Owner any

	item fairqueue.Item[*Job]
}

// BelowShare reports whether the provider of a dispatched job used less than its
// share while others waited. Engines serve such jobs before those of the others.
func (j *Job) BelowShare() bool { return j.item.BelowShare }

// MaxPrefillWait is the predicted wait at the best prefill server above which a job
// stays in the queue of its entry, where it can still be reordered and refused.
const MaxPrefillWait = 200 * time.Millisecond

// drainWindow is the time constant of the average speed at which the queue drains.
const drainWindow = 2 * time.Second

// Schedule is the queue of one pool at one entry.
type Schedule struct {
	policy admission.Policy
	order  Order
	// classes are the queues of each priority, in ascending order of priority.
	classes []*class
	urgent  []*Job

	lastPop  time.Duration
	backlog  bool    // jobs have waited since lastPop
	drained  float64 // milliseconds of prefill that left the queue, decaying
	busyTime float64 // milliseconds in which jobs waited, decaying
}

// class is the queue of the jobs of one priority. It remains when it is empty, since it
// holds the providers' shares.
type class struct {
	priority int
	fair     *fairqueue.Queue[*Job]
}

// New returns an empty schedule.
func New(policy admission.Policy, order Order) *Schedule {
	return &Schedule{policy: policy, order: order}
}

// Len returns the number of waiting jobs.
func (s *Schedule) Len() int { return s.queued() + len(s.urgent) }

// queued returns the number of waiting jobs without the urgent ones.
func (s *Schedule) queued() int {
	n := 0
	for _, c := range s.classes {
		n += c.fair.Len()
	}
	return n
}

// maxClasses is the number of priorities above which empty classes are dropped. It bounds
// what successive configurations leave behind.
const maxClasses = 16

// class returns the queue of a priority.
func (s *Schedule) class(priority int) *fairqueue.Queue[*Job] {
	i, ok := slices.BinarySearchFunc(s.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if ok {
		return s.classes[i].fair
	}
	if len(s.classes) >= maxClasses {
		s.classes = slices.DeleteFunc(s.classes, func(c *class) bool { return c.fair.Len() == 0 })
		i, _ = slices.BinarySearchFunc(s.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	}
	fair := fairqueue.New[*Job]()
	fair.Credit = s.order.Credit()
	s.classes = slices.Insert(s.classes, i, &class{priority: priority, fair: fair})
	return fair
}

// head returns the queue that the next job is taken from, or nil when all are empty.
func (s *Schedule) head() *fairqueue.Queue[*Job] {
	for _, c := range s.classes {
		if c.fair.Len() > 0 {
			return c.fair
		}
	}
	return nil
}

// Offer admits a job to the queue or refuses it. wait is its predicted time in the
// queue, and timeToFirstToken its predicted time from dispatch to the first token,
// including the wait at the server.
func (s *Schedule) Offer(now time.Duration, j *Job, wait, timeToFirstToken time.Duration) admission.Verdict {
	if j.Urgent {
		s.urgent = append(s.urgent, j)
		return admission.Verdict{Admitted: true}
	}
	v := s.Admits(j, wait, timeToFirstToken)
	if v.Admitted {
		s.push(now, j)
	}
	return v
}

// Admits returns the verdict on a job with a predicted time in the queue and from dispatch to
// the first token, without queueing it.
func (s *Schedule) Admits(j *Job, wait, timeToFirstToken time.Duration) admission.Verdict {
	if j.Urgent {
		return admission.Verdict{Admitted: true}
	}
	return s.policy.Admit(j.Goal, admission.State{Queued: s.Len(), Wait: wait, TimeToFirstToken: timeToFirstToken, MinTimeToFirstToken: j.MinTimeToFirstToken})
}

func (s *Schedule) push(now time.Duration, j *Job) {
	if s.Len() == 0 {
		s.lastPop, s.backlog = now, true
	}
	j.item = fairqueue.Item[*Job]{
		Value: j, Rank: s.order.Rank(j), Cost: j.PrefillMillis,
		Due: s.due(j, j.Arrived),
	}
	s.class(j.Priority).Push(s.order.Flow(j), j.Weight, &j.item)
}

// due returns the latest time of dispatch of a job whose target counts from a time.
func (s *Schedule) due(j *Job, from time.Duration) float64 {
	due := from + s.policy.MaxQueueTime(j.Goal, j.MinTimeToFirstToken)
	if j.LatestStart != 0 {
		due = min(due, j.LatestStart)
	}
	return float64(due)
}

// Wait predicts the time that a new job waits, from the backlog before it and the
// recent speed at which the queue drained.
func (s *Schedule) Wait(j *Job) time.Duration {
	ahead := s.class(j.Priority).CostAhead(s.order.Flow(j), j.Weight)
	for _, c := range s.classes {
		if c.priority < j.Priority {
			ahead += c.fair.Cost()
		}
	}
	if ahead == 0 || s.drained == 0 {
		return 0
	}
	return time.Duration(ahead * s.busyTime / s.drained * float64(time.Millisecond))
}

// PopLate removes and returns a job that can no longer meet its target, or whose answer can no
// longer end before its caller gives up; nil if there is none.
func (s *Schedule) PopLate(now time.Duration) *Job {
	for _, c := range s.classes {
		if item := c.fair.Overdue(float64(now)); item != nil {
			c.fair.Remove(item)
			return item.Value
		}
	}
	return nil
}

// Head returns the next job without removing it, or nil.
func (s *Schedule) Head() *Job {
	if len(s.urgent) > 0 {
		return s.urgent[0]
	}
	if fair := s.head(); fair != nil {
		return fair.Head().Value
	}
	return nil
}

// Pop removes and returns the next job, or returns nil. The job counts as dispatched.
func (s *Schedule) Pop(now time.Duration) *Job {
	if len(s.urgent) > 0 {
		j := s.urgent[0]
		s.urgent = s.urgent[1:]
		return j
	}
	fair := s.head()
	if fair == nil {
		return nil
	}
	item := fair.Pop()
	s.observePop(now, item.Cost)
	return item.Value
}

// observePop updates the speed at which the queue drains. Time without waiting jobs is
// excluded.
func (s *Schedule) observePop(now time.Duration, prefillMillis float64) {
	gap := now - s.lastPop
	if s.backlog {
		keep := math.Exp(-float64(gap) / float64(drainWindow))
		s.drained = s.drained*keep + prefillMillis
		s.busyTime = s.busyTime*keep + float64(gap)/float64(time.Millisecond)
	}
	s.lastPop, s.backlog = now, s.queued() > 0
}

// Remove removes a job from the queue. It reports false when the job is not queued.
func (s *Schedule) Remove(j *Job) bool {
	for i, u := range s.urgent {
		if u == j {
			s.urgent = append(s.urgent[:i:i], s.urgent[i+1:]...)
			return true
		}
	}
	return s.class(j.Priority).Remove(&j.item)
}

// Refund credits a provider for the service that a failed attempt lost, like the lag of
// CIF-Q (Ng, Stoica and Zhang, INFOCOM 1998).
func (s *Schedule) Refund(j *Job, prefillMillis float64) {
	s.class(j.Priority).Refund(s.order.Flow(j), prefillMillis)
}

// RestartTargets restarts the targets of all queued jobs from now, after a time in
// which no server took work.
func (s *Schedule) RestartTargets(now time.Duration) {
	for _, c := range s.classes {
		c.fair.UpdateDue(func(j *Job) float64 { return s.due(j, now) })
	}
}

// Requeue requeues a job that was dispatched and then refused by a server before any
// work was done. Its provider is not charged, and it keeps its rank and its target. An
// urgent job goes behind the other urgent ones.
func (s *Schedule) Requeue(now time.Duration, j *Job) {
	if j.Urgent {
		s.urgent = append(s.urgent, j)
		return
	}
	s.class(j.Priority).Refund(s.order.Flow(j), j.PrefillMillis)
	s.drained = max(0, s.drained-j.PrefillMillis)
	s.push(now, j)
}
