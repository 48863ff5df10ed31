package placement

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// PrefillCost is the time of the prefill without the prefix that the server
// probably caches, at the pace that is expected after the wait.
type PrefillCost struct{}

// Cost implements Scorer.
func (PrefillCost) Cost(r *Request, s *Server) float64 {
	tokens := r.PromptTokens - r.cachedAt(s.ID)
	if s.pace == (predict.Pace{}) {
		return float64(tokens) / s.PrefillRate()
	}
	wait := time.Duration(s.WaitMillis(r.Now) * float64(time.Millisecond))
	return s.PrefillMillis(r.Now+wait, tokens)
}

func (r *Request) cachedAt(id int32) int {
	best := 0
	for _, h := range r.Hits {
		if h.Server == id {
			best = max(best, h.Tokens)
		}
	}
	return best
}
