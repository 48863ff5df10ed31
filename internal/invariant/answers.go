package invariant

import "strings"

// checkAnsweredOnce finds calls that never ended, that ended more than once, or
// that lost their connection although the entry was up.
func checkAnsweredOnce(h *history, v *Verdict) {
	for _, c := range h.calls {
		v.Cases++
		trace := c.trace()
		switch {
		case len(c.ends) == 0:
			v.fail(trace, "call %s was never answered", c.sent.Call.ID)
			continue
		case len(c.ends) > 1:
			v.fail(trace, "call %s was answered %d times", c.sent.Call.ID, len(c.ends))
		}
		end := c.ends[0]
		if end.Call.EndMarkers > 1 {
			v.fail(trace, "the answer to call %s has %d end markers", c.sent.Call.ID, end.Call.EndMarkers)
		}
		if end.Call.Outcome == OutcomeConnectionLost && !h.entryFailed(c) {
			v.fail(trace, "call %s lost its connection while its entry was up", c.sent.Call.ID)
		}
	}
}

func (h *history) entryFailed(c *callRecord) bool {
	_, failed := h.findOutage(c.sent.At, c.ends[0].At, func(o outage) bool { return o.process == c.sent.Call.Entry })
	return failed
}

// checkCorrectAnswer compares each answer with the expected one. A partial answer
// must be a prefix of it.
func checkCorrectAnswer(h *history, v *Verdict) {
	for _, c := range h.calls {
		for _, end := range c.ends {
			if end.Call.Outcome == OutcomeWhole || end.Call.Text != "" {
				v.Cases++
				h.compareAnswer(c, end, v)
			}
		}
	}
}

func (h *history) compareAnswer(c *callRecord, end Event, v *Verdict) {
	text, finish := c.sent.Call.Content, ""
	if c.sent.Call.Model != "" {
		text, finish = h.answer(c.sent.Call.Model, c.sent.Call.Content, c.sent.Call.MaxTokens)
	}
	got := end.Call
	if got.Outcome == OutcomeWhole {
		if got.Text != text || got.Finish != finish {
			v.fail(c.trace(), "call %s received %q (%s), not its whole answer %q (%s)", got.ID, got.Text, got.Finish, text, finish)
		}
		return
	}
	if !strings.HasPrefix(text+" ", strings.TrimSuffix(got.Text, " ")+" ") {
		v.fail(c.trace(), "call %s received %q, which is not a prefix of its answer %q", got.ID, got.Text, text)
	}
}

func (c *callRecord) trace() []Event { return append([]Event{c.sent}, c.ends...) }
