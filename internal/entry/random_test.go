package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Kinds of steps of a random run.
const (
	stepPrompt = iota
	stepPromptStream
	stepPay
	stepRepeatPayment
	stepCancel
	stepResume
	stepBlackhole
	stepPartition
	stepHeal
	stepKillAgent
	stepKillEngine
	stepFreezeEngine
	stepThawEngine
	stepKinds
)

// step is one step of a random run.
type step struct {
	kind   int
	which  int // index of an exchange, entry or server, modulo their number
	before time.Duration
}

var serverNames = []string{"prefill-1", "prefill-2", "decode-1", "decode-2", "ledger-1"}

var entryNames = []string{"entry-1", "entry-2"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:   rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			which:  rapid.IntRange(0, 9).Draw(t, "which"),
			before: time.Duration(rapid.IntRange(0, 2000).Draw(t, "before")) * time.Millisecond,
		}
	}), 1, 40).Draw(t, "steps")
}

// run is the state of one random run.
type run struct {
	f         *fleet
	prompts   []*exchange
	payments  []*exchange
	repeats   []*exchange
	resumed   map[*exchange]string // the text that the caller had received before
	cancelled map[*exchange]bool
}

// TestRandomFaults runs random requests and faults and checks the invariants. A
// failure prints the seed that reproduces it.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.stop()
			r := &run{f: f, cancelled: map[*exchange]bool{}, resumed: map[*exchange]string{}}
			for _, s := range steps {
				time.Sleep(s.before)
				r.apply(s)
			}
			violations = r.check()
		})
		if len(violations) > 0 {
			rt.Fatalf("violated invariants:\n%s", strings.Join(violations, "\n"))
		}
	})
}

func (r *run) apply(s step) {
	f := r.f
	server := serverNames[s.which%len(serverNames)]
	entryName := entryNames[s.which%len(entryNames)]
	switch s.kind {
	case stepPrompt, stepPromptStream:
		r.sendPrompt(entryName, s)
	case stepPay:
		x := f.send(entryName, http.MethodPost, "/ledger/payments", fmt.Sprintf("pay%d", len(r.payments)), nil, nil)
		x.prompt = fmt.Sprintf("pay%d", len(r.payments))
		r.payments = append(r.payments, x)
	case stepRepeatPayment:
		r.repeatPayment(entryName, s)
	case stepCancel:
		r.cancel(s)
	case stepResume:
		r.resume(entryName, s)
	case stepBlackhole:
		f.net.blackhole(entryName, addresses[server])
	case stepPartition:
		f.net.partition(entryName, addresses[server], true)
	case stepHeal:
		r.heal()
	case stepKillAgent:
		f.agents[server].kill()
		f.startAgent(server)
	default:
		r.applyToEngine(s.kind, server)
	}
}

func (r *run) sendPrompt(entryName string, s step) {
	header := map[string]string{}
	if s.which > 5 {
		header["Samphire-Resume"] = "5s"
	}
	x := r.f.sendPrompt(entryName, fmt.Sprintf("q%d", len(r.prompts)), s.kind == stepPromptStream, header)
	r.prompts = append(r.prompts, x)
}

// repeatPayment repeats a payment under its ticket.
func (r *run) repeatPayment(entryName string, s step) {
	if len(r.payments) == 0 {
		return
	}
	x := r.payments[s.which%len(r.payments)]
	ticket := x.header("Samphire-Ticket")
	if ticket == "" {
		return
	}
	again := r.f.send(entryName, http.MethodPost, "/ledger/payments", x.prompt, map[string]string{"Samphire-Ticket": ticket}, nil)
	again.prompt = x.prompt
	r.repeats = append(r.repeats, again)
}

func (r *run) cancel(s step) {
	if len(r.prompts) == 0 {
		return
	}
	x := r.prompts[s.which%len(r.prompts)]
	r.cancelled[x] = true
	x.cancel()
}

// resume resumes a streamed answer on another connection.
func (r *run) resume(entryName string, s step) {
	if len(r.prompts) == 0 {
		return
	}
	x := r.prompts[s.which%len(r.prompts)]
	ticket := x.header("Samphire-Resume-Ticket")
	if ticket == "" || x.finished() {
		return
	}
	before, offset, _ := x.streamed()
	r.cancelled[x] = true
	again := r.f.send(entryName, http.MethodGet, "/v1/requests/"+ticket, "", map[string]string{"Last-Event-ID": offset}, nil)
	again.prompt = x.prompt
	r.resumed[again] = before
}

func (r *run) applyToEngine(kind int, server string) {
	e, ok := r.f.engines[server]
	if !ok {
		return
	}
	switch kind {
	case stepKillEngine:
		e.setState(true, false)
		e.setState(false, false)
	case stepFreezeEngine:
		e.setState(false, true)
	case stepThawEngine:
		e.setState(false, false)
	}
}

func (r *run) heal() {
	for _, name := range entryNames {
		for _, addr := range addresses {
			r.f.net.partition(name, addr, false)
		}
	}
}

// check removes all faults, waits until all requests have ended, and returns
// the violations of the invariants.
func (r *run) check() []string {
	r.heal()
	for _, e := range r.f.engines {
		e.setState(false, false)
	}
	time.Sleep(2*time.Minute + maxReclaimTime) // the maximum duration of a request, which exceeds every grace
	violations := r.checkMemory()
	for _, x := range r.prompts {
		violations = append(violations, r.checkAnswer(x)...)
	}
	for x, before := range r.resumed {
		text, _, complete := x.streamed()
		if complete && before+text != answer(x.prompt) {
			violations = append(violations, fmt.Sprintf("%s: resumed as %q after %q", x.prompt, text, before))
		}
	}
	for _, x := range append(r.payments, r.repeats...) {
		violations = append(violations, r.checkPayment(x)...)
	}
	return violations
}

func (r *run) checkMemory() []string {
	var violations []string
	if n := r.f.heldRequests(); n > 0 {
		violations = append(violations, fmt.Sprintf("engines hold %d requests whose callers have disconnected", n))
	}
	for name, p := range r.f.agents {
		if s := p.agent.Snapshot(); len(s.Attempts) > 0 || s.Load.SlotsUsed != 0 || s.Load.PiecesUsed != 0 {
			violations = append(violations, fmt.Sprintf("agent of %s accounts for %d attempts, %d slots, %d pieces", name, len(s.Attempts), s.Load.SlotsUsed, s.Load.PiecesUsed))
		}
	}
	return violations
}

func (r *run) checkAnswer(x *exchange) []string {
	if !x.finished() {
		return []string{x.prompt + ": not answered"}
	}
	if r.cancelled[x] {
		return nil
	}
	text, _, complete := x.streamed()
	whole := x.answerText()
	switch {
	case complete && text == answer(x.prompt), whole == answer(x.prompt):
		return nil
	case complete || whole != "":
		return []string{fmt.Sprintf("%s: wrong answer %q", x.prompt, x.out.text())}
	case !strings.HasPrefix(answer(x.prompt), text):
		return []string{fmt.Sprintf("%s: tokens of another answer %q", x.prompt, text)}
	case x.outcome() == "not_run" && r.f.prefills(x.prompt) > 0:
		return []string{x.prompt + ": reported not_run, but it ran"}
	}
	return nil
}

func (r *run) checkPayment(x *exchange) []string {
	n := r.f.service.executions(x.prompt)
	switch {
	case !x.finished():
		return []string{x.prompt + ": not answered"}
	case n > 1:
		return []string{fmt.Sprintf("%s: ran %d times", x.prompt, n)}
	case n == 0 && x.out.status() == http.StatusCreated:
		return []string{x.prompt + ": answered without having run"}
	case n > 0 && x.outcome() == "not_run":
		return []string{x.prompt + ": reported not_run, but it ran"}
	}
	return nil
}
