package entry

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// maxPrefillReassignments is the maximum number of times that one attempt moves
// to another prefill server after a refusal.
const maxPrefillReassignments = placement.MaxRefusals + 1

// reserve waits until the scheduler assigns servers to a job and the decode
// server reserves memory for it.
func (e *Entry) reserve(ctx context.Context, j *job) (*reservation, error) {
	offered := e.dispatchJob(j)
	if offered.MayDecode != nil && !e.canContinue(j) {
		return nil, apierror.NotRun(apierror.KindUnavailable, "no server has the software that began the answer", "send the request again")
	}
	if deadline, ok := ctx.Deadline(); ok && !j.urgent {
		offered.TimeLeft = time.Until(deadline)
	}
	w, err := e.sched.Offer(offered)
	if err != nil {
		return nil, j.schedulerError(ctx, err)
	}
	for {
		a, err := e.sched.Acquire(ctx, w)
		if err != nil {
			return nil, j.schedulerError(ctx, err)
		}
		j.use = a.Use
		res, err := e.tryReserve(ctx, j, w, a)
		if err == nil {
			return res, nil
		}
		e.sched.Requeue(w, a)
		if ctx.Err() != nil {
			e.sched.Withdraw(w)
			return nil, callFailure(ctx, err)
		}
	}
}

// tryReserve requests a reservation from the assigned decode server.
func (e *Entry) tryReserve(ctx context.Context, j *job, w *waiter, a assignment) (*reservation, error) {
	at := e.newAttempt(j, w.BelowShare())
	args := protocol.ReserveArgs{Header: a.Decode.header(ctx), Attempt: at, TimeToPrefillEnd: a.TimeToPrefillEnd}
	var reply protocol.ReserveReply
	err := a.Decode.call(ctx, protocol.ServiceDecode+".Reserve", args, &reply)
	e.sched.RecordReservation(a.Decode, a.Use, err == nil)
	if err == nil {
		return &reservation{attempt: at, decode: a.Decode, prefill: a.Prefill, maxWait: a.MaxWait}, nil
	}
	if apierror.From(err).Outcome != apierror.OutcomeNotRun {
		e.cancel(ctx, a.Decode, protocol.ServiceDecode, at.ID)
	}
	return nil, err
}

// Priorities at engines. Within a provider's priority, retries come first, then
// requests of providers that are below their share.
const (
	providerPriorityStep    = 4
	retryPriorityBonus      = 2
	belowSharePriorityBonus = 1
)

func (e *Entry) newAttempt(j *job, belowShare bool) protocol.Attempt {
	priority := j.provider.Priority * providerPriorityStep
	switch {
	case j.urgent:
		priority += retryPriorityBonus
	case belowShare:
		priority += belowSharePriorityBonus
	}
	return protocol.Attempt{
		ID: ulid.Make().String(), Request: j.id, Provider: j.provider.Name,
		Model: j.model.Key(), Adapter: j.adapter,
		PromptTokens: j.promptTokens + len(j.delivered), MaxTokens: j.maxTokens,
		StartOffset: len(j.delivered), Grace: j.grace, Priority: priority,
	}
}

// prefillResult converts the end of a prefill for the scheduler.
func prefillResult(j *job, reply *protocol.PrefillReply, err error) dispatch.PrefillResult {
	switch {
	case err == nil:
		return dispatch.PrefillResult{Computed: j.use.Prefill.Tokens - reply.KV.CachedTokens, ComputeTime: reply.ComputeTime}
	case refusedForLoad(err):
		return dispatch.PrefillResult{Status: dispatch.PrefillOverloaded}
	case apierror.From(err).Outcome == apierror.OutcomeNotRun:
		return dispatch.PrefillResult{Status: dispatch.PrefillRefused}
	default:
		return dispatch.PrefillResult{Status: dispatch.PrefillFailed}
	}
}

// reassignPrefill chooses another prefill server after a refusal. It reports
// false if there is none.
func (e *Entry) reassignPrefill(j *job, res *reservation) bool {
	c, maxWait, ok := e.sched.ReassignPrefill(e.dispatchJob(j), j.use)
	if ok {
		res.prefill, res.maxWait = c, maxWait
	}
	return ok
}

// refusedForLoad reports whether an agent refused for lack of capacity, so that
// nothing ran.
func refusedForLoad(err error) bool {
	failure := apierror.From(err)
	return failure.Kind == apierror.KindOverloaded && failure.Outcome == apierror.OutcomeNotRun
}
