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

	waits []time.Duration // buffer of Wait
}

// Weights of the default planner, in milliseconds.
const (
	// prefillTolerance is the difference of cost that is less than what the
	// views of the entries can tell.
	prefillTolerance = 2
	// slotCost is the slowdown of a step by one more slot over an answer.
	slotCost = 10
	// slotTolerance makes decode servers equal within two slots.
	slotTolerance = 2 * slotCost
	// roundTrips of a request before its first token.
	roundTrips = 3
)

// NewPlanner returns the planner of the daemon.
func NewPlanner() *Planner {
	return &Planner{
		Prefill: &Pipeline{
			Must:    []Filter{Usable{}},
			Prefer:  []Filter{NotRefused{}, Flowing{}},
			Scorers: []Scorer{WaitCost{}, PrefillCost{}, TransferCost{}, DistanceCost{RoundTrips: 1}},
			Picker:  Least{Tolerance: prefillTolerance},
		},
		Decode: &Pipeline{
			Must:    []Filter{Usable{}, RoomFilter{Foresee: true}},
			Prefer:  []Filter{FastEnough{}},
			Scorers: []Scorer{SlotsCost{PerSlot: slotCost}, DistanceCost{RoundTrips: roundTrips}},
			Picker:  Least{Tolerance: slotTolerance},
		},
	}
}

// Plan is where a request goes.
type Plan struct {
	Prefill, Decode int
	// Wait is the predicted wait at the prefill server.
	Wait time.Duration
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// ChoosePrefill returns the prefill server of the least cost and the predicted
// time until its prefill is done and transferred.
func (p *Planner) ChoosePrefill(rnd *rand.Rand, r *Request, servers []*Server) (Choice, bool) {
	return p.Prefill.Choose(rnd, r, servers)
}

// AnyTurn is the turn of a request that competes with none at other processes.
const AnyTurn = -1

// Plan chooses both servers. It reports false when no prefill or no decode
// server may take the request now.
func (p *Planner) Plan(rnd *rand.Rand, r *Request, prefills, decodes []*Server) (Plan, bool) {
	return p.PlanTurn(rnd, r, prefills, decodes, AnyTurn)
}

// PlanTurn is Plan for a request that competes with others at other processes.
// It takes the decode server with the position of its turn among those that may
// take it.
func (p *Planner) PlanTurn(rnd *rand.Rand, r *Request, prefills, decodes []*Server, turn int) (Plan, bool) {
	pre, ok := p.ChoosePrefill(rnd, r, prefills)
	if !ok {
		return Plan{}, false
	}
	ready := time.Duration(pre.Cost * float64(time.Millisecond))
	r.PrefillIn = time.Duration(float64(ready) * (1 - r.Caution))
	dec, ok := p.chooseDecode(rnd, r, decodes, turn)
	if !ok {
		return Plan{}, false
	}
	return Plan{
		Prefill: pre.Index, Decode: dec.Index,
		Wait:       time.Duration(prefills[pre.Index].Wait(r.Now) * float64(time.Millisecond)),
		FirstToken: ready + time.Duration(decodes[dec.Index].Step()*float64(time.Millisecond)),
	}, true
}

func (p *Planner) chooseDecode(rnd *rand.Rand, r *Request, decodes []*Server, turn int) (Choice, bool) {
	if turn == AnyTurn {
		return p.Decode.Choose(rnd, r, decodes)
	}
	kept := p.Decode.Kept(r, decodes)
	if turn >= len(kept) {
		return Choice{Index: -1}, false
	}
	return Choice{Index: kept[turn]}, true
}

// Wait predicts how long a request waits until a counted decode server has room
// for it, when ahead others are placed before it, one at each server in turn. It
// reports false for servers that are not counted, of which that is not known.
func (p *Planner) Wait(r *Request, decodes []*Server, share float64, ahead int) (time.Duration, bool) {
	p.waits = p.waits[:0]
	extra := Run{Prompt: r.PromptTokens, Answer: r.AnswerTokens, Began: r.Now + r.PrefillIn}
	free := 0
	for _, s := range decodes {
		if s.Down {
			continue
		}
		if !s.counted {
			return 0, false
		}
		wait := s.Project(r.Now).Earliest(&extra, (share-r.Reserve)*float64(s.report.PiecesTotal)) - r.Now
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

// StartOverhead is the time from the end of a transfer to the first token, with
// the messages of a request.
const StartOverhead = 60 * time.Millisecond

// Work returns the time of a prefill without a cached prefix, in milliseconds.
func (p *Planner) Work(promptTokens int) float64 {
	return float64(promptTokens) / p.Rate.Value(defaultPrefillRate)
}

// BestPath is the least time from dispatch to the first token of a prompt on
// idle servers without a cached prefix.
func (p *Planner) BestPath(promptTokens int) time.Duration {
	transfer := float64((promptTokens+pieceTokens-1)/pieceTokens) * defaultPiece
	return time.Duration((p.Work(promptTokens)+transfer)*float64(time.Millisecond)) + StartOverhead
}

// Bounds of the dispatch to prefill servers.
const (
	// MaxRefusals bounds the refusals in a row before any wait is tolerated.
	MaxRefusals = 3
	// WaitTolerance is the time by which a wait may exceed its prediction.
	WaitTolerance = 50 * time.Millisecond
)
