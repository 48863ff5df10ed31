package orders

import (
	"context"
	stderrors "errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/release"
)

// Engine is the interface to an engine. *engine.Client implements it.
type Engine interface {
	State(ctx context.Context) (engine.State, error)
	HeldRequests(ctx context.Context) ([]engine.HeldRequest, error)
	Order(ctx context.Context, o engine.Order) error
}

// Config configures a reconciler.
type Config struct {
	// Backend is the name of the backend server in release notes.
	Backend    string
	DataCentre string
	// WeightStore is the base URL of the weight store; empty if the engine finds
	// the weights without it.
	WeightStore string
	// WeightRate is the rate of the weight store for the data centre, in bytes
	// per second; zero if unknown.
	WeightRate float64
	// UnloadGrace is how long a model or adapter that the release note no longer
	// lists stays in service, for requests accepted under earlier notes. The
	// maximum duration of a request suffices.
	UnloadGrace time.Duration
	// Seed varies the jitter between processes.
	Seed uint64
	// OrdersSent and OrderFailures, if both are set, count orders and failures of
	// orders.
	OrdersSent, OrderFailures *expvar.Int
	// DrainStarted, if set, is closed when the process starts to leave. The
	// reconciler then stops sending orders.
	DrainStarted <-chan struct{}
}

// Bounds of a reconciler.
const (
	// pollInterval is the time between reads of the engine, before jitter.
	pollInterval = time.Second
	// callTimeout bounds one call to the engine.
	callTimeout = 3 * time.Second
	// maxObservationAge bounds the age of the observation that an order is based
	// on.
	maxObservationAge = 2 * time.Second
	// unresolvedTimeout is how long an order with an unknown outcome may still take
	// effect.
	unresolvedTimeout = 10 * time.Second
	// noMemoryTimeout is how long a model counts as too large for the free memory
	// after the engine refused to load it.
	noMemoryTimeout = time.Minute
)

// Reconciler brings one engine to the state that the release note in force
// specifies. Prime, Run and Step must not run concurrently with each other; Gate
// and Snapshot are safe for concurrent use.
type Reconciler struct {
	cfg    Config
	engine Engine
	store  *release.Store
	lock   WriterLock
	log    log.Logger
	rnd    *rand.Rand
	gate   *Gate

	// The fields below are used only by the goroutine that calls Prime, Run or Step.

	fleet *release.FleetState // in force at the last observation
	// noteDownloads holds, by model that a release note added to this server, a
	// function that lists all loads that the note added in the data centre.
	noteDownloads map[string]func() []download
	slots         map[string]time.Time // by model, the start of its slot in the download order
	obsoleteSince map[string]time.Time // by key, when it was first found not desired
	failures      map[Subject]int      // consecutive
	retryAt       map[Subject]time.Time
	unresolved    map[Subject]unresolvedOrder
	noMemory      map[string]time.Time // by model, when the engine last refused it for lack of memory
	loading       []string             // models, as last observed or ordered
	sentFence     uint64               // the last fencing token
	lastOrder     LastOrder
	lastError     string
	readFailures  int // consecutive

	snapshot atomic.Pointer[Snapshot]
}

// New returns a reconciler that is not yet running.
func New(cfg Config, eng Engine, store *release.Store, lock WriterLock, logger log.Logger) *Reconciler {
	if cfg.OrdersSent == nil || cfg.OrderFailures == nil {
		cfg.OrdersSent, cfg.OrderFailures = new(expvar.Int), new(expvar.Int)
	}
	r := &Reconciler{
		cfg: cfg, engine: eng, store: store, lock: lock, log: logger, gate: NewGate(),
		rnd:           rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.Backend))),
		noteDownloads: map[string]func() []download{},
		slots:         map[string]time.Time{},
		obsoleteSince: map[string]time.Time{},
		failures:      map[Subject]int{},
		retryAt:       map[Subject]time.Time{},
		unresolved:    map[Subject]unresolvedOrder{},
		noMemory:      map[string]time.Time{},
	}
	r.snapshot.Store(&Snapshot{Reason: "the engine has not been read yet"})
	return r
}

// Gate returns the gate that admits attempts to the engine.
func (r *Reconciler) Gate() *Gate { return r.gate }

// Prime retries until it has read the engine once, so that the gate admits attempts
// for what is loaded. It sends no orders.
func (r *Reconciler) Prime(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := r.observe(ctx); err == nil {
			return
		}
		waitForEvent(ctx, r.readRetryDelay(), nil, nil)
	}
}

// Run reconciles until ctx ends or the process starts to leave, and releases the
// writer lock when it returns.
func (r *Reconciler) Run(ctx context.Context) {
	defer r.lock.Release()
	for ctx.Err() == nil {
		changed := r.store.Changed()
		wait := r.Step(ctx)
		select {
		case <-r.cfg.DrainStarted:
			return
		default:
		}
		waitForEvent(ctx, wait, changed, r.gate.keyIdle)
	}
}

// Step reads the engine, sends at most one order and returns the time until the
// next step is due.
func (r *Reconciler) Step(ctx context.Context) time.Duration {
	obs, err := r.observe(ctx)
	if err != nil {
		return r.readRetryDelay()
	}
	if obs.plan.Order == nil {
		return r.untilNextSlot(r.jitter(pollInterval))
	}
	r.issueOrder(ctx, obs)
	// Read the effect of the order back soon.
	return r.jitter(minBackoff / 4)
}

// untilNextSlot shortens a wait so that it ends when the next slot in the download
// order begins.
func (r *Reconciler) untilNextSlot(wait time.Duration) time.Duration {
	for _, at := range r.slots {
		if left := time.Until(at); left > 0 {
			wait = min(wait, left)
		}
	}
	return wait
}

// observation is the state read from the engine at one time, with the fleet state
// then in force and the resulting plan.
type observation struct {
	at    time.Time
	fleet *release.FleetState
	input PlanInput
	plan  Plan
}

// observe reads the engine, computes the plan, applies it to the gate and publishes
// the snapshot.
func (r *Reconciler) observe(ctx context.Context) (observation, error) {
	at := time.Now()
	fleet := r.store.Current()
	state, requests, err := r.readEngine(ctx)
	if err != nil {
		r.readFailures++
		r.publishError(err)
		return observation{}, errors.Trace(err)
	}
	r.readFailures = 0
	r.trackNote(fleet)
	input := r.buildPlanInput(at, fleet, state)
	plan, serving := r.gate.replan(input, requests)
	if len(plan.Pending) == 0 {
		r.lastError = ""
	}
	if _, ok := nextFence(fleet.Number, state.Fence, r.sentFence); !ok && plan.Order != nil {
		plan.Order = nil
		r.lastError = staleNoteError(state.Fence>>noteBits, fleet.Number)
	}
	r.publish(input, plan, serving)
	return observation{at: at, fleet: fleet, input: input, plan: plan}, nil
}

// readEngine reads the state of the engine and lists the requests that it holds.
func (r *Reconciler) readEngine(ctx context.Context) (engine.State, []engine.HeldRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := r.engine.State(ctx)
	if err != nil {
		return state, nil, errors.Annotate(err, "reading the state of the engine")
	}
	requests, err := r.engine.HeldRequests(ctx)
	return state, requests, errors.Annotate(err, "listing the requests of the engine")
}

// trackNote records the fleet state in force. For each model that a new release
// note adds to this server, it discards an earlier slot and records how to list all
// loads that the note adds in the data centre.
func (r *Reconciler) trackNote(fleet *release.FleetState) {
	previous := r.fleet
	r.fleet = fleet
	if previous == nil || previous.Number == fleet.Number {
		return
	}
	for _, m := range DesiredOf(fleet, r.cfg.Backend).Models {
		if listsModel(previous, r.cfg.Backend, m.Key()) {
			continue
		}
		delete(r.slots, m.Key())
		r.noteDownloads[m.Key()] = func() []download {
			return downloadOrder(fleet, r.cfg.DataCentre, func(server, model string) bool { return !listsModel(previous, server, model) })
		}
	}
}

// listsModel reports whether a fleet state lists a model for a server.
func listsModel(fleet *release.FleetState, server, model string) bool {
	s, ok := fleet.Server(server)
	return ok && slices.Contains(s.Models, model)
}

// buildPlanInput returns the planner's input: the state of the engine and what the
// reconciler has recorded about keys and earlier orders. The gate adds the attempts.
func (r *Reconciler) buildPlanInput(now time.Time, fleet *release.FleetState, state engine.State) PlanInput {
	desired := DesiredOf(fleet, r.cfg.Backend)
	r.resolveOrders(now, state)
	r.trackObsolete(now, desired, state)
	r.trackSlots(now, fleet, desired, state)
	noMemory := map[string]bool{}
	for key := range r.noMemory {
		noMemory[key] = true
	}
	unresolved := map[Subject]time.Time{}
	for s, u := range r.unresolved {
		unresolved[s] = u.until
	}
	return PlanInput{
		Now: now, Desired: desired, Observed: state, UnloadGrace: r.cfg.UnloadGrace,
		ObsoleteSince: r.obsoleteSince, SlotStart: r.slots, NoMemory: noMemory, RetryAt: r.retryAt, Unresolved: unresolved,
	}
}

// resolveOrders updates the records of earlier orders from the reported state: loads
// that ended, refusals for lack of memory that have expired, and orders with an
// unknown outcome that can no longer take effect.
func (r *Reconciler) resolveOrders(now time.Time, state engine.State) {
	for _, key := range r.loading {
		s := Subject{engine.ActionLoad, key}
		switch {
		case slices.Contains(state.Models, key):
			r.recordSuccess(s)
		case !slices.Contains(state.Loading, key):
			r.recordFailure(s, now, "the engine did not finish loading "+key)
		}
	}
	r.loading = slices.Clone(state.Loading)
	for key, since := range r.noMemory {
		if now.Sub(since) > noMemoryTimeout {
			delete(r.noMemory, key)
		}
	}
	for s, u := range r.unresolved {
		if now.After(u.until) || state.Fence >= u.fence {
			delete(r.unresolved, s)
		}
	}
}

// unresolvedOrder is an order with an unknown outcome, which may still arrive at the
// engine. It can take no effect once the engine reports its fencing token or a higher
// one. An engine that ignores fencing tokens never does; there the time must pass,
// even if the engine already is in the ordered state, since a retry of the order may
// have caused that.
type unresolvedOrder struct {
	fence uint64
	until time.Time
}

// trackObsolete records since when each loaded model and adapter is not desired.
func (r *Reconciler) trackObsolete(now time.Time, desired Desired, state engine.State) {
	loaded := slices.Concat(state.Models, state.Adapters)
	for key := range r.obsoleteSince {
		if !slices.Contains(loaded, key) || desired.hasModel(key) || desired.hasAdapter(key) {
			delete(r.obsoleteSince, key)
		}
	}
	for _, key := range loaded {
		if _, ok := r.obsoleteSince[key]; !ok && !desired.hasModel(key) && !desired.hasAdapter(key) {
			r.obsoleteSince[key] = now
		}
	}
}

// trackSlots assigns each missing model its slot in the download order.
func (r *Reconciler) trackSlots(now time.Time, fleet *release.FleetState, desired Desired, state engine.State) {
	for _, key := range state.Models {
		delete(r.slots, key)
		delete(r.noteDownloads, key)
	}
	if r.cfg.WeightStore == "" {
		return
	}
	for _, m := range desired.Models {
		key := m.Key()
		if _, ok := r.slots[key]; !ok && !slices.Contains(state.Models, key) {
			r.slots[key] = now.Add(r.slotWait(fleet, key))
		}
	}
}

// slotWait returns the wait before a load. After a release note all agents compute the
// same list of loads, so one slot follows the other. Otherwise one engine or a whole
// data centre may have lost its weights; this process can not distinguish the two, and
// the wait is compressed.
func (r *Reconciler) slotWait(fleet *release.FleetState, key string) time.Duration {
	rate := r.cfg.WeightRate
	if list, ok := r.noteDownloads[key]; ok {
		wait, length := downloadSlot(list(), r.cfg.Backend, key, rate)
		return min(wait, maxSlotWait) + r.randomBelow(length/4)
	}
	list := downloadOrder(fleet, r.cfg.DataCentre, func(string, string) bool { return true })
	wait, length := downloadSlot(list, r.cfg.Backend, key, rate)
	return compressWait(wait, list, rate, recoveryFullWait) + r.randomBelow(min(length/4, defaultDownloadTime))
}

// issueOrder sends the order of a plan and records the outcome. It sends nothing if the
// release note has changed or the observation is too old, since the process may have
// been paused after the observation.
func (r *Reconciler) issueOrder(ctx context.Context, obs observation) {
	o := *obs.plan.Order
	if r.store.Current() != obs.fleet || time.Since(obs.at) > maxObservationAge {
		return
	}
	if err := r.lock.Acquire(); err != nil {
		r.recordFailure(subjectOf(o), time.Now(), err.Error())
		return
	}
	fence, ok := nextFence(obs.fleet.Number, obs.input.Observed.Fence, r.sentFence)
	if !ok {
		return
	}
	o.Fence, r.sentFence = fence, fence
	if o.Action == engine.ActionLoad || o.Action == engine.ActionLoadAdapter {
		o.Source = r.weightsURL(o.Model)
	}
	r.sendOrder(ctx, o)
}

// weightsURL returns the URL of a model or adapter in the weight store, empty without
// a store.
func (r *Reconciler) weightsURL(key string) string {
	if r.cfg.WeightStore == "" {
		return ""
	}
	return strings.TrimSuffix(r.cfg.WeightStore, "/") + "/v1/weights/" + key
}

// sendOrder sends one order and records its outcome: accepted, refused or unknown.
func (r *Reconciler) sendOrder(ctx context.Context, o engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.cfg.OrdersSent.Add(1)
	err := r.engine.Order(ctx, o)
	subject, now := subjectOf(o), time.Now()
	r.lastOrder = LastOrder{At: now, Fence: o.Fence, Action: o.Action, Key: subject.Key}
	var refusal *engine.StatusError
	switch {
	case err == nil:
		r.lastOrder.Outcome = "accepted"
		r.recordAccepted(subject)
	case stderrors.As(errors.Cause(err), &refusal):
		r.lastOrder.Outcome = "refused: " + refusal.Text
		r.recordRefused(subject, now, refusal)
	default:
		r.lastOrder.Outcome = "unknown: " + err.Error()
		r.unresolved[subject] = unresolvedOrder{fence: o.Fence, until: now.Add(unresolvedTimeout)}
		r.recordFailure(subject, now, err.Error())
	}
	_ = level.Info(r.log).Log("msg", "order", "action", o.Action, "key", subject.Key, "fence", o.Fence, "outcome", r.lastOrder.Outcome)
}

// recordAccepted records that the engine accepted an order. A load counts as successful
// only when the engine reports the model as loaded.
func (r *Reconciler) recordAccepted(s Subject) {
	switch s.Action {
	case engine.ActionLoad:
		// resolveOrders records the result of the load.
		r.loading = append(r.loading, s.Key)
		return
	case engine.ActionUnload:
		clear(r.noMemory)
	}
	r.recordSuccess(s)
}

// recordRefused records a refusal. An order is refused for an old fencing token when
// another process has sent an order meanwhile; the next step reads the engine again, so
// the retry gets a higher token.
func (r *Reconciler) recordRefused(s Subject, now time.Time, refusal *engine.StatusError) {
	if refusal.Code == http.StatusInsufficientStorage && s.Action == engine.ActionLoad {
		r.noMemory[s.Key] = now
	}
	r.recordFailure(s, now, refusal.Error())
}

func (r *Reconciler) recordSuccess(s Subject) {
	delete(r.failures, s)
	delete(r.retryAt, s)
	r.lastError = ""
}

func (r *Reconciler) recordFailure(s Subject, now time.Time, reason string) {
	r.cfg.OrderFailures.Add(1)
	r.failures[s]++
	r.retryAt[s] = now.Add(backoff(r.failures[s], r.rnd))
	r.lastError = s.Action + " " + s.Key + ": " + reason
	_ = level.Warn(r.log).Log("msg", "order failed; retrying", "action", s.Action, "key", s.Key, "failures", r.failures[s], "err", reason)
}

// readRetryDelay returns the delay before the engine is read again after a failure.
func (r *Reconciler) readRetryDelay() time.Duration {
	return min(backoff(r.readFailures, r.rnd), 5*pollInterval)
}

// jitter changes d at random by up to an eighth in either direction.
func (r *Reconciler) jitter(d time.Duration) time.Duration {
	return d - d/8 + r.randomBelow(d/4)
}

// randomBelow returns a random duration in [0, d), and 0 if d is not positive.
func (r *Reconciler) randomBelow(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(r.rnd.Int64N(int64(d)))
}

// waitForEvent waits until ctx ends, maxWait has passed, another release note is in
// force or a draining key is idle.
func waitForEvent(ctx context.Context, maxWait time.Duration, noteChanged <-chan struct{}, keyIdle <-chan struct{}) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-noteChanged:
	case <-keyIdle:
	}
}
