package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Limits for detecting an engine that no longer works on a prefill or import.
const (
	// probeInterval is the time between probes of a running prefill.
	probeInterval = 500 * time.Millisecond
	// maxFailedProbes is the number of consecutive failed probes after which the
	// prefill is cancelled.
	maxFailedProbes = 3
	// probeTimeout is the timeout of one probe.
	probeTimeout = 700 * time.Millisecond
	// importBase plus importPerPiece for each memory piece is the timeout of a KV
	// transfer.
	importBase     = 2 * time.Second
	importPerPiece = 100 * time.Millisecond
)

// errEngineUnresponsive reports that the engine, or a connection to it, became
// unresponsive.
const errEngineUnresponsive = errors.ConstError("the engine does not work on the request any more")

// watchPrefill returns a context that ends when the engine no longer works on a
// prefill: probes on new connections fail, or do not list the prefill as running.
// A running prefill may take any time.
func (a *Agent) watchPrefill(t *attempt) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(t.ctx)
	go func() {
		for failed := 0; sleep.WithContext(ctx, probeInterval); {
			if a.prefillRunning(ctx, t.id) {
				failed = 0
			} else if failed++; failed >= maxFailedProbes {
				a.engine.CloseIdleConnections()
				cancel(errEngineUnresponsive)
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// prefillRunning probes whether the engine works on a prefill.
func (a *Agent) prefillRunning(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	list, err := a.engine.HeldRequests(ctx)
	if err != nil {
		return false
	}
	for _, h := range list {
		if h.ID == a.engineID(id) {
			return h.Phase == engine.PhasePrefill
		}
	}
	return false
}

// importKV makes the engine fetch the KV cache, with a timeout that depends on
// its size.
func (a *Agent) importKV(t *attempt, kv protocol.KVHandle) error {
	limit := importBase + time.Duration(kv.Pieces)*importPerPiece
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	_, err := a.engine.Import(ctx, engine.ImportRequest{ID: a.engineID(t.id), Source: kv.Source, Handle: kv.Handle})
	if ctx.Err() != nil {
		a.engine.CloseIdleConnections()
	}
	return err
}
