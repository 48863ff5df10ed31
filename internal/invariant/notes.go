package invariant

import "time"

// checkNotes finds processes that revert to an older note, two notes with the
// same number, and processes that still serve with an older note more than
// NoteBound after the next one came into force at another process. The bound
// restarts after an outage of the process.
func checkNotes(h *history, v *Verdict) {
	c := noteCheck{h: h, v: v, lastByIncarnation: map[string]Event{}, firstByNumber: map[uint64]Event{}, accepted: map[uint64]Event{}}
	for _, e := range h.events {
		if e.Kind == NoteObserved {
			v.Cases++
			c.observe(e)
		}
	}
	c.checkPublished()
}

type noteCheck struct {
	h *history
	v *Verdict
	// lastByIncarnation holds the last observation of each incarnation of a
	// process.
	lastByIncarnation map[string]Event
	// firstByNumber holds the first observation of each note number.
	firstByNumber map[uint64]Event
	// accepted holds, for each note number, the first observation of that note
	// or of a later one.
	accepted map[uint64]Event
	highest  uint64
}

func (c *noteCheck) observe(e Event) {
	n := e.Note
	incarnation := n.Process + "/" + n.Incarnation
	if last, ok := c.lastByIncarnation[incarnation]; ok && n.Number < last.Note.Number {
		c.v.fail([]Event{last, e}, "%s reverted from note %d to %d", n.Process, last.Note.Number, n.Number)
	}
	c.lastByIncarnation[incarnation] = e
	if first, ok := c.firstByNumber[n.Number]; ok && first.Note.Digest != n.Digest {
		c.v.fail([]Event{first, e}, "two notes of number %d are in force", n.Number)
	} else if !ok {
		c.firstByNumber[n.Number] = e
	}
	for i := c.highest + 1; i <= n.Number; i++ {
		c.accepted[i] = e
	}
	c.highest = max(c.highest, n.Number)
	c.checkLate(e)
}

// checkLate checks whether a process still serves with an older note more than
// NoteBound after the next one was first observed.
func (c *noteCheck) checkLate(e Event) {
	if !e.Note.Serving || e.Note.Number >= c.highest {
		return
	}
	first := c.accepted[e.Note.Number+1]
	deadline := c.h.deadlineAfter(first.At, NoteBound, func(o outage) bool { return o.process == e.Note.Process })
	if e.At.After(deadline) {
		c.v.fail([]Event{first, e}, "%s serves with note %d, %v after note %d came into force", e.Note.Process, e.Note.Number, e.At.Sub(first.At).Round(time.Millisecond), first.Note.Number)
	}
}

// checkPublished finds published notes that were not in force at any process
// within NoteBound. The bound restarts after an outage of any process, including
// the configuration service.
func (c *noteCheck) checkPublished() {
	for _, e := range c.h.events {
		if e.Kind != NotePublished {
			continue
		}
		first, ok := c.accepted[e.Note.Number]
		at := c.h.end
		if ok {
			at = first.At
		}
		if at.After(c.h.deadlineAfter(e.At, NoteBound, anyOutage)) {
			c.v.fail([]Event{e}, "note %d was not in force at any process %v after it was published", e.Note.Number, at.Sub(e.At).Round(time.Millisecond))
		}
	}
}
