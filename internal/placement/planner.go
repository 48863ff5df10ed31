package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// Planner chooses the prefill and the decode server of a request. It is not safe
// for concurrent use.
type Planner struct {
	Prefill *Pipeline
	Decode  *Pipeline
	// Rate is the speed of prefills over all servers, in tokens a millisecond.
	Rate predict.Mean
	// Speeds, if not nil, are those of the service, and replace Rate and the assumed
	// times from the prefill to the first token.
	Speeds *predict.Speeds

	// MemoryShare is the fraction of the memory of counted servers that requests may use.
	MemoryShare float64

	waits []time.Duration // buffer of Wait
	room  []float64       // buffer of firstLeft
}

// Parameters of the default planner. Costs are in milliseconds.
const (
	// prefillTolerance is the difference in cost up to which prefill servers are
	// considered equal, since the entries' estimates are not more accurate.
	prefillTolerance = 2
	// slotCost is the time by which one more slot in use delays a whole answer.
	slotCost = 10
	// slotTolerance makes decode servers equal that differ by at most two slots.
	slotTolerance = 2 * slotCost
	// roundTrips is the number of network round trips before the first token.
	roundTrips = 3
)

// NewPlanner returns the planner that the daemon uses.
func NewPlanner() *Planner {
	return &Planner{
		Prefill: &Pipeline{
			Must:    []Filter{Usable{}},
			Prefer:  []Filter{NotRefused{}, NotStalled{}},
			Scorers: []Scorer{WaitCost{}, PrefillCost{}, TransferCost{}, DistanceCost{RoundTrips: 1}},
			Picker:  LowestCost{Tolerance: prefillTolerance},
		},
		Decode: &Pipeline{
			Must:    []Filter{Usable{}, CapacityFilter{IncludeReleases: true}},
			Prefer:  []Filter{NotSlow{}},
			Scorers: []Scorer{SlotsCost{PerSlot: slotCost}, DistanceCost{RoundTrips: roundTrips}},
			Picker:  LowestCost{Tolerance: slotTolerance},
		},
	}
}

// Plan holds the servers that were chosen for a request, by index, and the
// predicted latencies.
type Plan struct {
	Prefill, Decode int
	// Wait is the predicted wait at the prefill server.
	Wait time.Duration
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// ChoosePrefill returns a prefill server of the lowest cost. The cost is the
// predicted time until the prefill is done and its result transferred.
func (p *Planner) ChoosePrefill(rnd *rand.Rand, r *Request, servers []*Server) (Choice, bool) {
	return p.Prefill.Choose(rnd, r, servers)
}

// Plan chooses both servers. It reports false when no prefill or no decode
// server may take the request now.
func (p *Planner) Plan(rnd *rand.Rand, r *Request, prefills, decodes []*Server) (Plan, bool) {
	return p.plan(rnd, r, prefills, decodes, func() (int, bool) {
		c, ok := p.Decode.Choose(rnd, r, decodes)
		return c.Index, ok
	})
}

// PlanAfter is Plan for a request that competes with requests of other entries. ahead are
// the prompts of those that arrived before it, in the order of their arrival. Each of them
// uses the first server in the order of the fleet that has memory for it, of those that are
// left, so that the entries choose different servers. The first of them for which no
// server has memory keeps the one with the most free memory from the others, so that a
// large request is not overtaken for ever; the ones after it, which fit nowhere either,
// keep nothing from smaller ones (backfilling: Lifka, The ANL/IBM SP Scheduling System,
// 1995).
func (p *Planner) PlanAfter(rnd *rand.Rand, r *Request, prefills, decodes []*Server, ahead []int) (Plan, bool) {
	return p.plan(rnd, r, prefills, decodes, func() (int, bool) { return p.firstLeft(r, decodes, ahead) })
}

// firstLeft returns the first decode server that may take a request and that the requests
// ahead of it leave.
func (p *Planner) firstLeft(r *Request, decodes []*Server, ahead []int) (int, bool) {
	kept := p.Decode.Kept(r, decodes)
	if len(kept) == 0 || len(ahead) == 0 {
		return first(kept)
	}
	p.room = p.room[:0]
	for _, s := range decodes {
		p.room = append(p.room, s.room(r, p.MemoryShare))
	}
	reserved := false
	for _, prompt := range ahead {
		at := slices.IndexFunc(p.room, func(room float64) bool { return room >= float64(prompt) })
		if at < 0 && !reserved {
			reserved = true
			for i, room := range p.room {
				if room > 0 && (at < 0 || room > p.room[at]) {
					at = i
				}
			}
		}
		if at >= 0 {
			p.room[at] = 0
		}
	}
	return first(slices.DeleteFunc(kept, func(i int) bool { return p.room[i] <= 0 }))
}

func first(list []int) (int, bool) {
	if len(list) == 0 {
		return -1, false
	}
	return list[0], true
}

// plan chooses a prefill server and then a decode server by chooseDecode.
func (p *Planner) plan(rnd *rand.Rand, r *Request, prefills, decodes []*Server, chooseDecode func() (int, bool)) (Plan, bool) {
	pre, ok := p.ChoosePrefill(rnd, r, prefills)
	if !ok {
		return Plan{}, false
	}
	ready := time.Duration(pre.Cost * float64(time.Millisecond))
	r.ForecastHorizon = time.Duration(float64(ready) * (1 - r.Caution))
	dec, ok := chooseDecode()
	if !ok {
		return Plan{}, false
	}
	return Plan{
		Prefill: pre.Index, Decode: dec,
		Wait:       time.Duration(prefills[pre.Index].WaitMillis(r.Now) * float64(time.Millisecond)),
		FirstToken: ready + time.Duration(decodes[dec].StepMillis()*decodes[dec].Pace(r.Now+ready)*float64(time.Millisecond)),
	}, true
}

// Wait predicts how long a request waits until a counted decode server has memory
// for it; slots are not considered. ahead is the number of requests that are placed before it, one at each
// server, and share the fraction of the memory that may be used. It reports false when no server
// is up, or one that is up is not counted, since its runs are unknown.
func (p *Planner) Wait(r *Request, decodes []*Server, share float64, ahead int) (time.Duration, bool) {
	p.waits = p.waits[:0]
	extra := Run{Prompt: r.PromptTokens, Answer: r.AnswerTokens, Began: r.Now + r.ForecastHorizon}
	free := 0
	for _, s := range decodes {
		if s.Unavailable {
			continue
		}
		if !s.counted {
			return 0, false
		}
		wait := s.Project(r.Now).Earliest(&extra, (share-r.ReservedShare)*float64(s.report.PiecesTotal)) - r.Now
		if wait <= 0 {
			free++
		}
		if free > ahead {
			return 0, true
		}
		p.waits = append(p.waits, wait)
	}
	if len(p.waits) == 0 {
		return 0, false
	}
	slices.Sort(p.waits)
	return p.waits[min(ahead, len(p.waits)-1)], true
}

// StartOverhead is the time from the end of a transfer to the first token,
// including the messages of the request.
const StartOverhead = 60 * time.Millisecond

// PrefillMillis returns the time of a prefill without a cached prefix, in
// milliseconds.
func (p *Planner) PrefillMillis(promptTokens int) float64 {
	if p.Speeds != nil {
		return float64(promptTokens) / p.Speeds.PrefillRate()
	}
	return float64(promptTokens) / p.Rate.Value(defaultPrefillRate)
}

// StartTime returns the time from the end of a transfer to the first token. Where
// the speeds of the service are measured, it includes the transfer.
func (p *Planner) StartTime() time.Duration {
	if p.Speeds != nil {
		return time.Duration(p.Speeds.StartMillis() * float64(time.Millisecond))
	}
	return StartOverhead
}

// MinTimeToFirstToken returns the minimum time from dispatch to the first token of
// a prompt: that of idle servers without a cached prefix.
func (p *Planner) MinTimeToFirstToken(promptTokens int) time.Duration {
	if p.Speeds != nil {
		return time.Duration(p.PrefillMillis(promptTokens)*float64(time.Millisecond)) + p.StartTime()
	}
	transfer := float64((promptTokens+pieceTokens-1)/pieceTokens) * defaultPieceMillis
	return time.Duration((p.PrefillMillis(promptTokens)+transfer)*float64(time.Millisecond)) + StartOverhead
}

// Bounds of the dispatch to prefill servers.
const (
	// MaxRefusals is the number of consecutive refusals after which a request
	// accepts any wait.
	MaxRefusals = 3
	// WaitTolerance is the time by which the wait at a prefill server may exceed its
	// prediction before the agent refuses the prefill.
	WaitTolerance = 50 * time.Millisecond
)
