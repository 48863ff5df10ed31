package placement

// PrefillMemory drops counted prefill servers whose memory the prompts in prefill and in the
// queue, at all entries together, would exceed with the request. A model server ends if it
// holds more than its memory, and all requests there are lost with it.
type PrefillMemory struct {
	// MemoryShare is the fraction of the memory that prompts may fill.
	MemoryShare float64
}

// Keep implements Filter.
func (f PrefillMemory) Keep(r *Request, s *Server) bool {
	return !s.counted || float64(s.PrefillTokens()+r.PromptTokens) <= f.MemoryShare*float64(s.report.PiecesTotal)
}
