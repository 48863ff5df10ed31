// Package quota limits what organisations use over all entries together. Each entry has a
// token bucket for each organisation, from which it subtracts its own use and that which its
// peers report. It does no I/O and takes the time as an argument. See docs/design/066-quotas.md.
package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// publishShare is the part of a second's rate from which unreported use is published at
	// once. Less is published with the next message.
	publishShare = 0.02
	// repeatTime is the time for which changed sums are in full messages, so that they reach
	// the peers although some datagrams are lost.
	repeatTime = 4 * time.Second
	// levelSteps is the number of steps of a burst in which levels are sent.
	levelSteps = 32
)

// Use is the use of one organisation by one entry in messages.
type Use struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Sum is the use since the start of the process in tokens, less refunds, and Added that of the
	// last seconds, in which the use is repeated. A receiver that has no former sum counts Added.
	Sum, Added int64
}

// Levels are the levels of all buckets relative to what they hold at most, for entries that start
// or were silent.
type Levels struct {
	_ struct{} `cbor:",toarray"`
	// Config is the version of the configuration whose organisations, ordered by name, they
	// belong to.
	Config uint64
	// Steps are parts of the burst, in levelSteps a burst, as int8.
	Steps []byte
}

// Decision is the answer to a request.
type Decision struct {
	Admitted bool
	// Limited is set if the organisation has a limit. Only then the request was charged.
	Limited bool
	// Level is that of the bucket after the decision, in tokens.
	Level float64
	// Wait is the time until the request would be admitted; 0 if it was.
	Wait time.Duration
	// Publish is set if the use should be reported to the peers at once.
	Publish bool
}

// remoteSum is the last reported sum of a peer. seq is that of its message.
type remoteSum struct {
	sum int64
	seq uint64
}

// remote is what one peer has reported.
type remote struct {
	incarnation int64
	since       time.Time // when it was first heard
	// fresh is set if the process started after the last one at its address was known: its sums
	// began at 0.
	fresh bool
	sums  map[string]remoteSum
}

// Table has the buckets of all organisations. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex // guards the fields below
	configured bool
	version    uint64
	buckets    map[string]*bucket
	// order are the buckets of the organisations of the configuration, by name, and limited the
	// number of those with a limit.
	order    []*bucket
	limited  int
	contacts contacts
	remotes  map[string]*remote
	// alone is set in tables of entries without peers.
	alone bool
	// fleet counts the entries that this one or a peer in contact knows, and direct those that
	// this one knows. The others have slots with equal contents.
	fleet  fleet
	direct int
	others reserve
	ticked time.Time
	// adopted is set once the levels of a peer are in force.
	adopted bool
}

// NewTable returns a table without organisations for an entry that started at a time. An
// entry without an exchange with others is alone.
func NewTable(started time.Time, alone bool) *Table {
	t := &Table{
		buckets: map[string]*bucket{}, remotes: map[string]*remote{}, alone: alone, ticked: started,
		contacts: contacts{started: started, peers: map[string]*contact{}},
	}
	t.fleet, t.direct = fleet{1, 1}, 1
	if !alone {
		t.fleet.known = assumedEntries
	}
	return t
}

// Configure puts the limits of a version of the configuration in force. Buckets of new
// organisations are empty. Those that the configuration no longer has are kept without a
// limit, since their sums must not fall within one life of the process.
func (t *Table) Configure(now time.Time, version uint64, limits []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.configured && version <= t.version {
		return
	}
	t.configured, t.version, t.limited = true, version, 0
	listed := make(map[string]bool, len(limits))
	t.order = t.order[:0]
	for _, l := range limits {
		if listed[l.Name] {
			continue
		}
		listed[l.Name] = true
		b, ok := t.buckets[l.Name]
		if !ok {
			b = &bucket{updated: now, limit: Limit{Name: l.Name}, index: len(t.others)}
			t.buckets[l.Name] = b
			t.others = append(t.others, 0)
			for _, p := range t.contacts.peers {
				if p.reserve != nil {
					p.reserve = append(p.reserve, 0)
				}
			}
		}
		b.setLimit(now, l, t.fleet)
		t.order = append(t.order, b)
		if l.Rate > 0 {
			t.limited++
		}
	}
	for name, b := range t.buckets {
		if !listed[name] {
			b.setLimit(now, Limit{Name: name}, t.fleet)
		}
	}
	slices.SortFunc(t.order, func(a, b *bucket) int { return strings.Compare(a.limit.Name, b.limit.Name) })
}

// Limited reports whether any organisation has a limit.
func (t *Table) Limited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limited > 0
}

// Charge decides on a request and charges its cost if it is admitted.
func (t *Table) Charge(now time.Time, name string, cost float64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[name]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	if now.Sub(t.ticked) > 2*silence { // Tick is late, perhaps since the VM was suspended
		t.tick(now)
	}
	cost = math.Ceil(cost)
	b.largest = max(b.largest, cost)
	b.refill(now, t.fleet)
	if b.level <= 0 || b.level < b.need(cost, t.fleet) {
		return Decision{Limited: true, Level: b.level, Wait: b.wait(cost, t.fleet)}
	}
	b.use(now, cost)
	b.added(now) // before the sum changes
	b.sum += int64(cost)
	b.changed = now
	return Decision{Admitted: true, Limited: true, Level: b.level, Publish: float64(b.sum-b.sent) >= publishShare*b.limit.Rate}
}

// Refund returns the cost of a request that did not run.
func (t *Table) Refund(now time.Time, name string, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[name]
	if b == nil {
		return
	}
	cost = math.Ceil(cost)
	b.refill(now, t.fleet)
	b.level = min(b.level+cost, b.cap(t.fleet))
	b.added(now)
	b.sum -= int64(cost)
	b.changed = now
}

// Tick counts the entries in contact. It must be called about each TickInterval.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
}

func (t *Table) tick(now time.Time) {
	t.contacts.tick(now.Sub(t.ticked))
	t.ticked = now
	if t.alone {
		return
	}
	var fallen, returned, found []*contact
	former := t.fleet
	next, reported := fleet{1, 1}, 0
	for addr, p := range t.contacts.peers {
		state := t.contacts.next(p, now)
		switch {
		case state == heard:
			next.heard++
			reported = max(reported, p.known)
		case state == silent && p.state == heard:
			fallen = append(fallen, p)
		case state == silent && p.state != silent:
			found = append(found, p)
		}
		if p.state == silent && state != silent {
			returned = append(returned, p)
		}
		if state != gone {
			next.known++
		} else if now.Sub(p.last) > knownTime {
			delete(t.contacts.peers, addr)
			delete(t.remotes, addr)
		}
		p.state = state
	}
	direct := next.known
	if next.known = max(direct, reported); now.Sub(t.contacts.started) < discoveryTime {
		next.known = max(next.known, assumedEntries)
	}
	if next == former && direct == t.direct && len(fallen)+len(returned)+len(found) == 0 {
		return
	}
	others := [2]int{former.known - t.direct, next.known - direct}
	for _, p := range append(fallen, found...) {
		p.reserve = make(reserve, len(t.others))
	}
	for _, b := range t.buckets {
		b.refill(now, former)
		part := b.part(now, fallen, former)
		for _, p := range fallen {
			p.reserve.set(b, part)
			b.level -= part
		}
		for _, p := range returned {
			b.level += p.reserve.get(b, former)
		}
		t.recount(b, others, found, former, next)
		b.level = min(b.level, b.cap(next))
	}
	for _, p := range returned {
		p.reserve = nil
	}
	t.fleet, t.direct = next, direct
}

// recount changes the number of slots of entries that only peers know, the first of others to the
// second, and gives slots to entries that were found: those of the others, or a part of the
// level.
func (t *Table) recount(b *bucket, others [2]int, found []*contact, former, next fleet) {
	slot := t.others.get(b, former)
	freed := max(0, others[0]-others[1])
	level := b.level / float64(next.known)
	for i, p := range found {
		if i < freed {
			p.reserve.set(b, slot)
			continue
		}
		p.reserve.set(b, level)
		b.level -= level
	}
	b.level += slot * float64(max(0, freed-len(found)))
	if added := others[1] - others[0]; added > 0 {
		b.level -= level * float64(added)
		slot = (slot*float64(others[0]) + level*float64(added)) / float64(others[1])
	}
	t.others.set(b, slot)
}

// total returns the level and all slots.
func (t *Table) total(b *bucket) float64 {
	sum := b.level + t.others.get(b, t.fleet)*float64(t.fleet.known-t.direct)
	for _, p := range t.contacts.peers {
		if p.reserve != nil {
			sum += p.reserve.get(b, t.fleet)
		}
	}
	return sum
}

// Mention records a peer that another one is in contact with.
func (t *Table) Mention(now time.Time, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contacts.mention(now, addr)
}

// Known returns the number of entries that this one knows, for messages.
func (t *Table) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.direct
}

// Receive records a message of a peer, which knows a number of entries (0 if it does not say),
// and charges the use that it reports. Sums older than
// those known are ignored, so that lost and reordered messages do no harm. It reports whether the
// peer was silent until now; it should then be sent what it may have missed before its slot is
// released.
func (t *Table) Receive(now time.Time, peer string, incarnation int64, seq uint64, uses []Use, known int, leaving bool) (wasSilent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.contacts.peers[peer]; p != nil {
		wasSilent = now.Sub(p.last) > t.contacts.silence()
	}
	p := t.contacts.receive(now, peer, incarnation, known, leaving)
	r, ok := t.remotes[peer]
	if !ok || r.incarnation != incarnation {
		r = &remote{incarnation: incarnation, since: now, fresh: ok, sums: map[string]remoteSum{}}
		t.remotes[peer] = r
	}
	for _, u := range uses {
		former, ok := r.sums[u.Name]
		if ok && former.seq >= seq {
			continue
		}
		added := u.Added
		switch {
		case ok || r.fresh:
			added = u.Sum - former.sum
		case now.Sub(r.since) < settling:
			added = 0 // the adopted level includes it
		}
		r.sums[u.Name] = remoteSum{sum: u.Sum, seq: seq}
		b := t.buckets[u.Name]
		if b == nil || b.limit.Rate <= 0 || added == 0 {
			continue
		}
		b.refill(now, t.fleet)
		if p.reserve == nil {
			b.use(now, float64(added))
			r := p.recent[b.index]
			if r == nil {
				r = &recent{}
				p.recent[b.index] = r
			}
			r.add(now, float64(added))
		} else {
			p.reserve.set(b, p.reserve.get(b, t.fleet)-float64(added))
		}
	}
	return wasSilent
}

// News returns the use that was not reported yet, for a message to all peers.
func (t *Table) News(now time.Time) []Use {
	return t.report(now, func(*bucket) bool { return false }, true)
}

// Recent returns the use that was not reported yet or changed lately, for a full message to all
// peers.
func (t *Table) Recent(now time.Time) []Use {
	return t.report(now, func(b *bucket) bool { return !b.changed.IsZero() && now.Sub(b.changed) <= repeatTime }, true)
}

// Since returns the use that changed while some peers were silent, for these peers only: found is
// set for those that were just found.
func (t *Table) Since(now time.Time, found bool) []Use {
	period := repeatTime
	if found {
		period = knownTime
	}
	return t.report(now, func(b *bucket) bool { return !b.changed.IsZero() && now.Sub(b.changed) <= period }, false)
}

// report returns the use that was not reported yet or is to be repeated. toAll is set if all
// peers get it.
func (t *Table) report(now time.Time, repeat func(*bucket) bool, toAll bool) []Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Use
	for name, b := range t.buckets {
		if b.sum == b.sent && !repeat(b) {
			continue
		}
		out = append(out, Use{Name: name, Sum: b.sum, Added: b.added(now)})
		if toAll {
			b.sent = b.sum
		}
	}
	return out
}

// Levels returns the levels of all buckets; nil while this entry has none worth adopting.
func (t *Table) Levels(now time.Time) *Levels {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limited == 0 || !t.adopted && now.Sub(t.contacts.started) < discoveryTime {
		return nil
	}
	out := &Levels{Config: t.version, Steps: make([]byte, len(t.order))}
	for i, b := range t.order {
		b.refill(now, t.fleet)
		steps := 0.0
		if b.limit.Burst > 0 {
			steps = math.Floor(levelSteps * min(1, b.level/(t.fleet.share()*b.limit.Burst)))
		}
		out.Steps[i] = byte(int8(max(math.MinInt8, steps)))
	}
	return out
}

// Adopt takes the levels of a peer, once. An entry that has decided on requests for a while
// without a peer adopts only lower ones. Later the levels bound the slot of the peer: what its
// group used just before it was in contact again is not available twice.
func (t *Table) Adopt(now time.Time, peer string, l *Levels) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Config != t.version || len(l.Steps) != len(t.order) {
		return
	}
	if t.adopted || now.Sub(t.contacts.started) > knownTime {
		t.boundSlot(now, t.contacts.peers[peer], l)
		return
	}
	t.adopted = true
	early := now.Sub(t.contacts.started) < 2*discoveryTime
	for i, b := range t.order {
		b.refill(now, t.fleet)
		level := l.tokens(i, b)
		if !early && level >= t.total(b) {
			continue
		}
		slot := level / float64(t.fleet.known)
		b.level = slot * float64(t.fleet.heard)
		t.others.set(b, slot)
		for _, p := range t.contacts.peers {
			if p.reserve != nil {
				p.reserve.set(b, slot)
			}
		}
	}
}

// tokens returns the level of a bucket for the whole fleet.
func (l *Levels) tokens(i int, b *bucket) float64 {
	return float64(int8(l.Steps[i])) / levelSteps * b.limit.Burst
}

// boundSlot bounds the slot of a peer, if it has one, by its levels.
func (t *Table) boundSlot(now time.Time, p *contact, l *Levels) {
	if p == nil || p.reserve == nil {
		return
	}
	for i, b := range t.order {
		b.refill(now, t.fleet)
		p.reserve.set(b, min(p.reserve.get(b, t.fleet), l.tokens(i, b)/float64(t.fleet.known)))
	}
}

// Row is the state of one organisation, for operators.
type Row struct {
	Organisation string
	// Rate is in tokens a second, and Burst in tokens.
	Rate, Burst float64
	// Level and Reserve are in tokens: what this entry and those in contact may use, and what is
	// kept for known entries that are silent.
	Level, Reserve float64
	// Own is this entry's use since its start in tokens.
	Own int64
}

// State is the state of all quotas, for operators.
type State struct {
	// Heard is the number of entries in contact, and Known that of known entries.
	Heard, Known int
	// Adopted is set once the levels of a peer were adopted.
	Adopted bool
	Rows    []Row
}

// Fleet returns the state without the organisations.
func (t *Table) Fleet() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{Heard: t.fleet.heard, Known: t.fleet.known, Adopted: t.adopted}
}

// State returns the present state of the organisations with a limit.
func (t *Table) State(now time.Time) State {
	out := t.Fleet()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.order {
		if b.limit.Rate <= 0 {
			continue
		}
		b.refill(now, t.fleet)
		out.Rows = append(out.Rows, Row{Organisation: b.limit.Name, Rate: b.limit.Rate, Burst: b.limit.Burst, Level: math.Round(b.level), Reserve: math.Round(t.total(b) - b.level), Own: b.sum})
	}
	return out
}
