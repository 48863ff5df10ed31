package router

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/retry"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// exchange is the state of one call in the router.
type exchange struct {
	router  *Router
	call    *Call
	answer  Answer
	route   *directory.Route
	service string
	// organisation is nil for requests without one.
	organisation *directory.Organisation
	// quotaCost is the cost of the call in the units of the organisation's quota, and quotaLevel
	// what is left of the quota after the decision; quotaCharged is set while it is charged.
	quotaCost, quotaLevel float64
	quotaCharged          bool
	engine                *directory.Engine
	budget                *retry.Budget
	// sharedCauses and ownCauses are why a server may end under the call (see blame.Request).
	// ownCauses is nil until a server has ended.
	sharedCauses, ownCauses []blame.Key
	// onTrial is set while the call runs as the only one under suspicion, and failedTrial
	// once a server ended under it then.
	onTrial, failedTrial bool
	// deadline is the earlier of the caller's deadline and the route's time limit.
	deadline time.Time
	// tried names the servers that are not asked again while there are others.
	tried map[string]bool
	// levelChoice is what the last choice of a plain server was based on.
	levelChoice levelChoice
	// queueTime is the expected time of the last plain attempt, if it had to wait for a slot.
	queueTime time.Duration
	// attempts counts the servers that may have run the call.
	attempts int
	// runs counts the runs of a generation that have ended, and prepaid is set while the
	// retry budget has been charged for the next one.
	runs    int
	prepaid atomic.Bool
	// started is set once a part of the answer was sent to the caller.
	started bool
	// events counts the relayed events.
	events int
	// prefilled is the time at which the last prefill ended.
	prefilled time.Time
	// lastEvent is the ID of the last relayed event.
	lastEvent string
	// software is the version of the servers' software that began the stream, if begun is
	// set: the caller has events of that version.
	software string
	begun    bool
	// knownBy is how the version of a stream that the call takes up became known.
	knownBy originSource
	// missing are log fields that tell why that is not known.
	missing []any
	// keys are those of the stream, once they were needed.
	keys origin.Stream
	// relayed is set once the stream is among those that this entry relays.
	relayed bool
}

// Stages of a call whose latencies are measured.
const (
	// stageQueue is the wait for servers, and stagePrefill a whole prefill.
	stageQueue   = "queue"
	stagePrefill = "prefill"
	// stageDecode lasts from the end of the prefill to the first event.
	stageDecode = "decode_start"
	// stageFirst lasts from the call's arrival to its first event.
	stageFirst = "first_event"
	// stageGap is the median time between the events of one stream.
	stageGap = "gap"
	// stagePlain is a whole call to a plain service.
	stagePlain = "plain"
)

type counters struct {
	set *metrics.Set
	// stages are latencies by route and stage.
	stages *metrics.Family

	requests, completed, refused, failed, aborted            *expvar.Int
	prefills, prefillsWasted, retries, retriesRefused, moves *expvar.Int
	suspected, resumed, withheld                             *expvar.Int
	// takenUp counts the calls that take up a stream, by how its version became known, and
	// takenUpRefused those of them that were refused.
	takenUp        map[originSource]*expvar.Int
	takenUpRefused *expvar.Int
	// lostWithServer counts requests whose server ended under them.
	lostWithServer *expvar.Int
	// refusedBlamed counts requests that were refused since servers end under them.
	refusedBlamed *expvar.Int
	// unknownKeys counts requests whose key no organisation has, and staleKeys those that were
	// refused because the entry's knowledge of the keys was stale.
	unknownKeys, staleKeys *expvar.Int
	// quotaRefused counts requests over the quota of their organisation, quotaRefunded those that
	// were charged and did not run, and quotaTokens the units that were charged.
	quotaRefused, quotaRefunded, quotaTokens *expvar.Int
	// limitedPlain, limitedPrefills and limitedDecodes count requests to servers that name
	// a limit.
	limitedPlain, limitedPrefills, limitedDecodes *expvar.Int
}

func newCounters() counters {
	set := metrics.NewSet("router")
	return counters{
		set: set, stages: set.Family("stage_ms", "route", "stage"),
		requests: set.Counter("requests"), completed: set.Counter("completed"), refused: set.Counter("refused"),
		failed: set.Counter("failed"), aborted: set.Counter("aborted"),
		prefills: set.Counter("prefills"), prefillsWasted: set.Counter("prefills_wasted"),
		retries: set.Counter("retries"), retriesRefused: set.Counter("retries_refused"), moves: set.Counter("decode_moves"),
		suspected: set.Counter("suspected"), resumed: set.Counter("resumed"), withheld: set.Counter("responses_withheld"), lostWithServer: set.Counter("lost_with_server"), refusedBlamed: set.Counter("refused_blamed"),
		takenUp: newTakenUpCounters(set), takenUpRefused: set.Counter("taken_up_refused"),
		unknownKeys: set.Counter("unknown_keys"), staleKeys: set.Counter("stale_keys"),
		quotaRefused: set.Counter("quota_refused"), quotaRefunded: set.Counter("quota_refunded"), quotaTokens: set.Counter("quota_tokens"),
		limitedPlain: set.Counter("limited_plain"), limitedPrefills: set.Counter("limited_prefills"), limitedDecodes: set.Counter("limited_decodes"),
	}
}

// observe records the latency of one stage of the call.
func (x *exchange) observe(stage string, d time.Duration) {
	x.router.count.stages.With(x.route.Name, stage).Observe(d)
}

// timeLeft returns the time until the deadline of the call.
func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }

// log writes a line about the call at level info.
func (x *exchange) log(msg string, keyvals ...any) { x.write(level.Info(x.router.log), msg, keyvals) }

// warn writes a line about a failure of the call at level warn.
func (x *exchange) warn(msg string, keyvals ...any) {
	x.write(level.Warn(x.router.log), msg, keyvals)
}

func (x *exchange) write(logger log.Logger, msg string, keyvals []any) {
	_ = logger.Log(append([]any{"msg", msg, "request", x.call.ID, "ms", time.Since(x.call.Arrived).Milliseconds()}, keyvals...)...)
}

// stateFields returns log fields for the state that the call was decided on: its
// route, the version of the configuration and the age of the registry data.
func (x *exchange) stateFields() []any {
	snap := x.router.directory.Current()
	out := []any{"read_ago_ms", snap.ServersKnown.Age(time.Now()).Milliseconds()}
	if snap.Config != nil {
		out = append(out, "config", snap.Config.Version)
	}
	if x.route != nil {
		out = append(out, "route", x.route.Name, "service", x.service)
	}
	if x.organisation != nil {
		out = append(out, "organisation", x.organisation.Name)
	}
	if x.quotaCost > 0 {
		out = append(out, "quota_cost", x.quotaCost, "quota_level", int(x.quotaLevel))
	}
	if x.knownBy != "" {
		out = append(out, "takes_up", x.call.streamID(), "after", x.call.LastEvent, "begun_by", x.software, "known_by", x.knownBy)
	}
	return out
}

// fail ends the call with an error of the router itself. A response that has started
// is aborted.
func (x *exchange) fail(e *apierror.Error) {
	if x.started {
		x.router.count.aborted.Add(1)
		x.warn("aborted", append(x.stateFields(), "events", x.events, "cause", e.Message)...)
		x.answer.Abort()
		return
	}
	if e.Outcome == apierror.OutcomeNotRun {
		x.router.count.refused.Add(1)
		x.countRefusal()
		if x.knownBy != "" {
			x.router.count.takenUpRefused.Add(1)
		}
	} else {
		x.router.count.failed.Add(1)
	}
	x.warn("failed", append(x.stateFields(), "kind", e.Kind, "outcome", e.Outcome, "cause", e.Message, "retry_after_ms", e.RetryAfter.Milliseconds())...)
	x.answer.Fail(e)
}

// Costs of retries, in attempts at servers, as counted by the retry budget.
const (
	// retryStep is for another server for the same step, such as the prefill.
	retryStep = 1
	// retryRun is for another prefill and another decode.
	retryRun = 2
)

// acquireRetry takes further attempts from the retry budget of the service. It
// reports false when the budget is used up.
func (x *exchange) acquireRetry(attempts int) bool {
	if x.budget.Acquire(attempts) {
		x.router.count.retries.Add(1)
		return true
	}
	x.router.count.retriesRefused.Add(1)
	x.warn("retry refused", "cause", "the retry budget of the service is used up", "service", x.service)
	return false
}

// checkReplaced marks a server as replaced when its address was answered by another
// server.
func (x *exchange) checkReplaced(b *backend, reply *Reply) {
	if reply.Misdirected && b.setReplaced(time.Now()) {
		x.warn("server replaced", "server", b.Name(), "addr", b.server.Load().Addr, "revision", b.server.Load().Version.Revision)
		x.router.shareUsage(b)
	}
}

// unknownOutcome returns the error for a call that a server may have run.
func unknownOutcome(ctx context.Context, err error) *apierror.Error {
	const remedy = "read the service's records before you send the request again"
	var withheld withheldError
	switch {
	case ctx.Err() != nil && context.Cause(ctx) == errTimeout:
		return apierror.Unknown(apierror.KindDeadlineExceeded, "no server answered in time", remedy)
	case errors.As(err, &withheld):
		return apierror.Unknown(apierror.KindUnavailable, "the server's response is withheld: "+withheld.Error(), remedy)
	default:
		return apierror.Unknown(apierror.KindUnavailable, "the server broke off: "+err.Error(), remedy)
	}
}

// callerDisconnected reports whether ctx ended for a reason other than the call's
// deadline. For the context of a call, that is a cancellation by its caller.
func callerDisconnected(ctx context.Context) bool {
	return ctx.Err() != nil && context.Cause(ctx) != errTimeout
}

// sendWhole sends a server's response whose body was read completely.
func (x *exchange) sendWhole(reply *Reply, body []byte) {
	x.started = true
	x.answer.Start(reply.Status, reply.Header, len(body))
	if err := x.answer.Write(body); err != nil {
		x.log("caller gone", "err", err)
		return
	}
	x.router.count.completed.Add(1)
}

// notSent reports whether a call failed before any byte was sent.
func notSent(err error) bool { return upstream.ProgressOf(err) == upstream.NotSent }
