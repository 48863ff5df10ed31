// Package orders reconciles a model engine with the release note in force. A
// pure planner compares the desired state with the state that the engine reports
// and chooses the next order; a reconciler sends the order, reads the state back
// and repeats. A gate refuses new attempts that need a model or an adapter which
// is about to be unloaded, or a role which is about to change.
package orders

import (
	"fmt"
	"slices"

	"github.com/samphirestream/samphirestream/internal/release"
)

// Desired is the state that a release note specifies for one backend server.
type Desired struct {
	// Note is the number of the release note.
	Note uint64
	// Listed is false when the note does not name the server.
	Listed bool
	Role   string
	Models []release.Model
	// Adapters are the adapters whose base model is in Models.
	Adapters []release.Adapter
}

// DesiredOf returns the state that a fleet state specifies for a backend server.
func DesiredOf(fleet *release.FleetState, server string) Desired {
	d := Desired{Note: fleet.Number}
	s, ok := fleet.Server(server)
	if !ok {
		return d
	}
	d.Listed, d.Role = true, string(s.Role)
	for _, key := range s.Models {
		if m, ok := fleet.Model(key); ok {
			d.Models = append(d.Models, m)
		}
	}
	for _, a := range fleet.Adapters() {
		if slices.Contains(s.Models, a.Model) {
			d.Adapters = append(d.Adapters, a)
		}
	}
	return d
}

// AdapterKey returns NAME@VERSION, the identifier of an adapter at engines.
func AdapterKey(a release.Adapter) string { return a.Name + "@" + a.Version }

func (d Desired) hasModel(key string) bool {
	return slices.ContainsFunc(d.Models, func(m release.Model) bool { return m.Key() == key })
}

func (d Desired) hasAdapter(key string) bool {
	return slices.ContainsFunc(d.Adapters, func(a release.Adapter) bool { return AdapterKey(a) == key })
}

// outOfServiceReason returns why the engine takes no attempts and gets no orders, or
// "" if it does.
func (d Desired) outOfServiceReason() string {
	switch {
	case !d.Listed:
		return fmt.Sprintf("release note %d does not list this backend server", d.Note)
	case d.Role != string(release.RolePrefill) && d.Role != string(release.RoleDecode):
		return fmt.Sprintf("release note %d gives this engine the role %s; write prefill or decode", d.Note, d.Role)
	default:
		return ""
	}
}

// satisfiable reports whether an engine can reach this state. A note that does
// not list the server specifies nothing, which every engine satisfies.
func (d Desired) satisfiable() bool { return !d.Listed || d.outOfServiceReason() == "" }
