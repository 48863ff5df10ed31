// Package membership tracks which processes of a data centre are alive. It combines
// the platform's list of VMs, which lags behind, with what peers observe by the
// protocol SWIM (Das, Gupta and Motivala, DSN 2002): random probes, indirect
// probes, suspicion before a member is declared dead, and refutation by a higher
// version. It does no I/O and has no clock of its own.
package membership

import "cmp"

// State is the recorded state of a member.
type State uint8

// States, in order of precedence: among observations of one incarnation and version,
// the higher state wins.
const (
	Alive State = iota
	// Leaving members finish the work that they have accepted and accept no more.
	Leaving
	// Suspect members did not answer a probe, and can still refute that.
	Suspect
	// Dead members did not refute a suspicion within SuspicionTimeout.
	Dead
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[min(s, Dead)]
}

// MarshalText implements encoding.TextMarshaler, for dumps.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is an observation of one process. Only the process itself raises Version.
type Member struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	State State  `cbor:"2,keyasint,omitempty" json:"state"`
	// Incarnation is the incarnation of the process: its start time in milliseconds
	// since 1970, which orders processes with the same name. It is 0 for a member
	// that is only known from the VM list.
	Incarnation uint64 `cbor:"3,keyasint,omitempty" json:"life"`
	Version     uint32 `cbor:"4,keyasint,omitempty" json:"version"`
	// Addr is the IP address and port for peers.
	Addr string `cbor:"5,keyasint,omitempty" json:"addr"`
	// Backend is the name of an agent's backend server; it is empty for entries.
	Backend string `cbor:"6,keyasint,omitempty" json:"backend,omitempty"`
}

// supersedes reports whether m is later than old.
func (m Member) supersedes(old Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, old.Incarnation), cmp.Compare(m.Version, old.Version), cmp.Compare(m.State, old.State)) > 0
}

// isEntry reports whether the member is an entry.
func (m Member) isEntry() bool { return m.Backend == "" }
