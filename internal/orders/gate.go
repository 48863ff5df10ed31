package orders

import (
	"maps"
	"sync"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/engine"
)

// Gate admits attempts only for models and adapters that the engine has loaded
// and that no order is about to unload, and counts the attempts in progress. Its
// methods are safe for concurrent use. Its lock orders Admit and changes of the
// serving set, so no attempt enters after a key was closed and found unused.
type Gate struct {
	mu      sync.Mutex
	serving servingSet
	running map[string]attempt // by attempt ID
	uses    map[string]int     // attempts in progress by model or adapter key
	// draining is set while an order waits for attempts in progress to end.
	draining bool
	// keyIdle is signalled when the last attempt of a key ends while draining is
	// set.
	keyIdle chan struct{}
}

// servingSet is the role, models and adapters that take new attempts.
type servingSet struct {
	role   string
	models map[string]bool
	// adapters maps the name of an adapter to the key in service.
	adapters map[string]string
	// reason, if set, is why the engine takes no attempts.
	reason string
	// closed gives the reason for each key that is closed to new attempts.
	closed map[string]string
}

// attempt holds the keys that an admitted attempt uses.
type attempt struct{ model, adapter string }

// NewGate returns a gate that admits nothing yet.
func NewGate() *Gate {
	return &Gate{
		serving: servingSet{reason: "the state of the engine is not known yet"},
		running: map[string]attempt{}, uses: map[string]int{}, keyIdle: make(chan struct{}, 1),
	}
}

const remedyOtherServer = "try another backend server"

// Admit admits an attempt for a model, and for an adapter if one is named, while
// the engine has the given role. A refusal means that nothing ran. Repeating
// Admit for an attempt that is in progress has no effect.
func (g *Gate) Admit(id, role, model, adapter string) *apierror.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.running[id]; ok {
		return nil
	}
	s := &g.serving
	if s.role != role {
		return apierror.NotRun(apierror.KindUnavailable, "not a "+role+" server: "+s.roleReason(), remedyOtherServer)
	}
	if !s.models[model] {
		return apierror.NotRun(apierror.KindUnavailable, "model "+model+" is not in service here: "+s.refusalReason(model), remedyOtherServer)
	}
	a := attempt{model: model}
	if adapter != "" {
		key, ok := s.adapters[adapter]
		if !ok {
			return apierror.NotRun(apierror.KindUnavailable, "adapter "+adapter+" is not in service here: "+s.refusalReason(adapter), remedyOtherServer)
		}
		a.adapter = key
		g.uses[key]++
	}
	g.uses[model]++
	g.running[id] = a
	return nil
}

// roleReason returns why an engine takes no attempts of another role.
func (s *servingSet) roleReason() string {
	if s.reason != "" {
		return s.reason
	}
	return "the engine has the role " + s.role
}

// refusalReason returns why a key takes no new attempts.
func (s *servingSet) refusalReason(key string) string {
	switch {
	case s.reason != "":
		return s.reason
	case s.closed[key] != "":
		return s.closed[key]
	default:
		return "the engine has not loaded it"
	}
}

// Serves reports whether a new attempt of a model would be admitted.
func (g *Gate) Serves(role, model string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serving.role == role && g.serving.models[model]
}

// Release ends an attempt. It has no effect for an unknown ID.
func (g *Gate) Release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	g.releaseKey(a.model)
	g.releaseKey(a.adapter)
}

// releaseKey removes one attempt from the count of a key. The caller holds g.mu.
func (g *Gate) releaseKey(key string) {
	if key == "" {
		return
	}
	if g.uses[key]--; g.uses[key] > 0 {
		return
	}
	delete(g.uses, key)
	if g.draining {
		select {
		case g.keyIdle <- struct{}{}:
		default:
		}
	}
}

// replan computes the plan for an input and replaces the serving set accordingly.
// Both happen under the lock, so no attempt enters in between. It adds to the input
// the attempts in progress, and those of the engine's requests that are not
// attempts of this gate. It returns the plan and the keys in service.
func (g *Gate) replan(in PlanInput, requests []engine.HeldRequest) (Plan, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	in.Uses = maps.Clone(g.uses)
	for _, h := range requests {
		if _, ok := g.running[h.ID]; !ok {
			in.ForeignRequests++
		}
	}
	plan := NextPlan(in)
	g.serving = servingSetFor(in, plan)
	g.draining = len(plan.Pending) > 0 && (plan.ClosedAll != "" || len(plan.Closed) > 0)
	return plan, g.serving.keys()
}

// servingSetFor returns the serving set under a plan. Of the loaded versions of an
// adapter, the desired one is preferred.
func servingSetFor(in PlanInput, plan Plan) servingSet {
	s := servingSet{role: in.Observed.Role, models: map[string]bool{}, adapters: map[string]string{}, reason: plan.ClosedAll, closed: plan.Closed}
	if plan.ClosedAll != "" {
		return s
	}
	for _, key := range in.Observed.Models {
		if plan.Closed[key] == "" {
			s.models[key] = true
		}
	}
	for _, key := range in.Observed.Adapters {
		name := adapterName(key)
		if plan.Closed[key] == "" && (s.adapters[name] == "" || in.Desired.hasAdapter(key)) {
			s.adapters[name] = key
		}
	}
	return s
}

// keys returns the models and adapters in service, in no particular order.
func (s *servingSet) keys() []string {
	out := make([]string, 0, len(s.models)+len(s.adapters))
	for key := range s.models {
		out = append(out, key)
	}
	for _, key := range s.adapters {
		out = append(out, key)
	}
	return out
}
