// Package metrics publishes the counters and latency histograms of a process by
// expvar, where those of a node stand under samphirestream.NODE in /debug/vars,
// and in the text format of Prometheus. Counters and histograms are read without
// a lock; gauges are computed by whoever publishes them.
package metrics

import (
	"expvar"
	"sync"
)

var (
	root     = expvar.NewMap("samphirestream")
	register sync.Mutex
)

// Set holds the counters of one node.
type Set struct{ vars *expvar.Map }

// NewSet returns the set of a node, and publishes it. A second set of the same
// node replaces the first.
func NewSet(node string) *Set {
	register.Lock()
	defer register.Unlock()
	vars := new(expvar.Map).Init()
	root.Set(node, vars)
	return &Set{vars: vars}
}

// Counter returns a new counter, published under a name.
func (s *Set) Counter(name string) *expvar.Int {
	v := new(expvar.Int)
	s.publish(name, v)
	return v
}

// Gauge publishes a value that is computed on request.
func (s *Set) Gauge(name string, f func() any) { s.publish(name, expvar.Func(f)) }

func (s *Set) publish(name string, v expvar.Var) { s.vars.Set(name, v) }
