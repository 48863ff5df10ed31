package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// backend is what the router knows of one life of a backend server.
type backend struct {
	server atomic.Pointer[directory.Server]
	// view is guarded by the lock of the dispatcher.
	view placement.Server
	// capacity is nil until the engine of the service is known.
	capacity atomic.Pointer[capacity]
	// calls are the plain calls in progress of this process, and others those of
	// its peers.
	calls, others atomic.Int64
	health        health
	broken        brokenCalls
	// toldUnreachable is set while another entry does not reach the server.
	toldUnreachable atomic.Bool
	// awayUntil is the end of a change of stage, in Unix nanoseconds; 0 without.
	awayUntil atomic.Int64
	// replacedUntil is the end of the time for which the server counts as replaced
	// by another life or another server, in Unix nanoseconds; 0 without.
	replacedUntil atomic.Int64
	// orderedHere is set where this process gave the order.
	orderedHere atomic.Bool
}

// away returns the time for which the server still changes its stage.
func (b *backend) away(now time.Time) time.Duration {
	return max(0, time.Duration(b.awayUntil.Load()-now.UnixNano()))
}

// replacedFor is the time for which a server that answers as another one gets no
// work. Its new registration ends it; the time is for one that does not come.
const replacedFor = 5 * time.Second

// setReplaced notes that the server answered as another one. It reports whether
// that is news.
func (b *backend) setReplaced(now time.Time) bool {
	return b.replacedUntil.Swap(now.Add(replacedFor).UnixNano()) <= now.UnixNano()
}

// usable reports whether the server takes new work, as far as its answers tell.
func (b *backend) usable(now time.Time) bool {
	return b.health.usable() && now.UnixNano() >= b.replacedUntil.Load()
}

// takesWork reports whether a model server takes new work, but for the calls that
// it may break.
func (b *backend) takesWork(now time.Time) bool {
	return b.capacity.Load() != nil && !b.server.Load().Draining && b.usable(now) && b.away(now) == 0
}

// capacity is what a model server holds at once.
type capacity struct{ slots, tokens int }

// Name implements dispatch.Server.
func (b *backend) Name() string { return b.server.Load().ID }

// View implements dispatch.Server.
func (b *backend) View() *placement.Server { return &b.view }

// Speeds of a server that has answered nothing yet.
const (
	// assumedPrefillRate is in tokens a millisecond.
	assumedPrefillRate = 50
	assumedStep        = 650 * time.Microsecond
)

// remoteCost stands for the price of a transfer to another data centre, as the
// time that a request would rather wait for a nearer server.
const remoteCost = 10 * time.Millisecond

// fleet is the table of backends. It implements dispatch.Fleet.
type fleet struct {
	directory  *directory.Directory
	dataCentre string

	mu       sync.RWMutex // guards backends
	backends map[string]*backend
	ids      int32
	lastSeen *directory.Snapshot
}

func newFleet(d *directory.Directory, dataCentre string) *fleet {
	return &fleet{directory: d, dataCentre: dataCentre, backends: map[string]*backend{}}
}

// memoryShare leaves a part of an engine's memory for the blocks that each
// request fills only in part.
const memoryShare = 0.98

// get returns the backend of a server, nil when it is unknown.
func (f *fleet) get(id string) *backend {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.backends[id]
}

// sync follows the directory. A server that started again counts as a new one.
func (f *fleet) sync() {
	snap := f.directory.Current()
	f.mu.RLock()
	same := f.lastSeen == snap
	f.mu.RUnlock()
	if same {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSeen = snap
	for id, s := range snap.Servers {
		b, ok := f.backends[id]
		if !ok || b.server.Load().Started != s.Started || b.server.Load().Stage != s.Stage {
			b = f.newBackend(s)
			f.backends[id] = b
		}
		b.server.Store(s)
		f.describe(snap, b, s)
	}
	for id := range f.backends {
		if _, ok := snap.Servers[id]; !ok {
			delete(f.backends, id)
		}
	}
}

// newBackend returns the backend of a server that is not known yet.
func (f *fleet) newBackend(s *directory.Server) *backend {
	b := &backend{}
	b.view.ObservePrefill(assumedPrefillRate, time.Millisecond)
	b.view.ObserveStep(0, assumedStep, 0)
	f.ids++
	b.view.ID = f.ids
	if s.DataCentre != f.dataCentre {
		b.view.Distance = remoteCost
	}
	return b
}

// describe sets the capacity of a model server.
func (f *fleet) describe(snap *directory.Snapshot, b *backend, s *directory.Server) {
	if snap.Config == nil {
		return
	}
	if svc := snap.Config.Services[s.Service]; svc != nil && svc.Engine != nil {
		b.capacity.Store(&capacity{slots: svc.Engine.Slots, tokens: int(memoryShare * float64(svc.Engine.MemoryTokens))})
	}
}

// Prefills implements dispatch.Fleet; models are named by their service.
func (f *fleet) Prefills(service string, out []*backend) []*backend {
	return f.stage(service, directory.Prefill, out)
}

// Decodes implements dispatch.Fleet.
func (f *fleet) Decodes(service string, out []*backend) []*backend {
	return f.stage(service, directory.Decode, out)
}

// stage lists the servers of one stage. When all that could take work break
// calls, they are used all the same.
func (f *fleet) stage(service string, stage directory.Stage, out []*backend) []*backend {
	f.sync()
	now := time.Now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	first, up := len(out), 0
	for _, s := range f.lastSeen.Services[service] {
		b := f.backends[s.ID]
		if b == nil || s.Stage != stage {
			continue
		}
		if limits := b.capacity.Load(); limits != nil {
			b.view.Count(limits.slots, limits.tokens)
		}
		b.view.Down = !b.takesWork(now) || b.broken.paused(now)
		if !b.view.Down {
			up++
		}
		out = append(out, b)
	}
	if up == 0 {
		for _, b := range out[first:] {
			b.view.Down = !b.takesWork(now)
		}
	}
	return out
}

// plain returns the servers of a plain service that take new work, those that
// are believed healthy first; all that are not draining when none is.
func (f *fleet) plain(service string, tried map[string]bool) []*backend {
	f.sync()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var healthy, rest []*backend
	now := time.Now()
	for _, s := range f.lastSeen.Services[service] {
		b := f.backends[s.ID]
		if b == nil || s.Draining || tried[s.ID] {
			continue
		}
		if b.usable(now) {
			healthy = append(healthy, b)
			continue
		}
		rest = append(rest, b)
	}
	if len(healthy) == 0 {
		return rest
	}
	return healthy
}
