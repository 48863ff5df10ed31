package placement

// Usable drops servers that accept no new work, those that the request excludes and those
// that must not take it.
type Usable struct{}

// Keep implements Filter.
func (Usable) Keep(r *Request, s *Server) bool {
	return !s.Unavailable && r.Now >= s.declinedUntil && (r.ExcludedMark == 0 || s.Mark != r.ExcludedMark) &&
		(r.BarredMark == 0 || s.BarredMark != r.BarredMark)
}
