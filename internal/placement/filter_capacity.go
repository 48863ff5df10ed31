package placement

// CapacityFilter drops decode servers that lack a free slot or free memory for the
// request, and those that refused a request within refusalCooldown.
type CapacityFilter struct {
	// IncludeReleases adds the slots and memory that are expected to be released
	// before the prefill ends.
	IncludeReleases bool
}

// Keep implements Filter.
func (f CapacityFilter) Keep(r *Request, s *Server) bool {
	if r.Now < s.refusedUntil {
		return false
	}
	free := float64(s.report.SlotsTotal - s.SlotsUsed())
	if !f.IncludeReleases {
		return free >= 1 && s.PiecesFree() >= r.Pieces
	}
	horizon := r.ForecastHorizon
	if !s.counted {
		horizon += r.Now - s.reportedAt
	}
	released := s.ExpectedReleases(horizon, r.AnswerTokens)
	return free+released >= 1 && float64(s.PiecesFree())+released*s.piecesPerSlot() >= float64(r.Pieces)
}

func (s *Server) piecesPerSlot() float64 {
	if s.counted {
		return float64(s.piecesUsed()) / float64(max(1, s.SlotsUsed()))
	}
	if s.report.SlotsUsed == 0 {
		return 0
	}
	return float64(s.report.PiecesUsed) / float64(s.report.SlotsUsed)
}
