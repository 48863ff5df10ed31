// Package agent implements the agent, a process that runs beside one backend
// server. All requests to that server pass through it. It enforces slot and
// memory limits, leases, at-most-once execution and draining.
package agent

import (
	"context"
	"expvar"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/orders"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/sleep"
	"github.com/samphirestream/samphirestream/internal/ticket"
)

// Config configures an agent.
type Config struct {
	Self protocol.NodeRef
	// Backend is the name of the backend server in release notes.
	Backend string
	// IsEngine is set when the backend server is a model engine.
	IsEngine bool
	// BackendURL is the base URL of the engine or plain service.
	BackendURL    string
	LeaseDuration time.Duration
	TicketKey     []byte
	// Client and Service, if set, replace the HTTP clients for the backend server.
	Client  Engine
	Service Service
	// Orders configures the reconciler of an engine.
	Orders orders.Config
	// WriterLock is the address that the only writer of orders listens on. If
	// empty, it is derived from BackendURL.
	WriterLock string
	// OnNoteReported, if not nil, is called with each release note number that an
	// entry reports.
	OnNoteReported func(number uint64)
	// StateFresh, if not nil, reports whether the process's recorded state is up to
	// date. After a pause of the process it returns false until the state is updated.
	StateFresh func() bool
	// Leaving, if not nil, reports whether the VM is listed as leaving.
	Leaving func() bool
}

// Agent controls access to one backend server.
type Agent struct {
	cfg       Config
	store     *release.Store
	lifecycle *lifecycle.Machine
	log       log.Logger
	engine    Engine
	orders    *orders.Reconciler
	plain     Service
	// advice is what the present life of the engine or service has said of itself.
	advice atomic.Pointer[advisory.State]
	minter *ticket.Minter
	start  time.Time
	count  counters

	// mu guards the fields below up to inherited. It is acquired before the lock
	// of any attempt.
	mu        sync.Mutex
	capacity  capacity
	predictor predictor
	shares    placement.FairShares
	// queuedPrefills is the number of prefills that are queued or running at the
	// engine.
	queuedPrefills int
	attempts       map[string]*attempt
	leases         map[protocol.NodeRef]time.Time
	tombstones     *tombstones
	// inherited holds the IDs of requests that the engine held when this
	// incarnation of the agent started.
	inherited map[string]bool

	calls    *callTable
	snapshot atomic.Pointer[Snapshot]
}

type counters struct {
	reserved, refused, prefills, decodes, cancelled *expvar.Int
	expiredLeases, reclaimed, plainCalls, repeats   *expvar.Int
	engineResumes, tokens, parked, resumed          *expvar.Int
	orders, orderFailures                           *expvar.Int
}

// New returns an agent; Run starts it.
func New(cfg Config, store *release.Store, machine *lifecycle.Machine, logger log.Logger) *Agent {
	a := &Agent{
		cfg:        cfg,
		store:      store,
		lifecycle:  machine,
		log:        logger,
		engine:     cfg.Client,
		plain:      cfg.Service,
		minter:     ticket.NewMinter(cfg.TicketKey),
		start:      time.Now(),
		count:      newCounters(metrics.NewSet(cfg.Self.Node)),
		capacity:   newCapacity(),
		attempts:   map[string]*attempt{},
		leases:     map[protocol.NodeRef]time.Time{},
		tombstones: newTombstones(maxTombstones),
	}
	a.advice.Store(&advisory.State{})
	a.calls = newCallTable(maxRememberedCalls, maxRememberedBytes, a.uptime)
	if a.engine == nil {
		c := engine.NewClient(cfg.BackendURL)
		c.Observe(a.Observe)
		a.engine = c
	}
	if a.plain == nil {
		c := engine.NewPlainClient(cfg.BackendURL)
		c.Observe(a.Observe)
		a.plain = c
	}
	a.orders = a.newReconciler()
	a.publish()
	return a
}

func newCounters(set *metrics.Set) counters {
	return counters{
		reserved:      set.Counter("reservations"),
		refused:       set.Counter("refusals"),
		prefills:      set.Counter("prefills"),
		decodes:       set.Counter("decodes"),
		cancelled:     set.Counter("cancelled_attempts"),
		expiredLeases: set.Counter("expired_leases"),
		reclaimed:     set.Counter("reclaimed_engine_requests"),
		plainCalls:    set.Counter("plain_calls"),
		repeats:       set.Counter("repeated_plain_answers"),
		engineResumes: set.Counter("engine_resumes"),
		tokens:        set.Counter("tokens"),
		parked:        set.Counter("parked_attempts"),
		resumed:       set.Counter("resumed_attempts"),
		orders:        set.Counter("orders"),
		orderFailures: set.Counter("order_failures"),
	}
}

// Register registers the agent's commands with an RPC server.
func (a *Agent) Register(server *rpc.Server) error {
	services := []struct {
		name string
		impl any
	}{
		{protocol.ServiceDecode, &DecodeCommands{a}},
		{protocol.ServicePrefill, &PrefillCommands{a}},
		{protocol.ServicePlain, &PlainCommands{a}},
		{protocol.ServiceLease, &LeaseCommands{a}},
	}
	for _, s := range services {
		if err := server.RegisterName(s.name, s.impl); err != nil {
			return errors.Annotatef(err, "registering %s", s.name)
		}
	}
	return nil
}

// Intervals of the agent's background work, and the timeout of its short calls to
// the engine.
const (
	leaseCheckInterval = 250 * time.Millisecond
	sweepInterval      = time.Second
	engineRetryDelay   = 500 * time.Millisecond
	engineTimeout      = 3 * time.Second
)

// Run waits for the engine and for a release note, then serves until ctx ends
// and ends all attempts.
func (a *Agent) Run(ctx context.Context) {
	if a.cfg.IsEngine {
		a.awaitEngine(ctx)
	}
	a.awaitNote(ctx)
	if a.cfg.IsEngine {
		a.orders.Prime(ctx)
	}
	if err := a.lifecycle.Ready(); err != nil {
		_ = level.Warn(a.log).Log("msg", "the agent did not start serving", "err", err)
	}
	a.publish()
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, leaseCheckInterval, a.expire) })
	wg.Go(func() { every(ctx, sweepInterval, func() { a.sweep(ctx) }) })
	if a.cfg.IsEngine {
		wg.Go(func() { a.orders.Run(ctx) })
	}
	wg.Wait()
	a.endAll()
}

// awaitNote waits until a release note is in force.
func (a *Agent) awaitNote(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.store.Changed()
		if a.store.Current().Number > 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// awaitEngine queries the engine until it returns its capacity and the requests
// that it holds.
func (a *Agent) awaitEngine(ctx context.Context) {
	for ctx.Err() == nil {
		state, err := a.engineState(ctx)
		if err == nil {
			err = a.recordInherited(ctx)
		}
		if err == nil {
			a.mu.Lock()
			a.capacity.slots.total, a.capacity.pieces.total = state.Slots, state.Pieces
			a.mu.Unlock()
			return
		}
		_ = level.Warn(a.log).Log("msg", "querying the engine failed; retrying", "err", err)
		sleep.WithContext(ctx, engineRetryDelay)
	}
}

func (a *Agent) engineState(ctx context.Context) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return a.engine.State(ctx)
}

// WaitIdle waits until no attempt and no call is in progress.
func (a *Agent) WaitIdle(ctx context.Context) error {
	for {
		if a.snapshot.Load().idle() {
			return nil
		}
		if !sleep.WithContext(ctx, leaseCheckInterval/5) {
			return errors.Annotate(ctx.Err(), "draining")
		}
	}
}

// Drain makes the agent refuse new work. Work that was admitted earlier is in
// the tables when Drain returns, so WaitIdle waits for it.
func (a *Agent) Drain() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.lifecycle.Drain()
	a.publishLocked()
	return err
}

// checkAccepting refuses new work unless the agent is serving. The caller holds
// a.mu until the work is in the tables, so that Drain does not run in between.
func (a *Agent) checkAccepting() *apierror.Error {
	switch a.lifecycle.State() {
	case lifecycle.Serving:
		if a.leaving() {
			return a.drainingError()
		}
		if a.cfg.StateFresh != nil && !a.cfg.StateFresh() {
			return apierror.NotRun(apierror.KindStarting, "the agent of "+a.cfg.Backend+" was paused and learns what changed", "try another backend server")
		}
		return nil
	case lifecycle.Starting:
		return apierror.NotRun(apierror.KindStarting, "the agent of "+a.cfg.Backend+" is starting", "try another backend server")
	default:
		return a.drainingError()
	}
}

func (a *Agent) drainingError() *apierror.Error {
	return apierror.NotRun(apierror.KindDraining, "the agent of "+a.cfg.Backend+" is draining", "try another backend server")
}

func (a *Agent) leaving() bool {
	return a.cfg.Leaving != nil && a.cfg.Leaving() || a.advice.Load().Advice().Leaving()
}

// uptime returns the time since the agent started, on its monotonic clock.
func (a *Agent) uptime() time.Duration { return time.Since(a.start) }

// every calls f at an interval, which begins when f has returned, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	for sleep.WithContext(ctx, interval) {
		f()
	}
}
