// Package retry limits the retries at a service, so that they can not multiply its load
// when it fails.
package retry

import (
	"sync"
	"time"
)

// Options limit the attempts beyond the first of each request (further attempts).
type Options struct {
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Slack returns the number of further attempts in a window that are allowed
	// regardless of the number of requests.
	Slack func() float64
	// Share, if not nil, returns the fraction of these limits that may be used.
	Share func() float64
}

// steps is the number of steps of the sliding window.
const steps = 20

// Budget counts requests and further attempts over a sliding window. It is safe
// for concurrent use.
type Budget struct {
	options Options
	started time.Time

	mu       sync.Mutex // guards the fields below
	step     int64      // number of the latest step since started
	requests [steps]int
	further  [steps]int
}

// NewBudget returns a budget without requests.
func NewBudget(o Options) *Budget { return &Budget{options: o, started: time.Now()} }

// CountRequest counts a request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Acquire counts n further attempts if the budget allows them, and reports whether
// it does.
func (b *Budget) Acquire(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance()
	requests, further := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		further += b.further[i]
	}
	limit := b.options.Ratio*float64(requests) + b.options.Slack()
	if b.options.Share != nil {
		limit *= b.options.Share()
	}
	if float64(further+n) > limit {
		return false
	}
	b.further[at] += n
	return true
}

// advance clears the steps that have left the window and returns the index of the
// current one.
func (b *Budget) advance() int {
	step := int64(time.Since(b.started) / max(1, b.options.Window/steps))
	for n := max(b.step+1, step-steps+1); n <= step; n++ {
		b.requests[n%steps], b.further[n%steps] = 0, 0
	}
	b.step = max(b.step, step)
	return int(b.step % steps)
}
