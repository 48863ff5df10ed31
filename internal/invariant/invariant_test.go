package invariant_test

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/invariant"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// answer returns the expected answer to a prompt.
func answer(_, prompt string, _ int) (string, string) { return "answer to " + prompt, "stop" }

// eventAt returns an event at a time in seconds after startTime.
func eventAt(seconds float64, kind invariant.Kind) invariant.Event {
	return invariant.Event{At: startTime.Add(time.Duration(seconds * float64(time.Second))), Kind: kind}
}

func call(seconds float64, kind invariant.Kind, c invariant.Call) invariant.Event {
	e := eventAt(seconds, kind)
	e.Call = &c
	return e
}

func work(seconds float64, kind invariant.Kind, server, content string) invariant.Event {
	e := eventAt(seconds, kind)
	e.Work = &invariant.Work{Server: server, Attempt: "a-" + content, Content: content}
	if !strings.HasPrefix(server, "ledger") {
		e.Work.Pieces = 1
	}
	return e
}

func process(seconds float64, kind invariant.Kind, name, server string) invariant.Event {
	e := eventAt(seconds, kind)
	e.Process = &invariant.Process{Name: name, Server: server, Backend: name == server}
	return e
}

func note(seconds float64, process, incarnation string, number uint64, digest string) invariant.Event {
	e := eventAt(seconds, invariant.NoteObserved)
	e.Note = &invariant.Note{Process: process, Incarnation: incarnation, Number: number, Digest: digest, Serving: true}
	return e
}

func published(seconds float64, number uint64) invariant.Event {
	e := eventAt(seconds, invariant.NotePublished)
	e.Note = &invariant.Note{Number: number}
	return e
}

func sent(seconds float64, id, content string) invariant.Event {
	return call(seconds, invariant.CallSent, invariant.Call{ID: id, Entry: "entry", Content: content, Model: "m"})
}

func ended(seconds float64, id string, outcome invariant.Outcome, text string) invariant.Event {
	return call(seconds, invariant.CallEnded, invariant.Call{ID: id, Outcome: outcome, Text: text, Finish: "stop", EndMarkers: 1})
}

func paymentSent(seconds float64, id, content string) invariant.Event {
	return call(seconds, invariant.CallSent, invariant.Call{ID: id, Entry: "entry", Content: content, NonIdempotent: true})
}

// validHistory returns a history without violations: a whole answer, a cancelled
// call, a repeated payment, a refusal, a planned stop and two release notes.
func validHistory() []invariant.Event {
	return []invariant.Event{
		published(0, 1), note(1, "entry", "1", 1, "d1"), note(1, "agent", "1", 1, "d1"),
		sent(1, "c1", "p1"), work(1.1, invariant.WorkHeld, "s1", "p1"), work(1.2, invariant.WorkRan, "s1", "p1"),
		ended(2, "c1", invariant.OutcomeWhole, "answer to p1"), work(2.1, invariant.WorkFreed, "s1", "p1"),
		sent(2, "c2", "p2"), work(2.1, invariant.WorkHeld, "s1", "p2"), work(2.2, invariant.WorkRan, "s1", "p2"),
		call(3, invariant.CallEnded, invariant.Call{ID: "c2", Outcome: invariant.OutcomeCallerDisconnected, Text: "answer"}),
		work(7.5, invariant.WorkFreed, "s1", "p2"),
		paymentSent(8, "c3", "r3"), work(8.1, invariant.WorkRan, "ledger", "r3"),
		call(8.2, invariant.CallEnded, invariant.Call{ID: "c3", Outcome: invariant.OutcomeUnknown}),
		paymentSent(8.5, "c4", "r3"), call(8.6, invariant.CallEnded, invariant.Call{ID: "c4", Outcome: invariant.OutcomeWhole, Text: "r3", EndMarkers: 1}),
		sent(9, "c5", "p5"), call(9.1, invariant.CallEnded, invariant.Call{ID: "c5", Outcome: invariant.OutcomeNotRun}),
		process(10, invariant.ProcessStopping, "agent-s2", "s2"), work(11, invariant.WorkHeld, "s2", "p6"),
		process(15, invariant.ProcessStopped, "agent-s2", "s2"),
		published(20, 2), note(21, "entry", "1", 2, "d2"), note(22, "agent", "1", 1, "d1"), note(38, "agent", "1", 2, "d2"),
		note(60, "entry", "1", 2, "d2"),
	}
}

func check(events []invariant.Event) map[invariant.Invariant]invariant.Verdict {
	slices.SortStableFunc(events, func(a, b invariant.Event) int { return a.At.Compare(b.At) })
	out := map[invariant.Invariant]invariant.Verdict{}
	for _, v := range invariant.Check(events, answer) {
		out[v.Invariant] = v
	}
	return out
}

func TestValidHistoryPasses(t *testing.T) {
	is := is.New(t)
	verdicts := check(validHistory())
	is.Equal(len(verdicts), 8)
	for _, v := range verdicts {
		is.True(v.Cases > 0) // the history has a case of each invariant
		if !v.Passed() {
			t.Errorf("%s: %s", v.Invariant, v.Violations[0])
		}
	}
}

// violations are events that violate one invariant each when they are added to
// validHistory.
var violations = []struct {
	name      string
	invariant invariant.Invariant
	events    []invariant.Event
}{
	{"memory of a disconnected caller", invariant.MemoryReleased, []invariant.Event{
		sent(30, "x", "px"), work(30, invariant.WorkHeld, "s1", "px"), ended(31, "x", invariant.OutcomeCallerDisconnected, ""), work(36.1, invariant.WorkFreed, "s1", "px"),
	}},
	{"memory never freed", invariant.MemoryReleased, []invariant.Event{
		sent(30, "x", "px"), work(30, invariant.WorkHeld, "s1", "px"), ended(31, "x", invariant.OutcomeCallerDisconnected, ""),
	}},
	{"memory allocated after the caller disconnected", invariant.MemoryReleased, []invariant.Event{
		sent(30, "x", "px"), ended(31, "x", invariant.OutcomeCallerDisconnected, ""), work(40, invariant.WorkHeld, "s1", "px"), work(46, invariant.WorkFreed, "s1", "px"),
	}},
	{"memory held after its agent restarted", invariant.MemoryReleased, []invariant.Event{
		sent(30, "x", "px"), work(30, invariant.WorkHeld, "s1", "px"), ended(31, "x", invariant.OutcomeCallerDisconnected, ""),
		process(32, invariant.ProcessKilled, "agent-s1", "s1"), process(34, invariant.ProcessStarted, "agent-s1", "s1"),
		work(39.1, invariant.WorkFreed, "s1", "px"),
	}},
	{"no answer", invariant.AnsweredOnce, []invariant.Event{sent(30, "x", "px")}},
	{"two answers", invariant.AnsweredOnce, []invariant.Event{
		sent(30, "x", "px"), ended(31, "x", invariant.OutcomeWhole, "answer to px"), ended(32, "x", invariant.OutcomeWhole, "answer to px"),
	}},
	{"two end markers in one answer", invariant.AnsweredOnce, []invariant.Event{
		sent(30, "x", "px"), call(31, invariant.CallEnded, invariant.Call{ID: "x", Outcome: invariant.OutcomeWhole, Text: "answer to px", Finish: "stop", EndMarkers: 2}),
	}},
	{"connection lost while the entry was up", invariant.AnsweredOnce, []invariant.Event{
		sent(30, "x", "px"), ended(31, "x", invariant.OutcomeConnectionLost, ""),
	}},
	{"answer to another request", invariant.CorrectAnswer, []invariant.Event{
		sent(30, "x", "px"), ended(31, "x", invariant.OutcomeWhole, "answer to py"),
	}},
	{"truncated answer", invariant.CorrectAnswer, []invariant.Event{
		sent(30, "x", "px"), ended(31, "x", invariant.OutcomeWhole, "answer to"),
	}},
	{"repeated token in a partial answer", invariant.CorrectAnswer, []invariant.Event{
		sent(30, "x", "px"), ended(31, "x", invariant.OutcomePartial, "answer answer"),
	}},
	{"record of another payment", invariant.CorrectAnswer, []invariant.Event{
		paymentSent(30, "x", "rx"), ended(31, "x", invariant.OutcomeWhole, "ry"),
	}},
	{"not run, but a prefill ran", invariant.RefusedNotRun, []invariant.Event{
		sent(30, "x", "px"), work(30, invariant.WorkRan, "s1", "px"), work(30.1, invariant.WorkFreed, "s1", "px"), ended(31, "x", invariant.OutcomeNotRun, ""),
	}},
	{"not run, but a payment ran later", invariant.RefusedNotRun, []invariant.Event{
		paymentSent(30, "x", "rx"), ended(31, "x", invariant.OutcomeNotRun, ""), work(45, invariant.WorkRan, "ledger", "rx"),
	}},
	{"payment twice at one server", invariant.AtMostOnce, []invariant.Event{
		paymentSent(30, "x", "rx"), work(30.1, invariant.WorkRan, "ledger", "rx"), work(30.2, invariant.WorkRan, "ledger", "rx"), ended(31, "x", invariant.OutcomeWhole, "rx"),
	}},
	{"payment at two servers", invariant.AtMostOnce, []invariant.Event{
		paymentSent(30, "x", "rx"), work(30.1, invariant.WorkRan, "ledger", "rx"), work(30.2, invariant.WorkRan, "ledger-2", "rx"), ended(31, "x", invariant.OutcomeWhole, "rx"),
	}},
	{"work for a leaving server", invariant.NoWorkForLeaving, []invariant.Event{
		process(30, invariant.ServerLeaving, "vm-list", "s3"), work(33.1, invariant.WorkHeld, "s3", "px"), work(33.2, invariant.WorkFreed, "s3", "px"),
	}},
	{"work for a stopping agent", invariant.NoWorkForLeaving, []invariant.Event{
		process(30, invariant.ProcessStopping, "agent-s3", "s3"), work(33.1, invariant.WorkHeld, "s3", "px"), work(33.2, invariant.WorkFreed, "s3", "px"),
	}},
	{"planned stop that interrupts a call", invariant.PlannedStopInterruptsNothing, []invariant.Event{
		sent(30, "x", "px"), process(30.5, invariant.ProcessStopping, "agent-s3", "s3"), ended(31, "x", invariant.OutcomePartial, "answer"),
		process(32, invariant.ProcessStopped, "agent-s3", "s3"),
	}},
	{"planned stop that fails", invariant.PlannedStopInterruptsNothing, []invariant.Event{
		process(30, invariant.ProcessStopping, "agent-s3", "s3"),
		{At: startTime.Add(32 * time.Second), Kind: invariant.ProcessStopped, Process: &invariant.Process{Name: "agent-s3", ExitCode: 1}},
	}},
	{"note that reverts", invariant.NoteInForce, []invariant.Event{note(61, "entry", "1", 1, "d1")}},
	{"new incarnation serves an old note", invariant.NoteInForce, []invariant.Event{note(61, "entry", "2", 1, "d1")}},
	{"two notes with one number", invariant.NoteInForce, []invariant.Event{note(61, "agent", "1", 2, "other")}},
	{"note in force too late", invariant.NoteInForce, []invariant.Event{note(40.5, "agent-3", "1", 1, "d1")}},
	{"note not in force at any process", invariant.NoteInForce, []invariant.Event{published(40, 3)}},
}

func TestCheckerFindsPlantedViolations(t *testing.T) {
	for _, v := range violations {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			verdicts := check(append(validHistory(), v.events...))
			is.True(!verdicts[v.invariant].Passed()) // the violation is found
			is.True(len(verdicts[v.invariant].Violations[0].Trace) > 0)
		})
	}
}

// While the agent of a server is paused, its memory can't be released; when an
// entry is killed, its calls lose their connection. Neither is a violation.
func TestOutagesExcuseViolations(t *testing.T) {
	is := is.New(t)
	verdicts := check(append(validHistory(),
		sent(30, "x", "px"), work(30, invariant.WorkHeld, "s1", "px"), ended(31, "x", invariant.OutcomeCallerDisconnected, ""),
		process(32, invariant.ProcessPaused, "agent-s1", "s1"), process(42, invariant.ProcessResumed, "agent-s1", "s1"),
		work(46.9, invariant.WorkFreed, "s1", "px"),
		sent(50, "y", "py"), process(51, invariant.ProcessKilled, "entry", ""), ended(51, "y", invariant.OutcomeConnectionLost, ""),
	))
	is.True(verdicts[invariant.MemoryReleased].Passed())
	is.True(verdicts[invariant.AnsweredOnce].Passed())
}

// stalled returns a machine stall of a length that ends at a time, both in
// seconds.
func stalled(seconds, length float64) invariant.Event {
	e := eventAt(seconds, invariant.MachineStalled)
	e.Stalled = time.Duration(length * float64(time.Second))
	return e
}

// Time during a machine stall does not count against the bound, all other time
// does.
func TestBoundsExcludeMachineStalls(t *testing.T) {
	cases := []struct {
		name  string
		freed float64
		stall invariant.Event
		held  bool
	}{
		{name: "within the bound and the stall", freed: 37.4, stall: stalled(35, 2.5), held: true},
		{name: "after the bound and the stall", freed: 38.6, stall: stalled(35, 2.5)},
		{name: "a stall before the call ended", freed: 36.2, stall: stalled(30.5, 2.5)},
		{name: "a stall after the release", freed: 36.2, stall: stalled(45, 2.5)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			verdicts := check(append(validHistory(),
				sent(30, "x", "px"), work(30, invariant.WorkHeld, "s1", "px"), ended(31, "x", invariant.OutcomeCallerDisconnected, ""),
				c.stall, work(c.freed, invariant.WorkFreed, "s1", "px"),
			))
			is.Equal(verdicts[invariant.MemoryReleased].Passed(), c.held)
		})
	}
}

func TestReadReturnsRecordedEvents(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := invariant.NewRecorder(&out)
	r.Record(sent(1, "x", "px"))
	r.Record(work(2, invariant.WorkHeld, "s1", "px"))
	events, err := invariant.Read(strings.NewReader(out.String() + `{"at":"20`))
	is.NoErr(err) // the incomplete last line is ignored
	is.Equal(len(events), 2)
	is.Equal(events[1].Work.Server, "s1")
	_, err = invariant.Read(strings.NewReader("{\n" + out.String()))
	is.True(err != nil)
}

// failingWriter fails every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrShortWrite }

func TestRecorderTellsOfLostEvents(t *testing.T) {
	is := is.New(t)
	whole := invariant.NewRecorder(io.Discard)
	whole.Record(invariant.Event{Kind: invariant.MachineStalled})
	is.NoErr(whole.Err())
	lost := invariant.NewRecorder(failingWriter{})
	lost.Record(invariant.Event{Kind: invariant.MachineStalled})
	is.True(lost.Err() != nil)
}
