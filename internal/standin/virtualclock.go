package standin

import (
	"container/heap"
	"time"
)

// VirtualClock is a virtual clock: it runs scheduled functions in order of time on
// one goroutine. Functions that are due at the same time run in the order in which
// they were scheduled, so that runs with equal seeds are identical.
type VirtualClock struct {
	now   time.Time
	queue eventQueue
	count uint64
}

// NewVirtualClock returns a clock that starts at start.
func NewVirtualClock(start time.Time) *VirtualClock { return &VirtualClock{now: start} }

// Now returns the current time.
func (c *VirtualClock) Now() time.Time { return c.now }

// After schedules f after a delay.
func (c *VirtualClock) After(d time.Duration, f func()) {
	c.count++
	heap.Push(&c.queue, event{at: c.now.Add(d), order: c.count, run: f})
}

// RunUntil runs the functions that are due until end and sets the clock to end. If
// stop is not nil, it is called after each function; when it returns true, RunUntil
// returns at once and the clock stays.
func (c *VirtualClock) RunUntil(end time.Time, stop func() bool) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
		if stop != nil && stop() {
			return
		}
	}
	c.now = end
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
