package placement

import (
	"cmp"
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

// Projection foresees the memory of one server. The memory of n runs that are
// alive at a time t is the sum of their prompts and rate*(n*t - the sum of their
// begins), so that sums over the runs that end late enough answer in a few steps.
type Projection struct {
	// made is the time of the ends, and now that of the questions.
	made, now time.Duration
	rate      float64 // pieces a millisecond
	// ends are in order.
	ends []runEnd
	// future are the runs that had not begun.
	future []futureRun
}

// runEnd is the end of a run, with sums over it and all later ones. Times are in
// milliseconds.
type runEnd struct{ end, prompts, begins float64 }

// futureRun is a run that has its prompt in memory and does not grow yet.
type futureRun struct{ begin, end float64 }

// NewProjection projects runs that each grow by rate pieces a millisecond.
func NewProjection(now time.Duration, rate float64, own, others []*Run) *Projection {
	p := &Projection{}
	p.reset(now, rate, own, others)
	return p
}

// reset is NewProjection in the memory of an earlier one.
func (p *Projection) reset(now time.Duration, rate float64, own, others []*Run) {
	p.made, p.now, p.rate, p.ends, p.future = now, now, rate, p.ends[:0], p.future[:0]
	p.add(own)
	p.add(others)
	slices.SortFunc(p.ends, func(a, b runEnd) int { return cmp.Compare(a.end, b.end) })
	for i := len(p.ends) - 2; i >= 0; i-- {
		p.ends[i].prompts += p.ends[i+1].prompts
		p.ends[i].begins += p.ends[i+1].begins
	}
}

func (p *Projection) add(runs []*Run) {
	for _, r := range runs {
		end, begin := milliseconds(r.end(p.now, p.rate)), milliseconds(r.Began)
		p.ends = append(p.ends, runEnd{end: end, prompts: float64(r.Prompt), begins: begin})
		if r.Began > p.now {
			p.future = append(p.future, futureRun{begin: begin, end: end})
		}
	}
}

// alive returns the index of the first run that has not ended before t.
func (p *Projection) alive(t float64) int {
	i := 0
	for i < len(p.ends) && p.ends[i].end < t {
		i++
	}
	return i
}

// at returns the expected memory at t of the runs from the i-th on.
func (p *Projection) at(t float64, i int) float64 {
	if i == len(p.ends) {
		return 0
	}
	e := &p.ends[i]
	sum := e.prompts + p.rate*(float64(len(p.ends)-i)*t-e.begins)
	for _, f := range p.future {
		if f.begin > t && f.end >= t {
			sum += p.rate * (f.begin - t)
		}
	}
	return sum
}

// Memory returns the expected memory of all runs at a time.
func (p *Projection) Memory(t time.Duration) float64 {
	return p.at(milliseconds(t), p.alive(milliseconds(t)))
}

// Now returns the expected memory in use.
func (p *Projection) Now() float64 { return p.Memory(p.now) }

// Peak returns the highest expected memory during the life of a further run,
// with that run. Memory only falls at the end of a run, so that the peak lies
// just before one.
func (p *Projection) Peak(extra *Run) float64 {
	peak := 0.0
	p.highs(p.further(extra), 0, func(memory float64) bool {
		peak = max(peak, memory)
		return true
	})
	return peak
}

// Fits reports whether the peak with a further run is at most memory.
func (p *Projection) Fits(extra *Run, memory float64) bool {
	return p.fits(p.further(extra), 0, memory)
}

// furtherRun is a run that is not at the server yet. Times are in milliseconds.
type furtherRun struct{ begin, end, prompt float64 }

func (p *Projection) further(r *Run) furtherRun {
	return furtherRun{begin: milliseconds(r.Began), end: milliseconds(r.end(p.now, p.rate)), prompt: float64(r.Prompt)}
}

func (p *Projection) fits(r furtherRun, from int, memory float64) bool {
	fits := true
	p.highs(r, from, func(high float64) bool {
		fits = high <= memory
		return fits
	})
	return fits
}

// highs shows the expected memory at each time at which it may be highest during
// a further run, until see returns false. The runs before from have ended.
func (p *Projection) highs(r furtherRun, from int, see func(memory float64) bool) {
	i := from
	for i < len(p.ends) && p.ends[i].end < r.begin {
		i++
	}
	if !see(p.at(r.begin, i) + r.prompt) {
		return
	}
	for ; i < len(p.ends) && p.ends[i].end <= r.end; i++ {
		t := p.ends[i].end
		if !see(p.at(t, i) + r.prompt + p.rate*(t-r.begin)) {
			return
		}
	}
	see(p.at(r.end, i) + r.prompt + p.rate*(r.end-r.begin))
}

// afterEnd is added to the end of a run for the time at which its memory is free.
const afterEnd = 1e-6 // milliseconds

// Earliest returns the time at which a further run is expected to fit into the
// memory: now, or the end of one of the runs.
func (p *Projection) Earliest(extra *Run, memory float64) time.Duration {
	now, r := milliseconds(p.now), p.further(extra)
	ready, life := r.begin-now, r.end-r.begin
	fits := func(t float64, from int) bool {
		begin := t + afterEnd + ready
		return p.fits(furtherRun{begin: begin, end: begin + life, prompt: r.prompt}, from, memory)
	}
	from := p.alive(now)
	if fits(now, from) || from == len(p.ends) {
		return p.now
	}
	for i := from; i < len(p.ends)-1; i++ {
		if fits(p.ends[i].end, i) {
			return time.Duration(p.ends[i].end * float64(time.Millisecond))
		}
	}
	return time.Duration(p.ends[len(p.ends)-1].end * float64(time.Millisecond))
}
