package router

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// Bounds of plain calls.
const (
	// maxRefusals bounds the servers that may refuse one call unrun.
	maxRefusals = 3
	// busyRetry is the advised delay when all servers are full, in which they
	// answer some calls each.
	busyRetry = 250 * time.Millisecond
	// overloadedRetry is the advised delay when all servers have a backlog; with
	// its spread it is about what callers can spare of a second and a half.
	overloadedRetry = 350 * time.Millisecond
	// targetShare is the part of the target that the predicted time of a call may
	// take; the rest is for calls that take longer than the mean.
	targetShare = 0.6
	// absentRetry is the advised delay when no server is known to live.
	absentRetry = 700 * time.Millisecond
	// attemptShare is the part of the time left that the first attempt of an
	// idempotent call may take when another server can be asked.
	attemptShare = 0.5
	// maxPlainBody bounds the response that is held back until it is whole, in
	// bytes; longer ones are relayed.
	maxPlainBody = 1 << 20
)

// plain answers a call by one server of a service without a model.
func (x *exchange) plain(ctx context.Context) {
	var failed plainOutcome // of the last server that may have run the call
	for refusals := 0; ; {
		b := x.pickPlain()
		if b == nil {
			x.finish(ctx, failed, apierror.NotRun(apierror.KindUnavailable, "no server of "+x.service+" is available", "retry after the delay").After(absentRetry))
			return
		}
		if x.attempts == 0 && x.router.overloaded(b, x.route.Target) {
			x.warn("refused before it was sent", "server", b.Name(), "in_flight", b.calls.Load()+b.others.Load(), "work_ms", b.health.work().Milliseconds())
			x.fail(apierror.NotRun(apierror.KindOverloaded, "all servers of "+x.service+" have a backlog beyond the target", "retry after the delay").After(spread(overloadedRetry)))
			return
		}
		out := x.tryPlain(ctx, b)
		switch {
		case out.answered:
			return
		case callerGone(ctx):
			x.log("caller gone", "attempts", x.attempts)
			return
		case out.notRun:
			refusals++
			if refusals >= maxRefusals || ctx.Err() != nil || !notSent(out.err) && !x.extra(oneMore) {
				x.finish(ctx, failed, apierror.NotRun(apierror.KindOverloaded, "the servers of "+x.service+" refused the call", "retry after the delay").After(busyRetry))
				return
			}
		default:
			failed = out
			if x.route.Kind != directory.Idempotent || x.attempts >= x.route.Attempts || ctx.Err() != nil || !x.extra(oneMore) {
				x.finish(ctx, failed, nil)
				return
			}
		}
	}
}

// finish ends a call that was not answered: with the whole failure of a server
// that ran it, with an unknown outcome when one may have, and otherwise with the
// refusal.
func (x *exchange) finish(ctx context.Context, failed plainOutcome, refusal *apierror.Error) {
	switch {
	case failed.failure != nil:
		x.warn("server failed", "status", failed.failure.Status, "attempts", x.attempts)
		x.pass(failed.failure, failed.body)
	case x.attempts > 0:
		x.fail(unknownOutcome(ctx, failed.err))
	default:
		x.fail(refusal)
	}
}

// plainOutcome is the end of one attempt.
type plainOutcome struct {
	answered bool
	notRun   bool
	// failure is a whole response of the server that is no success.
	failure *Reply
	body    []byte
	err     error
}

// tryPlain makes one attempt at a server.
func (x *exchange) tryPlain(ctx context.Context, b *backend) plainOutcome {
	x.tried[b.Name()] = true
	ahead := float64(b.calls.Add(1)+b.others.Load()) / float64(max(1, b.server.Load().Slots))
	x.router.tell(b)
	defer func() {
		b.calls.Add(-1)
		x.router.tell(b)
	}()
	if x.route.Kind == directory.Idempotent && x.attempts+1 < x.route.Attempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(attemptShare*float64(x.timeLeft())))
		defer cancel()
	}
	sent := time.Now()
	reply, err := x.router.servers.Call(ctx, &Outgoing{
		Call: x.call, Server: b.server.Load(), TimeLeft: x.timeLeft(), LastEvent: x.call.LastEvent,
		Once: x.route.Kind != directory.Idempotent,
	})
	if err != nil {
		return x.plainError(ctx, b, err)
	}
	defer reply.Body.Close()
	if reply.NotRun || reply.Misdirected {
		x.checkReplaced(b, reply)
		b.health.answered(!reply.Misdirected, 0)
		x.warn("server refused", "server", b.Name(), "status", reply.Status, "load", reply.Load)
		return plainOutcome{notRun: true}
	}
	return x.readPlain(b, reply, sent, ahead)
}

// plainError accounts for an attempt without a response.
func (x *exchange) plainError(ctx context.Context, b *backend, err error) plainOutcome {
	x.warn("attempt failed", "server", b.Name(), "err", err)
	if upstream.StageOf(err) == upstream.NotSent {
		if ctx.Err() == nil {
			x.suspect(b, err)
		}
		return plainOutcome{notRun: true, err: err}
	}
	x.attempts++
	if !callerGone(ctx) {
		b.health.answered(true, 0)
	}
	return plainOutcome{err: err}
}

// readPlain reads a whole response and passes it on when it is a success.
func (x *exchange) readPlain(b *backend, reply *Reply, sent time.Time, ahead float64) plainOutcome {
	x.attempts++
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxPlainBody))
	if err == nil && len(body) == maxPlainBody {
		err = &upstream.Error{Stage: upstream.Broken, Err: io.ErrShortBuffer}
	}
	valid := err == nil && reply.Proven
	ok := valid && reply.Status < 300
	b.health.answered(!ok, time.Duration(float64(time.Since(sent))/max(1, ahead)))
	switch {
	case ok:
		x.observe(stagePlain, time.Since(x.call.Arrived))
		x.log("answered", "server", b.Name(), "status", reply.Status, "attempts", x.attempts)
		x.pass(reply, body)
		return plainOutcome{answered: true}
	case err != nil:
		x.warn("response broken", "server", b.Name(), "status", reply.Status, "err", err)
		return plainOutcome{err: err}
	case valid || reply.Status >= 400:
		x.warn("server failure", "server", b.Name(), "status", reply.Status)
		return plainOutcome{failure: reply, body: body, err: errUnproven}
	default:
		x.warn("response without proof", "server", b.Name(), "status", reply.Status)
		return plainOutcome{err: errUnproven}
	}
}

// Weights of the choice of a plain server.
const (
	// remotePenalty is the load of a server that another data centre is worth.
	remotePenalty = 0.1
	// failurePenalty is the load that a certain failure is worth.
	failurePenalty = 4
	// coldPenalty is the load that a server's first seconds are worth.
	coldPenalty = 0.3
	// slowPenalty is the load that a second of mean work is worth.
	slowPenalty = 2
)

// pickPlain chooses the server of the least load among those not tried. When
// there is none, a call that a server failed may go to one again that answers.
func (x *exchange) pickPlain() *backend {
	if b := x.leastLoaded(x.tried); b != nil || x.attempts == 0 {
		return b
	}
	if b := x.leastLoaded(nil); b != nil && b.usable(time.Now()) {
		return b
	}
	return nil
}

// leastLoaded returns the server of the least load but for those tried.
func (x *exchange) leastLoaded(tried map[string]bool) *backend {
	var best *backend
	least := 0.0
	now := time.Now()
	for _, b := range x.router.fleet.plain(x.service, tried) {
		cost := x.router.plainCost(b, now)
		if best == nil || cost < least {
			best, least = b, cost
		}
	}
	return best
}

// overloaded reports whether a call to a server would miss the target. It answers
// a load above what the servers of a service do: without it their queues are full
// and all calls are late, with it those that are taken are on time.
func (r *Router) overloaded(b *backend, target time.Duration) bool {
	work := b.health.work()
	slots := max(1, b.server.Load().Slots)
	queued := b.calls.Load() + b.others.Load() + 1 - int64(slots)
	if queued <= 0 || target <= 0 {
		return false
	}
	wait := time.Duration(float64(queued) / float64(slots) * float64(work))
	return wait+work > time.Duration(targetShare*float64(target))
}

// spread varies an advised delay by a quarter either way, so that callers who
// were refused together do not return together.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// plainCost is the load of a server as a share of its slots, with penalties.
func (r *Router) plainCost(b *backend, now time.Time) float64 {
	s := b.server.Load()
	cost := float64(b.calls.Load()+b.others.Load()) / float64(max(1, s.Slots))
	failures, work := b.health.rates()
	cost += failurePenalty*failures + slowPenalty*work.Seconds()
	if s.DataCentre != r.options.DataCentre {
		cost += remotePenalty
	}
	if now.Before(s.ColdUntil) {
		cost += coldPenalty
	}
	return cost
}
