package router

import "sync"

// failureGain is the weight of one answer in the moving average of the failure rate.
const failureGain = 0.15

// health tracks reachability and failure rate of one server from its answers. It is
// safe for concurrent use.
type health struct {
	mu sync.Mutex
	// suspected is set when the server did not respond, until it is reachable again. It
	// gets no work meanwhile.
	suspected bool
	// failures is the rate of failed answers, from 0 to 1.
	failures float64
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

// recordAnswer records an answer and whether it was a failure. The server is then no
// longer suspected.
func (h *health) recordAnswer(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected = false
	failure := 0.0
	if failed {
		failure = 1
	}
	h.failures += failureGain * (failure - h.failures)
}

// failureRate returns the rate of failed answers.
func (h *health) failureRate() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures
}
