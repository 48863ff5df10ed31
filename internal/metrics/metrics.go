// Package metrics publishes the counters, gauges and latency histograms of a
// process: by expvar, under samphirestream.NODE in /debug/vars, and in the text
// format of Prometheus. Counters and histograms are read without a lock; gauges
// are computed on each read by a function of their publisher.
package metrics

import (
	"expvar"
	"sync"
)

var (
	root     = expvar.NewMap("samphirestream")
	register sync.Mutex // serializes NewSet
)

// Set holds the metrics of one node.
type Set struct{ vars *expvar.Map }

// NewSet publishes a new set for a node. A second set of the same node replaces
// the first.
func NewSet(node string) *Set {
	register.Lock()
	defer register.Unlock()
	vars := new(expvar.Map).Init()
	root.Set(node, vars)
	return &Set{vars: vars}
}

// Counter publishes a new counter under a name.
func (s *Set) Counter(name string) *expvar.Int {
	v := new(expvar.Int)
	s.publish(name, v)
	return v
}

// Gauge publishes a value that f computes on each read.
func (s *Set) Gauge(name string, f func() any) { s.publish(name, expvar.Func(f)) }

func (s *Set) publish(name string, v expvar.Var) { s.vars.Set(name, v) }
