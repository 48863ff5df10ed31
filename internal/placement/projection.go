package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// Run is a request that decodes, or will decode, at a counted server. Its memory
// grows with its answer and is released as a whole at its end.
type Run struct {
	// Prompt is the memory at the start in tokens.
	Prompt int
	// Answer is the expected growth in tokens.
	Answer float64
	// Began is the time at which the answer began or will begin.
	Began time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
}

// overrunShare is the fraction of its expected duration for which a run that lasts
// longer than expected is assumed to continue.
const overrunShare = 0.35

// expectedEnd returns the time at which a run is expected to end: at most four times
// its expected duration after its begin.
func (r *Run) expectedEnd(now time.Duration, rate float64) time.Duration {
	duration := time.Duration(r.Answer / rate * float64(time.Millisecond))
	overrunEnd := now + time.Duration(overrunShare*float64(duration))
	return max(r.Began+duration, min(overrunEnd, r.Began+4*duration))
}

// Projection predicts the memory use of one server. The memory of the n runs that
// are active at a time t is the sum of their prompts plus rate*(n*t - the sum of
// their begins). Suffix sums over the runs in the order of their ends give both
// sums for any t without adding up the runs again.
type Projection struct {
	// computedAt is the time for which the ends were computed, and now that of the
	// queries.
	computedAt, now time.Duration
	rate            float64 // tokens per millisecond
	// ends are in ascending order.
	ends []runEnd
	// future are the runs that had not begun when the projection was computed.
	future []futureRun
}

// runEnd is the expected end of a run, with the sums of the prompts and begins of
// this run and all that end later. Times are in milliseconds.
type runEnd struct{ end, prompts, begins float64 }

// futureRun is a run whose prompt is in memory, but which does not grow yet. Times
// are in milliseconds.
type futureRun struct{ begin, end float64 }

// NewProjection returns the projection of runs that each grow by rate tokens per
// millisecond.
func NewProjection(now time.Duration, rate float64, local, remote []*Run) *Projection {
	p := &Projection{}
	p.reset(now, rate, local, remote)
	return p
}

// reset makes p a new projection and reuses its buffers.
func (p *Projection) reset(now time.Duration, rate float64, local, remote []*Run) {
	p.computedAt, p.now, p.rate, p.ends, p.future = now, now, rate, p.ends[:0], p.future[:0]
	p.add(local)
	p.add(remote)
	slices.SortFunc(p.ends, func(a, b runEnd) int { return cmp.Compare(a.end, b.end) })
	for i := len(p.ends) - 2; i >= 0; i-- {
		p.ends[i].prompts += p.ends[i+1].prompts
		p.ends[i].begins += p.ends[i+1].begins
	}
}

func (p *Projection) add(runs []*Run) {
	for _, r := range runs {
		end, begin := predict.Milliseconds(r.expectedEnd(p.now, p.rate)), predict.Milliseconds(r.Began)
		p.ends = append(p.ends, runEnd{end: end, prompts: float64(r.Prompt), begins: begin})
		if r.Began > p.now {
			p.future = append(p.future, futureRun{begin: begin, end: end})
		}
	}
}

// firstActive returns the index of the first run that has not ended before t.
func (p *Projection) firstActive(t float64) int {
	i := 0
	for i < len(p.ends) && p.ends[i].end < t {
		i++
	}
	return i
}

// memoryAt returns the expected memory at t of the runs from the i-th on.
func (p *Projection) memoryAt(t float64, i int) float64 {
	if i == len(p.ends) {
		return 0
	}
	e := &p.ends[i]
	sum := e.prompts + p.rate*(float64(len(p.ends)-i)*t-e.begins)
	for _, f := range p.future {
		if f.begin > t && f.end >= t { // not begun: undo its negative growth in sum
			sum += p.rate * (f.begin - t)
		}
	}
	return sum
}

// Memory returns the expected memory use of all runs at a time.
func (p *Projection) Memory(t time.Duration) float64 {
	return p.memoryAt(predict.Milliseconds(t), p.firstActive(predict.Milliseconds(t)))
}

// Now returns the expected present memory use.
func (p *Projection) Now() float64 { return p.Memory(p.now) }

// Peak returns the highest expected memory use, including a further run, while that
// run is active. Memory only falls when a run ends, so the peak is just before such
// an end.
func (p *Projection) Peak(extra *Run) float64 {
	peak := 0.0
	p.localPeaks(p.candidate(extra), 0, func(memory float64) bool {
		peak = max(peak, memory)
		return true
	})
	return peak
}

// Fits reports whether the peak with a further run does not exceed memory.
func (p *Projection) Fits(extra *Run, memory float64) bool {
	return p.fits(p.candidate(extra), 0, memory)
}

// candidateRun is a run that is not at the server yet. Times are in milliseconds.
type candidateRun struct{ begin, end, prompt float64 }

func (p *Projection) candidate(r *Run) candidateRun {
	return candidateRun{begin: predict.Milliseconds(r.Began), end: predict.Milliseconds(r.expectedEnd(p.now, p.rate)), prompt: float64(r.Prompt)}
}

func (p *Projection) fits(r candidateRun, from int, memory float64) bool {
	fits := true
	p.localPeaks(r, from, func(peak float64) bool {
		fits = peak <= memory
		return fits
	})
	return fits
}

// localPeaks yields the expected memory use, including a candidate, at the begin and
// the end of the candidate and at each end of a run between them, until yield
// returns false. Runs with an index below from have ended before.
func (p *Projection) localPeaks(r candidateRun, from int, yield func(memory float64) bool) {
	i := from
	for i < len(p.ends) && p.ends[i].end < r.begin {
		i++
	}
	if !yield(p.memoryAt(r.begin, i) + r.prompt) {
		return
	}
	for ; i < len(p.ends) && p.ends[i].end <= r.end; i++ {
		t := p.ends[i].end
		if !yield(p.memoryAt(t, i) + r.prompt + p.rate*(t-r.begin)) {
			return
		}
	}
	yield(p.memoryAt(r.end, i) + r.prompt + p.rate*(r.end-r.begin))
}

// releaseDelay is added to the end of a run to get a time at which its memory is
// free.
const releaseDelay = 1e-6 // milliseconds

// Earliest returns the earliest time from which a further run is expected to fit
// into the memory: now, or the end of one of the runs. When it never fits, that is
// the last of these ends.
func (p *Projection) Earliest(extra *Run, memory float64) time.Duration {
	now, r := predict.Milliseconds(p.now), p.candidate(extra)
	delay, duration := r.begin-now, r.end-r.begin
	fits := func(t float64, from int) bool {
		begin := t + releaseDelay + delay
		return p.fits(candidateRun{begin: begin, end: begin + duration, prompt: r.prompt}, from, memory)
	}
	from := p.firstActive(now)
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
