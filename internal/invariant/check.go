package invariant

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Invariant is the statement of one invariant.
type Invariant string

// The invariants, in the order in which Check reports them.
const (
	MemoryReleased               Invariant = "no memory is held for disconnected callers"
	AnsweredOnce                 Invariant = "every request is answered once"
	CorrectAnswer                Invariant = "a caller receives the whole answer to its own request"
	RefusedNotRun                Invariant = "a request refused as not run has not run"
	AtMostOnce                   Invariant = "a non-idempotent request runs at most once"
	NoWorkForLeaving             Invariant = "a leaving server receives no new work"
	PlannedStopInterruptsNothing Invariant = "a planned stop interrupts no request"
	NoteInForce                  Invariant = "an accepted release note is in force and never reverts"
)

// Time limits of the invariants.
const (
	// ReleaseBound is the max time from the end of a call to the release of the
	// memory that servers hold for it.
	ReleaseBound = 5 * time.Second
	// LeavingBound is the max time for which a server may receive new work
	// after it was marked as leaving.
	LeavingBound = 3 * time.Second
	// NoteBound is the max time from the publication of a release note until it
	// is in force at one process, and from there until it is in force at all
	// serving processes.
	NoteBound = 19 * time.Second
)

// AnswerFunc returns the expected answer to a prompt and its finish reason.
type AnswerFunc func(model, prompt string, maxTokens int) (text, finish string)

// Verdict is the result of the check of one invariant.
type Verdict struct {
	Invariant Invariant
	// Cases is the number of cases that were checked, such as calls or attempts.
	Cases      int
	Violations []Violation
}

// Passed reports whether no violation was found.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// Violation is one case in which an invariant does not hold.
type Violation struct {
	Message string
	// Trace holds the events that show the violation.
	Trace []Event
}

// String returns the message and the trace, one event per line.
func (v Violation) String() string {
	var b strings.Builder
	b.WriteString(v.Message)
	for _, e := range v.Trace {
		line, _ := json.Marshal(e)
		fmt.Fprintf(&b, "\n    %s", line)
	}
	return b.String()
}

// Check checks all invariants against a history that is sorted by time.
func Check(events []Event, answer AnswerFunc) []Verdict {
	h := newHistory(events, answer)
	checks := []struct {
		invariant Invariant
		check     func(*history, *Verdict)
	}{
		{MemoryReleased, checkMemory},
		{AnsweredOnce, checkAnsweredOnce},
		{CorrectAnswer, checkCorrectAnswer},
		{RefusedNotRun, checkRefusedNotRun},
		{AtMostOnce, checkAtMostOnce},
		{NoWorkForLeaving, checkLeaving},
		{PlannedStopInterruptsNothing, checkStops},
		{NoteInForce, checkNotes},
	}
	out := make([]Verdict, len(checks))
	for i, c := range checks {
		out[i].Invariant = c.invariant
		c.check(h, &out[i])
	}
	return out
}

// fail adds a violation.
func (v *Verdict) fail(trace []Event, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{Message: fmt.Sprintf(format, args...), Trace: trace})
}
