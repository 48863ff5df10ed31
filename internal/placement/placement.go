// Package placement selects the servers for a request. A Pipeline consists of
// small plugins: filters drop servers, scorers add up to a cost in milliseconds,
// and a picker chooses by cost. All are pure: no I/O, no clock, and randomness only
// from an argument. The daemon and the benchmarks run the same code.
//
// Engine memory is counted in pieces of pieceTokens tokens. Only the memory of counted
// servers (see Server.SetCounted) is counted in tokens.
package placement

import (
	"math/rand/v2"
	"time"
)

// Request describes a request to be placed.
type Request struct {
	// Now is the time of the decision on the caller's monotonic clock.
	Now time.Duration
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Pieces is the memory that the prompt and the longest answer need; for counted
	// servers in tokens.
	Pieces int
	// AnswerTokens is the predicted length of the answer.
	AnswerTokens float64
	// BetweenTokens is the latency target between tokens.
	BetweenTokens time.Duration
	// Caution shortens the horizon of the capacity forecast: 0 includes all releases
	// that are expected before the prefill ends, 1 only the capacity that is free now.
	Caution float64
	// ReservedShare is the fraction of a counted server's memory, from 0 to 1, that
	// this request must leave free for other requests.
	ReservedShare float64
	// ForecastHorizon is the horizon of the capacity forecast: the predicted time
	// until the prefill ends, shortened by Caution. Plan sets it.
	ForecastHorizon time.Duration
	// Hits are the servers that probably cache a prefix of the prompt.
	Hits []Hit
	// ExcludedMark is a generation mark: servers whose Mark equals it are excluded.
	// 0 excludes none.
	ExcludedMark uint64
	// BarredMark is one for the decode servers that must not take the request.
	BarredMark uint64
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
// index in costs, which is not empty.
type Picker interface {
	Pick(rnd *rand.Rand, costs []float64) int
}

// Pipeline chooses a server. It reuses its buffers and so is not safe for
// concurrent use.
type Pipeline struct {
	// Must are the hard constraints: they drop servers that can not take the request.
	Must []Filter
	// Prefer are the soft constraints: they apply unless no server passes them all.
	Prefer  []Filter
	Scorers []Scorer
	Picker  Picker

	kept  []int
	costs []float64
}

// Choice is the index of a server and its cost in milliseconds.
type Choice struct {
	Index int
	Cost  float64
}

// Kept returns the indices of the servers that may take the request, in ascending
// order. The result is valid until the next call.
func (p *Pipeline) Kept(r *Request, servers []*Server) []int {
	p.filter(r, servers, true)
	if len(p.kept) == 0 && len(p.Prefer) > 0 {
		p.filter(r, servers, false)
	}
	return p.kept
}

// Choose returns the server that the picker chooses by cost, and false when no
// server may take the request.
func (p *Pipeline) Choose(rnd *rand.Rand, r *Request, servers []*Server) (Choice, bool) {
	if len(p.Kept(r, servers)) == 0 {
		return Choice{Index: -1}, false
	}
	p.costs = p.costs[:0]
	for _, i := range p.kept {
		p.costs = append(p.costs, p.totalCost(r, servers[i]))
	}
	n := p.Picker.Pick(rnd, p.costs)
	return Choice{Index: p.kept[n], Cost: p.costs[n]}, true
}

func (p *Pipeline) filter(r *Request, servers []*Server, prefer bool) {
	p.kept = p.kept[:0]
	for i, s := range servers {
		if passesAll(p.Must, r, s) && (!prefer || passesAll(p.Prefer, r, s)) {
			p.kept = append(p.kept, i)
		}
	}
}

func passesAll(filters []Filter, r *Request, s *Server) bool {
	for _, f := range filters {
		if !f.Keep(r, s) {
			return false
		}
	}
	return true
}

func (p *Pipeline) totalCost(r *Request, s *Server) float64 {
	sum := 0.0
	for _, sc := range p.Scorers {
		sum += sc.Cost(r, s)
	}
	return sum
}
