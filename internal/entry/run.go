package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/logging"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Bounds on the attempts at one request.
const (
	// maxAttemptsWithoutToken is the maximum number of attempts in a row that
	// produce no token.
	maxAttemptsWithoutToken = 6
	// retryBackoff is the delay before the second retry in a row. The delay
	// grows linearly with each further retry.
	retryBackoff = 50 * time.Millisecond
	// commandTimeout bounds a command sent in the background, such as a
	// cancellation.
	commandTimeout = time.Second
)

// runJob runs a job to completion, with retries on other servers if needed, and
// returns the finish reason. A running attempt, if not nil, is continued first.
// The error is an *apierror.Error.
func (e *Entry) runJob(ctx context.Context, j *job, running *reservation) (string, error) {
	j.failedServers, j.answeredServers = map[string]bool{}, map[string]bool{}
	for withoutToken := 0; ; {
		deliveredBefore := len(j.delivered)
		reason, err := e.runAttempt(ctx, j, running)
		running = nil
		if err == nil {
			return reason, nil
		}
		withoutToken++
		if len(j.delivered) > deliveredBefore {
			withoutToken = 0
		}
		_ = level.Info(logging.FromContext(ctx)).Log("msg", "attempt failed", "fruitless", withoutToken, "tokens", len(j.delivered), "err", err)
		if ctx.Err() != nil || j.refused || !retryable(err) || withoutToken >= maxAttemptsWithoutToken || !e.acquireRetry(j) {
			return "", e.finalError(ctx, j, err)
		}
		j.urgent = true
		if withoutToken > 1 {
			sleep.WithContext(ctx, time.Duration(withoutToken-1)*retryBackoff)
		}
	}
}

// acquireRetry takes a retry from the provider's budget and reports whether the
// job may be retried. A job that has produced tokens is retried even without
// budget, since a failure would cut off an answer in progress.
func (e *Entry) acquireRetry(j *job) bool {
	withinBudget := e.quotas.acquireRetry(j.provider)
	if len(j.delivered) > 0 {
		e.count.continued.Add(1)
		return true
	}
	if !withinBudget {
		e.count.retriesRefused.Add(1)
	}
	return withinBudget
}

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	switch apierror.From(err).Kind {
	case apierror.KindUnavailable, apierror.KindOverloaded, apierror.KindDraining,
		apierror.KindStarting, apierror.KindNotFound, apierror.KindCancelled, apierror.KindDeadlineExceeded:
		return true
	default:
		return false
	}
}

// finalError returns the error for the caller. Its outcome states whether any
// part of the request ran or may have run.
func (e *Entry) finalError(ctx context.Context, j *job, err error) *apierror.Error {
	out := *apierror.From(err)
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		out.Kind, out.Message, out.Remedy = apierror.KindDeadlineExceeded, "the request took too long", "send it again, or a shorter prompt"
	case ctx.Err() != nil:
		out.Kind, out.Message = apierror.KindCancelled, "the caller cancelled the request"
	case out.Kind == apierror.KindNotFound: // an attempt or a prefill result, not what the caller asked for
		out.Kind = apierror.KindUnavailable
	}
	switch {
	case len(j.delivered) > 0 && j.out.streams():
		out.Outcome = apierror.OutcomePartial
	case j.mayHaveRun || len(j.delivered) > 0:
		out.Outcome = apierror.OutcomeUnknown
	default:
		out.Outcome = apierror.OutcomeNotRun
	}
	if out.RetryAfter == 0 && out.Kind != apierror.KindCancelled && out.Kind != apierror.KindMoved {
		out.RetryAfter = overloadRetry
	}
	return &out
}

// runAttempt makes one attempt at a job. If res is not nil, it continues the
// running attempt res.
func (e *Entry) runAttempt(ctx context.Context, j *job, res *reservation) (string, error) {
	e.count.attempts.Add(1)
	started := res != nil
	if !started {
		var err error
		if res, err = e.reserve(ctx, j); err != nil {
			return "", err
		}
	}
	res.decode.inFlight.Add(1)
	defer res.decode.inFlight.Add(-1)
	if !started {
		defer e.sched.EndDecode(res.decode, j.use)
	}
	reason, err := e.startOrContinue(ctx, j, res, started)
	if err != nil {
		j.failedServers[res.decode.server.Name] = j.failedServers[res.decode.server.Name] || res.started
		e.cancelUnlessResumable(ctx, j, res, err)
	}
	res.decode.removeAttemptRef(res.attempt.ID)
	if err == nil && !started {
		e.sched.RecordAnswerLength(e.dispatchJob(j), len(j.delivered))
	}
	return reason, err
}

// startOrContinue relays the answer of an attempt, which it starts first unless
// it is started already.
func (e *Entry) startOrContinue(ctx context.Context, j *job, res *reservation, started bool) (string, error) {
	if started {
		return e.relay(ctx, j, res)
	}
	return e.startAndRelay(ctx, j, res)
}

// cancelUnlessResumable cancels a failed attempt, unless its caller resumed it
// on another connection, or has disconnected and may resume it. The agent keeps
// such an attempt for its grace after the last entry has dropped its reference.
func (e *Entry) cancelUnlessResumable(ctx context.Context, j *job, res *reservation, cause error) {
	callerDisconnected := ctx.Err() == context.Canceled || apierror.Is(cause, apierror.KindBadRequest)
	if apierror.Is(cause, apierror.KindMoved) || j.grace > 0 && res.started && callerDisconnected {
		return
	}
	e.cancel(ctx, res.decode, protocol.ServiceDecode, res.attempt.ID)
}

// startAndRelay runs the prefill, starts the decode and relays the answer.
func (e *Entry) startAndRelay(ctx context.Context, j *job, res *reservation) (string, error) {
	kv, err := e.prefill(ctx, j, res)
	if err != nil {
		return "", err
	}
	var reply protocol.StartReply
	args := protocol.StartArgs{Header: res.decode.header(ctx), Attempt: res.attempt, KV: kv}
	if j.grace > 0 {
		j.record.Software = res.decode.software()
		args.Delivered, args.ResumeState = j.delivered, j.record.encode()
	}
	err = res.decode.call(ctx, protocol.ServiceDecode+".Start", args, &reply)
	res.prefill.removeAttemptRef(res.attempt.ID)
	if err != nil {
		e.count.prefillsWasted.Add(1)
		j.markTransferFailed(res, err)
		e.cancel(ctx, res.prefill, protocol.ServicePrefill, res.attempt.ID)
		return "", err
	}
	e.sendInBackground(ctx, res.prefill, protocol.ServicePrefill+".Release", res.attempt.ID)
	res.started = true
	if j.grace > 0 {
		j.out.sendResumeTicket(e.resumeTicket(j, res))
	}
	return e.relay(ctx, j, res)
}

// markTransferFailed records the decode server of a failed KV transfer as
// failed, unless it only found that the prefill result had expired. If the outcome is
// unknown, either side may be at fault, so it records the prefill server as well.
func (j *job) markTransferFailed(res *reservation, err error) {
	if apierror.Is(err, apierror.KindNotFound) {
		j.answeredServers[res.decode.server.Name] = true
		return
	}
	j.failedServers[res.decode.server.Name] = true
	if apierror.From(err).Outcome != apierror.OutcomeNotRun {
		j.failedServers[res.prefill.server.Name] = true
	}
}

// prefill runs the prefill of a reservation, and moves it to another server
// when the assigned one refuses for lack of capacity.
func (e *Entry) prefill(ctx context.Context, j *job, res *reservation) (protocol.KVHandle, error) {
	e.count.prefillsStarted.Add(1)
	for refusals := 0; ; refusals++ {
		kv, err := e.prefillOnce(ctx, j, res)
		if err == nil || !refusedForLoad(err) || refusals >= maxPrefillReassignments || !e.reassignPrefill(j, res) {
			return kv, err
		}
	}
}

func (e *Entry) prefillOnce(ctx context.Context, j *job, res *reservation) (protocol.KVHandle, error) {
	c := res.prefill
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	var reply protocol.PrefillReply
	args := protocol.PrefillArgs{Header: c.header(ctx), Attempt: res.attempt, Prompt: j.prompt, Delivered: j.delivered, MaxWait: res.maxWait}
	err := c.call(ctx, protocol.ServicePrefill+".Run", args, &reply)
	e.sched.EndPrefill(e.dispatchJob(j), c, j.use, prefillResult(j, &reply, err))
	if err == nil || apierror.From(err).Outcome != apierror.OutcomeNotRun {
		j.mayHaveRun = true
	}
	if err != nil && !refusedForLoad(err) {
		j.failedServers[c.server.Name] = true
		e.cancel(ctx, c, protocol.ServicePrefill, res.attempt.ID)
	}
	return reply.KV, err
}

// relay writes the answer to the caller and acknowledges the tokens written.
func (e *Entry) relay(ctx context.Context, j *job, res *reservation) (string, error) {
	r := newRelay(res.attempt.ID, len(j.delivered))
	res.decode.attach(r)
	defer res.decode.detach(r)
	acked := len(j.delivered)
	pace := newPace(e.sched, res.decode, j.targetBetweenTokens())
	for {
		tokens, end, err := r.receive(ctx)
		if err != nil {
			return "", callFailure(ctx, err)
		}
		if len(tokens) > 0 {
			if err := j.out.write(tokens); err != nil {
				return "", apierror.Unknown(apierror.KindBadRequest, "the caller is gone: "+err.Error(), "send the request again")
			}
			j.delivered, j.software = append(j.delivered, tokens...), res.decode.software()
			e.count.tokens.Add(int64(len(tokens)))
			pace.observe(len(tokens))
		}
		done := end != nil && end.Error == nil
		if done || len(j.delivered)-acked >= ackTokens {
			acked = len(j.delivered)
			res.decode.ack(protocol.Ack{Attempt: res.attempt.ID, Offset: acked, Done: done && j.grace == 0})
		}
		if done {
			return end.FinishReason, nil
		}
		if end != nil {
			return "", end.Error
		}
	}
}

// cancel ends an attempt at an agent, in the background. If the message is
// lost, the next heartbeat ends the attempt, or else the expiry of the lease.
func (e *Entry) cancel(ctx context.Context, c *agentConn, service, attempt string) {
	e.count.cancels.Add(1)
	e.sendInBackground(ctx, c, service+".Cancel", attempt)
}

// sendInBackground sends a command about an attempt without waiting for the
// reply. If the command is lost, the next heartbeat has the same effect.
func (e *Entry) sendInBackground(ctx context.Context, c *agentConn, method, attempt string) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		var reply protocol.CancelReply
		_ = c.call(ctx, method, protocol.CancelArgs{Header: c.header(ctx), Attempt: attempt}, &reply)
	}()
}
