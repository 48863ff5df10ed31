// Package directory holds the state that a router reads from outside: the
// configuration in force and the table of backend servers. Readers get immutable
// snapshots. The version of the configuration only increases within one incarnation
// of the process.
package directory

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind determines how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Streaming requests are answered by a series of events. They run at most
	// once, unless their route is resumable.
	Streaming
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"idempotent", "once", "streaming"}[k] }

// Route defines how the requests of a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services of the route. Their weights are relative to the sum.
	Shares []TrafficShare
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// LatencyTarget is the operator's latency target for the answer, or for its
	// first event. GapTarget is the target between two events.
	LatencyTarget, GapTarget time.Duration
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts  int
	Resumable bool
}

// TrafficShare is the relative part of a route's requests that a service receives.
type TrafficShare struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one server runs at once.
	Slots int
	// MemoryTokens is the memory of one server in tokens.
	MemoryTokens int
	// HandleTTL is the time for which a server keeps a prefill result to be fetched.
	HandleTTL time.Duration
	// StageChangeTime is the time that a server needs to change its stage; 0 if it
	// can not change it.
	StageChangeTime time.Duration
	// EventTokens is the number of tokens in one event of an answer.
	EventTokens int
}

// Limits bound what callers may send. 0 selects the default.
type Limits struct {
	HeaderBytes, BodyBytes int
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
}

// Stage is the role of a model server.
type Stage int

// Stages of servers.
const (
	// Plain servers belong to services without a model.
	Plain Stage = iota
	Prefill
	Decode
)

// Server is one registration of a backend server.
type Server struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	Slots      int
	Stage      Stage
	// Draining servers get no new work.
	Draining bool
	// ColdUntil is the end of the warm-up after the start, in which the server is slow.
	ColdUntil time.Time
	// Started is the Unix time in milliseconds at which the server started; 0 when
	// unknown.
	Started int64
	// Version increases with each change of the registration.
	Version Version
	// Restored registrations were read from an older copy with which the registry came
	// back, and were perhaps not written since.
	Restored bool

	// drainHeld is set while the registration is draining only because a later state of
	// it, which the registry has lost, was draining.
	drainHeld bool
}

// Version orders the states of a registry. The registry may come back from an older copy;
// its era is higher then, and revisions are given out again.
type Version struct{ Era, Revision uint64 }

// Before reports whether v is older than o.
func (v Version) Before(o Version) bool {
	return v.Era < o.Era || v.Era == o.Era && v.Revision < o.Revision
}

// Snapshot is the content of a directory at one time. It is immutable.
type Snapshot struct {
	Config  *Config
	Servers map[string]*Server
	// Services lists the servers of each service, sorted by ID, so that all processes
	// have them in the same order.
	Services map[string][]*Server

	routesByHost map[string][]*Route
	// ReadAt is the time at which the registry last confirmed that the snapshot is
	// complete.
	ReadAt time.Time
}

// Directory holds the latest snapshot. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex // serializes writers and guards missing
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[chan struct{}]
	// missing are the servers whose registration expired around an outage of the
	// registry, with the times until which they are kept.
	missing map[string]time.Time
	// gone are the servers that were removed within goneTTL, by ID.
	gone map[string]goneServer
	// held are the servers that get no new work until a time, although their restored
	// registration is ready.
	held map[string]time.Time
}

// goneServer is a server that was removed.
type goneServer struct {
	started int64
	version Version
	at      time.Time
}

const (
	// goneTTL is the time for which removed servers are remembered: longer than the age
	// of a copy with which a registry comes back.
	goneTTL = 60 * time.Second
	// holdTime is the time for which a server gets no new work whose registration was
	// removed before the registry came back with it. A server that lives writes it again
	// within that time, and one that does not has it removed again.
	holdTime = 4 * time.Second
)

// New returns an empty directory.
func New() *Directory {
	d := &Directory{missing: map[string]time.Time{}, gone: map[string]goneServer{}, held: map[string]time.Time{}}
	d.current.Store(&Snapshot{Servers: map[string]*Server{}})
	ch := make(chan struct{})
	d.changed.Store(&ch)
	return d
}

// Current returns the latest snapshot.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Changed returns a channel that is closed by the next change.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

func (d *Directory) publish(s *Snapshot) {
	d.current.Store(s)
	next := make(chan struct{})
	close(*d.changed.Swap(&next))
}

// SetConfig puts a configuration in force. It ignores a version that is not newer
// than the present one and reports false.
func (d *Directory) SetConfig(c *Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.Current()
	if old.Config != nil && c.Version <= old.Config.Version {
		return false
	}
	next := *old
	next.Config = c
	next.routesByHost = indexRoutes(c.Routes)
	d.publish(&next)
	return true
}

// ConfirmRead records that the registry answered and that the snapshot is complete.
// It does not close the channel of Changed.
func (d *Directory) ConfirmRead(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.Current()
	next.ReadAt = at
	d.current.Store(&next)
}

// Put adds or replaces a server. It ignores a registration older than the present
// one and reports false. What is known of a server is kept when the registry comes back
// older: a server that was draining still is, until it starts again, and one that was
// removed gets new work only after holdTime, or when its registration is written again.
func (d *Directory) Put(s *Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.Current().Servers[s.ID]
	if known && s.Version.Before(old.Version) {
		return false
	}
	delete(d.missing, s.ID)
	if !known || s.Version != old.Version {
		delete(d.held, s.ID)
	}
	next := *s
	if known && old.Started == s.Started {
		next.drainHeld = old.drainHeld || old.Draining && old.Version.Era < s.Version.Era
		if old.ColdUntil.Before(s.ColdUntil) {
			next.ColdUntil = old.ColdUntil // the same warm-up, read again
		}
	}
	if left, ok := d.gone[s.ID]; !known && ok && s.Restored && left.started == s.Started && left.version.Era < s.Version.Era {
		d.held[s.ID] = time.Now().Add(holdTime)
	}
	_, held := d.held[s.ID]
	next.Draining = s.Draining || next.drainHeld || held
	d.updateServers(func(m map[string]*Server) { m[s.ID] = &next })
	return true
}

// recordGone remembers a server that is removed, and forgets those that were removed
// long ago.
func (d *Directory) recordGone(s *Server, now time.Time) {
	for id, g := range d.gone {
		if now.Sub(g.at) > goneTTL {
			delete(d.gone, id)
		}
	}
	delete(d.held, s.ID)
	d.gone[s.ID] = goneServer{started: s.Started, version: s.Version, at: now}
}

// Remove removes a server: at once if keep is 0, or by a call of Expire after keep
// unless it registers again. keep is for registrations that may have expired because
// of an outage of the registry.
func (d *Directory) Remove(id string, keep time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.Current().Servers[id]
	if !ok {
		return
	}
	if keep > 0 {
		if _, pending := d.missing[id]; !pending {
			d.missing[id] = time.Now().Add(keep)
		}
		return
	}
	delete(d.missing, id)
	d.recordGone(s, time.Now())
	d.updateServers(func(m map[string]*Server) { delete(m, id) })
}

// Expire removes the missing servers whose time to register again is over, and
// returns their IDs. It lets the servers take new work again that were held long enough.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var expired []string
	for id, until := range d.missing {
		if now.After(until) {
			expired = append(expired, id)
			delete(d.missing, id)
			d.recordGone(d.Current().Servers[id], now)
		}
	}
	for id, until := range d.held {
		if now.After(until) {
			delete(d.held, id)
			free := *d.Current().Servers[id]
			free.Draining = free.drainHeld
			d.updateServers(func(m map[string]*Server) { m[id] = &free })
		}
	}
	if len(expired) > 0 {
		d.updateServers(func(m map[string]*Server) {
			for _, id := range expired {
				delete(m, id)
			}
		})
	}
	return expired
}

// updateServers publishes a snapshot with a changed copy of the table of servers.
func (d *Directory) updateServers(change func(map[string]*Server)) {
	next := *d.Current()
	servers := make(map[string]*Server, len(next.Servers)+1)
	for id, s := range next.Servers {
		servers[id] = s
	}
	change(servers)
	next.Servers = servers
	next.Services = map[string][]*Server{}
	for _, s := range servers {
		next.Services[s.Service] = append(next.Services[s.Service], s)
	}
	for _, list := range next.Services {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	d.publish(&next)
}
