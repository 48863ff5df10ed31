package metrics

import (
	"expvar"
	"strings"
	"sync"
)

// Family is a set of histograms with one name, one for each combination of label
// values. It is safe for concurrent use.
type Family struct {
	labels []string
	// members holds values of type *member, keyed by their joined label values.
	members *expvar.Map

	mu    sync.Mutex // guards count, and serializes writes to members
	count int
}

// member is one histogram of a family.
type member struct {
	*Histogram
	labels string // in the form a="x",b="y"
}

// maxMembers is the maximum number of histograms in a family. Further label values
// are counted under otherMember.
const (
	maxMembers  = 256
	otherMember = "other"
)

// memberSeparator separates the label values in the keys of members.
const memberSeparator = "/"

// Family publishes a new family under a name.
func (s *Set) Family(name string, labels ...string) *Family {
	f := &Family{labels: labels, members: new(expvar.Map).Init()}
	s.publish(name, f)
	return f
}

// String implements expvar.Var.
func (f *Family) String() string { return f.members.String() }

// With returns the histogram for the given label values, in the order of the
// labels.
func (f *Family) With(values ...string) *Histogram {
	key := strings.Join(values, memberSeparator)
	if m, ok := f.members.Get(key).(*member); ok {
		return m.Histogram
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count >= maxMembers {
		key = otherMember
		values = nil
	}
	if m, ok := f.members.Get(key).(*member); ok {
		return m.Histogram
	}
	parts := make([]string, len(f.labels))
	for i, name := range f.labels {
		value := otherMember
		if values != nil {
			value = values[i]
		}
		parts[i] = label(name, value)
	}
	m := &member{Histogram: new(Histogram), labels: strings.Join(parts, ",")}
	f.members.Set(key, m)
	f.count++
	return m.Histogram
}

// each calls visit for every histogram, with its labels.
func (f *Family) each(visit func(labels string, h *Histogram)) {
	f.members.Do(func(kv expvar.KeyValue) { // in the order of the keys
		m := kv.Value.(*member)
		visit(m.labels, m.Histogram)
	})
}
