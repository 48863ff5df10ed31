package router

import (
	"sync"
	"time"
)

// Bounds of the belief about a server's health.
const (
	// suspicion is the time for which a server that did not answer gets no work,
	// unless an answer of it comes before.
	suspicion = time.Second
	// maxSuspicion bounds the time after repeated failures.
	maxSuspicion = 4 * time.Second
	// failureGain is the weight of one outcome in the rate of failures.
	failureGain = 0.15
)

// health is what the exchanges with one server tell about it. It is safe for
// concurrent use.
type health struct {
	mu       sync.Mutex
	until    time.Time
	row      int // failures in a row
	failures float64
	latency  time.Duration // mean of answers
}

// usable reports whether the server gets work.
func (h *health) usable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.until)
}

// silent notes that the server did not answer at all. It reports whether the
// server was believed healthy before.
func (h *health) silent(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := !now.Before(h.until)
	if was {
		h.row++
	}
	h.until = now.Add(min(suspicion*time.Duration(1<<min(h.row-1, 4)), maxSuspicion))
	return was
}

// answered notes an answer and whether it was a failure. It reports whether the
// server was suspected before.
func (h *health) answered(now time.Time, failed bool, took time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := now.Before(h.until)
	h.until, h.row = time.Time{}, 0
	x := 0.0
	if failed {
		x = 1
	}
	h.failures += failureGain * (x - h.failures)
	if took > 0 {
		h.latency += time.Duration(failureGain * float64(took-h.latency))
	}
	return was
}

// failureRate returns the rate of failed answers and their mean latency.
func (h *health) rates() (failures float64, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures, h.latency
}
