// Package retry bounds the retries at a service, so that they can not multiply
// its load when it fails.
package retry

import (
	"sync"
	"time"
)

// Options bound the attempts beyond the first of each request.
type Options struct {
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Slack returns the number of further attempts that there are besides.
	Slack func() float64
}

// steps is the number of steps in which a window is counted.
const steps = 20

// Budget counts requests and further attempts over a sliding window. It is safe
// for concurrent use.
type Budget struct {
	options Options
	started time.Time

	mu       sync.Mutex // guards the fields below
	step     int64
	requests [steps]int
	extras   [steps]int
}

// NewBudget returns a budget without requests.
func NewBudget(o Options) *Budget { return &Budget{options: o, started: time.Now()} }

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Take takes n further attempts. It reports false when the budget is used up.
func (b *Budget) Take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance()
	requests, extras := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	if float64(extras+n) > b.options.Ratio*float64(requests)+b.options.Slack() {
		return false
	}
	b.extras[at] += n
	return true
}

// advance clears the steps that have left the window and returns the present one.
func (b *Budget) advance() int {
	step := int64(time.Since(b.started) / max(1, b.options.Window/steps))
	for n := max(b.step+1, step-steps+1); n <= step; n++ {
		b.requests[n%steps], b.extras[n%steps] = 0, 0
	}
	b.step = max(b.step, step)
	return int(b.step % steps)
}
