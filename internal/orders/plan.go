package orders

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/release"
)

// PlanInput is the input of the planner.
type PlanInput struct {
	Now      time.Time
	Desired  Desired
	Observed engine.State
	// Uses counts the attempts in progress by model and adapter key.
	Uses map[string]int
	// ForeignRequests counts the requests at the engine that are not attempts of this
	// agent process, such as those of an earlier incarnation. While there are any,
	// nothing is unloaded and the role does not change.
	ForeignRequests int
	// UnloadGrace is how long a model or adapter that the note no longer lists
	// stays in service, for attempts of requests that were accepted under an
	// earlier note.
	UnloadGrace time.Duration
	// ObsoleteSince is the time at which a loaded key was first found not desired.
	ObsoleteSince map[string]time.Time
	// SlotStart is the start of a model's slot in the download order, by key: the
	// earliest time to load it.
	SlotStart map[string]time.Time
	// NoMemory holds the models that the engine refused to load for lack of memory.
	NoMemory map[string]bool
	// RetryAt is the earliest time to retry an order after a failure, by subject.
	RetryAt map[Subject]time.Time
	// Unresolved is the time until which an order with an unknown outcome may still
	// take effect, by subject.
	Unresolved map[Subject]time.Time
}

// Subject identifies an order by its action and the key of the model or adapter,
// or the role, that it concerns.
type Subject struct {
	Action string
	Key    string
}

// Pending is one difference between the desired and the observed state.
type Pending struct {
	Action string `json:"action"`
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
}

// Plan is the output of the planner.
type Plan struct {
	// Order is the next order, if any, without its fencing token.
	Order *engine.Order
	// Closed gives the reason for each key that is closed to new attempts.
	Closed map[string]string
	// ClosedAll, if set, is why no key takes new attempts.
	ClosedAll string
	// Pending lists the differences that remain, most urgent first.
	Pending []Pending
}

// planner builds a Plan.
type planner struct {
	PlanInput
	plan Plan
}

// NextPlan returns the plan for an input. It is pure: equal inputs give equal plans.
//
// Missing models and adapters are loaded first. Obsolete models are drained and
// unloaded once all desired models are loaded, or earlier when their memory is
// needed. A plan has at most one order, since the state of the engine is read back
// after each.
func NextPlan(in PlanInput) Plan {
	p := &planner{PlanInput: in, plan: Plan{Closed: map[string]string{}}}
	if reason := in.Desired.outOfServiceReason(); reason != "" {
		p.plan.ClosedAll = reason
		return p.plan
	}
	p.planRoleChange()
	complete := p.planModelLoads()
	p.planAdapterLoads()
	p.planAdapterUnloads()
	if complete {
		p.planModelUnloads()
	}
	p.closeUnresolved()
	return p.plan
}

// planRoleChange closes the whole engine when its role is not the desired one, and
// orders the change once no request is in progress.
func (p *planner) planRoleChange() {
	if p.Observed.Role == p.Desired.Role {
		return
	}
	p.plan.ClosedAll = fmt.Sprintf("the role changes from %s to %s", p.Observed.Role, p.Desired.Role)
	running := p.ForeignRequests
	for _, n := range p.Uses {
		running += n
	}
	if running > 0 {
		p.addPending(engine.ActionRole, p.Desired.Role, "draining: %d requests in progress", running)
		return
	}
	p.proposeOrder(engine.Order{Action: engine.ActionRole, Role: p.Desired.Role}, p.Desired.Role)
}

// planModelLoads plans the loads of missing models and reports whether all desired
// models are loaded.
func (p *planner) planModelLoads() bool {
	complete := true
	for _, m := range p.Desired.Models {
		if slices.Contains(p.Observed.Models, m.Key()) {
			continue
		}
		complete = false
		p.planModelLoad(m)
	}
	return complete
}

// planModelLoad orders the load of a model, or states what the load waits for.
func (p *planner) planModelLoad(m release.Model) {
	key := m.Key()
	switch slot := p.SlotStart[key]; {
	case slices.Contains(p.Observed.Loading, key):
		p.addPending(engine.ActionLoad, key, "the engine is loading the weights")
	case len(p.Observed.Loading) > 0:
		p.addPending(engine.ActionLoad, key, "after the weights that the engine is loading")
	case !p.fitsInMemory(m):
		p.freeMemoryFor(m)
	case slot.After(p.Now):
		p.addPending(engine.ActionLoad, key, "waiting %s for this server's turn at the weight store", slot.Sub(p.Now).Round(time.Millisecond))
	default:
		p.proposeOrder(engine.Order{Action: engine.ActionLoad, Model: key, WeightsBytes: m.WeightsBytes}, key)
	}
}

// fitsInMemory reports whether the engine has memory for the weights of a model. If the
// engine reports no capacity, they fit unless it has refused to load them.
func (p *planner) fitsInMemory(m release.Model) bool {
	s := p.Observed
	return !p.NoMemory[m.Key()] && (s.WeightsCapacity == 0 || s.WeightsUsed+m.WeightsBytes <= s.WeightsCapacity)
}

// freeMemoryFor drains and unloads one obsolete model to free memory for m.
func (p *planner) freeMemoryFor(m release.Model) {
	for _, key := range p.Observed.Models {
		if p.Desired.hasModel(key) {
			continue
		}
		p.addPending(engine.ActionLoad, m.Key(), "no memory for the weights until %s is unloaded", key)
		p.drainAndUnload(engine.ActionUnload, key, fmt.Sprintf("it makes room for %s", m.Key()))
		return
	}
	p.addPending(engine.ActionLoad, m.Key(), "no memory for the weights and nothing to unload; list fewer models for this server in the next release note")
}

// planAdapterLoads orders the loads of missing adapters whose base model is
// loaded.
func (p *planner) planAdapterLoads() {
	for _, a := range p.Desired.Adapters {
		key := AdapterKey(a)
		switch {
		case slices.Contains(p.Observed.Adapters, key):
		case !slices.Contains(p.Observed.Models, a.Model):
			p.addPending(engine.ActionLoadAdapter, key, "after its model %s", a.Model)
		default:
			p.proposeOrder(engine.Order{Action: engine.ActionLoadAdapter, Model: key, Base: a.Model}, key)
		}
	}
}

// planAdapterUnloads unloads adapters that are not desired. A version that another
// loaded version replaces needs no grace, since new attempts use the replacement.
func (p *planner) planAdapterUnloads() {
	for _, key := range p.Observed.Adapters {
		switch {
		case p.Desired.hasAdapter(key):
		case p.replacementPending(key):
			p.addPending(engine.ActionUnloadAdapter, key, "after the version that replaces it")
		case p.replaced(key):
			p.drainAndUnload(engine.ActionUnloadAdapter, key, "a later version replaces it")
		default:
			p.unloadAfterGrace(engine.ActionUnloadAdapter, key)
		}
	}
}

// replaced reports whether another version of an adapter is desired and loaded.
func (p *planner) replaced(key string) bool {
	other, ok := p.desiredVersion(key)
	return ok && slices.Contains(p.Observed.Adapters, other)
}

// replacementPending reports whether another version of an adapter is desired
// and not yet loaded.
func (p *planner) replacementPending(key string) bool {
	other, ok := p.desiredVersion(key)
	return ok && !slices.Contains(p.Observed.Adapters, other)
}

// desiredVersion returns the key of the desired version of an adapter.
func (p *planner) desiredVersion(key string) (string, bool) {
	name := adapterName(key)
	for _, a := range p.Desired.Adapters {
		if a.Name == name {
			return AdapterKey(a), true
		}
	}
	return "", false
}

// adapterName returns the NAME of an adapter key NAME@VERSION.
func adapterName(key string) string {
	name, _, _ := strings.Cut(key, "@")
	return name
}

// planModelUnloads unloads the models that are not desired.
func (p *planner) planModelUnloads() {
	for _, key := range p.Observed.Models {
		if !p.Desired.hasModel(key) {
			p.unloadAfterGrace(engine.ActionUnload, key)
		}
	}
}

// unloadAfterGrace drains and unloads a key once its grace period is over.
func (p *planner) unloadAfterGrace(action, key string) {
	since, ok := p.ObsoleteSince[key]
	if !ok {
		since = p.Now
	}
	if left := since.Add(p.UnloadGrace).Sub(p.Now); left > 0 {
		p.addPending(action, key, "serves requests of earlier release notes for another %s", left.Round(time.Millisecond))
		return
	}
	p.drainAndUnload(action, key, fmt.Sprintf("release note %d does not list it for this server", p.Desired.Note))
}

// drainAndUnload closes a key to new attempts and unloads it once no request is in
// progress.
func (p *planner) drainAndUnload(action, key, reason string) {
	p.plan.Closed[key] = reason
	if n := p.Uses[key] + p.ForeignRequests; n > 0 {
		p.addPending(action, key, "draining: %d requests in progress", n)
		return
	}
	p.proposeOrder(engine.Order{Action: action, Model: key}, key)
}

// closeUnresolved closes the keys that an order with an unknown outcome may still
// unload, or the whole engine if such an order may still change the role.
func (p *planner) closeUnresolved() {
	for subject, until := range p.Unresolved {
		if !until.After(p.Now) {
			continue
		}
		switch subject.Action {
		case engine.ActionRole:
			p.plan.ClosedAll = "an earlier order to change the role may still take effect"
		case engine.ActionUnload, engine.ActionUnloadAdapter:
			p.plan.Closed[subject.Key] = "an earlier order to unload it may still take effect"
		}
	}
}

// proposeOrder makes o the next order, unless the plan has one already or o must
// wait for its retry after a failure.
func (p *planner) proposeOrder(o engine.Order, key string) {
	if until := p.RetryAt[Subject{o.Action, key}]; until.After(p.Now) {
		p.addPending(o.Action, key, "retrying in %s after a failure", until.Sub(p.Now).Round(time.Millisecond))
		return
	}
	if p.plan.Order != nil {
		p.addPending(o.Action, key, "after the order to %s %s", p.plan.Order.Action, subjectOf(*p.plan.Order).Key)
		return
	}
	p.plan.Order = &o
	p.addPending(o.Action, key, "ordered next")
}

// addPending records a remaining difference and the reason for it.
func (p *planner) addPending(action, key, format string, args ...any) {
	p.plan.Pending = append(p.plan.Pending, Pending{Action: action, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// subjectOf returns the subject of an order.
func subjectOf(o engine.Order) Subject {
	if o.Action == engine.ActionRole {
		return Subject{o.Action, o.Role}
	}
	return Subject{o.Action, o.Model}
}
