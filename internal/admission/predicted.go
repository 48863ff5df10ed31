package admission

import (
	"math"
	"time"
)

// unlimited is the time for a request that may wait as long as its caller does. It can be added
// to a time without overflow.
const unlimited time.Duration = math.MaxInt64 / 4

// Predicted admits a request whose first token is predicted within its target. Queued requests
// that can no longer meet their target expire. A request that misses its target even on idle
// servers is served late rather than never: it may take as long as its caller waits.
type Predicted struct{}

// Default returns the policy that the daemon uses.
func Default() Policy { return Predicted{} }

// budget returns the longest acceptable time from arrival to the first token.
// minTimeToFirstToken is the time from dispatch to the first token on idle servers.
func (Predicted) budget(g Goal, minTimeToFirstToken time.Duration) time.Duration {
	switch {
	case minTimeToFirstToken <= g.FirstToken:
		return g.FirstToken
	case g.Patience > 0:
		return g.Patience
	default:
		return unlimited
	}
}

// Admit implements Policy.
func (p Predicted) Admit(g Goal, s State) Verdict {
	excess := s.Wait + s.TimeToFirstToken - p.budget(g, s.MinTimeToFirstToken)
	if excess <= 0 {
		return Verdict{Admitted: true}
	}
	return Verdict{Excess: excess}
}

// MaxQueueTime implements Policy.
func (p Predicted) MaxQueueTime(g Goal, minTimeToFirstToken time.Duration) time.Duration {
	return p.budget(g, minTimeToFirstToken) - minTimeToFirstToken
}
