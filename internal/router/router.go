// Package router takes calls to backend servers that the process reaches
// directly. One call reads top to bottom here: route, admission and queue
// (package dispatch), prefill, decode, relay, and what is done when a server
// fails. Callers, servers and the knowledge of both are behind ports.
package router

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/loadshare"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/retry"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// Options configure a router.
type Options struct {
	DataCentre string
	// Budget bounds the attempts beyond the first of each request at one service,
	// counted over all entries.
	Budget BudgetOptions
	// Queue bounds the requests that wait for servers.
	Queue int
	// Peers is nil for a single entry.
	Peers Peers
}

// BudgetOptions bound the attempts beyond the first of each request, counted
// over all entries.
type BudgetOptions struct {
	// Window is the time over which attempts are counted.
	Window time.Duration
	// Ratio is the number of further attempts for each request.
	Ratio float64
	// Slack is the number of further attempts that all entries together have
	// besides.
	Slack float64
}

// budgetMargin is the part of the budget that is used, since the entries'
// windows and their number are known only roughly.
const budgetMargin = 0.8

// Peers is the port to the other entries.
type Peers interface {
	// Use tells the others what this entry has in use at a server.
	Use(server string, u loadshare.Usage)
	// Wait tells the others the arrivals of the requests that wait for servers of
	// a service.
	Wait(service string, arrivals []time.Time)
	// Entries returns the number of entries, this one included.
	Entries() int
}

// Router serves calls. It is safe for concurrent use.
type Router struct {
	options   Options
	directory *directory.Directory
	servers   Servers
	fleet     *fleet
	dispatch  *dispatch.Dispatcher[*backend]
	log       log.Logger
	count     counters

	mu      sync.Mutex // guards the fields below
	budgets map[string]*retry.Budget
	// patiences are the longest times that callers of each route wait.
	patiences map[string]time.Duration
}

// New returns a router.
func New(d *directory.Directory, servers Servers, o Options, logger log.Logger) *Router {
	r := &Router{
		options: o, directory: d, servers: servers, log: logger,
		fleet: newFleet(d, o.DataCentre), budgets: map[string]*retry.Budget{}, patiences: map[string]time.Duration{}, count: newCounters(),
	}
	r.dispatch = dispatch.New(r.fleet, dispatch.Options{
		Queue: o.Queue, NewPlanner: newPlanner, Policy: newPolicy(), Order: schedule.FIFO{},
		MemoryShare: projectedShare, WaitTrust: waitTrust, GiveUpWhileDown: true, Announce: r.announce,
	})
	r.publishBeliefs()
	return r
}

// announce tells the other entries which requests wait.
func (r *Router) announce(service string, arrivals []time.Duration) {
	if r.options.Peers == nil {
		return
	}
	start := time.Now().Add(-r.dispatch.Now())
	out := make([]time.Time, len(arrivals))
	for i, a := range arrivals {
		out[i] = start.Add(a)
	}
	r.options.Peers.Wait(service, out)
}

// WaitElsewhere takes the arrivals of the requests that wait at other entries.
func (r *Router) WaitElsewhere(service string, arrivals []time.Time) {
	now, at := time.Now(), r.dispatch.Now()
	out := make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		out[i] = at - now.Sub(a)
	}
	r.dispatch.WaitElsewhere(service, out)
}

// Serve answers one call.
func (r *Router) Serve(ctx context.Context, c *Call, a Answer) {
	x := &exchange{router: r, call: c, answer: a, tried: map[string]bool{}}
	r.count.requests.Add(1)
	snap := r.directory.Current()
	if snap.Config == nil {
		x.fail(apierror.NotRun(apierror.KindStarting, "no configuration is known yet", "retry after the delay").After(startRetry))
		return
	}
	x.route = snap.Route(c.Host, c.Path)
	if x.route == nil {
		x.fail(apierror.NotRun(apierror.KindNotFound, "no route matches "+c.Host+c.Path, "use a route of the configuration"))
		return
	}
	x.service = x.route.Service(c.ID)
	x.until = c.Arrived.Add(x.route.Timeout)
	if c.Deadline.Before(x.until) {
		x.until = c.Deadline
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.until, errTimeout)
	defer cancel()
	x.budget = r.budget(x.service)
	x.budget.Request()
	if svc := snap.Config.Services[x.service]; svc != nil && svc.Engine != nil && x.route.Kind == directory.Streaming {
		x.engine = svc.Engine
		x.generate(ctx)
		return
	}
	x.plain(ctx)
}

// errTimeout is the cause of a context that ended at the time limit of a call.
var errTimeout = errors.New("the time limit of the request has passed")

// startRetry is the advised delay while the process has no configuration; a
// reading takes some milliseconds once the store answers.
const startRetry = 500 * time.Millisecond

func (r *Router) budget(service string) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[service]
	if !ok {
		o := r.options.Budget
		b = retry.NewBudget(retry.Options{
			Window: o.Window, Ratio: budgetMargin * o.Ratio,
			Slack: func() float64 { return budgetMargin * o.Slack / float64(max(1, r.entries())) },
		})
		r.budgets[service] = b
	}
	return b
}

// patience returns the longest time that callers of a route were seen to wait,
// with one more.
func (r *Router) patience(route string, seen time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.patiences[route] = max(r.patiences[route], seen)
	return r.patiences[route]
}

func (r *Router) entries() int {
	if r.options.Peers == nil {
		return 1
	}
	return r.options.Peers.Entries()
}

// Others takes what the other entries have in use at a server.
func (r *Router) Others(server string, others []loadshare.Usage) {
	r.fleet.sync()
	b := r.fleet.get(server)
	if b == nil {
		return
	}
	var u placement.Use
	var runs []*placement.Run
	now := r.dispatch.Now()
	calls, unreachable := 0, false
	var brokenAt []time.Time
	for _, o := range others {
		calls += o.Calls
		unreachable = unreachable || o.Unreachable
		brokenAt = append(brokenAt, o.BrokenAt...)
		if !o.AwayUntil.IsZero() {
			b.awayUntil.Store(o.AwayUntil.UnixNano())
		}
		u.Tokens += o.PrefillTokens
		u.Slots += len(o.Runs)
		for _, run := range o.Runs {
			runs = append(runs, &placement.Run{
				Prompt: run.Prompt, Answer: float64(run.Answer), Began: now + time.Until(run.Began),
			})
		}
	}
	b.others.Store(int64(calls))
	r.suspectedElsewhere(b, unreachable)
	if b.server.Load().Stage == directory.Plain {
		return
	}
	r.dispatch.Update(b, func(_ time.Duration, v *placement.Server) { v.Others(u, runs) })
	if b.broken.hear(brokenAt); len(brokenAt) > 0 {
		r.judge(b)
	}
	r.dispatch.Pump()
}

// tell tells the other entries what this one has in use at a server.
func (r *Router) tell(b *backend) {
	if r.options.Peers == nil {
		return
	}
	current := r.fleet.get(b.Name()) == b
	out := loadshare.Usage{Calls: int(b.calls.Load()), Unreachable: current && !b.health.usable(), BrokenAt: b.broken.told(time.Now())}
	if b.orderedHere.Load() {
		out.AwayUntil = time.Unix(0, b.awayUntil.Load())
	}
	if b.server.Load().Stage != directory.Plain {
		r.dispatch.Update(b, func(now time.Duration, v *placement.Server) {
			use, runs := v.Own()
			out.PrefillTokens = use.Tokens
			for _, run := range runs {
				out.Runs = append(out.Runs, loadshare.Run{Prompt: run.Prompt, Answer: int(run.Answer), Began: time.Now().Add(run.Began - now)})
			}
		})
	}
	r.options.Peers.Use(b.Name(), out)
}
