package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the protocol.
const (
	// SuspicionTimeout is the time that a suspect has to refute the suspicion
	// before it is declared dead.
	SuspicionTimeout = 5 * time.Second
	// deadRetention is the time for which dead members are kept, so that late
	// rumors do not add them again.
	deadRetention = 5 * time.Minute
	// rumorFactor is the number of transmissions of a rumor for each bit of the
	// number of members.
	rumorFactor = 2
)

// memberRecord is a member with data that is not sent to peers.
type memberRecord struct {
	Member
	// listed is set when the VM list contains the member.
	listed bool
	// listedLeaving is set when the VM list marks the member as leaving: the
	// platform is about to stop the VM.
	listedLeaving bool
	// since is the time of the last change of the member, or of ResetTimers.
	since time.Time
}

// rumor counts the transmissions of a change.
type rumor struct {
	name string
	sent int
}

// effectiveState combines the state that peers observe with the VM list.
func (r *memberRecord) effectiveState() State {
	if r.listedLeaving && r.State == Alive {
		return Leaving
	}
	return r.State
}

// Table holds the members of one data centre. It is not safe for concurrent use;
// other goroutines read a View.
type Table struct {
	self    Member
	records map[string]*memberRecord
	// sorted holds the keys of records in order, so that equal seeds give
	// equal runs.
	sorted []string
	// rumors are recent changes, those with the fewest transmissions first.
	rumors []rumor
	// suspectOrDead holds the names of suspect and dead members.
	suspectOrDead []string
	// probeQueue holds the names that remain in this round of probes.
	probeQueue []string
	changed    bool
}

// NewTable returns a table that contains only the process itself.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{self: self, records: map[string]*memberRecord{}}
	t.getOrAdd(self, now)
	return t
}

// Self returns the process's own member.
func (t *Table) Self() Member { return t.self }

// Get returns a member by name.
func (t *Table) Get(name string) (Member, bool) {
	r, ok := t.records[name]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// TakeChanged reports whether the members changed since the last call, and resets
// that.
func (t *Table) TakeChanged() bool {
	out := t.changed
	t.changed = false
	return out
}

// UpdateSelf changes the process's own member, raises its version and spreads it.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) {
	change(&t.self)
	t.self.Version++
	t.updateAndSpread(t.self, now)
}

// AnnounceSelf spreads the process's own member again.
func (t *Table) AnnounceSelf() { t.queueRumor(t.self.Name) }

// Merge records an observation that a peer sent, and reports whether it changes
// this table or, for an observation of this process, has to be refuted.
func (t *Table) Merge(m Member, now time.Time) bool {
	if m.Name == t.self.Name {
		return t.refute(m, now)
	}
	old, known := t.records[m.Name]
	if !known {
		if m.State == Dead || m.Addr == "" {
			return false
		}
		t.updateAndSpread(m, now)
		return true
	}
	if !m.supersedes(old.Member) {
		return false
	}
	if m.Addr == "" {
		m.Addr, m.Backend = old.Addr, old.Backend
	}
	t.updateAndSpread(m, now)
	return true
}

// refute handles an observation of this process. If it supersedes the process's own
// member, that gets a higher version. If it is suspect or dead but older, spreading
// the present version again is enough.
func (t *Table) refute(m Member, now time.Time) bool {
	if !m.supersedes(t.self) {
		if m.State >= Suspect {
			t.AnnounceSelf()
		}
		return m.State >= Suspect
	}
	t.UpdateSelf(now, func(self *Member) {
		self.Incarnation = max(self.Incarnation, m.Incarnation)
		self.Version = max(self.Version, m.Version)
	})
	return true
}

// updateAndSpread stores a member and queues it as a rumor for peers.
func (t *Table) updateAndSpread(m Member, now time.Time) {
	r := t.getOrAdd(m, now)
	r.Member, r.since = m, now
	t.suspectOrDead = slices.DeleteFunc(t.suspectOrDead, func(name string) bool { return name == m.Name })
	if m.State >= Suspect {
		t.suspectOrDead = append(t.suspectOrDead, m.Name)
	}
	t.queueRumor(m.Name)
	t.changed = true
}

// queueRumor puts a rumor about a member first in the queue, and drops an older one.
func (t *Table) queueRumor(name string) {
	t.dropRumor(name)
	t.rumors = slices.Insert(t.rumors, 0, rumor{name: name})
}

func (t *Table) dropRumor(name string) {
	t.rumors = slices.DeleteFunc(t.rumors, func(r rumor) bool { return r.name == name })
}

// RecordIncarnation records the incarnation in which a member sent a datagram. It
// reports false if the member has to send its own record instead: the member is
// unknown, or the incarnation is later than the recorded one. But the first
// incarnation of a member that came from the VM list is recorded at once and
// without a rumor, unless the member is suspect or dead.
func (t *Table) RecordIncarnation(name string, incarnation uint64) bool {
	r, ok := t.records[name]
	if !ok || r.Incarnation < incarnation && (r.Incarnation != 0 || r.State >= Suspect) {
		return false
	}
	r.Incarnation = max(r.Incarnation, incarnation)
	return true
}

// getOrAdd returns the record of a member, after adding it if it is unknown.
func (t *Table) getOrAdd(m Member, now time.Time) *memberRecord {
	r, ok := t.records[m.Name]
	if !ok {
		r = &memberRecord{Member: m, since: now}
		t.records[m.Name] = r
		i, _ := slices.BinarySearch(t.sorted, m.Name)
		t.sorted = slices.Insert(t.sorted, i, m.Name)
		t.changed = true
	}
	return r
}

func (t *Table) remove(name string) {
	delete(t.records, name)
	t.dropRumor(name)
	t.suspectOrDead = slices.DeleteFunc(t.suspectOrDead, func(other string) bool { return other == name })
	if i, ok := slices.BinarySearch(t.sorted, name); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
	t.changed = true
}

// ApplyVMList records the VM list of the data centre. The list adds members that no
// peer has observed and marks leaving VMs; it does not remove members that peers
// observe.
func (t *Table) ApplyVMList(listed []Member, now time.Time) {
	for _, r := range t.records {
		r.listed, r.listedLeaving = false, false
	}
	for _, m := range listed {
		leaving := m.State == Leaving
		m.State = Alive
		r := t.getOrAdd(m, now)
		r.listed, r.listedLeaving = true, leaving
	}
	t.changed = true
}

// MarkSuspect marks a member that did not answer a probe as suspect.
func (t *Table) MarkSuspect(name string, now time.Time) {
	r, ok := t.records[name]
	if !ok || r.State >= Suspect || name == t.self.Name {
		return
	}
	m := r.Member
	m.State = Suspect
	t.updateAndSpread(m, now)
}

// SuspectOrDead returns the record of a member that is suspect or dead. It is sent
// to the member, so that the member can refute it.
func (t *Table) SuspectOrDead(name string) (Member, bool) {
	r, ok := t.records[name]
	if !ok || r.State < Suspect {
		return Member{}, false
	}
	return r.compact(), true
}

// ExpireSuspects declares suspects dead after SuspicionTimeout, and removes dead
// members that are not on the VM list after deadRetention.
func (t *Table) ExpireSuspects(now time.Time) {
	for _, name := range slices.Clone(t.suspectOrDead) {
		r := t.records[name]
		age := now.Sub(r.since)
		if r.State == Suspect && age >= SuspicionTimeout {
			m := r.Member
			m.State = Dead
			t.updateAndSpread(m, now)
		} else if r.State == Dead && !r.listed && age >= deadRetention {
			t.remove(name)
		}
	}
}

// ResetTimers restarts the timers of all members, for a process that was paused: it
// can not distinguish unresponsive peers from its own pause.
func (t *Table) ResetTimers(now time.Time) {
	for _, r := range t.records {
		r.since = now
	}
}

// NextProbe returns the next member to probe. Each round probes every member that is
// not dead once, in a new random order.
func (t *Table) NextProbe(rnd *rand.Rand) (Member, bool) {
	for range 2 {
		for len(t.probeQueue) > 0 {
			name := t.probeQueue[0]
			t.probeQueue = t.probeQueue[1:]
			if r, ok := t.records[name]; ok && r.State != Dead {
				return r.Member, true
			}
		}
		t.probeQueue = t.namesWhere(func(r *memberRecord) bool { return r.Name != t.self.Name && r.State != Dead })
		rnd.Shuffle(len(t.probeQueue), func(i, j int) { t.probeQueue[i], t.probeQueue[j] = t.probeQueue[j], t.probeQueue[i] })
	}
	return Member{}, false
}

// RandomDead returns a random dead member. Pinging it lets the parts of a healed
// partition find each other.
func (t *Table) RandomDead(rnd *rand.Rand) (Member, bool) {
	names := t.namesWhere(func(r *memberRecord) bool { return r.State == Dead })
	if len(names) == 0 {
		return Member{}, false
	}
	return t.records[names[rnd.IntN(len(names))]].Member, true
}

// RandomResponsive returns up to n members that are alive or leaving, other than this
// process and skip.
func (t *Table) RandomResponsive(rnd *rand.Rand, n int, skip string) []Member {
	names := t.namesWhere(func(r *memberRecord) bool { return r.Name != t.self.Name && r.Name != skip && r.State < Suspect })
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	out := make([]Member, 0, n)
	for _, name := range names[:min(n, len(names))] {
		out = append(out, t.records[name].Member)
	}
	return out
}

// CountPeers returns the number of other members that are not dead.
func (t *Table) CountPeers() int {
	n := 0
	for name, r := range t.records {
		if name != t.self.Name && r.State != Dead {
			n++
		}
	}
	return n
}

// AliveNames returns the names of the members that are alive, this process included,
// in order.
func (t *Table) AliveNames() []string {
	return t.namesWhere(func(r *memberRecord) bool { return r.effectiveState() == Alive })
}

// namesWhere returns the names of the members that keep selects, in order.
func (t *Table) namesWhere(keep func(*memberRecord) bool) []string {
	out := make([]string, 0, len(t.sorted))
	for _, name := range t.sorted {
		if keep(t.records[name]) {
			out = append(out, name)
		}
	}
	return out
}

// Rumors returns the changes with the fewest transmissions, up to size bytes, and
// counts their transmission.
func (t *Table) Rumors(size int) []Member {
	limit := rumorFactor * bits.Len(uint(len(t.records)))
	var out []Member
	var again []rumor
	taken := 0
	for _, r := range t.rumors {
		m := t.records[r.name].Member
		if size -= m.maxEncodedSize(); size < 0 {
			break
		}
		taken++
		out = append(out, m.compact())
		if r.sent++; r.sent < limit {
			again = append(again, r)
		}
	}
	t.rumors = append(t.rumors[taken:], again...)
	return out
}

// compact returns a suspect or dead member without its address and backend server,
// which peers keep with its record, and other members unchanged.
func (m Member) compact() Member {
	if m.State >= Suspect {
		return Member{Name: m.Name, State: m.State, Incarnation: m.Incarnation, Version: m.Version}
	}
	return m
}

// memberOverheadBytes is the maximum encoded size of a member without the contents of
// its strings.
const memberOverheadBytes = 24

// maxEncodedSize returns an upper bound of the encoded size in bytes.
func (m Member) maxEncodedSize() int {
	return memberOverheadBytes + len(m.Name) + len(m.Addr) + len(m.Backend)
}
