package admission

import "time"

// Predicted admits a request whose predicted time to first token is within its target.
// Queued requests that can no longer meet their target expire.
type Predicted struct {
	// Margin is the fraction of the target that is kept as a safety margin on arrival,
	// from 0 to 1.
	Margin float64
	// CautionMargin is the additional fraction for a provider whose Caution is 1.
	CautionMargin float64
	// LastMargin is the fraction for a request that has waited. It is below Margin,
	// since the prediction is more certain by then.
	LastMargin float64
}

// Default returns the policy that the daemon uses.
func Default() Policy { return Predicted{Margin: 0.12, CautionMargin: 0.05, LastMargin: 0.05} }

// lateFactor is the budget of a request that misses its target even on idle servers, as
// a multiple of its minimum time to first token: it is served late instead of never.
const lateFactor = 2

// budget returns the longest acceptable time from arrival to the first token.
// minTimeToFirstToken is the time from dispatch to the first token on idle servers.
func (p Predicted) budget(g Goal, margin float64, minTimeToFirstToken time.Duration) time.Duration {
	b := time.Duration(float64(g.FirstToken) * (1 - margin - g.Caution*p.CautionMargin))
	if minTimeToFirstToken > b {
		return lateFactor * minTimeToFirstToken
	}
	return b
}

// Admit implements Policy.
func (p Predicted) Admit(g Goal, s State) Verdict {
	excess := s.Wait + s.TimeToFirstToken - p.budget(g, p.Margin, s.MinTimeToFirstToken)
	if excess <= 0 {
		return Verdict{Admitted: true}
	}
	return Verdict{RetryAfter: RetryAfter(excess)}
}

// MaxQueueTime implements Policy.
func (p Predicted) MaxQueueTime(g Goal, minTimeToFirstToken time.Duration) time.Duration {
	return p.budget(g, p.LastMargin, minTimeToFirstToken) - minTimeToFirstToken
}
