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
	// members are of type *member, by the joined values of their labels.
	members *expvar.Map

	mu    sync.Mutex // guards count, and writers of members
	count int
}

// member is one histogram of a family.
type member struct {
	*Histogram
	labels string // in the form a="x",b="y"
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
	f := &Family{labels: labels, members: new(expvar.Map).Init()}
	s.publish(name, f)
	return f
}

// String implements expvar.Var.
func (f *Family) String() string { return f.members.String() }

// With returns the histogram for the values of the labels.
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

// each calls see for every histogram, with its labels.
func (f *Family) each(see func(labels string, h *Histogram)) {
	f.members.Do(func(kv expvar.KeyValue) { // in the order of the keys
		m := kv.Value.(*member)
		see(m.labels, m.Histogram)
	})
}
