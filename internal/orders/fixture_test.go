package orders

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

const gigabyte = 1 << 30

// publisher builds a chain of release notes and applies it to stores.
type publisher struct {
	t        *testing.T
	number   uint64
	previous string
	docs     []release.Document
}

// publish appends a note to the chain and brings the chain into force in stores.
func (p *publisher) publish(n release.Note, stores ...*release.Store) {
	p.t.Helper()
	p.number++
	n.Schema, n.Number, n.Previous = release.Schema, p.number, p.previous
	raw, err := yaml.Marshal(n)
	if err != nil {
		p.t.Fatal(err)
	}
	doc, err := release.Parse(raw)
	if err != nil {
		p.t.Fatal(err)
	}
	p.previous = doc.Digest
	p.docs = append(p.docs, doc)
	p.deliver(stores...)
}

// deliver applies all notes of the chain to stores.
func (p *publisher) deliver(stores ...*release.Store) {
	p.t.Helper()
	for _, s := range stores {
		for _, doc := range p.docs {
			if err := s.Apply(doc); err != nil {
				p.t.Fatal(err)
			}
		}
	}
}

// model returns a version of the model reader.
func model(version string) release.Model {
	return release.Model{Name: "reader", Version: version, WindowTokens: 1000, WeightsBytes: gigabyte}
}

// server returns a backend server in dc-a, with an agent address that depends on the
// name.
func server(name string, role release.Role, models ...string) release.BackendServer {
	agent := fmt.Sprintf("127.0.0.1:%d", 1+xxhash.Sum64String(name)%math.MaxUint16)
	return release.BackendServer{Name: name, DataCentre: "dc-a", Agent: agent, Role: role, Models: models}
}

// firstNote returns a note that adds three versions of the model and servers.
func firstNote(servers ...release.BackendServer) release.Note {
	return release.Note{Added: release.Items{
		Models:         []release.Model{model("1"), model("2"), model("3")},
		BackendServers: servers,
	}}
}

// changeNote returns a note that changes servers.
func changeNote(servers ...release.BackendServer) release.Note {
	return release.Note{Changed: release.Items{BackendServers: servers}}
}

// fault is a fault of the connection that affects one order.
type fault int

const (
	intact     fault = iota
	lost             // the order does not arrive
	answerLost       // the order arrives, its answer does not
	duplicated       // the order arrives twice
	delayed          // the order arrives after orderDelay, when the sender has already failed
)

const orderDelay = 5 * time.Second

var errNoAnswer = errors.New("no answer")

// faultyEngine passes orders to an engine and applies the next of a list of faults to
// each order.
type faultyEngine struct {
	standin.DirectClient
	mu     sync.Mutex
	faults []fault
	down   bool
	// hideCapacity makes the engine report no memory for weights.
	hideCapacity bool
	// beforeState, if set, runs before each read of the state.
	beforeState func()
}

func (e *faultyEngine) nextFault() fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return intact
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

func (e *faultyEngine) State(ctx context.Context) (engine.State, error) {
	if e.beforeState != nil {
		e.beforeState()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.State{}, errNoAnswer
	}
	state, err := e.DirectClient.State(ctx)
	if e.hideCapacity {
		state.WeightsCapacity, state.WeightsUsed = 0, 0
	}
	return state, err
}

func (e *faultyEngine) setDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

func (e *faultyEngine) Order(ctx context.Context, o engine.Order) error {
	switch e.nextFault() {
	case lost:
		return errNoAnswer
	case answerLost:
		_ = e.DirectClient.Order(ctx, o)
		return errNoAnswer
	case duplicated:
		_ = e.DirectClient.Order(ctx, o)
		return e.DirectClient.Order(ctx, o)
	case delayed:
		time.AfterFunc(orderDelay, func() { _ = e.DirectClient.Order(context.Background(), o) })
		return errNoAnswer
	default:
		return e.DirectClient.Order(ctx, o)
	}
}

// sharedLock is a writer lock that the reconcilers of one test compete for.
type sharedLock struct {
	mu    sync.Mutex
	owner *lockHolder
}

// lockHolder is the WriterLock of one reconciler.
type lockHolder struct{ lock *sharedLock }

func (h *lockHolder) Acquire() error {
	h.lock.mu.Lock()
	defer h.lock.mu.Unlock()
	if h.lock.owner != nil && h.lock.owner != h {
		return errors.New("held by another")
	}
	h.lock.owner = h
	return nil
}

func (h *lockHolder) Release() {
	h.lock.mu.Lock()
	defer h.lock.mu.Unlock()
	if h.lock.owner == h {
		h.lock.owner = nil
	}
}

// rig is an engine with its reconciler and release notes.
type rig struct {
	t       *testing.T
	standin *standin.Engine
	engine  *faultyEngine
	store   *release.Store
	rec     *Reconciler
	cancel  context.CancelFunc
}

// engineConfig configures an engine that has models loaded and takes three seconds
// to load another. With fencing, it refuses orders with old fencing tokens.
func engineConfig(fencing bool, role release.Role, models ...string) standin.EngineConfig {
	cfg := standin.DefaultEngineConfig("s", string(role), models...)
	cfg.HonourFence = fencing
	cfg.WeightsBytes = map[string]int64{}
	for _, m := range models {
		cfg.WeightsBytes[m] = gigabyte
	}
	cfg.Fetch = func(engine.Order) error {
		time.Sleep(3 * time.Second)
		return nil
	}
	return cfg
}

func newRig(t *testing.T, cfg standin.EngineConfig) *rig {
	eng := standin.NewEngine(cfg)
	r := &rig{t: t, standin: eng, engine: &faultyEngine{DirectClient: standin.DirectClient{Engine: eng}}, store: release.NewStore()}
	r.rec = r.newReconciler(&sharedLock{}, r.store)
	return r
}

// testGrace is the grace of the reconcilers in tests.
const testGrace = 20 * time.Second

func (r *rig) newReconciler(l *sharedLock, store *release.Store) *Reconciler {
	cfg := Config{Backend: "s", DataCentre: "dc-a", UnloadGrace: testGrace, Seed: 1}
	return New(cfg, r.engine, store, &lockHolder{l}, log.NewNopLogger())
}

func (r *rig) start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.rec.Run(ctx)
}

func (r *rig) stop() {
	r.cancel()
	synctest.Wait()
}

// awaitConverged waits in virtual time until the reconciler reports that it has
// converged on the latest note, and fails the test after timeout.
func (r *rig) awaitConverged(timeout time.Duration) {
	r.t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		s := r.rec.Snapshot()
		if s.InForce && s.Converged && s.Note == r.store.Current().Number {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.t.Fatalf("not converged after %v: %+v", timeout, r.rec.Snapshot())
}

func (r *rig) state() engine.State {
	s, _ := r.engine.DirectClient.State(context.Background())
	return s
}

// startAttempt passes an attempt through the gate and starts its request at the engine.
func (r *rig) startAttempt(id, role, model string) error {
	if refusal := r.rec.Gate().Admit(id, role, model, ""); refusal != nil {
		return refusal
	}
	return r.engine.AddRequest(id, model)
}

// finishAttempt ends an attempt and reports whether its request was still running at the
// engine, which means that nothing aborted it.
func (r *rig) finishAttempt(id string) bool {
	stillHeld := r.engine.CancelRequest(id)
	r.rec.Gate().Release(id)
	return stillHeld
}

// withAndWithoutFencing runs a test in virtual time, with an engine that refuses orders
// with old fencing tokens and with one that ignores the tokens.
func withAndWithoutFencing(t *testing.T, f func(t *testing.T, fencing bool)) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, fencing) })
		})
	}
}
