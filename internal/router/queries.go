package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// Snapshot is the state of a router for its operators.
type Snapshot struct {
	// Version is that of the configuration in force; 0 without one.
	Version uint64
	// ReadAgo is the time in milliseconds since the registry was last read.
	ReadAgo int64
	Waiting int
	Entries int
	Servers []ServerSnapshot
}

// ServerSnapshot is what the router knows of one server.
type ServerSnapshot struct {
	ID, Service, Addr, DataCentre string
	Stage                         directory.Stage
	Draining, Suspected           bool
	// Calls are the plain calls of this entry in progress, and OtherCalls those
	// of the others.
	Calls, OtherCalls int64
	// Slots and FreeTokens are what model servers have in use and free.
	Slots, FreeTokens int
	FailureRate       float64
	WorkMillis        int64
}

// Snapshot returns the current state.
func (r *Router) Snapshot() Snapshot {
	known := r.directory.Current()
	out := Snapshot{ReadAgo: time.Since(known.ReadAt).Milliseconds(), Waiting: r.dispatch.Waiting(), Entries: r.entries()}
	if known.Config != nil {
		out.Version = known.Config.Version
	}
	for id, s := range known.Servers {
		b := r.fleet.get(id)
		if b == nil {
			continue
		}
		failures, work := b.health.rates()
		row := ServerSnapshot{
			ID: id, Service: s.Service, Addr: s.Addr, DataCentre: s.DataCentre, Stage: s.Stage, Draining: s.Draining,
			Suspected: !b.usable(time.Now()), Calls: b.calls.Load(), OtherCalls: b.others.Load(),
			FailureRate: failures, WorkMillis: work.Milliseconds(),
		}
		r.dispatch.Update(b, func(_ time.Duration, v *placement.Server) { row.Slots, row.FreeTokens = v.SlotsUsed(), v.PiecesFree() })
		out.Servers = append(out.Servers, row)
	}
	slices.SortFunc(out.Servers, func(a, b ServerSnapshot) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// publishBeliefs publishes what the router believes as gauges.
func (r *Router) publishBeliefs() {
	set := r.count.set
	set.Gauge("config_version", func() any {
		if c := r.directory.Current().Config; c != nil {
			return c.Version
		}
		return 0
	})
	set.Gauge("registry_read_ago_ms", func() any { return time.Since(r.directory.Current().ReadAt).Milliseconds() })
	set.Gauge("entries", func() any { return r.entries() })
	set.Gauge("waiting", func() any { return r.dispatch.Waiting() })
	for name, counts := range map[string]func(ServerSnapshot) int{
		"servers":           func(ServerSnapshot) int { return 1 },
		"servers_draining":  func(s ServerSnapshot) int { return one(s.Draining) },
		"servers_suspected": func(s ServerSnapshot) int { return one(s.Suspected) },
		"model_slots_used":  func(s ServerSnapshot) int { return s.Slots },
		"model_tokens_free": func(s ServerSnapshot) int { return s.FreeTokens },
	} {
		set.Gauge(name, func() any {
			n := 0
			for _, s := range r.Snapshot().Servers {
				n += counts(s)
			}
			return n
		})
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
