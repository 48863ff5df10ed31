package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/logging"
	"github.com/samphirestream/samphirestream/internal/pause"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Bounds on the attempts at one request.
const (
	// maxFruitless bounds the attempts in a row that bring no token.
	maxFruitless = 6
	// retryBackoff is the delay before the second retry in a row; it grows
	// linearly.
	retryBackoff = 50 * time.Millisecond
	// cancelTimeout bounds the cancellation of an attempt.
	cancelTimeout = time.Second
)

// serveFrom runs a job to its end, on several servers if it must, and returns
// the finish reason. The first attempt may run already. The error is an
// *apierror.Error.
func (e *Entry) serveFrom(ctx context.Context, j *job, running *place) (string, error) {
	j.failed = map[string]bool{}
	for fruitless := 0; ; {
		had := len(j.given)
		reason, err := e.attempt(ctx, j, running)
		running = nil
		if err == nil {
			return reason, nil
		}
		fruitless++
		if len(j.given) > had {
			fruitless = 0
		}
		_ = level.Info(logging.FromContext(ctx)).Log("msg", "attempt failed", "fruitless", fruitless, "tokens", len(j.given), "err", err)
		if ctx.Err() != nil || j.givenUp || !retryable(err) || fruitless >= maxFruitless || !e.mayRetry(j) {
			return "", e.finalError(ctx, j, err)
		}
		j.urgent = true
		if fruitless > 1 {
			pause.For(ctx, time.Duration(fruitless-1)*retryBackoff)
		}
	}
}

// mayRetry takes a retry from the provider's budget. An answer that has begun
// continues in any case, since to break it off would cut a request.
func (e *Entry) mayRetry(j *job) bool {
	within := e.quotas.takeRetry(j.provider)
	if len(j.given) > 0 {
		e.count.continued.Add(1)
		return true
	}
	if !within {
		e.count.retriesRefused.Add(1)
	}
	return within
}

// retryable reports whether another attempt may help.
func retryable(err error) bool {
	switch apierror.From(err).Kind {
	case apierror.KindUnavailable, apierror.KindOverloaded, apierror.KindDraining,
		apierror.KindStarting, apierror.KindNotFound, apierror.KindCancelled, apierror.KindDeadline:
		return true
	default:
		return false
	}
}

// finalError states truthfully whether any part of the request ran.
func (e *Entry) finalError(ctx context.Context, j *job, err error) *apierror.Error {
	out := *apierror.From(err)
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		out.Kind, out.Message, out.Remedy = apierror.KindDeadline, "the request took too long", "send it again, or a shorter prompt"
	case ctx.Err() != nil:
		out.Kind, out.Message = apierror.KindCancelled, "the caller cancelled the request"
	}
	switch {
	case len(j.given) > 0:
		out.Outcome = apierror.OutcomePartial
	case j.dispatched:
		out.Outcome = apierror.OutcomeUnknown
	default:
		out.Outcome = apierror.OutcomeNotRun
	}
	if out.RetryAfter == 0 && out.Kind != apierror.KindCancelled && out.Kind != apierror.KindMoved {
		out.RetryAfter = overloadRetry
	}
	return &out
}

// attempt makes one attempt at a job, or goes on with a running one.
func (e *Entry) attempt(ctx context.Context, j *job, p *place) (string, error) {
	e.count.attempts.Add(1)
	started := p != nil
	if !started {
		var err error
		if p, err = e.reserve(ctx, j); err != nil {
			return "", err
		}
	}
	p.decode.inFlight.Add(1)
	defer p.decode.inFlight.Add(-1)
	if !started {
		defer e.sched.EndDecode(p.decode, j.use)
	}
	reason, err := e.runOrRelay(ctx, j, p, started)
	if err != nil {
		j.failed[p.decode.server.Name] = j.failed[p.decode.server.Name] || p.started
		e.abandon(ctx, j, p, err)
	}
	p.decode.unwant(p.attempt.ID)
	if err == nil && !started {
		e.sched.Answered(j.described(), len(j.given))
	}
	return reason, err
}

func (e *Entry) runOrRelay(ctx context.Context, j *job, p *place, started bool) (string, error) {
	if started {
		return e.relay(ctx, j, p)
	}
	return e.run(ctx, j, p)
}

// abandon cancels an attempt, unless its caller resumed it elsewhere, or is gone
// and may resume it. The agent keeps such an attempt for its grace once no entry
// wants it.
func (e *Entry) abandon(ctx context.Context, j *job, p *place, cause error) {
	callerGone := ctx.Err() == context.Canceled || apierror.Is(cause, apierror.KindBadRequest)
	if apierror.Is(cause, apierror.KindMoved) || j.grace > 0 && p.started && callerGone {
		return
	}
	e.cancel(ctx, p.decode, protocol.ServiceDecode, p.attempt.ID)
}

// run makes the prefill, starts the decode and relays the answer.
func (e *Entry) run(ctx context.Context, j *job, p *place) (string, error) {
	kv, err := e.prefill(ctx, j, p)
	if err != nil {
		return "", err
	}
	var reply protocol.StartReply
	args := protocol.StartArgs{Caller: p.decode.caller(ctx), Attempt: p.attempt, KV: kv}
	if j.grace > 0 {
		args.Given, args.Resume = j.given, j.record.encode()
	}
	err = p.decode.call(ctx, protocol.ServiceDecode+".Start", args, &reply)
	p.prefill.unwant(p.attempt.ID)
	if err != nil {
		e.count.prefillsWasted.Add(1)
		j.blameTransfer(p, err)
		e.cancel(ctx, p.prefill, protocol.ServicePrefill, p.attempt.ID)
		return "", err
	}
	e.notify(ctx, p.prefill, protocol.ServicePrefill+".Release", p.attempt.ID)
	p.started = true
	if j.grace > 0 {
		j.out.resumable(e.resumeTicket(j, p))
	}
	return e.relay(ctx, j, p)
}

// blameTransfer marks the servers of a transfer that failed. When it is not
// known why, either side may be at fault.
func (j *job) blameTransfer(p *place, err error) {
	j.failed[p.decode.server.Name] = true
	if apierror.From(err).Outcome != apierror.OutcomeNotRun {
		j.failed[p.prefill.server.Name] = true
	}
}

// prefill runs the prefill of a place, elsewhere when the chosen server refuses.
func (e *Entry) prefill(ctx context.Context, j *job, p *place) (protocol.KVHandle, error) {
	e.count.prefillsStarted.Add(1)
	for refusals := 0; ; refusals++ {
		kv, err := e.prefillAt(ctx, j, p)
		if err == nil || !refusedForLoad(err) || refusals >= maxPrefillRefusals || !e.prefillElsewhere(j, p) {
			return kv, err
		}
	}
}

func (e *Entry) prefillAt(ctx context.Context, j *job, p *place) (protocol.KVHandle, error) {
	c := p.prefill
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	var reply protocol.PrefillReply
	args := protocol.PrefillArgs{Caller: c.caller(ctx), Attempt: p.attempt, Prompt: j.prompt, Given: j.given, MaxWait: p.maxWait}
	err := c.call(ctx, protocol.ServicePrefill+".Run", args, &reply)
	e.sched.PrefillEnded(j.described(), c, j.use, prefillResult(j, &reply, err))
	if err == nil || apierror.From(err).Outcome != apierror.OutcomeNotRun {
		j.dispatched = true
	}
	if err != nil && !refusedForLoad(err) {
		j.failed[c.server.Name] = true
		e.cancel(ctx, c, protocol.ServicePrefill, p.attempt.ID)
	}
	return reply.KV, err
}

// relay passes the answer to the caller and acknowledges what was passed on.
func (e *Entry) relay(ctx context.Context, j *job, p *place) (string, error) {
	r := newRelay(p.attempt.ID, len(j.given))
	p.decode.attach(r)
	defer p.decode.detach(r)
	acked := len(j.given)
	pace := newPace(e.sched, p.decode, j.betweenTokens())
	for {
		tokens, end, err := r.receive(ctx)
		if err != nil {
			return "", callFailure(ctx, err)
		}
		if len(tokens) > 0 {
			if err := j.out.write(tokens); err != nil {
				return "", apierror.Unknown(apierror.KindBadRequest, "the caller is gone: "+err.Error(), "send the request again")
			}
			j.given = append(j.given, tokens...)
			e.count.tokens.Add(int64(len(tokens)))
			pace.tokens(len(tokens))
		}
		done := end != nil && end.Error == nil
		if done || len(j.given)-acked >= ackTokens {
			acked = len(j.given)
			p.decode.ack(protocol.Ack{Attempt: p.attempt.ID, Offset: acked, Done: done && j.grace == 0})
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
// lost, the next heartbeat ends the attempt, or the end of the lease.
func (e *Entry) cancel(ctx context.Context, c *agentConn, service, attempt string) {
	e.count.cancels.Add(1)
	e.notify(ctx, c, service+".Cancel", attempt)
}

// notify sends a command about an attempt in the background. The next heartbeat
// repairs the loss of one.
func (e *Entry) notify(ctx context.Context, c *agentConn, method, attempt string) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		var reply protocol.CancelReply
		_ = c.call(ctx, method, protocol.CancelArgs{Caller: c.caller(ctx), Attempt: attempt}, &reply)
	}()
}
