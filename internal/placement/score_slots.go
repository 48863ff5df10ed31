package placement

// SlotsCost is the slowdown of a decode server by the slots in use, so that the
// less loaded of two servers is chosen.
type SlotsCost struct {
	// PerSlot is the time that one more slot costs, in milliseconds.
	PerSlot float64
	// ReportedOnly excludes the entry's own sends since the last report.
	ReportedOnly bool
}

// Cost implements Scorer.
func (c SlotsCost) Cost(_ *Request, s *Server) float64 {
	if c.ReportedOnly {
		return c.PerSlot * float64(s.report.SlotsUsed)
	}
	return c.PerSlot * float64(s.SlotsUsed())
}
