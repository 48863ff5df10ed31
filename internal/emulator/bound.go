package emulator

import "time"

// boundStep is the resolution of Bound.
const boundStep = 20 * time.Millisecond

// Bound returns the number of requests after the warm-up that a single router answers
// on time with all lengths given in advance and takes the requests as they arrive. It
// uses the memory of all decode servers as if it were that of one, and the best split of
// the servers from the start on.
func Bound(o Options) int {
	best, requests := 0, o.requests()
	for prefills := 1; prefills < o.Engine.Servers; prefills++ {
		best = max(best, o.boundAt(requests, prefills))
	}
	return best
}

// boundAt returns the bound for a number of prefill servers.
func (o *Options) boundAt(requests []request, prefills int) int {
	e, l := &o.Engine, &o.Load
	decodes := e.Servers - prefills
	_, busy := Demand(e, l)
	running := int(min(float64(e.Slots), l.PerSecond*busy/float64(decodes)*float64(e.MemoryTokens)/(l.PromptTokens+l.AnswerEvents*float64(e.EventTokens)/2)))
	step := e.Step + time.Duration(running)*e.StepPerSlot
	freeAt := make([]time.Duration, prefills)
	used, runs := map[int]float64{}, map[int]int{} // by time in boundStep
	onTime := 0
	for _, r := range requests {
		first := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[first] {
				first = i
			}
		}
		prefill, event := e.PrefillSetup+e.prefillTime(r.prompt), time.Duration(e.EventTokens)*step
		start := max(r.at, freeAt[first])
		// The latest start with which the first event is in time.
		for last := r.at + l.FirstToken - prefill - event - 4*e.Latency; start <= last; start += boundStep {
			begin := start + prefill
			from, until := int(begin/boundStep), int((begin+time.Duration(r.events)*event)/boundStep)
			memory := func(at int) float64 { return float64(r.prompt) + float64((at-from)*int(boundStep))/float64(step) }
			fits := true
			for at := from; at <= until && fits; at++ {
				fits = used[at]+memory(at) <= float64(decodes*e.MemoryTokens) && runs[at] < decodes*e.Slots
			}
			if !fits {
				continue
			}
			for at := from; at <= until; at++ {
				used[at] += memory(at)
				runs[at]++
			}
			freeAt[first] = begin
			if r.at >= l.WarmUp {
				onTime++
			}
			break
		}
	}
	return onTime
}
