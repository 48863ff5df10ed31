package router

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/bodyread"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/membudget"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// Limits of plain calls.
const (
	// maxRefusals is the number of servers that refused the call or were unreachable
	// after which it fails.
	maxRefusals = 3
	// maxBody bounds the response that is buffered until it is complete, in bytes.
	maxBody = 1 << 20
)

// errTooLong is the error of a response that is longer than maxBody. Other servers would
// give one of the same length.
var errTooLong = errors.New("the response is longer than the router buffers")

// isOwnLimit reports whether an answer was given up for a limit of this process, so that
// another server's answer would be too and its server did not fail.
func isOwnLimit(err error) bool {
	var noMemory *membudget.Refusal
	return errors.Is(err, errTooLong) || errors.As(err, &noMemory)
}

// readWhole reads the body of a response.
func (x *exchange) readWhole(r *Reply) ([]byte, error) {
	body, err := bodyread.Read(r.Body, r.Length, maxBody, func(n int64) error { return x.call.Memory.Reserve(time.Now(), membudget.Answers, n) })
	if errors.Is(err, bodyread.ErrTooLong) {
		err = errTooLong
	}
	return body, err
}

// plain answers a call to a plain service, one without a model, by one server.
func (x *exchange) plain(ctx context.Context) {
	var failed plainOutcome // of the last attempt that a server may have run
	for refusals := 0; ; {
		if refusal := x.refuseBlamed(); refusal != nil {
			x.finishUnanswered(ctx, failed, refusal)
			return
		}
		if err := x.awaitTrial(ctx, directory.Plain, x.timeLeft()-x.expectedTime()); err != nil {
			x.finishUnanswered(ctx, failed, x.refuseSuspected())
			return
		}
		b := x.pickPlain()
		if b == nil {
			x.finishUnanswered(ctx, failed, x.noServer())
			return
		}
		if excess := x.backlogExcess(b); x.attempts == 0 && excess > 0 {
			x.warn("refused before it was sent", "server", b.Name(), "in_flight", b.localCalls.Load()+b.remoteCalls.Load(), "work_ms", x.router.callTime(b, time.Now()).Milliseconds())
			x.fail(x.refuseBacklog().WithRetryAfter(x.roomIn(excess)))
			return
		}
		if !x.router.fleet.take(b, time.Now()) {
			continue // another call took the last request that the server takes now
		}
		out := x.tryPlain(ctx, b)
		switch {
		case out.answered:
			return
		case callerDisconnected(ctx):
			x.log("caller gone", "attempts", x.attempts)
			return
		case out.notRun:
			refusals++
			if refusals >= maxRefusals || ctx.Err() != nil || !notSent(out.err) && !x.acquireRetry(retryStep) {
				x.finishUnanswered(ctx, failed, apierror.NotRun(apierror.KindOverloaded, "the servers of "+x.service+" refused the call", "retry after the delay").WithRetryAfter(x.roomIn(x.backlogExcess(b))))
				return
			}
		default:
			failed = out
			if isOwnLimit(out.err) || x.route.Kind != directory.Idempotent || x.attempts >= x.route.Attempts || ctx.Err() != nil || !x.acquireRetry(retryStep) {
				x.finishUnanswered(ctx, failed, nil)
				return
			}
		}
	}
}

// noServer returns the refusal of a call that no server takes now.
func (x *exchange) noServer() *apierror.Error {
	if wait, ok := x.router.fleet.withheld(x.service, directory.Plain); ok {
		return x.refuseWithheld(wait, directory.Plain)
	}
	return apierror.NotRun(apierror.KindUnavailable, "no server of "+x.service+" is available", "retry after the delay").WithRetryAfter(maxAdvisedDelay(x.call))
}

// expectedTime returns the expected time of the call at the fastest of the servers that take it.
func (x *exchange) expectedTime() time.Duration {
	least := time.Duration(0)
	for _, b := range x.router.fleet.plain(x.service, nil) {
		if t := x.router.callTime(b, time.Now()); least == 0 || t < least {
			least = t
		}
	}
	return least
}

// finishUnanswered ends a call without a successful answer: with the server's own
// error response if there is one, with an unknown outcome when a server may have run
// the call, and otherwise with the refusal.
func (x *exchange) finishUnanswered(ctx context.Context, failed plainOutcome, refusal *apierror.Error) {
	switch {
	case failed.failure != nil:
		x.warn("server failed", "status", failed.failure.Status, "attempts", x.attempts)
		x.sendWhole(failed.failure, failed.body)
	case x.attempts > 0:
		x.fail(unknownOutcome(ctx, failed.err))
	default:
		x.fail(refusal)
	}
}

// plainOutcome is the outcome of one attempt.
type plainOutcome struct {
	answered bool
	notRun   bool
	// failure is a complete error response of the server, and body its body.
	failure *Reply
	body    []byte
	err     error
}

// tryPlain makes one attempt at a server.
func (x *exchange) tryPlain(ctx context.Context, b *backend) plainOutcome {
	x.tried[b.Name()] = true
	x.queueTime = x.router.queueTime(b, time.Now())
	callsPerSlot := float64(x.router.beginCall(b)) / float64(max(1, b.server.Load().Slots))
	defer x.router.endCall(b)
	if left := x.route.Attempts - x.attempts; x.route.Kind == directory.Idempotent && left > 1 {
		// Each attempt that is allowed has an equal part of the time.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, x.timeLeft()/time.Duration(left), errTimeout)
		defer cancel()
	}
	sent := time.Now()
	countLimited(b, x.router.count.limitedPlain)
	reply, err := x.router.servers.Call(ctx, &OutgoingCall{
		Call: x.call, Organisation: x.organisationName(), Server: b.server.Load(), TimeLeft: x.timeLeft(), LastEvent: x.call.LastEvent,
		AtMostOnce: x.route.Kind != directory.Idempotent,
	})
	if err != nil {
		return x.plainError(ctx, b, err)
	}
	defer reply.Body.Close()
	if reply.NotRun || reply.Misdirected {
		x.checkReplaced(b, reply)
		b.health.recordAnswer(!reply.Misdirected && !b.closed())
		x.warn("server refused", "server", b.Name(), "status", reply.Status, "load", reply.Load)
		return plainOutcome{notRun: true}
	}
	return x.readPlain(ctx, b, reply, sent, callsPerSlot)
}

// plainError records an attempt without a response.
func (x *exchange) plainError(ctx context.Context, b *backend, err error) plainOutcome {
	x.warn("attempt failed", "server", b.Name(), "fingerprint", x.fingerprint(), "in_flight", b.localCalls.Load()+b.remoteCalls.Load(), "err", err)
	if upstream.ProgressOf(err) == upstream.NotSent {
		if ctx.Err() == nil {
			x.suspect(b, err)
		}
		return plainOutcome{notRun: true, err: err}
	}
	x.attempts++
	if !callerDisconnected(ctx) {
		b.health.recordAnswer(true)
	}
	if ctx.Err() == nil {
		x.lost(b, 0, false, err)
	}
	return plainOutcome{err: err}
}

// readPlain reads a complete response and sends it to the caller if it is a success.
// callsPerSlot is the number of calls per slot of the server when this one was sent,
// from which its service time is derived.
func (x *exchange) readPlain(ctx context.Context, b *backend, reply *Reply, sent time.Time, callsPerSlot float64) plainOutcome {
	x.attempts++
	body, err := x.readWhole(reply)
	if err == nil && (reply.Unframed && x.call.Method != http.MethodHead && bodyread.CutOff(reply.Header, body) || x.cutOff(b, reply, false)) {
		err = errCutOff
	}
	valid := err == nil && reply.Proven
	ok := valid && reply.Status < 300
	b.health.recordAnswer(!ok && !isOwnLimit(err))
	if ok {
		if x.queueTime > 0 {
			x.router.backlogs.observe(x.service, float64(time.Since(sent))/float64(x.queueTime))
		}
		x.router.observeCall(b, time.Duration(float64(time.Since(sent))/max(1, callsPerSlot)))
	}
	if valid {
		x.survived()
	}
	switch {
	case ok:
		x.observe(stagePlain, time.Since(x.call.Arrived))
		x.log("answered", append([]any{"server", b.Name(), "status", reply.Status, "attempts", x.attempts}, x.levelChoice.fields()...)...)
		x.sendWhole(reply, body)
		return plainOutcome{answered: true}
	case err != nil:
		x.warn("response broken", "server", b.Name(), "status", reply.Status, "err", err)
		if !isOwnLimit(err) && ctx.Err() == nil {
			x.lost(b, 0, false, err)
		}
		return plainOutcome{err: err}
	}
	if err := x.withhold(b, reply); err != nil {
		return plainOutcome{err: err}
	}
	x.warn("server failure", "server", b.Name(), "status", reply.Status)
	return plainOutcome{failure: reply, body: body}
}

// Penalties in the choice of a plain server, as load per slot.
const (
	// remotePenalty is for servers in another data centre.
	remotePenalty = 0.1
	// failurePenalty is for a failure rate of 1.
	failurePenalty = 4
	// coldPenalty is for servers in their first seconds.
	coldPenalty = 0.3
)

// pickPlain returns the least loaded server that was not tried; nil if there is none.
// When all were tried and one may have run the call, it returns the least loaded
// server again if that is usable.
func (x *exchange) pickPlain() *backend {
	if b := x.leastLoaded(x.tried); b != nil || x.attempts == 0 {
		return b
	}
	if b := x.leastLoaded(nil); b != nil && b.usable(time.Now()) {
		return b
	}
	return nil
}

// leastLoaded returns a server that is not in tried, of the least cost as far as that is known;
// nil if there is none.
func (x *exchange) leastLoaded(tried map[string]bool) *backend {
	var b *backend
	b, x.levelChoice = x.router.levels.choose(x.router, x.service, x.router.fleet.plain(x.service, tried), time.Now())
	return b
}

// plainCost returns the calls per slot of a server, with penalties, and with the time by
// which a further call takes longer than at a usual server with as many calls, in units of a
// usual call. That time grows with the calls once all slots are busy.
func (r *Router) plainCost(b *backend, now time.Time) float64 {
	s := b.server.Load()
	calls, slots := float64(b.localCalls.Load()+b.remoteCalls.Load()), float64(max(1, s.Slots))
	cost := calls/slots + (r.slowness(b, now)-1)*max(1, (calls+1)/slots)
	cost += failurePenalty * b.health.failureRate()
	if s.DataCentre != r.options.DataCentre {
		cost += remotePenalty
	}
	if now.Before(s.ColdUntil) {
		cost += coldPenalty
	}
	return cost
}
