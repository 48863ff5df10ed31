package router

import (
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/returning"
)

// onTimeShare is the share of requests for which latency targets are agreed: 95 in 100.
const onTimeShare = 0.95

// backlogs holds what this entry knows of the load of plain services. It is safe for concurrent
// use.
type backlogs struct {
	mu       sync.Mutex // guards services and their content
	services map[string]*backlog
}

type backlog struct {
	// longest is the time within which onTimeShare of the calls end that wait for a slot, as a
	// multiple of the expected time.
	longest   predict.Quantile
	returning returning.Callers
}

// of returns the backlog of a service. The caller holds the lock.
func (b *backlogs) of(service string) *backlog {
	if b.services == nil {
		b.services = map[string]*backlog{}
	}
	s, ok := b.services[service]
	if !ok {
		s = &backlog{}
		b.services[service] = s
	}
	return s
}

// observe records the time of a call as a multiple of its expected time.
func (b *backlogs) observe(service string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).longest.Add(ratio, onTimeShare)
}

// longest returns the time within which onTimeShare of the calls to a service end that wait for a
// slot, as a multiple of the expected time.
func (b *backlogs) longest(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).longest.Value()
}

// keep drops the services that a configuration does not have.
func (b *backlogs) keep(c *directory.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.services {
		if c.Services[name] == nil {
			delete(b.services, name)
		}
	}
}

// queueTime returns the expected time of a further call to a server that must wait for a slot; 0
// if it need not wait.
func (r *Router) queueTime(b *backend, now time.Time) time.Duration {
	slots := max(1, b.server.Load().Slots)
	queued := b.localCalls.Load() + b.remoteCalls.Load() + 1 - int64(slots)
	if queued <= 0 {
		return 0
	}
	return time.Duration((1 + float64(queued)/float64(slots)) * float64(r.callTime(b, now)))
}

// backlogExcess returns by how much a call to a server would probably exceed the time that it may
// take: its target, or the time that its caller has if that is less or no server meets the target.
// It is 0 for a call that need not wait for a slot. While the load exceeds the capacity of a
// service, this keeps the accepted calls within their target; otherwise all queues would be full
// and all calls late.
func (x *exchange) backlogExcess(b *backend) time.Duration {
	r, now := x.router, time.Now()
	expected := r.queueTime(b, now)
	if expected == 0 {
		return 0
	}
	allowed, left := x.route.LatencyTarget-now.Sub(x.call.Arrived), x.timeLeft()
	if allowed < r.callTime(b, now) || left < allowed {
		allowed = left
	}
	return time.Duration(r.backlogs.longest(x.service)*float64(expected)) - allowed
}

// roomIn returns the delay that a refused caller of a plain service is advised: the excess of the
// backlog, the time until the calls that run now have ended, and the time in which the servers do
// its work and that of the callers that were told to come back before. Other entries refuse as many
// callers.
func (x *exchange) roomIn(excess time.Duration) time.Duration {
	r, now := x.router, time.Now()
	slots, service := 0, time.Duration(0)
	for _, b := range r.fleet.plain(x.service, nil) {
		slots += b.server.Load().Slots
		service = max(service, r.callTime(b, now))
	}
	if service == 0 { // nothing is known of the servers
		return maxAdvisedDelay(x.call)
	}
	work := service / time.Duration(max(1, slots))
	since := now.Sub(r.started)
	r.backlogs.mu.Lock()
	defer r.backlogs.mu.Unlock()
	s := r.backlogs.of(x.service)
	delay := max(excess, 0) + service + time.Duration(r.entries())*(s.returning.Work(since)+work)
	delay = min(delay, maxAdvisedDelay(x.call))
	s.returning.Add(since+delay, work)
	return delay
}
