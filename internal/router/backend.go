package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// backend is the router's state of one registration of a backend server.
type backend struct {
	server atomic.Pointer[directory.Server]
	// view is guarded by the lock of the dispatcher.
	view placement.Server
	// capacity is nil until the engine of the service is known.
	capacity atomic.Pointer[capacity]
	// localCalls are the plain calls in progress of this process, and remoteCalls
	// those of its peers.
	localCalls, remoteCalls atomic.Int64
	health                  health
	broken                  brokenCalls
	// unreachableRemotely is set while another entry reports the server unreachable.
	unreachableRemotely atomic.Bool
	// stageChangeUntil is the end of a change of stage, in Unix nanoseconds; 0 if
	// none.
	stageChangeUntil atomic.Int64
	// replacedUntil is the time until which the server is excluded because another
	// server answered this entry at its address, in Unix nanoseconds; 0 if none did.
	// replacedRemotely is that by the observations of the other entries.
	replacedUntil, replacedRemotely atomic.Int64
	// noOrdersUntil is the time until which the server gets no order, in Unix nanoseconds.
	noOrdersUntil atomic.Int64
	// orderedLocally is set while a change of stage that this process ordered is in
	// progress.
	orderedLocally atomic.Bool
	// advice is what this boot of the server has said of itself.
	advice *advisory.State
	// speeds are the observations of the speed of this boot of the server, and sharedSpeeds
	// the weight of those of this process that were last shared at once.
	speeds       *predict.ServerSpeeds
	sharedSpeeds atomic.Int64
	pace         pace
}

// switchTimeLeft returns the time until the server has changed its stage; 0 when no
// change is in progress.
func (b *backend) switchTimeLeft(now time.Time) time.Duration {
	return max(0, time.Duration(b.stageChangeUntil.Load()-now.UnixNano()))
}

// replacedTimeout is the time for which a server gets no work after another one
// answered at its address. A new registration ends the exclusion earlier; the
// timeout covers a registration that never arrives.
const replacedTimeout = 5 * time.Second

// setReplaced records that another server answered at the server's address. It
// reports whether that was not recorded yet.
func (b *backend) setReplaced(now time.Time) bool {
	return b.replacedUntil.Swap(now.Add(replacedTimeout).UnixNano()) <= now.UnixNano()
}

// usable reports whether the server may get new work: it is neither suspected nor
// replaced.
func (b *backend) usable(now time.Time) bool {
	return b.health.usable() && now.UnixNano() >= max(b.replacedUntil.Load(), b.replacedRemotely.Load())
}

// leaving reports whether the server leaves, by its registration or by its own word, and
// gets no new work.
func (b *backend) leaving() bool {
	return b.server.Load().Draining || b.advice.Advice().Leaving()
}

// leavingFor returns the time for which it has been known that the server leaves; 0 if it
// does not.
func (b *backend) leavingFor(now time.Time) time.Duration {
	since := b.advice.Advice().LeavingSince
	if s := b.server.Load(); s.Draining && (since.IsZero() || s.DrainingSince.Before(since)) {
		since = s.DrainingSince
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// acceptsWork reports whether a model server takes new work. Pauses for broken
// calls (see brokenCalls) do not count here.
func (b *backend) acceptsWork(now time.Time) bool {
	return b.capacity.Load() != nil && !b.leaving() && b.usable(now) && b.switchTimeLeft(now) == 0
}

// capacity is the number of slots of a model server and its memory in tokens.
type capacity struct{ slots, tokens int }

// Name implements dispatch.Server.
func (b *backend) Name() string { return b.server.Load().ID }

// View implements dispatch.Server.
func (b *backend) View() *placement.Server { return &b.view }

// Assumptions on engines before the first observation, which replaces them.
const (
	// assumedGapShare is the time between two events as a fraction of the route's target,
	// which operators set well above the usual time.
	assumedGapShare = 1.0 / 8
	// assumedStep is the time between two tokens where no route has a target.
	assumedStep = 20 * time.Millisecond
	// assumedPrefillRate is in tokens a millisecond.
	assumedPrefillRate = 20
	// assumedStart is the time from the end of a prefill to the first event.
	assumedStart = 50 * time.Millisecond
)

// defaultPrior holds for a service that is not configured yet.
var defaultPrior = predict.Prior{StepMillis: predict.Milliseconds(assumedStep), PrefillRate: assumedPrefillRate, StartMillis: predict.Milliseconds(assumedStart)}

// prior returns the assumed speeds of the engines of a service. Its shortest target
// between events counts.
func prior(c *directory.Config, service *directory.Service) predict.Prior {
	out := defaultPrior
	if gap := shortest(c, service, func(r *directory.Route) time.Duration { return r.GapTarget }); gap > 0 {
		out.StepMillis = assumedGapShare * predict.Milliseconds(gap) / float64(service.Engine.EventTokens)
	}
	return out
}

// shortest returns the shortest target of the routes that a service serves; 0 if none has
// one.
func shortest(c *directory.Config, service *directory.Service, target func(*directory.Route) time.Duration) time.Duration {
	out := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		if t := target(r); r.Serves(service.Name) && t > 0 && (out == 0 || t < out) {
			out = t
		}
	}
	return out
}

// remoteCost is the cost of a transfer to another data centre, expressed as the time
// that a request should rather wait for a server in its own.
const remoteCost = 10 * time.Millisecond

// fleet is the table of backends. It implements dispatch.Fleet.
type fleet struct {
	directory  *directory.Directory
	dataCentre string
	peers      Peers // nil for a single entry
	lifetimes  lifetimes

	mu       sync.RWMutex // guards the fields below, but not the content of speeds
	backends map[string]*backend
	// advice holds what servers have said of themselves, by boot.
	advice *advisory.Table
	// speeds are those of each service. The lock of the dispatcher guards their content.
	speeds map[string]*predict.Speeds
	// servers are the servers of each service, whose speeds are compared.
	servers map[string]*predict.Servers
	lastID  int32
	synced  *directory.Snapshot // of the last sync
	// movedAt are the times since which routes have the services that they have, by name; routes
	// are missing that have had no others since the start.
	movedAt map[string]time.Time
	// keepersBy are the keepers of each service that was asked for since the last sync.
	keepersBy map[string][]origin.Keeper
}

func newFleet(d *directory.Directory, dataCentre string, peers Peers) *fleet {
	return &fleet{directory: d, dataCentre: dataCentre, peers: peers, backends: map[string]*backend{}, advice: advisory.NewTable(), movedAt: map[string]time.Time{}, speeds: map[string]*predict.Speeds{}, servers: map[string]*predict.Servers{}}
}

// memoryShare is the fraction of an engine's memory that is planned with. The rest
// covers memory blocks that requests fill only partly.
const memoryShare = 0.98

// get returns the backend of a server, nil when it is unknown.
func (f *fleet) get(id string) *backend {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.backends[id]
}

// sync updates the table from the directory. A server that restarted or changed its
// stage gets a new backend.
func (f *fleet) sync() {
	snap := f.directory.Current()
	f.mu.RLock()
	same := f.synced == snap
	f.mu.RUnlock()
	if same {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if snap = f.directory.Current(); f.synced == snap { // it may have changed before the lock was had
		return
	}
	configured := f.synced != nil && f.synced.Config == snap.Config
	if !configured && f.synced != nil {
		f.recordMovesLocked(f.synced.Config, snap.Config, time.Now())
	}
	f.synced, f.keepersBy = snap, map[string][]origin.Keeper{}
	if !configured {
		f.setPriors(snap.Config)
	}
	for id, s := range snap.Servers {
		b, ok := f.backends[id]
		if ok && configured && b.server.Load() == s {
			continue
		}
		if !ok || b.server.Load().Started != s.Started || b.server.Load().Stage != s.Stage {
			former := b
			b = f.newBackend(s, former)
			f.backends[id] = b
		}
		b.server.Store(s)
		f.setCapacity(snap, b, s)
	}
	for id, b := range f.backends {
		if _, ok := snap.Servers[id]; !ok {
			f.serversLocked(b.server.Load().Service).Remove(b.speeds)
			delete(f.backends, id)
		}
	}
}

// newBackend returns the backend of a server without observations other than those of the
// speed of its present boot. former is the backend that it replaces; nil if there is none.
func (f *fleet) newBackend(s *directory.Server, former *backend) *backend {
	b := &backend{advice: f.advice.State(bootOf(s))}
	if former != nil && bootOf(former.server.Load()) == bootOf(s) && former.server.Load().Service == s.Service {
		b.speeds = former.speeds
		b.sharedSpeeds.Store(former.sharedSpeeds.Load())
	} else {
		if former != nil {
			f.serversLocked(former.server.Load().Service).Remove(former.speeds)
		}
		b.speeds = f.serversLocked(s.Service).Add(s.DataCentre)
	}
	b.view.SetSpeeds(f.speedsLocked(s.Service), b.speeds)
	f.lastID++
	b.view.ID = f.lastID
	if s.DataCentre != f.dataCentre {
		b.view.Distance = remoteCost
	}
	return b
}

// bootOf identifies the present life of a server.
func bootOf(s *directory.Server) advisory.Boot {
	return advisory.Boot{ID: s.ID, Started: s.Started}
}

// speedsOf returns the speeds of a service.
func (f *fleet) speedsOf(service string) *predict.Speeds {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.speedsLocked(service)
}

func (f *fleet) speedsLocked(service string) *predict.Speeds {
	s, ok := f.speeds[service]
	if !ok {
		s = predict.NewSpeeds(defaultPrior)
		f.speeds[service] = s
	}
	return s
}

func (f *fleet) serversLocked(service string) *predict.Servers {
	s, ok := f.servers[service]
	if !ok {
		s = predict.NewServers()
		f.servers[service] = s
	}
	return s
}

// setPriors sets the assumed speeds of all services with engines.
func (f *fleet) setPriors(c *directory.Config) {
	if c == nil {
		return
	}
	for name, svc := range c.Services {
		if svc.Engine != nil {
			f.speedsLocked(name).SetPrior(prior(c, svc))
		}
	}
}

// setCapacity sets the capacity of a model server from the configuration.
func (f *fleet) setCapacity(snap *directory.Snapshot, b *backend, s *directory.Server) {
	if snap.Config == nil {
		return
	}
	if svc := snap.Config.Services[s.Service]; svc != nil && svc.Engine != nil {
		b.capacity.Store(&capacity{slots: svc.Engine.Slots, tokens: int(memoryShare * float64(svc.Engine.MemoryTokens))})
	}
}

// PrefillServers implements dispatch.Fleet. The router uses the service's name as the
// model's.
func (f *fleet) PrefillServers(service string, out []*backend) []*backend {
	return f.stage(service, directory.Prefill, out)
}

// DecodeServers implements dispatch.Fleet.
func (f *fleet) DecodeServers(service string, out []*backend) []*backend {
	return f.stage(service, directory.Decode, out)
}

// stage appends the servers of one stage to out. Those that take no work are marked
// unavailable. Servers that are paused for broken calls are too, unless then none would
// take work.
func (f *fleet) stage(service string, stage directory.Stage, out []*backend) []*backend {
	f.sync()
	now := time.Now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	first, up := len(out), 0
	for _, s := range f.synced.Services[service] {
		b := f.backends[s.ID]
		if b == nil || s.Stage != stage {
			continue
		}
		if limits := b.capacity.Load(); limits != nil {
			b.view.SetCounted(limits.slots, limits.tokens)
		}
		b.view.Unavailable = !f.takesWork(b, now) || b.broken.paused(now)
		if !b.view.Unavailable {
			up++
		}
		out = append(out, b)
	}
	if up == 0 {
		for _, b := range out[first:] {
			b.view.Unavailable = !f.takesWork(b, now)
		}
	}
	return out
}

// takesWork reports whether a model server takes a request of this entry now.
func (f *fleet) takesWork(b *backend, now time.Time) bool {
	return b.acceptsWork(now) && f.admits(b, now)
}

// plain returns the usable servers of a plain service that take a request now and are not
// tried; when none is usable, all that take one and are not tried.
func (f *fleet) plain(service string, tried map[string]bool) []*backend {
	f.sync()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var usable, unusable []*backend
	now := time.Now()
	for _, s := range f.synced.Services[service] {
		b := f.backends[s.ID]
		if b == nil || b.leaving() || tried[s.ID] || !f.admits(b, now) {
			continue
		}
		if b.usable(now) {
			usable = append(usable, b)
			continue
		}
		unusable = append(unusable, b)
	}
	if len(usable) == 0 {
		return unusable
	}
	return usable
}
