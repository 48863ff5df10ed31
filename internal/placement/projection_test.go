package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"

	"github.com/matryer/is"
)

// testRate is in tokens per millisecond: a second of an answer is 1,000 tokens.
const testRate = 1.0

func TestProjectionCountsGrowthUntilTheEnd(t *testing.T) {
	is := is.New(t)
	run := &Run{Prompt: 5000, Answer: 3000, Began: 0}
	p := NewProjection(second, testRate, []*Run{run}, nil)
	is.Equal(p.Memory(second), 6000.0)
	is.Equal(p.Memory(3*second), 8000.0)
	is.Equal(p.Memory(3*second+1), 0.0) // all memory is released at the end
}

func TestPeakLiesBeforeTheEndOfARun(t *testing.T) {
	is := is.New(t)
	local := []*Run{{Prompt: 1000, Answer: 2000, Began: 0}}
	remote := []*Run{{Prompt: 1000, Answer: 4000, Began: 0}}
	p := NewProjection(0, testRate, local, remote)
	// At 2 s: 3,000 tokens of each running run, and 2,000 of the further run.
	is.Equal(p.Peak(&Run{Prompt: 0, Answer: 2500, Began: 0}), 8000.0)
	// At 1 s, the end of the further run: 2,000 of each, and 1,000 of its own.
	is.Equal(p.Peak(&Run{Prompt: 0, Answer: 1000, Began: 0}), 5000.0)
}

func TestOverrunningRunsKeepTheirMemory(t *testing.T) {
	is := is.New(t)
	run := &Run{Prompt: 1000, Answer: 1000, Began: 0}
	p := NewProjection(2*second, testRate, []*Run{run}, nil)
	is.True(p.Memory(2*second) > 0)                          // it lasts longer than expected and keeps its memory
	is.Equal(run.expectedEnd(10*second, testRate), 4*second) // bounded by four times the expected duration
}

func TestEarliestIsTheEndThatFreesEnoughMemory(t *testing.T) {
	is := is.New(t)
	runs := []*Run{{Prompt: 4000, Answer: 1000, Began: 0}, {Prompt: 4000, Answer: 3000, Began: 0}}
	p := NewProjection(0, testRate, runs, nil)
	extra := Run{Prompt: 3000, Answer: 500, Began: 0}
	is.Equal(p.Earliest(&extra, 20_000), time.Duration(0))
	is.Equal(p.Earliest(&extra, 9_600), second)
	is.Equal(p.Earliest(&extra, 4_000), 3*second)
}

func countedServer(id int32, slots, memoryTokens int) *Server {
	s := &Server{ID: id}
	s.SetCounted(slots, memoryTokens)
	s.ObserveStep(0, time.Millisecond, 0)
	return s
}

func TestProjectedMemoryCountsRemoteRuns(t *testing.T) {
	is := is.New(t)
	s := countedServer(1, 4, 10_000)
	filter := ProjectedMemory{MemoryShare: 1}
	r := &Request{PromptTokens: 4000, AnswerTokens: 1000}
	is.True(filter.Keep(r, s))
	s.SetRemoteUse(Use{Slots: 1}, []*Run{{Prompt: 5000, Answer: 1000}})
	is.True(!filter.Keep(r, s))
	s.SetRemoteUse(Use{}, nil)
	r.ReservedShare = 0.6
	is.True(!filter.Keep(r, s)) // reserved for other requests
	r.ReservedShare = 0
	s.RecordRefusal(0)
	is.True(!filter.Keep(r, s)) // it has just refused
}

func TestEndedRunsReleaseTheirSlots(t *testing.T) {
	is := is.New(t)
	s := countedServer(1, 1, 10_000)
	u := Use{Slots: 1, Run: &Run{Prompt: 4000, Answer: 1000}}
	s.RecordSend(0, u)
	_, runs := s.LocalUse()
	is.Equal(len(runs), 1)
	is.Equal(s.SlotsUsed(), 1)
	s.RecordEnd(second, u)
	_, runs = s.LocalUse()
	is.Equal(len(runs), 0)
	is.Equal(s.SlotsUsed(), 0)
}

// TestEarlierRequestsOfOtherEntriesGoFirst plans a request of 1,000 tokens behind waiting
// ones. The second of four servers has no slot, and the last has memory for small requests
// only.
func TestEarlierRequestsOfOtherEntriesGoFirst(t *testing.T) {
	const none = -1
	for name, tc := range map[string]struct {
		ahead []int
		want  int
	}{
		"nobody ahead":                       {nil, 0},
		"one ahead takes the first server":   {[]int{1000}, 2},
		"two ahead":                          {[]int{1000, 1000}, 3},
		"as many ahead as servers":           {[]int{1000, 1000, 1000}, none},
		"a large one passes the small place": {[]int{1000, 5000}, 3},
		"a large one leaves the small place": {[]int{1000, 1000, 5000}, none},
		"one that fits nowhere keeps one":    {[]int{20_000}, 2},
		"two that fit nowhere keep one":      {[]int{20_000, 20_000}, 2},
		"small ones between them":            {[]int{20_000, 1000, 20_000}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPlanner()
			p.MemoryShare = 1
			p.Decode.Must = []Filter{Usable{}, ProjectedMemory{MemoryShare: 1}}
			prefills := []*Server{countedServer(1, 4, 10_000)}
			decodes := []*Server{countedServer(2, 4, 10_000), countedServer(3, 4, 10_000), countedServer(4, 4, 10_000), countedServer(5, 4, 2_000)}
			decodes[1].SetRemoteUse(Use{Slots: 4}, nil)
			plan, ok := p.PlanAfter(testRand(), &Request{PromptTokens: 1000, AnswerTokens: 10}, prefills, decodes, tc.ahead)
			is.Equal(ok, tc.want != none)
			if ok {
				is.Equal(plan.Decode, tc.want)
			}
		})
	}
}

func TestWaitDependsOnQueuePosition(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	busy, busier := countedServer(1, 4, 6_000), countedServer(2, 4, 6_000)
	busy.SetRemoteUse(Use{Slots: 1}, []*Run{{Prompt: 4000, Answer: 1000}})
	busier.SetRemoteUse(Use{Slots: 1}, []*Run{{Prompt: 4000, Answer: 2000}})
	r := &Request{PromptTokens: 4000, AnswerTokens: 1000}
	for ahead, want := range []time.Duration{second, 2 * second, 2 * second} {
		wait, ok := p.Wait(r, []*Server{busier, busy}, 1, ahead)
		is.True(ok)
		is.Equal(wait, want)
	}
	_, ok := p.Wait(r, []*Server{{}}, 1, 0)
	is.True(!ok) // unknown for servers that are not counted
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// slowProjection is the reference implementation of Projection: it adds up the
// memory run by run.
type slowProjection struct {
	now  time.Duration
	rate float64
	runs []*Run
}

func (p slowProjection) memory(t time.Duration) float64 {
	sum := 0.0
	for _, r := range p.runs {
		if t <= r.expectedEnd(p.now, p.rate) {
			sum += float64(r.Prompt) + max(0, predict.Milliseconds(t-r.Began))*p.rate
		}
	}
	return sum
}

func (p slowProjection) peak(extra *Run) float64 {
	with := slowProjection{now: p.now, rate: p.rate, runs: append(slices.Clone(p.runs), extra)}
	last := extra.expectedEnd(p.now, p.rate)
	peak := max(with.memory(extra.Began), with.memory(last))
	for _, r := range p.runs {
		if t := r.expectedEnd(p.now, p.rate); t >= extra.Began && t <= last {
			peak = max(peak, with.memory(t))
		}
	}
	return peak
}

func (p slowProjection) earliest(extra Run, memory float64) time.Duration {
	ready, times := extra.Began-p.now, []time.Duration{p.now}
	for _, r := range p.runs {
		if t := r.expectedEnd(p.now, p.rate); t >= p.now {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	for _, t := range times {
		extra.Began = t + 1 + ready
		if p.peak(&extra) <= memory {
			return t
		}
	}
	return times[len(times)-1]
}

// TestProjectionsAgreeWithTheirDefinition compares Projection with slowProjection on
// random servers, including runs that last longer than expected and runs that have
// not begun.
func TestProjectionsAgreeWithTheirDefinition(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 8))
	duration := func(limit time.Duration) time.Duration {
		return time.Duration(rnd.Int64N(int64(limit))).Round(time.Microsecond)
	}
	for range 2000 {
		is := is.New(t)
		slow := slowProjection{now: 10 * second, rate: 0.5 + rnd.Float64()}
		for range rnd.IntN(20) {
			slow.runs = append(slow.runs, &Run{Prompt: rnd.IntN(5000), Answer: float64(1 + rnd.IntN(4000)), Began: 4*second + duration(7*second)})
		}
		split := len(slow.runs) / 2
		fast := NewProjection(slow.now, slow.rate, slow.runs[:split], slow.runs[split:])
		extra := Run{Prompt: rnd.IntN(5000), Answer: float64(1 + rnd.IntN(4000)), Began: slow.now + duration(second)}
		at := slow.now + duration(6*second)
		is.True(math.Abs(fast.Memory(at)-slow.memory(at)) < 0.1)
		is.True(math.Abs(fast.Peak(&extra)-slow.peak(&extra)) < 0.1)
		memory := rnd.Float64() * 60_000
		is.Equal(fast.Fits(&extra, memory), slow.peak(&extra) <= memory)
		is.True(max(fast.Earliest(&extra, memory)-slow.earliest(extra, memory), slow.earliest(extra, memory)-fast.Earliest(&extra, memory)) < time.Microsecond)
	}
}

// TestCachedProjectionIsInvalidatedByChanges changes the runs and the speed of a
// server between projections.
func TestCachedProjectionIsInvalidatedByChanges(t *testing.T) {
	is := is.New(t)
	s := countedServer(1, 4, 10_000)
	is.Equal(s.Project(0).Now(), 0.0)
	u := Use{Slots: 1, Run: &Run{Prompt: 4000, Answer: 1000}}
	s.RecordSend(0, u)
	is.Equal(s.Project(0).Now(), 4000.0)
	is.Equal(s.Project(time.Millisecond).Now(), 4001.0)
	s.SetRemoteUse(Use{Slots: 1}, []*Run{{Prompt: 500, Answer: 1000}})
	is.Equal(s.Project(0).Now(), 4500.0)
	s.RecordEnd(0, u)
	is.Equal(s.Project(0).Now(), 500.0)
	for range 100 {
		s.ObserveStep(0, 2*time.Millisecond, 0)
	}
	is.True(s.Project(100*time.Millisecond).Now() < 560) // it grows at half the speed
}
