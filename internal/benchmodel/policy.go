package benchmodel

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// ReservationKind is the way in which the decode of a request is reserved.
type ReservationKind int

// Ways to reserve a slot and memory at a decode server.
const (
	// ReserveProjected reserves at dispatch what is predicted to be free at the end
	// of the prefill.
	ReserveProjected ReservationKind = iota
	// ReserveFree reserves at dispatch what is free at that time.
	ReserveFree
	// ReserveAfterPrefill reserves when the prefill has ended.
	ReserveAfterPrefill
)

// Policy is one choice of the algorithms and options that are compared. Planner
// makes a new planner for each entry.
type Policy struct {
	Name        string
	Planner     func() *placement.Planner
	Order       schedule.Order
	Admission   admission.Policy
	Reservation ReservationKind
	// UsePrefixIndex uses the prefix index to find servers with cached prefixes.
	UsePrefixIndex bool
	// MaxDispatchWait is the max predicted wait at the chosen prefill server with
	// which a job is dispatched; until then it stays in the queue of the entry.
	// Zero dispatches with any wait. Urgent jobs are dispatched at once.
	MaxDispatchWait time.Duration
	// Refund credits providers with the service that failed attempts used.
	Refund bool
	// TwoPrefillBids queues each prefill at two servers; the first that is ready
	// runs it.
	TwoPrefillBids bool
	// SharedLinks divides the rate of a link among its transfers instead of running
	// them one at a time.
	SharedLinks bool
	// NoTransferTimeout never aborts a stalled transfer.
	NoTransferTimeout bool
	// EqualRetries queues retries behind the waiting requests instead of ahead of
	// them.
	EqualRetries bool
	// UnfairSlots grants reservations in the order of arrival, without regard to
	// the shares of providers.
	UnfairSlots bool
	// EqualBelowShare gives the requests of providers below their share no priority
	// at engines.
	EqualBelowShare bool
	// Caution overrides the caution of all providers when it is not negative.
	Caution float64
}

// Default returns the policy that the daemon uses.
func Default() Policy {
	return Policy{
		Name: "default", Planner: placement.NewPlanner,
		Order: schedule.DefaultOrder(), Admission: admission.Default(),
		UsePrefixIndex: true, MaxDispatchWait: schedule.MaxPrefillWait, Caution: -1,
	}
}

// Policies returns the default policy and its alternatives, each of which
// changes one decision.
func Policies() []Policy {
	out := []Policy{Default()}
	add := func(name string, change func(p *Policy)) {
		p := Default()
		p.Name = name
		change(&p)
		out = append(out, p)
	}
	add("place-random", func(p *Policy) { p.Planner = plannerWith(placement.Random{}, true) })
	add("place-least-reported", func(p *Policy) { p.Planner = plannerWith(placement.LowestCost{}, true) })
	add("place-two-reported", func(p *Policy) { p.Planner = plannerWith(placement.TwoChoices{}, true) })
	add("place-two-own", func(p *Policy) { p.Planner = plannerWith(placement.TwoChoices{}, false) })
	add("place-bids", func(p *Policy) { p.TwoPrefillBids, p.Planner = true, plannerWith(placement.TwoChoices{}, false) })
	add("promise-none", func(p *Policy) { p.Reservation = ReserveAfterPrefill })
	add("promise-reserved", func(p *Policy) { p.Reservation = ReserveFree })
	add("order-fifo", func(p *Policy) { p.Order = schedule.FIFO{} })
	add("order-deadline", func(p *Policy) { p.Order = schedule.EarliestDeadline{} })
	add("order-shortest", func(p *Policy) { p.Order = schedule.ShortestFirst{Ageing: 0.5} })
	add("order-fair-fifo", func(p *Policy) { p.Order = schedule.Fair{Inner: schedule.FIFO{}, IdleCredit: 12_000} })
	add("order-fair-deadline", func(p *Policy) { p.Order = schedule.Fair{Inner: schedule.EarliestDeadline{}, IdleCredit: 12_000} })
	add("order-no-credit", func(p *Policy) { p.Order = schedule.Fair{Inner: schedule.ShortestFirst{Ageing: 0.5}} })
	add("order-compensated", func(p *Policy) { p.Refund = true })
	add("admit-length", func(p *Policy) { p.Admission = admission.Length{Max: 100} })
	add("no-prefixes", func(p *Policy) { p.UsePrefixIndex = false })
	add("no-hold", func(p *Policy) { p.MaxDispatchWait = 0 })
	add("shared-links", func(p *Policy) { p.SharedLinks = true })
	add("patient-transfers", func(p *Policy) { p.NoTransferTimeout = true })
	add("equal-retries", func(p *Policy) { p.EqualRetries = true })
	add("unfair-slots", func(p *Policy) { p.UnfairSlots = true })
	add("equal-lagging", func(p *Policy) { p.EqualBelowShare = true })
	add("caution-none", func(p *Policy) { p.Caution = 0 })
	add("caution-full", func(p *Policy) { p.Caution = 1 })
	return out
}

// plannerWith returns a constructor of the default planner with another picker.
// With reportedLoadOnly the planner uses only the load that servers report.
func plannerWith(picker placement.Picker, reportedLoadOnly bool) func() *placement.Planner {
	return func() *placement.Planner {
		p := placement.NewPlanner()
		p.Prefill.Picker, p.Decode.Picker = picker, picker
		if reportedLoadOnly {
			p.Prefill.Scorers[0] = placement.ReportedWaitCost{}
			p.Decode.Scorers[0] = placement.SlotsCost{PerSlot: 10, ReportedOnly: true}
		}
		return p
	}
}

// FindPolicy returns a policy by name.
func FindPolicy(name string) (Policy, bool) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}
