package invariant

// checkStops finds calls that a planned stop interrupted, and planned stops that
// failed. Calls and stops that overlap an unplanned fault are not checked.
func checkStops(h *history, v *Verdict) {
	for _, s := range h.stops {
		v.Cases++
		until := h.end
		if s.stopped != nil {
			until = s.stopped.At
			h.checkExit(s, v)
		}
		for _, c := range h.calls {
			if len(c.ends) == 0 || c.ends[0].At.Before(s.stopping.At) || c.sent.At.After(until) {
				continue
			}
			if _, failed := h.findOutage(c.sent.At, c.ends[0].At, anyOutage); !failed && c.interrupted(s) {
				v.fail(append([]Event{s.stopping}, c.trace()...), "the planned stop of %s interrupted call %s", s.stopping.Process.Name, c.sent.Call.ID)
			}
		}
	}
}

func (h *history) checkExit(s *stopRecord, v *Verdict) {
	if s.stopped.Process.ExitCode == 0 {
		return
	}
	if _, failed := h.findOutage(s.stopping.At, s.stopped.At, anyOutage); !failed {
		v.fail([]Event{s.stopping, *s.stopped}, "the planned stop of %s ended with exit code %d", s.stopping.Process.Name, s.stopped.Process.ExitCode)
	}
}

// interrupted reports whether a call that overlaps a stop was interrupted by it.
// A call that was sent after the stop began may be refused.
func (c *callRecord) interrupted(s *stopRecord) bool {
	switch c.ends[0].Call.Outcome {
	case OutcomeConnectionLost, OutcomePartial, OutcomeUnknown:
		return true
	case OutcomeNotRun:
		return c.sent.At.Before(s.stopping.At)
	default:
		return false
	}
}
