package router

import (
	"sync"
	"time"
)

// failureGain is the weight of one answer in the moving averages of the failure rate
// and the service time.
const failureGain = 0.15

// health tracks reachability, failure rate and service time of one server from its
// answers. It is safe for concurrent use.
type health struct {
	mu sync.Mutex
	// suspected is set when the server did not respond, until it is reachable again. It
	// gets no work meanwhile.
	suspected bool
	// failures is the rate of failed answers, from 0 to 1.
	failures float64
	// meanService is the mean time that the server works on a call, without the wait
	// for a slot.
	meanService time.Duration
}

// usable reports whether the server is not suspected.
func (h *health) usable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.suspected
}

// markSuspected records that the server did not respond. It reports whether that was
// not recorded yet.
func (h *health) markSuspected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.suspected
	h.suspected = true
	return !was
}

// markReachable records that the server accepts connections.
func (h *health) markReachable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected = false
}

// recordAnswer records an answer, whether it was a failure, and its service time; 0
// when that is unknown. The server is then no longer suspected.
func (h *health) recordAnswer(failed bool, service time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected = false
	failure := 0.0
	if failed {
		failure = 1
	}
	h.failures += failureGain * (failure - h.failures)
	if service > 0 {
		h.meanService += time.Duration(failureGain * float64(service-h.meanService))
	}
}

// serviceTime returns the mean service time.
func (h *health) serviceTime() time.Duration {
	_, service := h.averages()
	return service
}

// averages returns the rate of failed answers and the mean service time.
func (h *health) averages() (failures float64, service time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures, h.meanService
}
