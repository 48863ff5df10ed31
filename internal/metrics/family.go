package metrics

import (
	"expvar"
	"strings"
	"sync"
)

// Family is the histograms of one name, told apart by the values of its labels.
// It is safe for concurrent use.
type Family struct {
	labels []string
	vars   *expvar.Map

	mu     sync.Mutex // guards values
	values map[string][]string
	known  sync.Map // from the joined values to *Histogram
}

// maxMembers bounds the histograms of a family; what comes later is counted
// under otherMember.
const (
	maxMembers  = 256
	otherMember = "other"
)

// memberSeparator joins label values in the names of histograms.
const memberSeparator = "/"

// Family returns a new family, published under a name.
func (s *Set) Family(name string, labels ...string) *Family {
	f := &Family{labels: labels, vars: new(expvar.Map).Init(), values: map[string][]string{}}
	s.publish(name, f)
	return f
}

// String implements expvar.Var.
func (f *Family) String() string { return f.vars.String() }

// With returns the histogram for the values of the labels.
func (f *Family) With(values ...string) *Histogram {
	key := strings.Join(values, memberSeparator)
	if h, ok := f.known.Load(key); ok {
		return h.(*Histogram)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.values) >= maxMembers {
		key = otherMember
		values = make([]string, len(f.labels))
		for i := range values {
			values[i] = otherMember
		}
	}
	if h, ok := f.known.Load(key); ok {
		return h.(*Histogram)
	}
	h := new(Histogram)
	f.values[key] = values
	f.known.Store(key, h)
	f.vars.Set(key, h)
	return h
}

// each calls see for every histogram, with its labels in the form a="x",b="y".
func (f *Family) each(see func(labels string, h *Histogram)) {
	f.mu.Lock()
	members := make(map[string][]string, len(f.values))
	for key, values := range f.values {
		members[key] = values
	}
	f.mu.Unlock()
	f.vars.Do(func(kv expvar.KeyValue) { // in the order of the keys
		parts := make([]string, len(f.labels))
		for i, name := range f.labels {
			parts[i] = label(name, members[kv.Key][i])
		}
		see(strings.Join(parts, ","), kv.Value.(*Histogram))
	})
}
