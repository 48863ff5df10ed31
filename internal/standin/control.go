package standin

import (
	"net/http"
	"strconv"
)

// TestControlled is a stand-in whose requests tests can hold at a step.
type TestControlled interface {
	hold(s Step, after int)
	release(Step)
	waiting(Step) int
	decoding() int
}

// TestControlState is the answer to GET /control/state?step=STEP.
type TestControlState struct {
	// Waiting is the number of requests that are held at the step.
	Waiting int `json:"waiting"`
	// Decoding is the number of requests with an unfinished answer.
	Decoding int `json:"decoding"`
}

// TestControlHandler adds an HTTP interface for tests to the handler of a stand-in:
//
//	POST /control/hold?step=STEP&after=TOKENS  hold requests at a step
//	POST /control/release?step=STEP            release them
//	GET /control/state?step=STEP               return a TestControlState
func TestControlHandler(c TestControlled, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/hold", func(_ http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.FormValue("after"))
		c.hold(Step(r.FormValue("step")), after)
	})
	mux.HandleFunc("POST /control/release", func(_ http.ResponseWriter, r *http.Request) { c.release(Step(r.FormValue("step"))) })
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, TestControlState{Waiting: c.waiting(Step(r.FormValue("step"))), Decoding: c.decoding()})
	})
	mux.Handle("/", next)
	return mux
}

func (e *Engine) hold(s Step, after int) { e.gates.hold(s, after) }
func (e *Engine) release(s Step)         { e.gates.release(s) }
func (e *Engine) waiting(s Step) int     { return e.gates.waiting(s) }

// decoding returns the number of unfinished answers.
func (e *Engine) decoding() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decodingLocked()
}

func (l *Ledger) hold(s Step, after int) { l.gates.hold(s, after) }
func (l *Ledger) release(s Step)         { l.gates.release(s) }
func (l *Ledger) waiting(s Step) int     { return l.gates.waiting(s) }
func (l *Ledger) decoding() int          { return 0 }
