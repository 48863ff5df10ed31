// Package benchmodel simulates a fleet in virtual time, to compare policies of
// placement, ordering and admission. It runs the daemon's own decision code on
// small models of entries, engines and links, which cover only queues, delays and
// faults. Runs are deterministic.
package benchmodel

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs events in the order of their time, and those
// of the same time in the order in which they were scheduled.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// after schedules f after a delay.
func (c *clock) after(d time.Duration, f func()) { c.at(c.now+d, f) }

// at schedules f at a time, or now if that has passed.
func (c *clock) at(t time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: max(t, c.now), seq: c.seq, run: f})
}

// run runs the events that are due until a time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
