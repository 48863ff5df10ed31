package invariant

import (
	"slices"
	"time"
)

// history holds the events of a run, indexed for the checks.
type history struct {
	events []Event
	answer AnswerFunc
	// end is the time of the last event.
	end time.Time
	// calls are in the order in which they were sent.
	calls []*callRecord
	byID  map[string]*callRecord
	work  []*workRecord
	// outages are unplanned faults of processes and links.
	outages []outage
	stops   []*stopRecord
	// stalls are sorted by time.
	stalls []stall
}

// stall is an interval in which the machine ran no process of the run.
type stall struct{ from, to time.Time }

// callRecord is a call with all of its CallEnded events, of which a correct run
// has one.
type callRecord struct {
	sent Event
	ends []Event
}

// workRecord is one attempt at one server.
type workRecord struct {
	// held is the first event of the attempt: WorkHeld if that was recorded.
	held  Event
	ran   []Event
	freed *Event
	// pieces is the peak memory held, in pieces.
	pieces int
	// heldUntil is the time at which the work was freed, or the end of the
	// history.
	heldUntil time.Time
}

// outage is an interval in which a process or a link did not work. The field
// process holds the name of either, and event the start of the outage.
type outage struct {
	process  string
	server   string
	from, to time.Time
	event    Event
}

// stopRecord is a planned stop. Its field stopped is nil until the process has
// exited.
type stopRecord struct {
	stopping Event
	stopped  *Event
}

func newHistory(events []Event, answer AnswerFunc) *history {
	h := &history{events: events, answer: answer, byID: map[string]*callRecord{}}
	if len(events) > 0 {
		h.end = events[len(events)-1].At
	}
	h.indexCalls()
	h.indexWork()
	h.indexOutages()
	h.indexStalls()
	h.indexStops()
	return h
}

func (h *history) indexCalls() {
	for _, e := range h.events {
		if e.Call == nil {
			continue
		}
		if e.Kind == CallSent {
			c := &callRecord{sent: e}
			h.calls = append(h.calls, c)
			h.byID[e.Call.ID] = c
			continue
		}
		if c, ok := h.byID[e.Call.ID]; ok {
			c.ends = append(c.ends, e)
		}
	}
}

// indexWork groups the events of each attempt at each server. The exit of a
// backend server frees everything that it held.
func (h *history) indexWork() {
	type key struct{ server, attempt string }
	open := map[key]*workRecord{}
	for _, e := range h.events {
		if e.Kind == ProcessKilled && e.Process.Backend || e.Kind == ProcessStopped && e.Process.Backend {
			for k, w := range open {
				if k.server == e.Process.Server {
					w.freed = &e
					delete(open, k)
				}
			}
		}
		if e.Work == nil {
			continue
		}
		k := key{e.Work.Server, e.Work.Attempt}
		w := open[k]
		if w == nil {
			w = &workRecord{held: e}
			h.work = append(h.work, w)
			open[k] = w
		}
		switch e.Kind {
		case WorkRan:
			w.ran = append(w.ran, e)
		case WorkFreed:
			w.freed = &e
			delete(open, k)
		}
		w.pieces = max(w.pieces, e.Work.Pieces)
		if w.held.Work.Content == "" {
			w.held.Work.Content = e.Work.Content
		}
	}
	for _, w := range h.work {
		w.heldUntil = h.end
		if w.freed != nil {
			w.heldUntil = w.freed.At
		}
	}
}

// indexOutages pairs the start of each fault with the next event of the same
// process or link that ends a fault of its kind. Outages of different kinds may
// overlap for one process.
func (h *history) indexOutages() {
	ends := map[Kind]Kind{ProcessKilled: ProcessStarted, ProcessPaused: ProcessResumed, LinkDown: LinkUp}
	for i, e := range h.events {
		endKind, ok := ends[e.Kind]
		if !ok {
			continue
		}
		o := outage{process: e.Process.Name, server: e.Process.Server, from: e.At, to: h.end, event: e}
		for _, later := range h.events[i+1:] {
			if later.Kind == endKind && later.Process.Name == e.Process.Name {
				o.to = later.At
				break
			}
		}
		h.outages = append(h.outages, o)
	}
}

func (h *history) indexStalls() {
	for _, e := range h.events {
		if e.Kind == MachineStalled {
			h.stalls = append(h.stalls, stall{from: e.At.Add(-e.Stalled), to: e.At})
		}
	}
}

func (h *history) indexStops() {
	for _, e := range h.events {
		switch e.Kind {
		case ProcessStopping:
			h.stops = append(h.stops, &stopRecord{stopping: e})
		case ProcessStopped:
			for _, s := range slices.Backward(h.stops) {
				if s.stopped == nil && s.stopping.Process.Name == e.Process.Name {
					s.stopped = &e
					break
				}
			}
		}
	}
}

// findOutage returns the first outage that overlaps the interval and for which
// match returns true, if there is one.
func (h *history) findOutage(from, to time.Time, match func(outage) bool) (outage, bool) {
	for _, o := range h.outages {
		if !o.from.After(to) && !o.to.Before(from) && match(o) {
			return o, true
		}
	}
	return outage{}, false
}

func anyOutage(outage) bool { return true }

// deadlineAfter returns the time at which a bound that starts at from expires.
// The bound restarts at the end of each matching outage, and the duration of
// machine stalls is added to it.
func (h *history) deadlineAfter(from time.Time, bound time.Duration, match func(outage) bool) time.Time {
	deadline := from.Add(bound)
	for changed := true; changed; {
		changed = false
		for _, o := range h.outages {
			overlaps := o.from.Before(deadline) && o.to.After(from)
			if next := o.to.Add(bound); overlaps && match(o) && next.After(deadline) {
				deadline = next
				changed = true
			}
		}
	}
	return h.addStalls(from, deadline)
}

// addStalls postpones a deadline by the duration of the machine stalls that
// overlap the interval.
func (h *history) addStalls(from, deadline time.Time) time.Time {
	for _, s := range h.stalls {
		begin := s.from
		if begin.Before(from) {
			begin = from
		}
		if begin.Before(deadline) && s.to.After(begin) {
			deadline = deadline.Add(s.to.Sub(begin))
		}
	}
	return deadline
}
