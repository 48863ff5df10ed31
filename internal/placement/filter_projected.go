package placement

// ProjectedMemory drops counted servers whose memory is projected to run out while
// the request runs, given the predicted lengths of answers. It also drops those that
// have no free slot or refused a request within refusalCooldown. It is meant for loads
// that fill the decode servers: a server that admits too much preempts a running
// answer, which is then late, and its prompt has to be prefilled again.
type ProjectedMemory struct {
	// MemoryShare is the fraction of the memory that the projected use may reach.
	MemoryShare float64
}

// Keep implements Filter.
func (f ProjectedMemory) Keep(r *Request, s *Server) bool {
	if r.Now < s.refusedUntil || s.SlotsUsed() >= s.report.SlotsTotal {
		return false
	}
	extra := Run{Prompt: r.PromptTokens, Answer: r.AnswerTokens, Began: r.Now + r.ForecastHorizon}
	return s.Project(r.Now).Fits(&extra, (f.MemoryShare-r.ReservedShare)*float64(s.report.PiecesTotal))
}

// room returns the longest prompt, in tokens, for which a counted server has memory while
// a request runs whose answer is as long as that of r; 0 when it takes none.
func (s *Server) room(r *Request, memoryShare float64) float64 {
	if s.Unavailable || r.Now < s.refusedUntil || s.SlotsUsed() >= s.report.SlotsTotal {
		return 0
	}
	empty := Run{Answer: r.AnswerTokens, Began: r.Now + r.ForecastHorizon}
	return max(0, (memoryShare-r.ReservedShare)*float64(s.report.PiecesTotal)-s.Project(r.Now).Peak(&empty))
}
