package router

import (
	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// Weights of the planner for counted servers; costs are in milliseconds.
const (
	// prefillTolerance is the difference of cost that is less than what the
	// counts of the entries can tell.
	prefillTolerance = 4
	// projectedShare is the part of the memory that the projection may use; the
	// rest is for answers that are longer than foreseen.
	projectedShare = 0.9
	// waitTrust is the part of the predicted wait for decode room that counts
	// against a request on arrival.
	waitTrust = 0.6
	// slotCost is the slowdown of an answer by one more request in its batch.
	slotCost = 10
	// slotTolerance makes decode servers equal within one request.
	slotTolerance = slotCost
)

// newPlanner returns the planner for servers whose load is counted.
func newPlanner() *placement.Planner {
	p := &placement.Planner{
		Prefill: &placement.Pipeline{
			Must:    []placement.Filter{placement.Usable{}},
			Prefer:  []placement.Filter{placement.NotRefused{}, placement.Flowing{}},
			Scorers: []placement.Scorer{placement.WaitCost{}, placement.PrefillCost{}, placement.DistanceCost{RoundTrips: 1}},
			Picker:  placement.Least{Tolerance: prefillTolerance},
		},
		Decode: &placement.Pipeline{
			Must:    []placement.Filter{placement.Usable{}, placement.ProjectedRoom{Share: projectedShare}},
			Prefer:  []placement.Filter{placement.FastEnough{}},
			Scorers: []placement.Scorer{placement.SlotsCost{PerSlot: slotCost}, placement.DistanceCost{RoundTrips: 1}},
			Picker:  placement.Least{Tolerance: slotTolerance},
		},
	}
	p.Rate.Add(assumedPrefillRate)
	return p
}

// newPolicy returns the admission of the router.
func newPolicy() admission.Policy { return admission.Default() }
