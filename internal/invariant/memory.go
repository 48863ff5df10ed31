package invariant

import "time"

// checkMemory finds memory that is held for more than ReleaseBound after the
// last call for it ended. While the server, its agent or their link is down,
// memory can't be released, so the bound restarts at the end of the outage.
func checkMemory(h *history, v *Verdict) {
	ended := lastEnds(h)
	for _, w := range h.work {
		end, ok := ended[w.held.Work.Content]
		if !ok || w.pieces == 0 {
			continue
		}
		v.Cases++
		start := end.At
		if w.held.At.After(start) {
			start = w.held.At
		}
		deadline := h.deadlineAfter(start, ReleaseBound, func(o outage) bool { return o.server == w.held.Work.Server })
		if w.heldUntil.After(deadline) {
			v.fail(w.trace(end), "attempt %s at %s was held for %v after its call ended", w.held.Work.Attempt, w.held.Work.Server, w.heldUntil.Sub(start).Round(time.Millisecond))
		}
	}
}

// lastEnds returns, for each content, the end of the last call for it. It
// excludes content with a call that has not ended.
func lastEnds(h *history) map[string]Event {
	out := map[string]Event{}
	running := map[string]bool{}
	for _, c := range h.calls {
		content := c.sent.Call.Content
		if len(c.ends) == 0 {
			running[content] = true
			continue
		}
		if end := c.ends[0]; end.At.After(out[content].At) {
			out[content] = end
		}
	}
	for content := range running {
		delete(out, content)
	}
	return out
}

// trace returns the events of an attempt. It inserts others before the release.
func (w *workRecord) trace(others ...Event) []Event {
	out := []Event{w.held}
	out = append(out, w.ran...)
	out = append(out, others...)
	if w.freed != nil {
		out = append(out, *w.freed)
	}
	return out
}
