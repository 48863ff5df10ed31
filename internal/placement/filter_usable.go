package placement

// Usable drops servers that accept no new work and those that the request excludes.
type Usable struct{}

// Keep implements Filter.
func (Usable) Keep(r *Request, s *Server) bool {
	return !s.Unavailable && r.Now >= s.declinedUntil && (r.ExcludedMark == 0 || s.Mark != r.ExcludedMark)
}
