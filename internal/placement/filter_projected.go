package placement

// ProjectedRoom drops counted servers whose memory would run out during the
// life of the request, as far as the lengths of answers are foreseen. It answers
// a load under which decode servers are full: a server that admits too much
// preempts a running answer, which is then late, and its prompt is read again.
type ProjectedRoom struct {
	// Share is the part of the memory that the projection may use.
	Share float64
}

// Keep implements Filter.
func (f ProjectedRoom) Keep(r *Request, s *Server) bool {
	if r.Now < s.refusedUntil || s.SlotsUsed() >= s.report.SlotsTotal {
		return false
	}
	extra := Run{Prompt: r.PromptTokens, Answer: r.AnswerTokens, Began: r.Now + r.PrefillIn}
	return s.Project(r.Now).Fits(&extra, (f.Share-r.Reserve)*float64(s.report.PiecesTotal))
}
