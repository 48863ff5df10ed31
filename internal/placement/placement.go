// Package placement decides which servers take a request. A Pipeline is made of
// small plugins: filters drop servers, scorers add up one cost in
// milliseconds, a picker chooses. All are pure: no I/O, no clock, randomness
// only from the argument. The daemon and the benchmarks run the same code.
package placement

import (
	"math/rand/v2"
	"time"
)

// Request is what a decision needs to know of a request.
type Request struct {
	// Now is the time of the decision on the caller's monotonic clock.
	Now time.Duration
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Pieces is the memory of the prompt and the longest answer.
	Pieces int
	// AnswerTokens is the predicted length of the answer.
	AnswerTokens float64
	// BetweenTokens is the latency target between tokens.
	BetweenTokens time.Duration
	// Caution scales down how far ahead room is foreseen: 0 counts on all that
	// is foreseen until the prefill ends, 1 on what is free now.
	Caution float64
	// Reserve is the part of a counted server's memory that is left to others, from
	// 0 to 1.
	Reserve float64
	// PrefillIn is the time ahead for which room is foreseen. Plan sets it.
	PrefillIn time.Duration
	// Hits are the servers that are believed to hold a prefix of the prompt.
	Hits []Hit
	// Avoid is a generation mark: servers with this mark are left out.
	Avoid uint64
}

// Filter reports whether a server may take a request.
type Filter interface {
	Keep(r *Request, s *Server) bool
}

// Scorer returns one part of the cost of a server, in milliseconds.
type Scorer interface {
	Cost(r *Request, s *Server) float64
}

// Picker chooses one of the kept servers by their costs and returns its
// position in costs, which is not empty.
type Picker interface {
	Pick(rnd *rand.Rand, costs []float64) int
}

// Pipeline chooses a server. It reuses its buffers, so one goroutine uses it at
// a time.
type Pipeline struct {
	// Must drops servers that can not take the request.
	Must []Filter
	// Prefer drops further servers, unless none would be left.
	Prefer  []Filter
	Scorers []Scorer
	Picker  Picker

	kept  []int
	costs []float64
}

// Choice is a server, by its position, and its cost in milliseconds.
type Choice struct {
	Index int
	Cost  float64
}

// Kept returns the positions of the servers that may take the request, in their
// order.
func (p *Pipeline) Kept(r *Request, servers []*Server) []int {
	p.keep(r, servers, true)
	if len(p.kept) == 0 && len(p.Prefer) > 0 {
		p.keep(r, servers, false)
	}
	return p.kept
}

// Choose returns the best server, and false when no server may take the
// request.
func (p *Pipeline) Choose(rnd *rand.Rand, r *Request, servers []*Server) (Choice, bool) {
	if len(p.Kept(r, servers)) == 0 {
		return Choice{Index: -1}, false
	}
	p.costs = p.costs[:0]
	for _, i := range p.kept {
		p.costs = append(p.costs, p.cost(r, servers[i]))
	}
	n := p.Picker.Pick(rnd, p.costs)
	return Choice{Index: p.kept[n], Cost: p.costs[n]}, true
}

func (p *Pipeline) keep(r *Request, servers []*Server, prefer bool) {
	p.kept = p.kept[:0]
	for i, s := range servers {
		if pass(p.Must, r, s) && (!prefer || pass(p.Prefer, r, s)) {
			p.kept = append(p.kept, i)
		}
	}
}

func pass(filters []Filter, r *Request, s *Server) bool {
	for _, f := range filters {
		if !f.Keep(r, s) {
			return false
		}
	}
	return true
}

func (p *Pipeline) cost(r *Request, s *Server) float64 {
	sum := 0.0
	for _, sc := range p.Scorers {
		sum += sc.Cost(r, s)
	}
	return sum
}

// milliseconds converts a duration to the unit of costs.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
