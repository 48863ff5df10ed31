package placement

// NotSlow drops decode servers that recently missed the latency target between
// tokens.
type NotSlow struct{}

// Keep implements Filter.
func (NotSlow) Keep(r *Request, s *Server) bool { return !s.Slow(r.Now) }

// NotStalled drops prefill servers that recently failed in a way that
// Server.RecordStall records.
type NotStalled struct{}

// Keep implements Filter.
func (NotStalled) Keep(r *Request, s *Server) bool { return r.Now >= s.stalledUntil }

// NotRefused drops servers that refused a request within refusalCooldown.
type NotRefused struct{}

// Keep implements Filter.
func (NotRefused) Keep(r *Request, s *Server) bool { return r.Now >= s.refusedUntil }
