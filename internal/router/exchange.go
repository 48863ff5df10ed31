package router

import (
	"context"
	"expvar"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/retry"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// exchange is one call on its way through the router.
type exchange struct {
	router  *Router
	call    *Call
	answer  Answer
	route   *directory.Route
	service string
	engine  *directory.Engine
	budget  *retry.Budget
	// until is the time at which the caller, or the route, gives the call up.
	until time.Time
	// tried names the servers that failed this call.
	tried map[string]bool
	// attempts counts the servers that may have run the call.
	attempts int
	// started is set when a part of the answer went to the caller.
	started bool
	// events counts the events passed on.
	events int
	// prefilled is the time at which the last prefill ended.
	prefilled time.Time
	// lastEvent is the ID of the last event passed on.
	lastEvent string
}

// Stages of a call whose latencies are measured.
const (
	// stageQueue is the wait for servers, and stagePrefill a whole prefill.
	stageQueue   = "queue"
	stagePrefill = "prefill"
	// stageDecode lasts from the prefill's end to the first event.
	stageDecode = "decode_start"
	// stageFirst lasts from the call's arrival to its first event.
	stageFirst = "first_event"
	// stageGap is the median time between the events of one stream.
	stageGap = "gap"
	// stagePlain is a whole call without a model.
	stagePlain = "plain"
)

type counters struct {
	set *metrics.Set
	// stages are latencies by route and stage.
	stages *metrics.Family

	requests, completed, refused, failed, aborted            *expvar.Int
	prefills, prefillsWasted, retries, retriesRefused, moves *expvar.Int
	suspected, resumed                                       *expvar.Int
}

func newCounters() counters {
	set := metrics.NewSet("router")
	return counters{
		set: set, stages: set.Family("stage_ms", "route", "stage"),
		requests: set.Counter("requests"), completed: set.Counter("completed"), refused: set.Counter("refused"),
		failed: set.Counter("failed"), aborted: set.Counter("aborted"),
		prefills: set.Counter("prefills"), prefillsWasted: set.Counter("prefills_wasted"),
		retries: set.Counter("retries"), retriesRefused: set.Counter("retries_refused"), moves: set.Counter("decode_moves"),
		suspected: set.Counter("suspected"), resumed: set.Counter("resumed"),
	}
}

// observe counts the latency of one stage of the call.
func (x *exchange) observe(stage string, d time.Duration) {
	x.router.count.stages.With(x.route.Name, stage).Observe(d)
}

// timeLeft is the time for which the call is still waited for.
func (x *exchange) timeLeft() time.Duration { return time.Until(x.until) }

// log writes one decision about the call.
func (x *exchange) log(msg string, keyvals ...any) { x.write(level.Info(x.router.log), msg, keyvals) }

// warn writes one decision about a call that goes or ends badly.
func (x *exchange) warn(msg string, keyvals ...any) {
	x.write(level.Warn(x.router.log), msg, keyvals)
}

func (x *exchange) write(logger log.Logger, msg string, keyvals []any) {
	_ = logger.Log(append([]any{"msg", msg, "request", x.call.ID, "ms", time.Since(x.call.Arrived).Milliseconds()}, keyvals...)...)
}

// knowledge is what the call was decided on: its route, and the configuration
// and registry with their version and age.
func (x *exchange) knowledge() []any {
	known := x.router.directory.Current()
	out := []any{"read_ago_ms", time.Since(known.ReadAt).Milliseconds()}
	if known.Config != nil {
		out = append(out, "config", known.Config.Version)
	}
	if x.route != nil {
		out = append(out, "route", x.route.Name, "service", x.service)
	}
	return out
}

// fail ends the call with an error of the router's own. A response that has
// begun is broken off.
func (x *exchange) fail(e *apierror.Error) {
	if x.started {
		x.router.count.aborted.Add(1)
		x.warn("aborted", append(x.knowledge(), "events", x.events, "cause", e.Message)...)
		x.answer.Abort()
		return
	}
	if e.Outcome == apierror.OutcomeNotRun {
		x.router.count.refused.Add(1)
	} else {
		x.router.count.failed.Add(1)
	}
	x.warn("failed", append(x.knowledge(), "kind", e.Kind, "outcome", e.Outcome, "cause", e.Message, "retry_after_ms", e.RetryAfter.Milliseconds())...)
	x.answer.Fail(e)
}

// Arrivals at servers beyond the first of a request.
const (
	// oneMore is another server for the same step.
	oneMore = 1
	// anotherRun has the prompt read again and decodes again.
	anotherRun = 2
)

// extra takes further arrivals from the budget of the service.
func (x *exchange) extra(arrivals int) bool {
	if x.budget.Take(arrivals) {
		x.router.count.retries.Add(1)
		return true
	}
	x.router.count.retriesRefused.Add(1)
	x.warn("retry refused", "cause", "the retry budget of the service is used up", "service", x.service)
	return false
}

// checkReplaced notes a server that answered as another one.
func (x *exchange) checkReplaced(b *backend, reply *Reply) {
	if reply.Misdirected && b.setReplaced(time.Now()) {
		x.warn("server replaced", "server", b.Name(), "addr", b.server.Load().Addr, "revision", b.server.Load().Revision)
	}
}

// unknownOutcome is the end of a call that a server may have run.
func unknownOutcome(ctx context.Context, err error) *apierror.Error {
	if ctx.Err() != nil && context.Cause(ctx) == errTimeout {
		return apierror.Unknown(apierror.KindDeadline, "no server answered in time", "read the service's records before you send the request again")
	}
	return apierror.Unknown(apierror.KindUnavailable, "the server broke off: "+err.Error(), "read the service's records before you send the request again")
}

// callerGone reports whether the caller closed its connection.
func callerGone(ctx context.Context) bool {
	return ctx.Err() != nil && context.Cause(ctx) != errTimeout
}

// pass sends a server's response with a body that is known to be whole.
func (x *exchange) pass(reply *Reply, body []byte) {
	x.started = true
	x.answer.Start(reply.Status, reply.Header, len(body))
	if err := x.answer.Write(body); err != nil {
		x.log("caller gone", "err", err)
		return
	}
	x.router.count.completed.Add(1)
}

// notSent reports whether an exchange failed before any byte left.
func notSent(err error) bool { return upstream.StageOf(err) == upstream.NotSent }
