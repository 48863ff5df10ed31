package router

import (
	"strconv"
	"sync"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/metrics"
)

// priorityRange holds the lowest and the highest priority that requests to a service have
// by the configuration.
type priorityRange struct{ lowest, highest int }

func (p priorityRange) differ() bool { return p.lowest < p.highest }

// priorities are the ranges of the services of one configuration.
type priorities struct {
	config    *directory.Config
	byService map[string]priorityRange
	// organisations are the names of all.
	organisations map[string]bool
}

// newPriorities reads the priorities from a configuration. Requests to a route that is not
// public have that of their organisation, if that has one.
func newPriorities(c *directory.Config) *priorities {
	var organisations []int
	inherit := c.Keys == nil // some requests have the priority of their route
	names := map[string]bool{"": true}
	if c.Keys != nil {
		c.Keys.Owners(func(o *directory.Organisation) {
			names[o.Name] = true
			if o.Priority == nil {
				inherit = true
				return
			}
			organisations = append(organisations, *o.Priority)
		})
	}
	out := &priorities{config: c, byService: map[string]priorityRange{}, organisations: names}
	for i := range c.Routes {
		route := &c.Routes[i]
		var found []int
		if !route.Public {
			found = organisations
		}
		for _, s := range route.Shares {
			if route.Public || inherit {
				out.add(s.Service, route.Priority)
			}
			for _, p := range found {
				out.add(s.Service, p)
			}
		}
	}
	return out
}

func (p *priorities) add(service string, priority int) {
	r, ok := p.byService[service]
	if !ok {
		r = priorityRange{lowest: priority, highest: priority}
	}
	p.byService[service] = priorityRange{lowest: min(r.lowest, priority), highest: max(r.highest, priority)}
}

// prioritiesOf returns the priorities that requests to a service have.
func (r *Router) prioritiesOf(service string) priorityRange {
	c := r.directory.Current().Config
	p := r.priorities.Load()
	if p == nil || p.config != c {
		p = newPriorities(c)
		r.priorities.Store(p)
		r.refusedBy.keep(p.organisations)
	}
	return p.byService[service]
}

// maxServerPriority is the highest rank that servers know; 0 is the most urgent.
const maxServerPriority = 9

// serverPriority returns the rank of the call for the servers; nil where all requests of
// the service have the same one.
func (x *exchange) serverPriority() *int {
	if !x.router.prioritiesOf(x.service).differ() {
		return nil
	}
	p := min(max(x.priority(), 0), maxServerPriority)
	return &p
}

// competing reports whether the configuration distinguishes the callers of the service, by
// organisation or by priority. Others are served in the order of arrival alone.
func (x *exchange) competing() bool {
	c := x.router.directory.Current().Config
	return c.Keys != nil || x.router.prioritiesOf(x.service).differ()
}

// callerKey names the callers whose requests are counted together.
type callerKey struct {
	priority     int
	organisation string
}

func (k callerKey) labels() string {
	return metrics.Labels("priority", strconv.Itoa(k.priority), "organisation", k.organisation)
}

// callerCounts counts requests by priority and organisation. It holds organisations of the
// configuration in force only.
type callerCounts struct {
	mu     sync.Mutex
	counts map[callerKey]int64
}

func (c *callerCounts) add(k callerKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[callerKey]int64{}
	}
	c.counts[k]++
}

// keep drops the counts of other organisations.
func (c *callerCounts) keep(organisations map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.counts {
		if !organisations[k.organisation] {
			delete(c.counts, k)
		}
	}
}

func (c *callerCounts) labelled() metrics.Labelled {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := metrics.Labelled{}
	for k, n := range c.counts {
		out[k.labels()] = n
	}
	return out
}

// countRefusal counts a request to a model that was not run, where the configuration
// distinguishes callers.
func (x *exchange) countRefusal() {
	if x.engine != nil && x.competing() {
		x.router.refusedBy.add(callerKey{x.priority(), x.organisationName()})
	}
}

// waitingBy returns the numbers of waiting requests by priority and organisation.
func (r *Router) waitingBy() metrics.Labelled {
	out := metrics.Labelled{}
	r.dispatch.VisitWaiting(func(j *dispatch.Job) {
		if j.Competing {
			out[callerKey{j.Priority, j.Provider}.labels()]++
		}
	})
	return out
}
