package entry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestream/samphirestream/internal/release"
)

// fleet is the table of agent connections by server name. Readers load a
// snapshot without locks.
type fleet struct {
	entry *Entry
	table atomic.Pointer[map[string]*agentConn]
	wg    sync.WaitGroup
}

func (f *fleet) init(e *Entry) {
	f.entry = e
	f.table.Store(&map[string]*agentConn{})
}

// sync updates the table to a fleet state. Connections to servers that were withdrawn
// or changed stay open until their requests have ended.
func (f *fleet) sync(ctx context.Context, state *release.FleetState) {
	old := *f.table.Load()
	next := make(map[string]*agentConn, len(old))
	for _, s := range f.entry.subset(state.Servers()) {
		if c, ok := old[s.Name]; ok && c.server.Agent == s.Agent {
			next[s.Name] = c
			continue
		}
		c := newAgentConn(f.entry, s)
		next[s.Name] = c
		f.wg.Go(func() { c.run(ctx) })
	}
	f.table.Store(&next)
	for name, c := range maps.All(old) {
		if next[name] != c {
			c.removed.Store(true)
		}
	}
}

// awaitFirstHeartbeats waits until the first heartbeat to each agent has been
// answered or has failed, or ctx ends.
func (f *fleet) awaitFirstHeartbeats(ctx context.Context) {
	for _, c := range *f.table.Load() {
		select {
		case <-ctx.Done():
		case <-c.firstHeartbeatDone:
		}
	}
}

func (f *fleet) wait() { f.wg.Wait() }

// get returns the connection to a server.
func (f *fleet) get(name string) (*agentConn, bool) {
	c, ok := (*f.table.Load())[name]
	return c, ok
}

// usable returns the connections to those servers that accept new work and are
// not excluded.
func (f *fleet) usable(servers []release.BackendServer, exclude map[string]bool) []*agentConn {
	table := *f.table.Load()
	out := make([]*agentConn, 0, len(servers))
	for i := range servers {
		c, ok := table[servers[i].Name]
		if ok && c.usable() && !exclude[servers[i].Name] {
			out = append(out, c)
		}
	}
	return out
}

// distance ranks a server by its location: 0 in the entry's data centre, 1 in
// its region, 2 beyond.
func (e *Entry) distance(s release.BackendServer) int {
	switch {
	case s.DataCentre == e.cfg.DataCentre:
		return 0
	case s.Region == e.cfg.Region:
		return 1
	default:
		return 2
	}
}

// Assumed one-way network delays to a server.
const (
	sameDataCentreDelay = 250 * time.Microsecond
	sameRegionDelay     = time.Millisecond
	otherRegionDelay    = 30 * time.Millisecond
)

// oneWayDelay returns the assumed one-way network delay to a server.
func (e *Entry) oneWayDelay(s release.BackendServer) time.Duration {
	switch e.distance(s) {
	case 0:
		return sameDataCentreDelay
	case 1:
		return sameRegionDelay
	default:
		return otherRegionDelay
	}
}
