package benchmodel

import (
	"math"
	"time"
)

// Constants of the engine models.
const (
	slotsPerEngine      = 20                    // of a decode engine
	piecesPerEngine     = 100                   // memory of a decode engine
	prefillRate         = 20.0                  // tokens per millisecond
	stepBase            = 30 * time.Millisecond // step of an empty batch
	stepPerSlot         = time.Millisecond      // added for each decode in the batch
	resultTTL           = 800 * time.Millisecond
	pieceTransferTime   = 25 * time.Millisecond // one piece on a link
	cachePrefixes       = 40                    // cached prefixes of a prefill engine
	heartbeatInterval   = 500 * time.Millisecond
	pieceTokens         = 2000
	maxAnswer           = 256                    // tokens
	localDelay          = 250 * time.Microsecond // one way, within a data centre
	remoteDelay         = time.Millisecond       // one way, between data centres
	detectionTime       = 500 * time.Millisecond // until a crash is detected
	firstTokenTarget    = 1400 * time.Millisecond
	tokenIntervalTarget = 74 * time.Millisecond
)

// Provider is one provider in the workload of a fleet.
type Provider struct {
	Name   string
	Share  float64 // of the requests
	Weight float64
	// GoodputWeight and WastedPrefillWeight are the weights of the provider's
	// objectives.
	GoodputWeight, WastedPrefillWeight float64
	// PromptMedian and AnswerMedian are the medians of the log-normal lengths of
	// prompts and answers, in tokens.
	PromptMedian, AnswerMedian float64
}

// Fleet is the size of a fleet and its workload.
type Fleet struct {
	Name              string
	Prefills, Decodes int
	Entries           int
	DataCentres       int
	Providers         []Provider
	MaxPrompt         int           // tokens
	Duration          time.Duration // of arrivals
	PrefixTokens      int           // length of a shared prefix
	HotPrefixes       int           // shared prefixes of each provider
	HotShare          float64       // share of requests with a shared prefix
	Seed              uint64
}

// Sigmas of the log-normal lengths of prompts and answers.
const (
	promptSigma = 0.7
	answerSigma = 0.6
)

// Nile returns the fleet of 15 servers whose decode engines are the bottleneck.
func Nile() Fleet {
	return Fleet{
		Name: "nile", Prefills: 8, Decodes: 7, Entries: 3, DataCentres: 3,
		Providers: []Provider{
			{Name: "field", Share: 0.5, Weight: 1, GoodputWeight: 3, WastedPrefillWeight: 1, PromptMedian: 3000, AnswerMedian: 66},
			{Name: "season", Share: 0.3, Weight: 1, GoodputWeight: 3, WastedPrefillWeight: 1, PromptMedian: 3600, AnswerMedian: 72},
			{Name: "office", Share: 0.2, Weight: 1, GoodputWeight: 3, WastedPrefillWeight: 1, PromptMedian: 1500, AnswerMedian: 60},
		},
		MaxPrompt: 14_000, Duration: 120 * time.Second,
		PrefixTokens: 2000, HotPrefixes: 4, HotShare: 0.25, Seed: 1,
	}
}

// Registry returns the fleet of 10 servers, which has the longest prompts.
func Registry() Fleet {
	return Fleet{
		Name: "registry", Prefills: 6, Decodes: 4, Entries: 3, DataCentres: 3,
		Providers: []Provider{
			{Name: "county", Share: 0.4, Weight: 1, GoodputWeight: 1, WastedPrefillWeight: 3, PromptMedian: 4800, AnswerMedian: 50},
			{Name: "fibre", Share: 0.4, Weight: 1, GoodputWeight: 1, WastedPrefillWeight: 3, PromptMedian: 4400, AnswerMedian: 46},
			{Name: "crews", Share: 0.2, Weight: 1, GoodputWeight: 1, WastedPrefillWeight: 3, PromptMedian: 2400, AnswerMedian: 44},
		},
		MaxPrompt: 16_000, Duration: 180 * time.Second,
		PrefixTokens: 2000, HotPrefixes: 4, HotShare: 0.25, Seed: 2,
	}
}

// Design returns one data centre of the design size.
func Design() Fleet {
	f := Nile()
	f.Name, f.Prefills, f.Decodes, f.Entries, f.DataCentres = "design", 66, 62, 13, 1
	f.Duration, f.Seed = 30*time.Second, 3
	return f
}

// Fleets returns all fleets.
func Fleets() []Fleet { return []Fleet{Nile(), Registry(), Design()} }

// Capacity returns the requests a second that the bottleneck serves when no prefix
// is cached.
func (f Fleet) Capacity() float64 {
	prompt, answer := f.meanLengths()
	prefill := float64(f.Prefills) * prefillRate * 1000 / prompt
	step := stepBase + slotsPerEngine*stepPerSlot
	decode := float64(f.Decodes) * slotsPerEngine / (answer * step.Seconds())
	return math.Min(prefill, decode)
}

// meanLengths returns the mean lengths of prompts and answers in tokens.
func (f Fleet) meanLengths() (prompt, answer float64) {
	for _, p := range f.Providers {
		prompt += p.Share * clippedMean(p.PromptMedian, promptSigma, minPrompt, float64(f.MaxPrompt))
		answer += p.Share * clippedMean(p.AnswerMedian, answerSigma, minAnswer, maxAnswer)
	}
	return prompt, answer
}

// clippedMean returns the mean of a log-normal distribution clipped to [lo, hi],
// integrated by the midpoint rule over its quantiles.
func clippedMean(median, sigma, lo, hi float64) float64 {
	const n = 10_000
	sum := 0.0
	for i := range n {
		q := (float64(i) + 0.5) / n
		z := math.Sqrt2 * math.Erfinv(2*q-1)
		sum += min(max(median*math.Exp(sigma*z), lo), hi)
	}
	return sum / n
}
