package orders

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/engine"
)

// Snapshot is the state of a reconciler at one moment, for dumps.
type Snapshot struct {
	// Note is the number of the release note that the state was compared with.
	Note uint64 `json:"note"`
	// InForce is set when the engine has the role that the note specifies and
	// serves all models and adapters that it lists. Others may still be loaded. A
	// note that does not list the server requires nothing.
	InForce bool `json:"in_force"`
	// Converged is set when the engine has converged: nothing is pending.
	Converged bool `json:"settled"`
	// Reason, if set, is why the engine takes no attempts.
	Reason   string       `json:"reason,omitempty"`
	Observed engine.State `json:"observed"`
	ReadAt   time.Time    `json:"read_at"`
	// Serving are the keys that take new attempts.
	Serving []string `json:"serving"`
	// Closed are the keys that are closed to new attempts.
	Closed []ClosedKey `json:"closed,omitempty"`
	// Pending are the differences that remain, with the reason for each.
	Pending []PendingSnapshot `json:"pending,omitempty"`
	// LastOrder is the order that was sent last.
	LastOrder *LastOrder `json:"last_order,omitempty"`
	// Error is the last failure, until an order succeeds or nothing is pending.
	Error string `json:"error,omitempty"`
}

// ClosedKey is a model or adapter that takes no new attempts.
type ClosedKey struct {
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// PendingSnapshot is a Pending with the number of consecutive failures of its
// order.
type PendingSnapshot struct {
	Pending
	Failures int `json:"failures,omitempty"`
}

// LastOrder is an order and its outcome.
type LastOrder struct {
	At      time.Time `json:"at"`
	Fence   uint64    `json:"fence"`
	Action  string    `json:"action"`
	Key     string    `json:"key"`
	Outcome string    `json:"outcome"`
}

// Snapshot returns the last published state. It is shared and must not be modified.
func (r *Reconciler) Snapshot() *Snapshot { return r.snapshot.Load() }

// publish stores the snapshot that follows from an observation and its plan.
func (r *Reconciler) publish(in PlanInput, plan Plan, serving []string) {
	slices.Sort(serving)
	s := &Snapshot{
		Note: in.Desired.Note, InForce: in.Desired.satisfiable() && !plan.incomplete(), Converged: len(plan.Pending) == 0,
		Reason: plan.ClosedAll, Observed: in.Observed, ReadAt: in.Now, Serving: serving, Error: r.lastError,
	}
	for key, reason := range plan.Closed {
		s.Closed = append(s.Closed, ClosedKey{key, reason})
	}
	slices.SortFunc(s.Closed, func(a, b ClosedKey) int { return cmp.Compare(a.Key, b.Key) })
	for _, p := range plan.Pending {
		s.Pending = append(s.Pending, PendingSnapshot{p, r.failures[Subject{p.Action, p.Key}]})
	}
	if last := r.lastOrder; last.Fence > 0 {
		s.LastOrder = &last
	}
	r.snapshot.Store(s)
}

// Unloads reports whether p unloads a model or adapter that is not desired any
// more.
func (p Pending) Unloads() bool {
	return p.Action == engine.ActionUnload || p.Action == engine.ActionUnloadAdapter
}

// incomplete reports whether the role, a model or an adapter that the note
// specifies is not in place.
func (p Plan) incomplete() bool {
	return slices.ContainsFunc(p.Pending, func(p Pending) bool { return !p.Unloads() })
}

// publishError publishes a failure to read the engine, with the state last read.
func (r *Reconciler) publishError(err error) {
	s := *r.snapshot.Load()
	s.InForce, s.Converged = false, false
	s.Error = err.Error()
	r.snapshot.Store(&s)
}

// staleNoteError describes an engine that has received orders of a later release
// note than the one in force in this process.
func staleNoteError(engineNote, note uint64) string {
	return fmt.Sprintf("the engine has received orders of release note %d; this process has note %d and sends no orders until it has caught up", engineNote, note)
}
