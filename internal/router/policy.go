package router

import (
	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// Weights of the planner for servers whose load the entries count. Costs are in
// milliseconds.
const (
	// prefillTolerance is the difference in cost below which prefill servers are
	// considered equal, since the counts of the entries are not more accurate.
	prefillTolerance = 4
	// projectedShare is the fraction of the decode memory that projected use may take.
	// The rest is for answers that are longer than predicted.
	projectedShare = 0.95
	// prefillShare is the fraction of a prefill server's memory that prompts in prefill and in
	// its queue may take. The rest is for results that decode servers have not fetched yet.
	prefillShare = 0.8
	// slotCost is the slowdown of an answer by one more request in its batch.
	slotCost = 10
	// slotTolerance makes decode servers equal that differ by at most one request.
	slotTolerance = slotCost
)

// newPlanner returns the planner for the servers of a service, whose load is counted.
func newPlanner(speeds *predict.Speeds) *placement.Planner {
	return &placement.Planner{
		Speeds:      speeds,
		MemoryShare: projectedShare,
		Prefill: &placement.Pipeline{
			Must:    []placement.Filter{placement.Usable{}, placement.PrefillMemory{MemoryShare: prefillShare}},
			Prefer:  []placement.Filter{placement.NotRefused{}, placement.NotStalled{}},
			Scorers: []placement.Scorer{placement.WaitCost{}, placement.PrefillCost{}, placement.DistanceCost{RoundTrips: 1}},
			Picker:  placement.LowestCost{Tolerance: prefillTolerance},
		},
		Decode: &placement.Pipeline{
			Must:    []placement.Filter{placement.Usable{}, placement.ProjectedMemory{MemoryShare: projectedShare}},
			Prefer:  []placement.Filter{placement.NotSlow{}},
			Scorers: []placement.Scorer{placement.SlotsCost{PerSlot: slotCost}, placement.DistanceCost{RoundTrips: 1}},
			Picker:  placement.LowestCost{Tolerance: slotTolerance},
		},
	}
}

// newPolicy returns the admission policy of the router.
func newPolicy() admission.Policy { return admission.Default() }
