package agent

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/engine"
)

// engineIDSeparator separates the attempt ID from the incarnation of the agent in
// the request IDs sent to engines.
const engineIDSeparator = "."

// engineID returns the ID of an attempt at the engine. It contains the
// incarnation of the agent, so that incarnations that overlap can distinguish
// their requests.
func (a *Agent) engineID(attempt string) string {
	return attempt + engineIDSeparator + a.cfg.Self.Incarnation
}

// recordInherited records the requests that the engine holds when this
// incarnation of the agent starts. They have no owner any more, since no other
// process can hold the agent's listener.
func (a *Agent) recordInherited(ctx context.Context) error {
	list, err := a.listHeld(ctx)
	if err != nil {
		return errors.Annotate(err, "listing the engine's requests")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inherited = make(map[string]bool, len(list))
	for _, h := range list {
		a.inherited[h.ID] = true
	}
	return nil
}

func (a *Agent) listHeld(ctx context.Context) ([]engine.HeldRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return a.engine.HeldRequests(ctx)
}

// sweep compares the engine's list of requests with the attempts. It cancels
// requests without an owner and removes prefills that the engine has evicted.
func (a *Agent) sweep(ctx context.Context) {
	if !a.cfg.IsEngine {
		return
	}
	asked := time.Now()
	list, err := a.listHeld(ctx)
	if err != nil {
		_ = level.Warn(a.log).Log("msg", "listing the engine's requests failed", "err", err)
		return
	}
	held := make(map[string]bool, len(list))
	for _, h := range list {
		held[h.ID] = true
	}
	a.forgetEvicted(held, asked)
	for _, id := range a.orphans(held) {
		a.count.reclaimed.Add(1)
		a.freeEngineID(id)
	}
}

// forgetEvicted removes prefills that ended before the list was requested and are
// not on it.
func (a *Agent) forgetEvicted(held map[string]bool, asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.attempts {
		if t.phase == phaseResult && t.prefillEnded.Before(asked) && !held[a.engineID(t.id)] {
			a.removeAttemptLocked(t)
		}
	}
}

// orphans returns the IDs on the engine's list that have no owner.
func (a *Agent) orphans(held map[string]bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.inherited {
		if !held[id] {
			delete(a.inherited, id)
		}
	}
	var out []string
	for id := range held {
		if a.inherited[id] || !a.owned(id) {
			out = append(out, id)
		}
	}
	return out
}

// owned reports whether an engine ID belongs to an attempt of this incarnation,
// or to a later incarnation of the agent, whose requests this one must not
// cancel.
func (a *Agent) owned(id string) bool {
	attempt, incarnation, _ := strings.Cut(id, engineIDSeparator)
	if incarnation > a.cfg.Self.Incarnation {
		return true
	}
	_, ok := a.attempts[attempt]
	return ok && incarnation == a.cfg.Self.Incarnation
}
