package standin

import (
	"context"
	"sync"
)

// Step is a point in the handling of a request at which tests can hold it.
type Step string

// Steps of engines and of the ledger.
const (
	// StepPrefill is before the computation of a prefill.
	StepPrefill Step = "prefill"
	// StepExport is after the first line of an exported KV cache.
	StepExport Step = "export"
	// StepImport is before an engine fetches a KV cache.
	StepImport Step = "import"
	// StepDecode is between the tokens of all answers.
	StepDecode Step = "decode"
	// StepRecord is before the ledger records a payment.
	StepRecord Step = "record"
	// StepAnswer is after the ledger recorded a payment, before it answers.
	StepAnswer Step = "answer"
)

// gates hold requests at steps. The zero value holds none.
type gates struct {
	mu    sync.Mutex
	steps map[Step]*gate
}

// gate is one closed step.
type gate struct {
	open    chan struct{} // closed when the step opens
	after   int           // tokens of an answer before StepDecode holds it
	waiting int
}

// hold closes a step. At StepDecode, an answer is held once it has after tokens.
func (g *gates) hold(s Step, after int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.steps == nil {
		g.steps = map[Step]*gate{}
	}
	if g.steps[s] == nil {
		g.steps[s] = &gate{open: make(chan struct{}), after: after}
	}
}

// release opens a step and unblocks the requests that wait there.
func (g *gates) release(s Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed := g.steps[s]; closed != nil {
		close(closed.open)
		delete(g.steps, s)
	}
}

// blocksAnswer reports whether StepDecode holds an answer that has n tokens.
func (g *gates) blocksAnswer(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	closed := g.steps[StepDecode]
	return closed != nil && n >= closed.after
}

// waiting returns the number of requests that wait at a step.
func (g *gates) waiting(s Step) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed := g.steps[s]; closed != nil {
		return closed.waiting
	}
	return 0
}

// pass waits until a step is open or ctx is done.
func (g *gates) pass(ctx context.Context, s Step) error {
	g.mu.Lock()
	closed := g.steps[s]
	if closed == nil {
		g.mu.Unlock()
		return nil
	}
	closed.waiting++
	g.mu.Unlock()
	defer g.doneWaiting(closed)
	select {
	case <-closed.open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gates) doneWaiting(closed *gate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	closed.waiting--
}
