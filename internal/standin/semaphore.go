package standin

import (
	"container/heap"
	"context"
	"sync"
)

// prioritySemaphore admits one holder at a time. The waiter with the highest
// priority enters next, among equals the first to arrive. The zero value is free.
type prioritySemaphore struct {
	mu      sync.Mutex
	busy    bool
	arrived uint64
	waiters waiterHeap
}

type waiter struct {
	priority int
	arrival  uint64
	ready    chan struct{}
	index    int // in the heap; -1 once admitted
}

// acquire waits for the semaphore until ctx is done.
func (s *prioritySemaphore) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if !s.busy {
		s.busy = true
		s.mu.Unlock()
		return nil
	}
	s.arrived++
	w := &waiter{priority: priority, arrival: s.arrived, ready: make(chan struct{})}
	heap.Push(&s.waiters, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, w)
	}
}

// abandon removes a waiter whose context is done. If the waiter was admitted
// meanwhile, it releases the semaphore.
func (s *prioritySemaphore) abandon(ctx context.Context, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiters, w.index)
		return ctx.Err()
	}
	s.releaseLocked()
	return ctx.Err()
}

// release admits the next waiter.
func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *prioritySemaphore) releaseLocked() {
	if len(s.waiters) == 0 {
		s.busy = false
		return
	}
	w := heap.Pop(&s.waiters).(*waiter)
	close(w.ready)
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
