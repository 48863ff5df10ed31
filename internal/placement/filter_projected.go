package placement

// ProjectedRoom drops counted servers whose memory is projected to run out while
// the request runs, given the predicted lengths of answers. It is meant for loads
// that fill the decode servers: a server that admits too much preempts a running
// answer, which is then late, and its prompt has to be prefilled again.
type ProjectedRoom struct {
	// Share is the fraction of the memory that the projected use may reach.
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
