package placement

// RoomFilter drops decode servers without a slot or memory, now or by the end of the
// prefill.
type RoomFilter struct {
	// Foresee counts the slots that are expected to come free by then.
	Foresee bool
}

// Keep implements Filter.
func (f RoomFilter) Keep(r *Request, s *Server) bool {
	if r.Now < s.refusedUntil {
		return false
	}
	free := float64(s.report.SlotsTotal - s.SlotsUsed())
	if !f.Foresee {
		return free >= 1 && s.PiecesFree() >= r.Pieces
	}
	ahead := r.PrefillIn
	if !s.counted {
		ahead += r.Now - s.reportedAt
	}
	foreseen := s.Foreseen(ahead, r.AnswerTokens)
	return free+foreseen >= 1 && float64(s.PiecesFree())+foreseen*s.piecesPerSlot() >= float64(r.Pieces)
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
