package entry

import (
	"context"

	"github.com/oklog/ulid/v2"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// maxPrefillRefusals bounds the prefill servers that are asked for one attempt.
const maxPrefillRefusals = placement.MaxRefusals + 1

// reserve waits until a job may be dispatched and for the promise of a decode
// server.
func (e *Entry) reserve(ctx context.Context, j *job) (*place, error) {
	w, err := e.sched.Offer(j.described())
	if err != nil {
		return nil, j.refused(ctx, err)
	}
	for {
		a, err := e.sched.Acquire(ctx, w)
		if err != nil {
			return nil, j.refused(ctx, err)
		}
		j.use = a.Use
		p, err := e.tryReserve(ctx, j, w, a)
		if err == nil {
			return p, nil
		}
		e.sched.GiveBack(w, a)
		if ctx.Err() != nil {
			e.sched.Withdraw(w)
			return nil, callFailure(ctx, err)
		}
	}
}

// tryReserve asks the chosen decode server for a promise.
func (e *Entry) tryReserve(ctx context.Context, j *job, w *waiter, a assignment) (*place, error) {
	at := e.newAttempt(j, w.Lagging())
	args := protocol.ReserveArgs{Caller: a.Decode.caller(ctx), Attempt: at, PrefillIn: a.PrefillIn}
	var reply protocol.ReserveReply
	err := a.Decode.call(ctx, protocol.ServiceDecode+".Reserve", args, &reply)
	e.sched.Reserved(a.Decode, a.Use, err == nil)
	if err == nil {
		return &place{attempt: at, decode: a.Decode, prefill: a.Prefill, maxWait: a.MaxWait}, nil
	}
	if apierror.From(err).Outcome != apierror.OutcomeNotRun {
		e.cancel(ctx, a.Decode, protocol.ServiceDecode, at.ID)
	}
	return nil, err
}

// Steps of priority at engines. A request that continues goes before one of a
// provider below its share, which goes before the others of the provider's
// priority.
const (
	providerPriority = 4
	continuePriority = 2
	laggingPriority  = 1
)

func (e *Entry) newAttempt(j *job, lagging bool) protocol.Attempt {
	priority := j.provider.Priority * providerPriority
	switch {
	case j.urgent:
		priority += continuePriority
	case lagging:
		priority += laggingPriority
	}
	return protocol.Attempt{
		ID: ulid.Make().String(), Request: j.id, Provider: j.provider.Name,
		Model: j.model.Key(), Adapter: j.adapter,
		PromptTokens: j.promptTokens + len(j.given), MaxTokens: j.maxTokens,
		StartOffset: len(j.given), Grace: j.grace, Priority: priority,
	}
}

// prefillResult describes the end of a prefill to the decisions.
func prefillResult(j *job, reply *protocol.PrefillReply, err error) dispatch.PrefillResult {
	switch {
	case err == nil:
		return dispatch.PrefillResult{Computed: j.use.Prefill.Tokens - reply.KV.CachedTokens, Took: reply.Took}
	case refusedForLoad(err):
		return dispatch.PrefillResult{Failure: dispatch.PrefillFull}
	case apierror.From(err).Outcome == apierror.OutcomeNotRun:
		return dispatch.PrefillResult{Failure: dispatch.PrefillUnwilling}
	default:
		return dispatch.PrefillResult{Failure: dispatch.PrefillBroken}
	}
}

// prefillElsewhere chooses a prefill server again, after a refusal. It reports
// false when there is none.
func (e *Entry) prefillElsewhere(j *job, at *place) bool {
	c, maxWait, ok := e.sched.PrefillElsewhere(j.described(), j.use)
	if ok {
		at.prefill, at.maxWait = c, maxWait
	}
	return ok
}

// refusedForLoad reports whether an agent refused for want of room, so that
// nothing ran.
func refusedForLoad(err error) bool {
	failure := apierror.From(err)
	return failure.Kind == apierror.KindOverloaded && failure.Outcome == apierror.OutcomeNotRun
}
