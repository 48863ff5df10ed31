// Package directory holds what a router knows of the outside: the configuration
// in force and the table of backend servers. Readers take immutable snapshots;
// versions of the configuration only rise within one life of the process.
package directory

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// Once requests run at most once.
	Once
	// Streaming requests are answered by a series of events. They run at most
	// once, unless their route says that they can be resumed.
	Streaming
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"idempotent", "once", "streaming"}[k] }

// Route tells how the requests of a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services of the route; weights need not add up to anything.
	Shares []Share
	// Timeout is the longest time that a request is kept.
	Timeout time.Duration
	// Target is the time to the answer, or to its first event, that the operator
	// aims at. Gap is the aim between two events.
	Target, Gap time.Duration
	// Attempts is the number of servers that one request may be sent to.
	Attempts  int
	Resumable bool
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of equal backend servers.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the memory of one server.
	MemoryTokens int
	// HandleLife is the time for which a prefill result waits to be fetched.
	HandleLife time.Duration
	// Switch is the time that a server needs to change its stage; 0 where it can
	// not.
	Switch time.Duration
	// EventTokens is the number of tokens in one event of an answer.
	EventTokens int
}

// Limits bound what callers may send.
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

// Stage is the part that a model server plays.
type Stage int

// Stages of servers.
const (
	// Plain servers belong to services without a model.
	Plain Stage = iota
	Prefill
	Decode
)

// Server is one life of a backend server, as it registered itself.
type Server struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	Slots      int
	Stage      Stage
	// Draining servers get no new work.
	Draining bool
	// ColdUntil is the end of the time after its start in which the server is slow.
	ColdUntil time.Time
	// Started is the Unix time of its start in milliseconds; 0 when unknown.
	Started int64
	// Revision rises with each change of the registration.
	Revision uint64
}

// Snapshot is what is known at one time. It is immutable.
type Snapshot struct {
	Config  *Config
	Servers map[string]*Server
	// Services lists the servers of each service by ID, so that all processes have
	// them in the same order.
	Services map[string][]*Server

	hosts map[string][]*Route
	// ReadAt is the time of the last confirmed reading.
	ReadAt time.Time
}

// Directory keeps the latest snapshot. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex // guards writers
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[chan struct{}]
	// missing are the servers whose registration lapsed around an outage of the
	// registry, with the time until which they are kept.
	missing map[string]time.Time
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{missing: map[string]time.Time{}}
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

// SetConfig puts a configuration in force. It reports false for a version that
// is not newer than the present one.
func (d *Directory) SetConfig(c *Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.Current()
	if old.Config != nil && c.Version <= old.Config.Version {
		return false
	}
	next := *old
	next.Config = c
	next.hosts = indexRoutes(c.Routes)
	d.publish(&next)
	return true
}

// Confirm notes that the registry answered and that the snapshot is complete.
func (d *Directory) Confirm(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.Current()
	next.ReadAt = at
	d.current.Store(&next)
}

// Put adds or replaces a server. Older registrations are ignored.
func (d *Directory) Put(s *Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.missing, s.ID)
	if old, ok := d.Current().Servers[s.ID]; ok && old.Revision > s.Revision {
		return false
	}
	d.replace(func(m map[string]*Server) { m[s.ID] = s })
	return true
}

// Remove drops a server, at once or, when its registration may have lapsed
// during an outage of the registry, after keep.
func (d *Directory) Remove(id string, keep time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.Current().Servers[id]; !ok {
		return
	}
	if keep > 0 {
		if _, waiting := d.missing[id]; !waiting {
			d.missing[id] = time.Now().Add(keep)
		}
		return
	}
	delete(d.missing, id)
	d.replace(func(m map[string]*Server) { delete(m, id) })
}

// Expire drops the servers that are still missing after their time and returns
// their IDs.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []string
	for id, until := range d.missing {
		if now.After(until) {
			gone = append(gone, id)
			delete(d.missing, id)
		}
	}
	if len(gone) > 0 {
		d.replace(func(m map[string]*Server) {
			for _, id := range gone {
				delete(m, id)
			}
		})
	}
	return gone
}

// replace publishes a snapshot with a changed table of servers.
func (d *Directory) replace(change func(map[string]*Server)) {
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
