package invariant

import "time"

// checkRefusedNotRun finds calls that were refused as not run although a server ran
// them. It skips content for which another call may have run.
func checkRefusedNotRun(h *history, v *Verdict) {
	refused := map[string][]*callRecord{}
	mayRun := map[string]bool{}
	for _, c := range h.calls {
		content := c.sent.Call.Content
		switch {
		case len(c.ends) > 0 && c.ends[0].Call.Outcome == OutcomeNotRun:
			v.Cases++
			refused[content] = append(refused[content], c)
		case len(c.ends) > 0 && c.ends[0].Call.Outcome == OutcomeUnreachable:
		default:
			mayRun[content] = true
		}
	}
	for _, w := range h.work {
		content := w.held.Work.Content
		if len(w.ran) == 0 || mayRun[content] || len(refused[content]) == 0 {
			continue
		}
		v.fail(w.trace(refused[content][0].trace()...), "call %s was refused as not run, but ran at %s", refused[content][0].sent.Call.ID, w.held.Work.Server)
	}
}

// checkAtMostOnce finds non-idempotent calls that ran more than once.
func checkAtMostOnce(h *history, v *Verdict) {
	once := map[string]bool{}
	for _, c := range h.calls {
		if c.sent.Call.NonIdempotent && !once[c.sent.Call.Content] {
			once[c.sent.Call.Content] = true
			v.Cases++
		}
	}
	ran := map[string][]Event{}
	for _, w := range h.work {
		if content := w.held.Work.Content; once[content] {
			ran[content] = append(ran[content], w.ran...)
		}
	}
	for content, events := range ran {
		if len(events) > 1 {
			v.fail(events, "%q ran %d times", content, len(events))
		}
	}
}

// checkLeaving finds attempts that a server accepted more than LeavingBound
// after it was marked as leaving. An import at a decode engine is checked by the
// creation time of its attempt, since the server accepted it with the reservation.
func checkLeaving(h *history, v *Verdict) {
	for _, e := range h.events {
		if e.Kind != ServerLeaving && !(e.Kind == ProcessStopping && e.Process.Server != "") {
			continue
		}
		v.Cases++
		returned := h.restartedAt(e)
		deadline := h.deadlineAfter(e.At, LeavingBound, func(o outage) bool { return o.server == e.Process.Server })
		for _, w := range h.work {
			if w.held.Work.Server != e.Process.Server || w.held.At.After(returned) {
				continue
			}
			if accepted := w.acceptedAt(); accepted.After(deadline) {
				v.fail(w.trace(e), "%s received attempt %s %v after it was marked as leaving", e.Process.Server, w.held.Work.Attempt, accepted.Sub(e.At).Round(time.Millisecond))
			}
		}
	}
}

// restartedAt returns the time at which a leaving server was started again, or
// the end of the history.
func (h *history) restartedAt(leaving Event) time.Time {
	for _, e := range h.events {
		if e.Kind == ProcessStarted && e.Process.Server == leaving.Process.Server && e.At.After(leaving.At) {
			return e.At
		}
	}
	return h.end
}
