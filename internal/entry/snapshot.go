package entry

import (
	"cmp"
	"slices"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Snapshot is the state of an entry at one moment, for queries and dumps.
type Snapshot struct {
	Node       protocol.NodeRef `json:"node"`
	State      string           `json:"state"`
	Note       uint64           `json:"note"`
	NoteDigest string           `json:"note_digest"`
	Active     int64            `json:"active_requests"`
	Queued     int              `json:"queued_requests"`
	Agents     []AgentSnapshot  `json:"agents"`
}

// AgentSnapshot is the recorded state of one agent.
type AgentSnapshot struct {
	Server      string         `json:"server"`
	DataCentre  string         `json:"data_centre"`
	Address     string         `json:"address"`
	Usable      bool           `json:"usable"`
	Incarnation string         `json:"incarnation,omitempty"`
	InFlight    int64          `json:"in_flight"`
	Load        *protocol.Load `json:"load"`
}

// UsableServers returns the number of backend servers that accept new work,
// according to the recorded state.
func (e *Entry) UsableServers() int {
	n := 0
	for _, c := range *e.fleet.table.Load() {
		if c.usable() {
			n++
		}
	}
	return n
}

// Snapshot returns the current state.
func (e *Entry) Snapshot() Snapshot {
	state := e.store.Current()
	s := Snapshot{
		Node: e.cfg.Self, State: e.lifecycle.State(), Note: state.Number, NoteDigest: state.Digest,
		Active: e.active.n.Load(), Queued: e.sched.QueueLength(),
		Agents: []AgentSnapshot{},
	}
	for name, c := range *e.fleet.table.Load() {
		a := AgentSnapshot{
			Server: name, DataCentre: c.server.DataCentre, Address: c.server.Agent,
			Usable: c.usable(), InFlight: c.inFlight.Load(), Load: c.load.Load(),
		}
		if id := c.identity.Load(); id != nil {
			a.Incarnation = id.agent.Incarnation
		}
		s.Agents = append(s.Agents, a)
	}
	slices.SortFunc(s.Agents, func(x, y AgentSnapshot) int { return cmp.Compare(x.Server, y.Server) })
	return s
}
