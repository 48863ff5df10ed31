package placement

// FastEnough drops decode servers that recently missed the latency target between
// tokens.
type FastEnough struct{}

// Keep implements Filter.
func (FastEnough) Keep(r *Request, s *Server) bool { return !s.Slow(r.Now) }

// Flowing drops prefill servers that recently failed as Server.Stalled records.
type Flowing struct{}

// Keep implements Filter.
func (Flowing) Keep(r *Request, s *Server) bool { return r.Now >= s.stalledUntil }

// NotRefused drops servers that refused a request within refusalCooldown.
type NotRefused struct{}

// Keep implements Filter.
func (NotRefused) Keep(r *Request, s *Server) bool { return r.Now >= s.refusedUntil }
