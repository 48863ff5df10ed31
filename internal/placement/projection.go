package placement

import (
	"slices"
	"time"
)

// Run is a request that decodes, or will decode, at a counted server. Its memory
// grows with its answer, and all of it comes free at its end.
type Run struct {
	// Prompt is the memory at the start in pieces.
	Prompt int
	// Answer is the expected growth in pieces.
	Answer float64
	// Began is the time at which the answer begins or will begin.
	Began time.Duration
}

// overrunShare is the part of a run's expected answer that is assumed to be
// ahead of it when it has lasted longer than expected.
const overrunShare = 0.35

// end returns the expected end of a run.
func (r *Run) end(now time.Duration, rate float64) time.Duration {
	life := time.Duration(r.Answer / rate * float64(time.Millisecond))
	least := now + time.Duration(overrunShare*float64(life))
	return max(r.Began+life, min(least, r.Began+4*life))
}

// memory returns the expected memory of a run at a time before its end.
func (r *Run) memory(at time.Duration, rate float64) float64 {
	return float64(r.Prompt) + max(0, milliseconds(at-r.Began))*rate
}

// Projection foresees the memory of one server.
type Projection struct {
	runs []*Run
	ends []time.Duration
	now  time.Duration
	rate float64
}

// NewProjection projects runs that each grow by rate pieces a millisecond.
func NewProjection(now time.Duration, rate float64, own, others []*Run) *Projection {
	p := &Projection{now: now, rate: rate}
	for _, list := range [][]*Run{own, others} {
		for _, r := range list {
			p.runs = append(p.runs, r)
			p.ends = append(p.ends, r.end(now, rate))
		}
	}
	return p
}

// at returns the expected memory of all runs at a time.
func (p *Projection) at(t time.Duration) float64 {
	sum := 0.0
	for i, r := range p.runs {
		if t <= p.ends[i] {
			sum += r.memory(t, p.rate)
		}
	}
	return sum
}

// Now returns the expected memory in use.
func (p *Projection) Now() float64 { return p.at(p.now) }

// Peak returns the highest expected memory during the life of a further run,
// with that run. Memory only falls at the end of a run, so that the peak lies
// just before one.
func (p *Projection) Peak(extra *Run) float64 {
	last := extra.end(p.now, p.rate)
	peak := p.at(extra.Began) + float64(extra.Prompt)
	for _, t := range p.ends {
		if t >= extra.Began && t <= last {
			peak = max(peak, p.at(t)+extra.memory(t, p.rate))
		}
	}
	return max(peak, p.at(last)+extra.memory(last, p.rate))
}

// Earliest returns the time at which a further run is expected to fit into the
// memory: now, or the end of one of the runs.
func (p *Projection) Earliest(extra Run, memory float64) time.Duration {
	ready := extra.Began - p.now
	ends := append([]time.Duration{p.now}, p.ends...)
	slices.Sort(ends)
	for _, t := range ends {
		extra.Began = t + 1 + ready // just after the end
		if p.Peak(&extra) <= memory {
			return t
		}
	}
	return ends[len(ends)-1]
}
