package placement

// WaitCost is the predicted wait for a prefill, from the last report and the entry's
// own sends since.
type WaitCost struct{}

// Cost implements Scorer.
func (WaitCost) Cost(r *Request, s *Server) float64 { return s.WaitMillis(r.Now) }

// ReportedWaitCost is the wait for a prefill according to the last report alone.
type ReportedWaitCost struct{}

// Cost implements Scorer.
func (ReportedWaitCost) Cost(_ *Request, s *Server) float64 {
	return float64(s.report.QueuedTokens) / s.PrefillRate()
}
