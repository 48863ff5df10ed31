package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/orders"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Snapshot is the state of an agent at one moment, for queries and dumps.
type Snapshot struct {
	Node       protocol.NodeRef  `json:"node"`
	Backend    string            `json:"backend"`
	State      string            `json:"state"`
	Note       uint64            `json:"note"`
	NoteDigest string            `json:"note_digest"`
	Load       protocol.Load     `json:"load"`
	Attempts   []AttemptSnapshot `json:"attempts"`
	Entries    []string          `json:"entries"`
	// RememberedCalls is the number of non-idempotent calls whose records are
	// kept.
	RememberedCalls int `json:"remembered_calls"`
	// Orders is the state of the engine's reconciler.
	Orders *orders.Snapshot `json:"orders,omitempty"`

	// predictor computes the queued tokens at the time of a query.
	predictor predictor
}

// AttemptSnapshot is the state of one attempt.
type AttemptSnapshot struct {
	ID       string    `json:"id"`
	Owner    string    `json:"owner"`
	Phase    string    `json:"phase"`
	Pieces   int       `json:"pieces"`
	Deadline time.Time `json:"deadline"`
}

// Snapshot returns the last published state. It does not acquire the agent's
// lock.
func (a *Agent) Snapshot() Snapshot {
	s := *a.snapshot.Load()
	state := a.store.Current()
	s.State, s.Note, s.NoteDigest = a.lifecycle.State(), state.Number, state.Digest
	s.Load = a.load()
	s.RememberedCalls = a.calls.size()
	s.Orders = a.ordersSnapshot()
	return s
}

// load returns the current load without acquiring the agent's lock.
func (a *Agent) load() protocol.Load {
	s := a.snapshot.Load()
	l := s.Load
	l.QueuedTokens = s.predictor.queuedTokens(a.uptime())
	l.Draining = !a.lifecycle.Accepting() || a.leaving()
	l.ClosedFor, l.Software = a.closedFor(), a.advice.Load().Advice().Software
	l.Note = a.store.Current().Number
	return l
}

func (s *Snapshot) idle() bool { return len(s.Attempts) == 0 && s.Load.SlotsUsed == 0 }

// publish updates the snapshot that queries read.
func (a *Agent) publish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publishLocked()
}

func (a *Agent) publishLocked() {
	s := &Snapshot{
		Node:    a.cfg.Self,
		Backend: a.cfg.Backend,
		Load: protocol.Load{
			SlotsUsed: a.capacity.slots.used + a.capacity.reserved.slots, SlotsTotal: a.capacity.slots.total,
			PiecesUsed: a.capacity.pieces.used + a.capacity.reserved.pieces, PiecesTotal: a.capacity.pieces.total,
		},
		predictor: a.predictor,
		Attempts:  make([]AttemptSnapshot, 0, len(a.attempts)),
		Entries:   make([]string, 0, len(a.leases)),
	}
	for _, t := range a.attempts {
		s.Attempts = append(s.Attempts, AttemptSnapshot{
			ID: t.id, Owner: t.owner.Node, Phase: t.phase, Pieces: t.pieces, Deadline: t.deadline,
		})
	}
	for owner := range a.leases {
		s.Entries = append(s.Entries, owner.Node)
	}
	slices.SortFunc(s.Attempts, func(x, y AttemptSnapshot) int { return cmp.Compare(x.ID, y.ID) })
	slices.Sort(s.Entries)
	a.snapshot.Store(s)
}
