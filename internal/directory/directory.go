// Package directory holds the state that a router reads from outside: the
// configuration in force and the table of backend servers. Readers get immutable
// snapshots. The version of the configuration only increases within one incarnation
// of the process.
package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirestream/samphirestream/internal/apikey"
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
	// Patience is the time without an event, from the request or the last event on, after
	// which callers abandon a stream; 0 if that is not known.
	Patience time.Duration
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts  int
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Priority is the rank of the requests among those of their service; 0 is the most urgent.
	Priority int
}

// Organisation is a customer whose callers send one of its API keys.
type Organisation struct {
	Name string
	// Priority, if not nil, replaces that of the route.
	Priority *int
	Quota    Quota
}

// Quota limits what an organisation may use, over all entries together.
type Quota struct {
	// Rate is in units a second, and Burst in units; a Rate of 0 is no limit.
	Rate, Burst float64
	// PerToken is set if the unit is the token; otherwise it is the request.
	PerToken bool
	// PlainTokens is the cost of a request without a model, in tokens.
	PlainTokens float64
}

// Cost returns the units that a request uses. tokens is the sum of its prompt and its longest
// answer; 0 for requests without a model.
func (q *Quota) Cost(tokens int) float64 {
	switch {
	case !q.PerToken:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return q.PlainTokens
	}
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
	// HeaderTimeout is the maximum time to send a header, and IdleTimeout that for which a
	// connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Keys holds the API keys of the organisations; nil if the deployment has none, and
	// requests need no key.
	Keys *apikey.Table[*Organisation]
	// Organisations are the owners of the keys, with their quotas.
	Organisations []*Organisation
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

// Other returns the other stage of a model server.
func (s Stage) Other() Stage {
	if s == Prefill {
		return Decode
	}
	return Prefill
}

// Server is one registration of a backend server.
type Server struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	Slots      int
	Stage      Stage
	// Draining servers get no new work. DrainingSince is the time at which this process
	// first knew.
	Draining      bool
	DrainingSince time.Time
	// ColdUntil is the end of the warm-up after the start, in which the server is slow.
	ColdUntil time.Time
	// Started is the Unix time in milliseconds at which the server started; 0 when
	// unknown.
	Started int64
	// Software is the version of the server's software. Events of one stream come from
	// servers of one version.
	Software string
	// Agent is the address of the process beside the server that remembers streams; "" if
	// there can be none.
	Agent string
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

	routesByHost map[string]*routeIndex
	// Former are the roles that servers have lost within RoleTTL, with the time until which one
	// had them.
	Former map[Role]time.Time
	// ServersKnown is the time of which all registrations are known, and ConfigKnown that of
	// which all configurations are.
	ServersKnown, ConfigKnown Coverage
}

// Roles returns the roles that servers have or had since a time. That others had none follows
// only if ServersKnown includes the time.
func (s *Snapshot) Roles(since time.Time) map[Role]bool {
	out := map[Role]bool{}
	for _, server := range s.Servers {
		out[server.Role()] = true
	}
	for r, until := range s.Former {
		if !until.Before(since) {
			out[r] = true
		}
	}
	return out
}

// Role is what a server does, as far as streams depend on it.
type Role struct {
	Service, Software string
	Stage             Stage
}

// Role returns the role of a server.
func (s *Server) Role() Role {
	return Role{Service: s.Service, Software: s.Software, Stage: s.Stage}
}

// RoleTTL is the time for which roles are remembered that no server has any longer.
const RoleTTL = 2 * time.Minute

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
	// nothingBefore is set if no server served before this process started.
	nothingBefore bool
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

// Change is a change of the registration of one server.
type Change struct {
	// Put, if not nil, is the new registration; otherwise that of ID is removed.
	Put *Server
	ID  string
	// Keep is the time for which a removed server stays unless it registers again, for
	// registrations that may have expired because of an outage of the registry.
	Keep time.Duration
}

// Apply applies changes in their order and publishes one snapshot with all of them. It
// reports for each whether it had an effect: a registration older than the present one
// has none.
//
// What is known of a server is kept when the registry comes back older: a server that
// was draining still is, until it starts again, and one that was removed gets new work
// only after holdTime, or when its registration is written again.
func (d *Directory) Apply(changes []Change) []bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.update()
	effects := make([]bool, len(changes))
	for i, c := range changes {
		if c.Put != nil {
			effects[i] = d.put(u, c.Put)
			continue
		}
		effects[i] = d.remove(u, c.ID, c.Keep)
	}
	u.publish()
	return effects
}

// Put applies one registration.
func (d *Directory) Put(s *Server) bool { return d.Apply([]Change{{Put: s}})[0] }

// Remove applies one removal.
func (d *Directory) Remove(id string, keep time.Duration) { d.Apply([]Change{{ID: id, Keep: keep}}) }

func (d *Directory) put(u *update, s *Server) bool {
	old, known := u.get(s.ID)
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
	if next.DrainingSince = time.Now(); known && old.Draining && old.Started == s.Started {
		next.DrainingSince = old.DrainingSince
	}
	u.put(&next)
	return true
}

func (d *Directory) remove(u *update, id string, keep time.Duration) bool {
	s, ok := u.get(id)
	if !ok {
		return false
	}
	if keep > 0 {
		if _, pending := d.missing[id]; !pending {
			d.missing[id] = time.Now().Add(keep)
		}
		return true
	}
	delete(d.missing, id)
	d.recordGone(s, time.Now())
	u.remove(s)
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

// Expire removes the missing servers whose time to register again is over, and
// returns their IDs. It lets the servers take new work again that were held long enough.
func (d *Directory) Expire(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.update()
	var expired []string
	for id, until := range d.missing {
		if !now.After(until) {
			continue
		}
		delete(d.missing, id)
		if s, ok := u.get(id); ok {
			expired = append(expired, id)
			d.recordGone(s, now)
			u.remove(s)
		}
	}
	for id, until := range d.held {
		if !now.After(until) {
			continue
		}
		delete(d.held, id)
		if s, ok := u.get(id); ok {
			free := *s
			free.Draining = free.drainHeld
			u.put(&free)
		}
	}
	u.publish()
	return expired
}

// update is a change of the table of servers that is not published yet. It copies the
// table, and the list of each service that changes, once.
type update struct {
	directory *Directory
	next      Snapshot
	changed   bool
	// copied are the services whose lists are copies.
	copied map[string]bool
	// formerCopied is set once next.Former is a copy.
	formerCopied bool
}

// update begins a change. The caller holds d.mu until it is published.
func (d *Directory) update() *update {
	return &update{directory: d, next: *d.Current(), copied: map[string]bool{}}
}

func (u *update) get(id string) (*Server, bool) {
	s, ok := u.next.Servers[id]
	return s, ok
}

// copyFor makes the table and the list of a service copies that may change, and returns
// the list.
func (u *update) copyFor(service string) []*Server {
	if !u.changed {
		u.changed = true
		u.next.Servers, u.next.Services = maps.Clone(u.next.Servers), maps.Clone(u.next.Services)
		if u.next.Services == nil {
			u.next.Services = map[string][]*Server{}
		}
	}
	if !u.copied[service] {
		u.copied[service] = true
		u.next.Services[service] = slices.Clone(u.next.Services[service])
	}
	return u.next.Services[service]
}

func compareID(s *Server, id string) int { return strings.Compare(s.ID, id) }

func (u *update) put(s *Server) {
	if old, ok := u.get(s.ID); ok {
		u.removeFrom(old)
		if old.Role() != s.Role() {
			u.recordFormer(old.Role(), time.Now())
		}
	}
	list := u.copyFor(s.Service)
	i, _ := slices.BinarySearchFunc(list, s.ID, compareID)
	u.next.Services[s.Service] = slices.Insert(list, i, s)
	u.next.Servers[s.ID] = s
}

// remove removes a server that has left.
func (u *update) remove(s *Server) {
	u.removeFrom(s)
	u.recordFormer(s.Role(), time.Now())
}

// recordFormer records that a server had a role until a time.
func (u *update) recordFormer(r Role, until time.Time) {
	if !u.formerCopied {
		u.formerCopied = true
		former := make(map[Role]time.Time, len(u.next.Former)+1)
		for known, at := range u.next.Former {
			if until.Sub(at) <= RoleTTL {
				former[known] = at
			}
		}
		u.next.Former = former
	}
	if u.next.Former[r].Before(until) {
		u.next.Former[r] = until
	}
}

// removeFrom removes a server from the table and from the list of its service.
func (u *update) removeFrom(s *Server) {
	list := u.copyFor(s.Service)
	if i, ok := slices.BinarySearchFunc(list, s.ID, compareID); ok {
		list = slices.Delete(list, i, i+1)
	}
	if u.next.Services[s.Service] = list; len(list) == 0 {
		delete(u.next.Services, s.Service)
		delete(u.copied, s.Service)
	}
	delete(u.next.Servers, s.ID)
}

// publish puts the change in force, if there is any.
func (u *update) publish() {
	if u.changed {
		u.directory.publish(&u.next)
	}
}
