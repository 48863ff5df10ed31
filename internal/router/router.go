// Package router forwards calls to backend servers that the process reaches
// directly. A call is routed, admitted and queued (package dispatch), prefilled,
// decoded and relayed; when a server fails, the router retries, resumes or fails
// the call. Callers, servers and peers are behind interfaces.
package router

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"

	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/quota"
	"github.com/samphirestream/samphirestream/internal/retry"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// Options configure a router.
type Options struct {
	DataCentre string
	// Budget bounds the attempts beyond the first of each request at one service,
	// counted over all entries.
	Budget BudgetOptions
	// MaxQueued is the maximum number of requests that wait for servers of one
	// service.
	MaxQueued int
	// DrainTime is the time after which a server that leaves must get no requests; 0 for no
	// bound.
	DrainTime time.Duration
	// FirstStart is set if the whole system starts for the first time: no entry has served a
	// call before.
	FirstStart bool
	// Peers is nil for a single entry.
	Peers Peers
	// Registry is nil if nothing can be asked of it.
	Registry Registry
	// SpreadCalls spreads plain calls by the age of what is known of the servers' loads. Without
	// it the server that seems the least loaded is chosen.
	SpreadCalls bool
	// QuotaTolerance is by how much quotas may be exceeded.
	QuotaTolerance quota.Tolerance
	// KeyAge, if not nil, returns the age of what is known of the keys, of which no more than
	// MaxKeyAge is allowed.
	KeyAge    func() time.Duration
	MaxKeyAge time.Duration
	// Quotas are shared with the exchange with other entries; nil for a single entry.
	Quotas *quota.Table
}

// BudgetOptions bound the attempts beyond the first of each request, counted
// over all entries.
type BudgetOptions struct {
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Slack is the number of further attempts that all entries together may make
	// in a window regardless of the number of requests.
	Slack float64
}

// budgetMargin is the fraction of the budget that an entry uses, since the
// entries' windows are not aligned and their number is an estimate.
const budgetMargin = 0.8

// Router serves calls. It is safe for concurrent use.
type Router struct {
	options   Options
	directory *directory.Directory
	servers   Servers
	fleet     *fleet
	dispatch  *dispatch.Dispatcher[*backend]
	log       log.Logger
	count     counters
	started   time.Time
	// origins are the versions of software that began streams.
	origins *origin.Table
	relayed *relayed
	// lastKeepers are the keepers that FollowServers last knew. Only it uses them.
	lastKeepers []origin.Keeper
	// blame is what requests servers have ended under.
	blame *blame.Record
	// trials is held by the request under suspicion that runs.
	trials *semaphore.Weighted
	quotas *quota.Table
	// quotaConfig is the configuration whose quotas are in force.
	quotaConfig atomic.Pointer[directory.Config]

	// priorities are those of the configuration that they were last read from.
	priorities atomic.Pointer[priorities]
	// refusedBy counts refused requests to models.
	refusedBy callerCounts

	// backlogs are those of plain services.
	backlogs backlogs

	// levels chooses servers of plain services.
	levels levels

	mu      sync.Mutex // guards the fields below
	budgets map[string]*retry.Budget
}

// New returns a router.
func New(d *directory.Directory, servers Servers, o Options, logger log.Logger) *Router {
	r := &Router{
		options: o, directory: d, servers: servers, log: logger,
		fleet: newFleet(d, o.DataCentre, o.Peers), budgets: map[string]*retry.Budget{}, count: newCounters(), started: time.Now(),
		origins: origin.NewTable(), relayed: newRelayed(), blame: blame.NewRecord(), trials: semaphore.NewWeighted(1),
	}
	if r.quotas = o.Quotas; r.quotas == nil {
		r.quotas = quota.NewTable(time.Now(), true)
	}
	r.dispatch = dispatch.New(r.fleet, dispatch.Options{
		MaxQueued: o.MaxQueued, NewPlanner: func(service string) *placement.Planner { return newPlanner(r.fleet.speedsOf(service)) }, Policy: newPolicy(), Order: schedule.FairArrivalOrder(),
		MemoryShare: projectedShare, RefuseWhileDown: true, Announce: r.announce, SharedLengths: true, Processes: r.entries,
	})
	r.publishGauges()
	return r
}

// Serve answers one call.
func (r *Router) Serve(ctx context.Context, c *Call, a Answer) {
	x := &exchange{router: r, call: c, answer: a, tried: map[string]bool{}, sharedCauses: sharedCauses(c)}
	defer x.endTrial(false)
	r.count.requests.Add(1)
	snap := r.directory.Current()
	if snap.Config == nil {
		x.fail(refuseStarting().WithRetryAfter(r.startRetry(c)))
		return
	}
	x.route = snap.Route(c.Host, c.Path)
	if x.route == nil {
		x.fail(refuseNoRoute(c))
		return
	}
	if refusal := x.authorise(snap.Config); refusal != nil {
		x.fail(refusal)
		return
	}
	r.configureQuotas(snap.Config)
	if refusal := x.chargeQuota(); refusal != nil {
		x.fail(refusal)
		return
	}
	defer x.refundQuota()
	x.service = x.route.Service(c.streamID())
	x.deadline = c.Arrived.Add(x.route.Timeout)
	if c.Deadline.Before(x.deadline) {
		x.deadline = c.Deadline
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errTimeout)
	defer cancel()
	if x.route.Resumable {
		r.fleet.lifetimes.record(keyOf(x.route), c.Deadline.Sub(c.Arrived), c.Arrived)
	}
	if refusal := x.findOrigin(ctx, snap.Config); refusal != nil {
		x.fail(refusal)
		return
	}
	x.budget = r.budget(x.service)
	x.budget.CountRequest()
	if snap.Config.HasEngine(x.service) && x.route.Kind == directory.Streaming {
		x.engine = snap.Config.Services[x.service].Engine
		x.generate(ctx)
		return
	}
	x.plain(ctx)
}

// errTimeout is the cause of a context that ended at the time limit of a call.
var errTimeout = errors.New("the time limit of the request has passed")

const (
	// startTime is the time after its start within which a process reads the configuration
	// if the registry answers: some milliseconds.
	startTime = 300 * time.Millisecond
	// minStartRetry is the advised delay within startTime.
	minStartRetry = 500 * time.Millisecond
)

// startRetry returns the advised delay while the process has no configuration. Outages of the
// registry last for seconds, and callers return a few times at most, so that later they are
// advised to wait as long as they can.
func (r *Router) startRetry(c *Call) time.Duration {
	if time.Since(r.started) < startTime {
		return minStartRetry
	}
	return max(minStartRetry, maxAdvisedDelay(c))
}

// maxAdvisedDelay returns the longest delay that a caller follows.
func maxAdvisedDelay(c *Call) time.Duration {
	return max(0, time.Duration(maxRetryShare*float64(time.Until(c.Deadline))))
}

// budgetShare returns the fraction of the retry budgets that the entries use. Those that were
// there before a restart of all may have used budgetMargin in the same window.
func (r *Router) budgetShare() float64 {
	if !r.options.FirstStart && time.Since(r.started) < r.options.Budget.Window {
		return 1 - budgetMargin
	}
	return budgetMargin
}

// budget returns the retry budget of a service.
func (r *Router) budget(service string) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[service]
	if !ok {
		r.pruneLocked()
		o := r.options.Budget
		b = retry.NewBudget(retry.Options{
			Window: o.Window, Ratio: o.Ratio, Share: r.budgetShare,
			Slack: func() float64 { return o.Slack / float64(max(1, r.entries())) },
		})
		r.budgets[service] = b
	}
	return b
}

// pruneLocked forgets the services that the configuration no longer has. The caller holds
// r.mu.
func (r *Router) pruneLocked() {
	c := r.directory.Current().Config
	if c == nil {
		return
	}
	r.backlogs.keep(c)
	maps.DeleteFunc(r.budgets, func(service string, _ *retry.Budget) bool { return c.Services[service] == nil })
}
