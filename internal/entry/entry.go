// Package entry implements the process that callers connect to. It
// authenticates the provider, admits and places requests, and relays the
// answers. It enforces no invariant itself: the agents do.
package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/sleep"
	"github.com/samphirestream/samphirestream/internal/ticket"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// Config configures an entry.
type Config struct {
	Self       protocol.NodeRef
	DataCentre string
	Region     string
	// HeartbeatInterval is the interval between heartbeats to an agent. Each
	// heartbeat renews a lease with the duration LeaseDuration.
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration
	// RequestTimeout is the maximum duration of a request.
	RequestTimeout time.Duration
	MaxBodyBytes   int64
	// MaxQueued is the maximum number of requests that wait for capacity.
	MaxQueued int
	TicketKey []byte
	// Membership, if not nil, returns the current membership of the fleet.
	Membership func() *membership.View
	// OnNoteReported, if not nil, is called with the numbers of the release notes
	// that agents report.
	OnNoteReported func(number uint64)
	// StateFresh, if not nil, reports whether the recorded state of the fleet is up
	// to date. After a pause of the process it returns false until the state is
	// updated.
	StateFresh func() bool
}

// Entry accepts the requests of callers.
type Entry struct {
	cfg       Config
	store     *release.Store
	lifecycle *lifecycle.Machine
	log       log.Logger
	dialer    *transport.Dialer
	minter    *ticket.Minter
	quotas    quotas
	sched     *scheduler
	fleet     fleet
	active    activeRequests
	count     counters

	lastServerID atomic.Int32 // the ID assigned last to a placement.Server

	rndMu sync.Mutex
	rnd   *rand.Rand
}

type counters struct {
	requests, completed, failed, refused     *expvar.Int
	attempts, continued, tokens              *expvar.Int
	staleChunks, streamReopens, plainCalls   *expvar.Int
	prefillsStarted, prefillsWasted, cancels *expvar.Int
	gaps, retriesRefused, resumed            *expvar.Int
}

// New returns an entry that is not yet running.
func New(cfg Config, store *release.Store, state *lifecycle.Machine, dialer *transport.Dialer, logger log.Logger) *Entry {
	e := &Entry{
		cfg:       cfg,
		store:     store,
		lifecycle: state,
		log:       logger,
		dialer:    dialer,
		minter:    ticket.NewMinter(cfg.TicketKey),
		count:     newCounters(metrics.NewSet(cfg.Self.Node)),
		rnd:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	e.sched = newScheduler(e, cfg.MaxQueued)
	e.quotas.init()
	e.active.init()
	e.fleet.init(e)
	return e
}

func newCounters(set *metrics.Set) counters {
	return counters{
		requests:        set.Counter("requests"),
		completed:       set.Counter("completed"),
		failed:          set.Counter("failed"),
		refused:         set.Counter("refused"),
		attempts:        set.Counter("attempts"),
		continued:       set.Counter("continued"),
		tokens:          set.Counter("tokens"),
		staleChunks:     set.Counter("stale_chunks"),
		streamReopens:   set.Counter("stream_reopens"),
		plainCalls:      set.Counter("plain_calls"),
		prefillsStarted: set.Counter("prefills_started"),
		prefillsWasted:  set.Counter("prefills_wasted"),
		cancels:         set.Counter("cancels"),
		gaps:            set.Counter("gaps"),
		retriesRefused:  set.Counter("retries_refused"),
		resumed:         set.Counter("resumed"),
	}
}

// Run applies release notes and renews the leases at the agents until ctx ends.
// The entry becomes ready once a note is in force.
func (e *Entry) Run(ctx context.Context) {
	defer e.fleet.wait()
	resync := time.NewTicker(subsetRefreshInterval)
	defer resync.Stop()
	for {
		changed := e.store.Changed()
		state := e.store.Current()
		if state.Number > 0 {
			e.fleet.sync(ctx, state)
			e.becomeReady(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-resync.C:
		}
	}
}

// subsetRefreshInterval is the interval at which the entry recomputes the
// agents that it connects to from the membership.
const subsetRefreshInterval = 5 * time.Second

// becomeReady makes a starting entry ready once the first heartbeats have
// reported the load of the agents that answer. It waits for one lease at most.
func (e *Entry) becomeReady(ctx context.Context) {
	if e.lifecycle.State() != lifecycle.Starting {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.LeaseDuration)
	defer cancel()
	e.fleet.awaitFirstHeartbeats(ctx)
	_ = e.lifecycle.Ready() // fails if the entry is already draining
}

// WaitIdle waits until no request is in progress.
func (e *Entry) WaitIdle(ctx context.Context) error { return e.active.waitIdle(ctx) }

// random calls f with the entry's source of randomness.
func (e *Entry) random(f func(*rand.Rand) int) int {
	e.rndMu.Lock()
	defer e.rndMu.Unlock()
	return f(e.rnd)
}

// header returns the fields common to all commands.
func (e *Entry) header(ctx context.Context) protocol.CommandHeader {
	timeout := e.cfg.RequestTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Until(deadline), 0)
	}
	return protocol.CommandHeader{From: e.cfg.Self, Note: e.store.Current().Number, Timeout: timeout}
}

// admit refuses requests while the entry starts, or updates its state after a
// pause.
func (e *Entry) admit() *apierror.Error {
	if e.lifecycle.State() == lifecycle.Starting {
		return apierror.NotRun(apierror.KindStarting, "the entry has no release note yet", "retry").WithRetryAfter(time.Second)
	}
	if !e.fresh() {
		return apierror.NotRun(apierror.KindStarting, "the entry was paused and learns what changed", "retry").WithRetryAfter(time.Second)
	}
	return nil
}

func (e *Entry) fresh() bool { return e.cfg.StateFresh == nil || e.cfg.StateFresh() }

// Bounds on the wait of a new request while the entry starts, or updates its
// state after a pause.
const (
	maxFreshWait      = 5 * time.Second
	freshPollInterval = 20 * time.Millisecond
)

// awaitFresh waits until the entry is ready and its state is up to date, but for
// maxFreshWait at most.
func (e *Entry) awaitFresh(ctx context.Context) {
	deadline := time.Now().Add(maxFreshWait)
	ready := func() bool { return e.lifecycle.State() != lifecycle.Starting && e.fresh() }
	for !ready() && ctx.Err() == nil && time.Now().Before(deadline) {
		sleep.WithContext(ctx, freshPollInterval)
	}
}

// activeRequests counts the requests in progress.
type activeRequests struct {
	n    atomic.Int64
	idle chan struct{} // signalled when n becomes 0
}

func (a *activeRequests) init() { a.idle = make(chan struct{}, 1) }

func (a *activeRequests) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.n.Add(1)
		defer a.done()
		next.ServeHTTP(w, r)
	})
}

func (a *activeRequests) done() {
	if a.n.Add(-1) > 0 {
		return
	}
	select {
	case a.idle <- struct{}{}:
	default:
	}
}

func (a *activeRequests) waitIdle(ctx context.Context) error {
	for a.n.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.idle:
		}
	}
	return nil
}
