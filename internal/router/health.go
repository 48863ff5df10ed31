package router

import (
	"sync"
	"time"
)

// failureGain is the weight of one outcome in the rate of failures.
const failureGain = 0.15

// health is what the exchanges with one server tell about it. It is safe for
// concurrent use.
type health struct {
	mu sync.Mutex
	// suspected servers get no work until they are reached again.
	suspected bool
	failures  float64
	// mean is the mean time that the server works on a call, without the wait for
	// a slot.
	mean time.Duration
}

// usable reports whether the server gets work.
func (h *health) usable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.suspected
}

// suspect notes that the server did not answer at all. It reports whether the
// server was believed healthy before.
func (h *health) suspect() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.suspected
	h.suspected = true
	return !was
}

// reached notes that the server takes connections.
func (h *health) reached() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected = false
}

// answered notes an answer, whether it was a failure, and the time that the
// server worked on it; 0 when unknown.
func (h *health) answered(failed bool, work time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected = false
	x := 0.0
	if failed {
		x = 1
	}
	h.failures += failureGain * (x - h.failures)
	if work > 0 {
		h.mean += time.Duration(failureGain * float64(work-h.mean))
	}
}

// work returns the mean time that the server works on a call.
func (h *health) work() time.Duration {
	_, work := h.rates()
	return work
}

// rates returns the rate of failed answers and the mean work of all.
func (h *health) rates() (failures float64, work time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures, h.mean
}
