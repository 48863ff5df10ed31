// Package admission decides whether a request is accepted, by the length of the queue
// or by comparing the predicted time to first token with the target. Its functions are
// pure.
package admission

import "time"

// Goal holds the latency targets of a provider and its preference between goodput and
// wasted prefill.
type Goal struct {
	// FirstToken and BetweenTokens are the targets for the time to first token and the
	// time between tokens.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Patience is the time to the first token after which the caller gives up; 0 if that is
	// not known.
	Patience time.Duration
	// Caution is the weight of wasted prefill relative to goodput, from 0 to 1.
	Caution float64
}

// Default targets of providers that configure none.
const (
	DefaultFirstToken    = 1400 * time.Millisecond
	DefaultBetweenTokens = 74 * time.Millisecond
)

// NewGoal returns a goal with defaults for targets that are zero. It derives Caution
// from the weights of an objective.
func NewGoal(firstToken, betweenTokens time.Duration, goodput, wastedPrefill float64) Goal {
	g := Goal{FirstToken: firstToken, BetweenTokens: betweenTokens}
	if g.FirstToken == 0 {
		g.FirstToken = DefaultFirstToken
	}
	if g.BetweenTokens == 0 {
		g.BetweenTokens = DefaultBetweenTokens
	}
	if sum := goodput + wastedPrefill; sum > 0 {
		g.Caution = wastedPrefill / sum
	}
	return g
}

// Verdict is the decision on the admission of a request.
type Verdict struct {
	Admitted bool
	// Excess is the time by which a refused request would miss its target.
	Excess time.Duration
}

// State is the state of the queue and the servers when a request arrives.
type State struct {
	// Queued is the number of waiting requests.
	Queued int
	// Wait is the predicted time in the queue of the entry.
	Wait time.Duration
	// TimeToFirstToken is the predicted time from dispatch to the first token.
	TimeToFirstToken time.Duration
	// MinTimeToFirstToken is the time from dispatch to the first token on idle
	// servers.
	MinTimeToFirstToken time.Duration
}

// Policy decides on admission.
type Policy interface {
	Admit(g Goal, s State) Verdict
	// MaxQueueTime returns the longest time in the queue after which a request may
	// still be dispatched. minTimeToFirstToken is its time from dispatch to the
	// first token on idle servers.
	MaxQueueTime(g Goal, minTimeToFirstToken time.Duration) time.Duration
}
