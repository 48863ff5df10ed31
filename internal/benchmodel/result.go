package benchmodel

import (
	"slices"
	"time"
)

// Result is the outcome of one run.
type Result struct {
	Offered int
	// GoodputShare is the share of the offered requests that met both targets.
	GoodputShare float64
	// BoundShare is an upper bound of GoodputShare for any policy.
	BoundShare float64
	// WastedPrefillShare is the share of the prefill computing time whose result
	// was never decoded.
	WastedPrefillShare float64
	// RefusedShare is the share of the offered requests that were refused.
	RefusedShare float64
	// FirstTokenP95 and BetweenTokensP95 are over completed requests.
	FirstTokenP95, BetweenTokensP95 time.Duration
	// Fairness is Jain's index of the goodput shares of the providers that do
	// not flood.
	Fairness float64
	// MinShare is the lowest goodput share of a provider that does not flood.
	MinShare  float64
	Providers []ProviderResult
	// GoodputRate is the goodput as a share of the bottleneck's capacity.
	GoodputRate float64
	// LengthError is the mean absolute error of the predicted answer lengths, and
	// AnswerMean the mean answer length, both in tokens.
	LengthError, AnswerMean float64
}

// ProviderResult counts the requests of one provider that were offered and those
// that met both targets.
type ProviderResult struct {
	Name          string
	Offered, Good int
}

// Share returns the goodput share of the provider.
func (p ProviderResult) Share() float64 {
	if p.Offered == 0 {
		return 1
	}
	return float64(p.Good) / float64(p.Offered)
}

func (sim *simulation) summarise(requests []*request) Result {
	r := Result{Offered: len(requests), Providers: make([]ProviderResult, len(sim.fleet.Providers))}
	for i, p := range sim.fleet.Providers {
		r.Providers[i].Name = p.Name
	}
	var first, between []time.Duration
	good, refused, answers := 0, 0, 0
	for _, q := range requests {
		p := &r.Providers[q.provider]
		p.Offered++
		answers += q.answer
		if q.refused {
			refused++
		}
		if q.completed {
			first = append(first, q.firstToken-q.arrived)
			between = append(between, q.meanTokenInterval())
		}
		if q.metTargets() {
			p.Good++
			good++
		}
	}
	n := float64(max(len(requests), 1))
	r.GoodputShare, r.RefusedShare, r.AnswerMean = float64(good)/n, float64(refused)/n, float64(answers)/n
	r.GoodputRate = float64(good) / sim.fleet.Duration.Seconds() / sim.fleet.Capacity()
	r.BoundShare = float64(goodputUpperBound(sim.fleet, sim.scenario, requests)) / n
	r.WastedPrefillShare = float64(sim.totals.wasted) / float64(max(sim.totals.spent, 1))
	r.FirstTokenP95, r.BetweenTokensP95 = quantile(first, 0.95), quantile(between, 0.95)
	r.Fairness = sim.fairness(r.Providers)
	r.MinShare = sim.minShare(r.Providers)
	for _, e := range sim.entries {
		r.LengthError += e.lengths.MeanAbsError() / float64(len(sim.entries))
	}
	return r
}

// withoutFlooder returns the providers that do not flood.
func (sim *simulation) withoutFlooder(list []ProviderResult) []ProviderResult {
	if sim.scenario.Flood > 0 {
		return list[1:]
	}
	return list
}

func (sim *simulation) minShare(list []ProviderResult) float64 {
	lowest := 1.0
	for _, p := range sim.withoutFlooder(list) {
		lowest = min(lowest, p.Share())
	}
	return lowest
}

// fairness returns Jain's index of the goodput shares.
func (sim *simulation) fairness(list []ProviderResult) float64 {
	list = sim.withoutFlooder(list)
	sum, squares := 0.0, 0.0
	for _, p := range list {
		sum += p.Share()
		squares += p.Share() * p.Share()
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(list)) * squares)
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}
