package ingress

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"
)

// stage is how far a connection has come with a request.
type stage int

// Stages of a connection.
const (
	// fresh: it is new, or the rest of a header is awaited.
	fresh stage = iota
	// idle: it has been answered, and the next header has not begun.
	idle
	// receiving: the body of its request is awaited.
	receiving
	// finishing: its request has been answered, and the rest of it is read before it closes.
	finishing
	// stages is the number of those above, in which a connection waits for its client.
	stages
	// running: its request is served. Such a connection is not closed in favour of others.
	running
	closed
)

// evictionOrder is the order in which connections are closed in favour of a new one: the oldest
// of a stage that has been in it for that long. Sound clients send a header at once, and read
// their answer within a round trip; those that are idle send their next request again when they
// find the connection closed.
var evictionOrder = []struct {
	stage stage
	age   time.Duration
}{
	{finishing, 100 * time.Millisecond},
	{fresh, time.Second},
	{receiving, time.Second},
	{idle, 0},
	{fresh, 0},
	{receiving, 0},
	{finishing, 0},
}

// freshFraction is the fraction of a port's connections from which those that have sent no header
// are closed before idle ones.
const freshFraction = 0.25

// logInterval is the minimum interval between log lines about a port that is full.
const logInterval = time.Second

// port holds the connections of one listener.
type port struct {
	Options
	guard *Guard
	limit int

	mu       sync.Mutex // guards the fields below
	open     int
	waiting  [stages]list.List // of *Conn, the oldest first
	evicted  int64
	refused  int64
	loggedAt time.Time
	// sweeping is set while expire is due.
	sweeping bool
}

func (g *Guard) newPort(o Options) *port {
	limit := max(int(portFraction*float64(g.connections)), minPortConnections)
	if o.Main {
		limit = max(g.connections-otherPorts*limit, minPortConnections)
	}
	p := &port{Options: o, guard: g, limit: limit}
	g.metrics.Gauge("connections_"+o.Name, func() any { return p.count(func() int64 { return int64(p.open) }) })
	g.metrics.Gauge("connections_limit_"+o.Name, func() any { return p.limit })
	g.metrics.Gauge("connections_evicted_"+o.Name, func() any { return p.count(func() int64 { return p.evicted }) })
	g.metrics.Gauge("connections_refused_"+o.Name, func() any { return p.count(func() int64 { return p.refused }) })
	return p
}

// sweepInterval is the interval at which expired connections are closed.
const sweepInterval = time.Second

// expire closes the connections whose header has not come in time, and those that have been idle
// for too long. It runs at each sweepInterval while a connection waits.
func (p *port) expire() {
	limits, now := p.Limits(), time.Now()
	for s, age := range map[stage]time.Duration{fresh: limits.HeaderTimeout, idle: limits.IdleTimeout} {
		for {
			p.mu.Lock()
			c := p.takeLocked(s, age, now)
			p.mu.Unlock()
			if c == nil {
				break
			}
			_ = c.Close()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	if p.waiting[fresh].Len()+p.waiting[idle].Len() > 0 {
		p.sweepLocked()
	}
}

func (p *port) sweepLocked() {
	if !p.sweeping && p.Limits != nil {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.expire)
	}
}

// otherPorts is the maximum number of ports besides the main one.
const otherPorts = 2

func (p *port) count(value func() int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return value()
}

// listener accepts connections within the limit of a port.
type listener struct {
	net.Listener
	port *port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if isTransient(err) {
			l.port.relieve()
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(nc); c != nil {
			return c, nil
		}
	}
}

// acceptPause is the time until a connection is accepted again after a failure that will pass.
const acceptPause = 10 * time.Millisecond

// isTransient reports whether a later connection can be accepted after an error: the process or
// the host has no descriptor left, or the client has gone.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// relieve closes a connection so that another one can be accepted.
func (p *port) relieve() {
	now := time.Now()
	p.mu.Lock()
	victim := p.victimLocked(now)
	if victim != nil {
		p.evicted++
	}
	p.mu.Unlock()
	if victim != nil {
		victim.evict()
	}
	p.logFull(now)
}

// admit takes a connection in. If the port is full it closes another one first; if all of those
// are served, it closes the new one and returns nil.
func (p *port) admit(nc net.Conn) *Conn {
	now := time.Now()
	c := newConn(nc, p)
	p.mu.Lock()
	victim, full := (*Conn)(nil), p.open >= p.limit
	if full {
		if victim = p.victimLocked(now); victim != nil {
			p.evicted++
		}
	}
	p.mu.Unlock()
	switch {
	case victim != nil:
		victim.evict()
	case full && !p.guard.budget.EvictReader(now): // one that does not read its answer
		p.mu.Lock()
		p.refused++
		p.mu.Unlock()
		_ = nc.Close()
		c = nil
	}
	if full {
		p.logFull(now)
	}
	if c == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.enterLocked(c, fresh, now)
	return c
}

// logFull writes a line at times about connections that come while the port is full.
func (p *port) logFull(now time.Time) {
	p.mu.Lock()
	evicted, refused, due := p.evicted, p.refused, now.Sub(p.loggedAt) >= logInterval
	if due {
		p.loggedAt = now
	}
	p.mu.Unlock()
	if due {
		_ = level.Warn(p.guard.log).Log("msg", "port full", "port", p.Name, "limit", p.limit, "evicted", evicted, "refused", refused)
	}
}

// victimLocked returns the connection to close in favour of a new one, nil if all are served.
func (p *port) victimLocked(now time.Time) *Conn {
	if float64(p.waiting[fresh].Len()) > freshFraction*float64(p.limit) {
		return p.takeLocked(fresh, 0, now)
	}
	for _, o := range evictionOrder {
		if c := p.takeLocked(o.stage, o.age, now); c != nil {
			return c
		}
	}
	return nil
}

// takeLocked removes the oldest connection of a stage that is at least that old, preferably one
// without unsent bytes.
func (p *port) takeLocked(s stage, age time.Duration, now time.Time) *Conn {
	var behind *Conn
	for e := p.waiting[s].Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if now.Sub(c.since) < age {
			break
		}
		if !c.out.Behind() {
			p.enterLocked(c, closed, now)
			return c
		}
		if behind == nil {
			behind = c
		}
	}
	if behind != nil {
		p.enterLocked(behind, closed, now)
	}
	return behind
}

// enter moves a connection to a stage. It reports false if the connection has been closed in
// favour of another one.
func (p *port) enter(c *Conn, s stage) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.enterLocked(c, s, now)
}

func (p *port) enterLocked(c *Conn, s stage, now time.Time) bool {
	if c.stage == closed {
		return false
	}
	if c.element != nil {
		p.waiting[c.stage].Remove(c.element)
		c.element = nil
	}
	c.stage, c.since = s, now
	if s < stages {
		c.element = p.waiting[s].PushBack(c)
		p.sweepLocked()
	}
	return true
}

// establish takes a connection out of the count. It reports false if the connection has been
// closed in favour of another one.
func (p *port) establish(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.enterLocked(c, running, time.Time{}) {
		return false
	}
	c.known = true
	p.open--
	return true
}

// leave removes a connection that is closed.
func (p *port) leave(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.known {
		p.open--
	}
	p.enterLocked(c, closed, time.Time{})
}

// observe implements http.Server.ConnState.
func (p *port) observe(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.begin()
	case http.StateIdle:
		c.awaitHeader()
	}
}
