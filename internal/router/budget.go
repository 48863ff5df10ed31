package router

import (
	"sync"
	"time"
)

// BudgetOptions bound the attempts beyond the first of each request, counted
// over all entries.
type BudgetOptions struct {
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Slack is the number of further attempts that all entries together have
	// besides.
	Slack float64
}

// budgetSteps is the number of steps in which a window is counted.
const budgetSteps = 20

// budgetMargin is the part of the budget that is used, since the entries'
// windows and their number are known only roughly.
const budgetMargin = 0.8

// budget bounds the further attempts at one service. It is safe for concurrent
// use.
type budget struct {
	options BudgetOptions
	entries func() int

	mu       sync.Mutex // guards the fields below
	step     int64
	requests [budgetSteps]int
	extras   [budgetSteps]int
}

func newBudget(o BudgetOptions, entries func() int) *budget {
	return &budget{options: o, entries: entries}
}

// request counts a request.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// take takes n further attempts. It reports false when the budget is used up.
func (b *budget) take(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	requests, extras := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	allowed := budgetMargin * (b.options.Ratio*float64(requests) + b.options.Slack/float64(max(1, b.entries())))
	if float64(extras+n) > allowed {
		return false
	}
	b.extras[at] += n
	return true
}

// advance clears the steps that have left the window and returns the present one.
func (b *budget) advance(now time.Time) int {
	length := int64(b.options.Window / budgetSteps)
	step := now.Sub(processStart).Nanoseconds() / max(1, length)
	for n := max(b.step+1, step-budgetSteps+1); n <= step; n++ {
		b.requests[n%budgetSteps], b.extras[n%budgetSteps] = 0, 0
	}
	b.step = max(b.step, step)
	return int(b.step % budgetSteps)
}

// processStart anchors monotonic times.
var processStart = time.Now()
