package placement

// PrefillCost is the time of the prefill without the prefix that the server
// probably caches.
type PrefillCost struct{}

// Cost implements Scorer.
func (PrefillCost) Cost(r *Request, s *Server) float64 {
	return float64(r.PromptTokens-r.cachedAt(s.ID)) / s.PrefillRate()
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
