package schedule

import "time"

// Order maps a job to a flow of the fair queue and a rank within it.
type Order interface {
	Flow(j *Job) string
	// Rank orders the jobs of a flow; the lowest goes first.
	Rank(j *Job) float64
	// Credit is the unused service that an idle provider may keep, in milliseconds of
	// prefill per unit of weight.
	Credit() float64
}

// sharedFlow is the flow of orders that do not distinguish providers.
const sharedFlow = ""

// FIFO serves jobs in the order of arrival.
type FIFO struct{}

// Flow implements Order.
func (FIFO) Flow(*Job) string { return sharedFlow }

// Credit implements Order.
func (FIFO) Credit() float64 { return 0 }

// Rank implements Order.
func (FIFO) Rank(j *Job) float64 { return float64(j.Arrived - j.Ahead) }

// EarliestDeadline serves jobs in the order of their latest start.
type EarliestDeadline struct{}

// Flow implements Order.
func (EarliestDeadline) Flow(*Job) string { return sharedFlow }

// Credit implements Order.
func (EarliestDeadline) Credit() float64 { return 0 }

// Rank implements Order.
func (EarliestDeadline) Rank(j *Job) float64 {
	return float64(j.Arrived + j.Goal.FirstToken - j.MinTimeToFirstToken)
}

// ShortestFirst serves the shortest prefill first. Each unit of waiting time offsets
// Ageing units of prefill time.
type ShortestFirst struct{ Ageing float64 }

// Flow implements Order.
func (ShortestFirst) Flow(*Job) string { return sharedFlow }

// Credit implements Order.
func (ShortestFirst) Credit() float64 { return 0 }

// Rank implements Order.
func (o ShortestFirst) Rank(j *Job) float64 {
	return j.PrefillMillis*float64(time.Millisecond) + o.Ageing*float64(j.Arrived)
}

// Fair shares service among providers by weight. The order of In applies within a
// provider.
type Fair struct {
	Inner Order
	// IdleCredit is the unused service that an idle provider may keep, in
	// milliseconds of prefill per unit of weight.
	IdleCredit float64
}

// Credit implements Order.
func (o Fair) Credit() float64 { return o.IdleCredit }

// Flow implements Order.
func (Fair) Flow(j *Job) string { return j.Provider }

// Rank implements Order.
func (o Fair) Rank(j *Job) float64 { return o.Inner.Rank(j) }

// defaultAgeing is the prefill time that is offset by a unit of waiting time.
const defaultAgeing = 1

// defaultCredit is the unused service that an idle provider may keep, in milliseconds
// of prefill per unit of weight.
const defaultCredit = 12_000

// FairArrivalOrder returns the order of the router: fair queueing among providers, and the
// order of arrival within one. Jobs without providers are served in the order of arrival,
// as by FIFO.
func FairArrivalOrder() Order { return Fair{Inner: FIFO{}, IdleCredit: defaultCredit} }

// DefaultOrder returns the order that the daemon uses.
func DefaultOrder() Order {
	return Fair{Inner: ShortestFirst{Ageing: defaultAgeing}, IdleCredit: defaultCredit}
}
