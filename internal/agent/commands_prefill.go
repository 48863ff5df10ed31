package agent

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// PrefillCommands is the RPC service for prefills.
type PrefillCommands struct{ a *Agent }

// Run processes a prompt and returns the handle of its KV cache.
func (s *PrefillCommands) Run(args protocol.PrefillArgs, reply *protocol.PrefillReply) error {
	reply.KV, reply.ComputeTime, reply.Error = s.a.prefill(args)
	reply.Load = s.a.load()
	return nil
}

// Cancel ends a prefill and frees its KV cache.
func (s *PrefillCommands) Cancel(args protocol.CancelArgs, reply *protocol.CancelReply) error {
	reply.Found = s.a.cancel(args)
	reply.Load = s.a.load()
	return nil
}

// Release removes a prefill whose KV cache the decode engine has fetched; the
// prefill engine frees the cache itself.
func (s *PrefillCommands) Release(args protocol.CancelArgs, reply *protocol.CancelReply) error {
	t, ok := s.a.findAttempt(args.Header.From, args.Attempt)
	reply.Found = ok && s.a.removeAttempt(t)
	reply.Load = s.a.load()
	return nil
}

func (a *Agent) prefill(args protocol.PrefillArgs) (protocol.KVHandle, time.Duration, *apierror.Error) {
	at := args.Attempt
	t, refusal := a.openAttempt(args.Header, at, phasePrefill, resources{
		pieces: protocol.Pieces(at.PromptTokens), tokens: at.PromptTokens, maxWait: args.MaxWait,
	})
	if refusal != nil {
		return protocol.KVHandle{}, 0, refusal
	}
	a.count.prefills.Add(1)
	ctx, stop := a.watchPrefill(t)
	defer stop()
	result, err := a.engine.Prefill(ctx, engine.PrefillRequest{
		ID: a.engineID(at.ID), Model: at.Model, Adapter: at.Adapter,
		Prompt: args.Prompt, Delivered: args.Delivered, Priority: at.Priority,
	})
	if err != nil {
		a.abort(t, "the prefill failed")
		return protocol.KVHandle{}, 0, classifyEngineError(err)
	}
	if !a.setPhase(t, phasePrefill, phaseResult) {
		go a.freeEngine(at.ID)
		return protocol.KVHandle{}, 0, apierror.Unknown(apierror.KindCancelled, "the prefill was cancelled", "send a new attempt")
	}
	took := a.recordPrefill(t, at.PromptTokens-result.CachedTokens)
	return protocol.KVHandle{
		Source: a.engine.Base(), Handle: result.Handle, Pieces: result.Pieces,
		CachedTokens: result.CachedTokens, TTL: time.Duration(result.TTLMS) * time.Millisecond,
	}, took, nil
}

// recordPrefill updates the predictor with a finished prefill and returns its
// compute time.
func (a *Agent) recordPrefill(t *attempt, computed int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	took := a.predictor.recordPrefill(a.uptime(), t.opened, computed, a.queuedPrefills == 0)
	a.publishLocked()
	return took
}

// cancel ends an attempt of the caller. For an unknown attempt it adds a
// tombstone, so that a command that arrives later can not start it.
func (a *Agent) cancel(args protocol.CancelArgs) bool {
	a.mu.Lock()
	t, ok := a.attempts[args.Attempt]
	if !ok {
		a.tombstones.add(args.Attempt)
	}
	owned := ok && t.owner == args.Header.From
	a.mu.Unlock()
	if owned {
		a.abort(t, "the entry cancelled it")
	}
	return ok
}
