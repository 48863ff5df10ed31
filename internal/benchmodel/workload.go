package benchmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of generated lengths, in tokens.
const (
	minPrompt = 50
	minAnswer = 4
)

// request is one request of the workload and its outcome.
type request struct {
	id       int
	arrived  time.Duration
	provider int
	entry    int
	prompt   int      // tokens
	answer   int      // tokens
	prefixes []uint64 // hashes of whole-piece prefixes

	// Outcome.
	received   int // answer tokens
	firstToken time.Duration
	lastToken  time.Duration
	completed  bool
	refused    bool
	attempts   int
}

func piecesOf(tokens int) int { return (tokens + pieceTokens - 1) / pieceTokens }

// meanTokenInterval returns the mean time between the tokens of a completed answer.
func (r *request) meanTokenInterval() time.Duration {
	if r.answer < 2 {
		return 0
	}
	return (r.lastToken - r.firstToken) / time.Duration(r.answer-1)
}

// metTargets reports whether the request completed within both targets.
func (r *request) metTargets() bool {
	return r.completed && r.firstToken-r.arrived <= firstTokenTarget && r.meanTokenInterval() <= tokenIntervalTarget
}

// generate returns the requests of a scenario in order of arrival. Arrivals are a
// Poisson process at the peak load of each provider, thinned to the offered load.
func generate(f Fleet, s Scenario) []*request {
	var out []*request
	capacity := f.Capacity()
	for i, p := range f.Providers {
		// Each provider has its own random source, so that a change to one provider
		// does not change the requests of the others.
		rnd := rand.New(rand.NewPCG(f.Seed, uint64(i)+1))
		for t := 0.0; ; {
			peak := capacity * p.Share * s.peakLoad(i)
			t += rnd.ExpFloat64() / peak
			at := time.Duration(t * float64(time.Second))
			if at >= f.Duration {
				break
			}
			keep := rnd.Float64() < s.offeredLoad(f, i, at)/s.peakLoad(i)
			r := drawRequest(rnd, f, i, at)
			if keep {
				out = append(out, r)
			}
		}
	}
	sortByArrival(out)
	return out
}

// drawRequest returns one random request. It draws the same number of random values
// each time, so that the later requests do not depend on which ones generate keeps.
func drawRequest(rnd *rand.Rand, f Fleet, provider int, at time.Duration) *request {
	p := f.Providers[provider]
	r := &request{arrived: at, provider: provider}
	r.prompt = int(min(max(p.PromptMedian*math.Exp(promptSigma*rnd.NormFloat64()), minPrompt), float64(f.MaxPrompt)))
	r.answer = int(min(max(p.AnswerMedian*math.Exp(answerSigma*rnd.NormFloat64()), minAnswer), maxAnswer))
	r.entry = rnd.IntN(f.Entries)
	hot, which, unique := rnd.Float64() < f.HotShare, rnd.IntN(f.HotPrefixes), rnd.Uint64()
	for i := range r.prompt / pieceTokens {
		h := unique + uint64(i)
		if hot && (i+1)*pieceTokens <= f.PrefixTokens {
			h = uint64(provider*1000 + which*10 + i + 1)
		}
		r.prefixes = append(r.prefixes, h)
	}
	return r
}

// hotTokens returns the length of the shared prefix of a request. It recognises the
// hashes of shared prefixes by their low values.
func (r *request) hotTokens() int {
	n := 0
	for _, h := range r.prefixes {
		if h > 1_000_000 {
			break
		}
		n += pieceTokens
	}
	return n
}
