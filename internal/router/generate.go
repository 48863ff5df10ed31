package router

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// Limits of a generation.
const (
	// maxPrefills bounds the prefill servers that one attempt tries.
	maxPrefills = 2
	// maxDecodes bounds the decode servers that one prefill result is offered to.
	maxDecodes = 4
	// expiredAfterRefusals is the number of refusals after which a prefill result
	// is assumed to have expired early.
	expiredAfterRefusals = 2
	// handleMargin is the fraction of a handle's lifetime within which it is offered.
	handleMargin = 0.8
	// A prefill times out after prefillBase plus prefillFactor times its predicted
	// duration, but not before slowFactor times that: so much longer does a server take at
	// times that is sound.
	prefillFactor = 2
	prefillBase   = 450 * time.Millisecond
	slowFactor    = 2.5
	// maxRetryShare is the largest fraction of the caller's remaining time that is
	// advised as delay; callers ignore longer delays.
	maxRetryShare = 1.0 / 3
	// maxFurtherRuns is the maximum number of runs of one call after the first.
	maxFurtherRuns = 3
)

// errRefused is the error of an attempt that no server started.
var errRefused = errors.New("no server had room")

// errSoftwareGone is the error of a stream that no server may continue.
var errSoftwareGone = errors.New("no server has the software that began the stream")

// errPinnedWait is the error of a stream for which the servers that may continue it had no
// room in time.
var errPinnedWait = errors.New("no server with the software that began the stream had room in time")

// generate answers a call by a prefill and a decode server. A resumable stream
// that breaks continues on other servers.
func (x *exchange) generate(ctx context.Context) {
	x.lastEvent = x.call.LastEvent
	for _, refuse := range []func() *apierror.Error{x.refuseBlamed, x.refuseClosed} {
		if refusal := refuse(); refusal != nil {
			x.fail(refusal)
			return
		}
	}
	defer x.endRelayed()
	for run := 0; ; run++ {
		x.runs = run
		err := x.run(ctx, x.attempts > 0)
		if err == nil {
			return
		}
		if callerDisconnected(ctx) {
			x.log("caller gone", "events", x.events, "err", err)
			return
		}
		if ctx.Err() != nil || x.blamed() != nil || run >= maxFurtherRuns || !x.mayRunAgain(err, run) || !x.prepaid.Swap(false) && !x.acquireRetry(retryRun) {
			x.failGeneration(ctx, err)
			return
		}
		if x.attempts > 0 {
			x.router.count.resumed.Add(1)
			x.log("resuming", "after", x.lastEvent, "events", x.events)
		}
	}
}

// mayRunAgain reports whether a call may be prefilled again after a run that ended
// with err.
func (x *exchange) mayRunAgain(err error, run int) bool {
	if x.attempts > 0 { // a server may have started; the caller may have a part of the answer
		resumable := x.route.Resumable && x.attempts < x.route.Attempts
		return resumable && (errors.Is(err, errStreamBroken) || errors.Is(err, errRefused) || errors.Is(err, errUnstated))
	}
	// No server started. The admission decides whether the time that is left suffices.
	return errors.Is(err, errRefused) && run == 0
}

// failGeneration fails a call with an outcome that reflects whether a server may
// have run it.
func (x *exchange) failGeneration(ctx context.Context, err error) {
	var refusal *dispatch.Refusal
	if blamed := x.refuseBlamed(); blamed != nil {
		x.fail(blamed)
		return
	}
	switch {
	case x.attempts > 0:
		x.fail(unknownOutcome(ctx, err))
	case errors.Is(err, errSoftwareGone):
		x.fail(apierror.NotRun(apierror.KindUnavailable, err.Error(), "send the request again without the events that were received"))
	case errors.As(err, &refusal):
		x.warn("refused by prediction", append(refusal.State.LogFields(), "target_ms", x.route.LatencyTarget.Milliseconds(), "priority", x.priority(), "organisation", x.organisationName())...)
		x.fail(apierror.NotRun(apierror.KindOverloaded, refusal.Reason, "retry after the delay").WithRetryAfter(refusal.RetryAfter))
	case errors.Is(err, errSuspected):
		x.fail(x.refuseSuspected())
	default:
		x.fail(apierror.NotRun(apierror.KindOverloaded, err.Error(), "retry after the delay").WithRetryAfter(x.router.dispatch.RetryAfter(x.newJob(false))))
	}
}

// newJob describes the call for admission and placement.
func (x *exchange) newJob(urgent bool) *dispatch.Job {
	c := x.call
	j := &dispatch.Job{
		Model: x.service, Provider: x.organisationName(), Priority: x.priority(), MostUrgent: x.router.prioritiesOf(x.service).lowest,
		Competing: x.competing(), Weight: 1, Waited: time.Since(c.Arrived), Goal: admission.Goal{FirstToken: x.route.LatencyTarget, BetweenTokens: x.route.GapTarget, Patience: x.route.Patience},
		PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens, ExpectedTokens: c.ExpectedTokens, Pieces: c.PromptTokens + c.MaxTokens,
		Prefixes: c.Prefixes, Urgent: urgent, FailedServers: x.tried, MaxRetryAfter: maxAdvisedDelay(c),
	}
	if !urgent && !x.begun { // else the caller has a part of the answer, of which the rest may be short
		j.TimeLeft = x.timeLeft()
	}
	if x.pinned() {
		j.MayDecode = x.mayDecode
	}
	return j
}

// trialLimit returns the time for which the call waits for its trial: until it would be
// answered too late, or for a call that has events already, until its caller would give up.
func (x *exchange) trialLimit() time.Duration {
	if x.begun || x.route.LatencyTarget <= 0 {
		return x.standstill()
	}
	return max(x.route.LatencyTarget-time.Since(x.call.Arrived), 0)
}

// standstill returns the time for which a stream may stand still and still go on at another
// server before its caller gives up: the target is the time until the first event there.
func (x *exchange) standstill() time.Duration {
	left := x.timeLeft()
	if x.route.Patience > 0 {
		left = min(left, x.route.Patience)
	}
	return max(left-x.route.LatencyTarget, 0)
}

// run makes one attempt: it waits for servers, prefills the prompt, starts the
// decode and relays its stream.
func (x *exchange) run(ctx context.Context, urgent bool) error {
	r, job := x.router, x.newJob(urgent)
	waiting := ctx
	if job.MayDecode != nil {
		if !r.fleet.hasSoftware(x.service, x.software) {
			return errSoftwareGone
		}
		var cancel context.CancelFunc
		waiting, cancel = context.WithTimeoutCause(ctx, x.standstill(), errTimeout)
		defer cancel()
	}
	if err := x.awaitTrial(ctx, directory.Decode, x.trialLimit()); err != nil {
		return err
	}
	w, err := r.dispatch.Offer(job)
	if err != nil {
		return err
	}
	offered := time.Now()
	a, err := r.dispatch.Acquire(waiting, w)
	x.observe(stageQueue, time.Since(offered))
	if err != nil && ctx.Err() == nil && waiting.Err() != nil {
		err = errPinnedWait
	}
	if err != nil {
		return err
	}
	x.log("assigned", "priority", x.priority(), "organisation", x.organisationName(), "prefill", a.Prefill.Name(), "decode", a.Decode.Name(), "software", a.Decode.server.Load().Software, "takes_up", x.call.Resumes, "begun_by", x.software, "known_by", x.knownBy, "after", x.lastEvent, "parts", x.call.SharedParts, "tokens", job.PromptTokens, "expected", job.ExpectedTokens,
		"patience_ms", x.call.Deadline.Sub(x.call.Arrived).Milliseconds(), "own_runs", a.LocalRuns, "other_runs", a.RemoteRuns, "memory", a.PeakMemory, "step_us", int(a.StepMillis*1000))
	r.shareUsage(a.Decode)
	decode := a.Decode
	defer func() {
		r.dispatch.EndDecode(decode, a.Use)
		r.shareUsage(decode)
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	assigned, reached := decode, x.reachDecode(ctx, decode)
	h, err := x.prefill(ctx, job, a, &decode)
	if err != nil {
		return err
	}
	unreached := <-reached
	if decode != assigned {
		unreached = r.reach(ctx, decode)
	}
	reply, err := x.decode(ctx, job, h, &decode, a.Use, unreached)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	return x.relay(cancel, decode, reply, job)
}

// reachDecode opens the connection to the decode server during the prefill, so
// that an unreachable server is found without delaying the call.
func (x *exchange) reachDecode(ctx context.Context, b *backend) <-chan error {
	reached := make(chan error, 1)
	go func() { reached <- x.router.reach(ctx, b) }()
	return reached
}

// prefill prefills the prompt at the assigned server, and at another one when that
// fails or refuses. at is the decode server that counts the job. If that is gone by then,
// another one is chosen before the prompt is read again.
func (x *exchange) prefill(ctx context.Context, job *dispatch.Job, a dispatch.Assignment[*backend], at **backend) (*Handle, error) {
	r, b := x.router, a.Prefill
	for n := 1; ; n++ {
		r.shareUsage(b)
		h, result, err := x.prefillAt(ctx, job, b, a.Use.Prefill)
		r.dispatch.EndPrefill(job, b, a.Use, result)
		r.shareServerSpeeds(b)
		r.shareUsage(b)
		if h != nil {
			return h, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if n >= maxPrefills || errors.Is(err, errEndsServers) || !notSent(err) && !x.acquireRetry(retryStep) {
			return nil, err
		}
		x.tried[b.Name()] = true
		if d := *at; x.mayNotOffer(d) || !d.usable(time.Now()) {
			x.tried[d.Name()] = true
			now, cancel := context.WithCancel(ctx)
			cancel() // nothing is kept for the job yet, so that it does not wait
			next, ok := r.dispatch.ReassignDecode(now, job, d, a.Use)
			if !ok {
				return nil, errRefused
			}
			x.log("decode server changed before the prefill", "from", d.Name(), "decode", next.Name())
			*at = next
			r.shareUsage(d)
			r.shareUsage(next)
		}
		next, _, ok := r.dispatch.ReassignPrefill(job, a.Use)
		if !ok {
			return nil, errRefused
		}
		b = next
	}
}

// prefillAt prefills the prompt at one server. The handle is nil when the server
// refused or failed.
func (x *exchange) prefillAt(ctx context.Context, job *dispatch.Job, b *backend, u placement.Use) (*Handle, dispatch.PrefillResult, error) {
	r := x.router
	if b.closed() {
		return nil, dispatch.PrefillResult{Status: dispatch.PrefillOverloaded}, errClosed
	}
	if x.blamed() != nil {
		return nil, dispatch.PrefillResult{Status: dispatch.PrefillOverloaded}, errEndsServers
	}
	r.count.prefills.Add(1)
	countLimited(b, r.count.limitedPrefills)
	// wait includes the prefill itself, which takes own.
	var wait, own, pace float64
	r.dispatch.Update(b, func(now time.Duration, v *placement.Server) {
		wait, own, pace = v.WaitMillis(now), v.PrefillMillis(now, u.Tokens), v.Pace(now)
	})
	predicted := time.Duration(wait * float64(time.Millisecond))
	timeout := max(prefillBase+prefillFactor*predicted, time.Duration(slowFactor*float64(predicted)))
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	h, reply, err := r.servers.Prefill(limited, &OutgoingCall{Call: x.call, Organisation: x.organisationName(), Priority: x.serverPriority(), Server: b.server.Load(), TimeLeft: x.timeLeft(), LastEvent: x.lastEvent})
	took := time.Since(sent)
	switch {
	case err != nil:
		x.warn("prefill failed", "server", b.Name(), "took_ms", took.Milliseconds(), "err", err)
		if ctx.Err() == nil {
			if !notSent(err) && !timedOut(err) {
				x.lost(b, 0, false, err)
			}
			x.suspect(b, err)
			// A server that accepts connections but breaks requests passes the probe at
			// once; it is still excluded for a while if there are others.
			r.dispatch.Update(b, func(now time.Duration, v *placement.Server) { v.RecordStall(now) })
		}
		return nil, dispatch.PrefillResult{Status: dispatch.PrefillFailed}, err
	case h == nil:
		b.health.recordAnswer(false)
		x.warn("prefill refused", "server", b.Name(), "status", reply.Status, "load", reply.Load)
		x.checkReplaced(b, reply)
		if reply.declined() && !b.closed() {
			return nil, dispatch.PrefillResult{Status: dispatch.PrefillRefused}, errRefused
		}
		return nil, dispatch.PrefillResult{Status: dispatch.PrefillOverloaded}, errRefused
	default:
		b.health.recordAnswer(false)
		x.prefilled = time.Now()
		x.observe(stagePrefill, took)
		x.log("prefilled", "server", b.Name(), "tokens", h.Tokens, "took_ms", took.Milliseconds(), "predicted_ms", int(wait), "pace_percent", int(percent*pace))
		compute := took
		if wait > own {
			compute = time.Duration(own / wait * float64(took))
		}
		return h, dispatch.PrefillResult{Computed: u.Tokens, ComputeTime: compute}, nil
	}
}

// decode offers a prefill result to the assigned decode server, and to others while
// the result is valid. unreached is the error of the connection to the first. at is
// the decode server that counts the job, and is updated when the job moves.
func (x *exchange) decode(ctx context.Context, job *dispatch.Job, h *Handle, at **backend, u dispatch.Use, unreached error) (*Reply, error) {
	validFor := time.Duration(handleMargin * float64(x.engine.HandleTTL))
	for offers := 0; ; {
		b := *at
		if ctx.Err() != nil || x.awaitTrial(ctx, directory.Decode, validFor-time.Since(h.CreatedAt)) != nil {
			return nil, x.freeUnused(h)
		}
		offered := false
		switch {
		case unreached != nil:
			x.warn("decode not reached", "server", b.Name(), "err", unreached)
			x.suspect(b, unreached)
		case x.mayNotOffer(b):
			x.warn("decode not offered", "server", b.Name(), "closed", b.closed(), "leaving_ms", b.leavingFor(time.Now()).Milliseconds(), "software", b.server.Load().Software, "begun_by", x.software)
		default:
			reply, err := x.offerDecode(ctx, b, h)
			if reply != nil || err != nil {
				return reply, err
			}
			offered = true
			offers++
			if offers == expiredAfterRefusals {
				x.penalizeEarlyExpiry(h)
			}
		}
		x.tried[b.Name()] = true
		if ctx.Err() != nil || offers >= maxDecodes || time.Since(h.CreatedAt) > validFor || offered && !x.acquireRetry(retryStep) {
			return nil, x.freeUnused(h)
		}
		wait, cancel := context.WithDeadline(ctx, h.CreatedAt.Add(validFor))
		next, ok := x.router.dispatch.ReassignDecode(wait, job, b, u)
		cancel()
		if !ok {
			return nil, x.freeUnused(h)
		}
		x.router.count.moves.Add(1)
		x.router.shareUsage(b)
		*at = next
		x.router.shareUsage(next)
		unreached = x.router.reach(ctx, next)
	}
}

// drainShare is the fraction of the drain time for which a prefill result is still offered to
// a server that was assigned before it was known to leave. The rest is for the time until this
// entry knew, up to 0.55 of it, and for the time on the way.
const drainShare = 0.35

// mayNotOffer reports whether a prefill result must not be offered to the decode server that
// it was meant for, by what has become known since that was assigned.
func (x *exchange) mayNotOffer(b *backend) bool {
	x.router.fleet.sync()
	gone := x.router.fleet.get(b.Name()) == nil
	drain := x.router.options.DrainTime
	leaves := drain > 0 && b.leavingFor(time.Now()) > time.Duration(drainShare*float64(drain))
	return gone || leaves || b.closed() || x.begun && !x.mayDecode(b.Name())
}

// penalizeEarlyExpiry excludes a prefill server for a while, if there are others, when
// several decode servers with free capacity refused its result, which then has probably
// expired.
func (x *exchange) penalizeEarlyExpiry(h *Handle) {
	b := x.router.fleet.get(h.Server.ID)
	if b == nil {
		return
	}
	x.warn("prefill results lapse early", "server", b.Name(), "handle_age_ms", time.Since(h.CreatedAt).Milliseconds())
	x.router.dispatch.Update(b, func(now time.Duration, v *placement.Server) { v.RecordStall(now) })
}

// offerDecode offers a prefill result to one server. Both return values are nil
// when the server was not reached or refused it.
func (x *exchange) offerDecode(ctx context.Context, b *backend, h *Handle) (*Reply, error) {
	r := x.router
	countLimited(b, r.count.limitedDecodes)
	reply, err := r.servers.Call(ctx, &OutgoingCall{
		Call: x.call, Organisation: x.organisationName(), Priority: x.serverPriority(), Server: b.server.Load(), TimeLeft: x.timeLeft(), Source: h, LastEvent: x.lastEvent, AtMostOnce: !x.route.Resumable,
	})
	if err != nil && notSent(err) {
		x.warn("decode not reached", "server", b.Name(), "err", err)
		if ctx.Err() == nil {
			x.suspect(b, err)
		}
		return nil, nil
	}
	if err != nil {
		x.attempts++
		x.tried[b.Name()] = true
		x.warn("decode failed", "server", b.Name(), "parts", x.call.SharedParts, "err", err)
		if ctx.Err() == nil {
			r.recordBrokenCall(b)
			x.lost(b, 0, false, err)
		}
		return nil, streamError(err)
	}
	b.health.recordAnswer(false)
	if !reply.NotRun && !reply.Misdirected {
		x.attempts++
		return reply, nil
	}
	x.warn("decode refused", "server", b.Name(), "status", reply.Status, "load", reply.Load, "handle_age_ms", time.Since(h.CreatedAt).Milliseconds())
	x.checkReplaced(b, reply)
	r.dispatch.Update(b, func(now time.Duration, v *placement.Server) { v.RecordRefusal(now) })
	return nil, errors.Trace(reply.Body.Close())
}

// freeUnused frees a prefill result that no server decodes, and returns errRefused.
func (x *exchange) freeUnused(h *Handle) error {
	x.router.count.prefillsWasted.Add(1)
	x.warn("prefill wasted", "tokens", h.Tokens)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := x.router.servers.Free(ctx, h); err != nil {
			x.warn("handle not freed; it expires by itself", "server", h.Server.ID, "err", err)
		}
	}()
	return errRefused
}

// freeTimeout bounds the call that frees a handle. A handle that is not freed
// expires soon after.
const freeTimeout = 300 * time.Millisecond
