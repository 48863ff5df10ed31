package benchmodel

import (
	"cmp"
	"slices"
	"time"
)

// Scenario is the load over time and the faults of a run.
type Scenario struct {
	Name string
	// Load is the share of the bottleneck's capacity that is offered.
	Load float64
	// Burst multiplies the load for a tenth of the run, after its first third.
	Burst float64
	// Flood multiplies the load of the first provider in the middle third.
	Flood float64
	// Each of these causes a fault, which begins after a third of the run.
	SlowDecode     bool
	CrashDecode    bool
	CrashPrefill   bool
	StallLink      bool
	FreezeReports  bool
	LoseDataCentre bool
	// DecodePieces is the memory of a decode engine; zero means piecesPerEngine.
	DecodePieces int
}

// decodePieces returns the memory of a decode engine in pieces.
func (s Scenario) decodePieces() int {
	if s.DecodePieces > 0 {
		return s.DecodePieces
	}
	return piecesPerEngine
}

// Durations of faults.
const (
	stallDuration  = 3 * time.Second
	freezeDuration = 5 * time.Second
	// slowFactor multiplies the step time of a slow engine.
	slowFactor = 2
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "load70", Load: 0.70},
		{Name: "load85", Load: 0.85},
		{Name: "load95", Load: 0.95},
		{Name: "overload130", Load: 1.30},
		{Name: "burst", Load: 0.70, Burst: 2},
		{Name: "slow-engine", Load: 0.70, SlowDecode: true},
		{Name: "crash", Load: 0.85, CrashDecode: true},
		{Name: "crash-prefill", Load: 0.85, CrashPrefill: true},
		{Name: "stalled-link", Load: 0.85, StallLink: true},
		{Name: "frozen-report", Load: 0.85, FreezeReports: true},
		{Name: "flood", Load: 0.85, Flood: 4},
		{Name: "short-memory", Load: 0.85, DecodePieces: 50},
		{Name: "lost-data-centre", Load: 0.60, LoseDataCentre: true},
	}
}

// FindScenario returns a scenario by name.
func FindScenario(name string) (Scenario, bool) {
	i := slices.IndexFunc(Scenarios(), func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return Scenarios()[i], true
}

// Window is an interval of virtual time that includes From but not To.
type Window struct{ From, To time.Duration }

func (w Window) contains(t time.Duration) bool { return t >= w.From && t < w.To }

// faultWindow returns the interval of the fault, the burst or the flood.
func (s Scenario) faultWindow(f Fleet) Window {
	third := f.Duration / 3
	w := Window{From: third, To: 2 * third}
	switch {
	case s.StallLink:
		w.To = w.From + stallDuration
	case s.FreezeReports:
		w.To = w.From + freezeDuration
	case s.Burst > 0:
		w.To = w.From + f.Duration/10
	}
	return w
}

// offeredLoad returns the load of a provider at a time, relative to the provider's
// share of the bottleneck's capacity.
func (s Scenario) offeredLoad(f Fleet, provider int, t time.Duration) float64 {
	in := s.faultWindow(f).contains(t)
	switch {
	case s.Burst > 0 && in:
		return s.Load * s.Burst
	case s.Flood > 0 && in && provider == 0:
		return s.Load * s.Flood
	default:
		return s.Load
	}
}

// peakLoad returns the max of offeredLoad over the run.
func (s Scenario) peakLoad(provider int) float64 {
	switch {
	case s.Burst > 0:
		return s.Load * s.Burst
	case s.Flood > 0 && provider == 0:
		return s.Load * s.Flood
	default:
		return s.Load
	}
}

// sortByArrival sorts requests and numbers them in that order.
func sortByArrival(list []*request) {
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	for i, r := range list {
		r.id = i
	}
}
