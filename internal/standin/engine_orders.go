package standin

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/samphirestream/samphirestream/internal/engine"
)

var (
	errOldFence        = errors.New("old fencing number")
	errUnknownAction   = errors.New("unknown action")
	errNoWeightsMemory = errors.New("no memory for the weights")
)

// applyOrder applies an order. With HonourFence it refuses an order whose fencing
// number is not above that of the last one. Requests that need a model, adapter or
// role which the order removes are aborted.
func (e *Engine) applyOrder(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.HonourFence {
		if o.Fence <= e.fence {
			return errOldFence
		}
		e.fence = o.Fence
	}
	e.orders = append(e.orders, o)
	switch o.Action {
	case engine.ActionLoad:
		return e.loadLocked(o)
	case engine.ActionUnload:
		e.unloadLocked(o.Model)
	case engine.ActionLoadAdapter:
		return e.loadAdapterLocked(o)
	case engine.ActionUnloadAdapter:
		e.unloadAdapterLocked(o.Model)
	case engine.ActionRole:
		e.setRoleLocked(o.Role)
	default:
		return errUnknownAction
	}
	return nil
}

// loadLocked loads a model. If its weights have to be fetched, the model is loaded
// when that ends.
func (e *Engine) loadLocked(o engine.Order) error {
	if e.loadedOrLoadingLocked(o.Model) {
		return nil
	}
	if e.cfg.WeightsCapacity > 0 && e.weightsBytesLocked()+o.WeightsBytes > e.cfg.WeightsCapacity {
		return errNoWeightsMemory
	}
	if o.Source == "" && e.cfg.Fetch == nil {
		e.models[o.Model] = o.WeightsBytes
		return nil
	}
	e.loading[o.Model] = o.WeightsBytes
	e.fetches++
	e.fetching[o.Model] = e.fetches
	go e.fetchModel(o, e.fetches)
	return nil
}

// loadedOrLoadingLocked reports whether a model is loaded or being loaded.
func (e *Engine) loadedOrLoadingLocked(model string) bool {
	_, loaded := e.models[model]
	_, loading := e.loading[model]
	return loaded || loading
}

// fetchModel reads the weights of an order and then marks the model as loaded. It
// discards them if meanwhile the engine restarted or the model was unloaded, also when the
// model is fetched again.
func (e *Engine) fetchModel(o engine.Order, fetch int) {
	read := e.cfg.Fetch
	if read == nil {
		read = func(o engine.Order) error { return fetchWeights(o.Source) }
	}
	err := read(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fetching[o.Model] != fetch {
		return
	}
	delete(e.loading, o.Model)
	delete(e.fetching, o.Model)
	if err == nil {
		e.models[o.Model] = o.WeightsBytes
	}
}

// weightsBytesLocked returns the memory of the models that are loaded or being
// loaded.
func (e *Engine) weightsBytesLocked() int64 {
	var sum int64
	for _, weights := range []map[string]int64{e.models, e.loading} {
		for _, n := range weights {
			sum += n
		}
	}
	return sum
}

func (e *Engine) unloadLocked(model string) {
	delete(e.models, model)
	delete(e.loading, model)
	delete(e.fetching, model)
	e.abortLocked(func(r *request) bool { return r.kv.Model == model })
}

func (e *Engine) loadAdapterLocked(o engine.Order) error {
	if _, ok := e.models[o.Base]; !ok && o.Base != "" {
		return errNoModel
	}
	e.adapters[o.Model] = o.Base
	return nil
}

func (e *Engine) unloadAdapterLocked(key string) {
	delete(e.adapters, key)
	name, _, _ := strings.Cut(key, "@")
	if e.hasAdapterLocked(name) {
		return
	}
	e.abortLocked(func(r *request) bool { return r.kv.Adapter == name })
}

// hasAdapterLocked reports whether some version of an adapter is loaded.
func (e *Engine) hasAdapterLocked(name string) bool {
	for key := range e.adapters {
		if key == name || strings.HasPrefix(key, name+"@") {
			return true
		}
	}
	return false
}

func (e *Engine) setRoleLocked(role string) {
	if role == e.role {
		return
	}
	e.role = role
	e.abortLocked(func(*request) bool { return true })
}

// abortLocked aborts the requests that an order or a restart affects.
func (e *Engine) abortLocked(affected func(*request) bool) {
	for _, r := range e.requests {
		if affected(r) {
			e.aborted++
			e.freeLocked(r)
		}
	}
}

// AbortedRequests returns the number of requests that orders and restarts aborted.
func (e *Engine) AbortedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.aborted
}

// Restart clears the models, the adapters, the requests and the highest fencing
// number, as in a new process. The engine keeps its role.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.fence = 0
	clear(e.models)
	clear(e.loading)
	clear(e.fetching)
	clear(e.adapters)
	e.abortLocked(func(*request) bool { return true })
}

// fetchWeights reads and discards weights.
func fetchWeights(source string) error {
	resp, err := http.Get(source)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// state returns the role, models, adapters, memory and fencing number.
func (e *Engine) state() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{
		Role:            e.role,
		Models:          slices.Sorted(maps.Keys(e.models)),
		Adapters:        slices.Sorted(maps.Keys(e.adapters)),
		Loading:         slices.Sorted(maps.Keys(e.loading)),
		WeightsCapacity: e.cfg.WeightsCapacity,
		WeightsUsed:     e.weightsBytesLocked(),
		Slots:           e.cfg.Slots,
		Pieces:          e.cfg.Pieces,
		Fence:           e.fence,
	}
}

// DirectClient calls an engine without HTTP and returns the errors that engine.Client
// would return. It is for tests in virtual time.
type DirectClient struct{ Engine *Engine }

// State returns the engine's state.
func (d DirectClient) State(context.Context) (engine.State, error) { return d.Engine.state(), nil }

// HeldRequests lists the requests that the engine holds.
func (d DirectClient) HeldRequests(context.Context) ([]engine.HeldRequest, error) {
	return d.Engine.heldList(), nil
}

// Order applies an order. The error of a refusal is an *engine.StatusError.
func (d DirectClient) Order(_ context.Context, o engine.Order) error {
	if err := d.Engine.applyOrder(o); err != nil {
		return &engine.StatusError{Code: status(err), Text: err.Error()}
	}
	return nil
}

// AddRequest adds a request for a model that occupies one piece until CancelRequest
// is called.
func (d DirectClient) AddRequest(id, model string) error {
	return d.Engine.addRequest(&request{id: id, phase: phasePrefill, pieces: 1, kv: engine.KVExport{Model: model}})
}

// CancelRequest ends a request and reports whether the engine still held it.
func (d DirectClient) CancelRequest(id string) bool { return d.Engine.cancelID(id) }
