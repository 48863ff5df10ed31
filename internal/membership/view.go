package membership

import (
	"cmp"
	"slices"
	"time"
)

// Summary is what a data centre reports about itself to others.
type Summary struct {
	DataCentre string `cbor:"1,keyasint" json:"data_centre"`
	Region     string `cbor:"2,keyasint,omitempty" json:"region,omitempty"`
	// CreatedMillis is the time of its creation on its author's clock, in
	// milliseconds since 1970. It only orders the summaries of one data centre.
	CreatedMillis uint64 `cbor:"3,keyasint" json:"made"`
	Entries       uint32 `cbor:"4,keyasint,omitempty" json:"entries"`
	Agents        uint32 `cbor:"5,keyasint,omitempty" json:"agents"`
	FreeSlots     uint32 `cbor:"6,keyasint,omitempty" json:"free_slots"`
	TotalSlots    uint32 `cbor:"7,keyasint,omitempty" json:"total_slots"`
}

// View is the membership at one moment. It is immutable and shared.
type View struct {
	Self Member `json:"self"`
	// Members are the processes of the data centre, by name.
	Members []Member `json:"members"`
	// Unavailable holds the backend servers that accept no new work, with the
	// state of their agents: Leaving or Dead.
	Unavailable map[string]State `json:"unavailable"`
	// Entries are the names of the entries of this data centre that are alive or
	// leaving, in order.
	Entries []string `json:"entries"`
	// RemoteEntries are the names of the listed entries of each other data centre.
	RemoteEntries map[string][]string `json:"-"`
	// Summaries are the latest summaries of other data centres.
	Summaries map[string]Summary `json:"summaries"`
}

// View returns the members at this moment.
func (t *Table) View() *View {
	v := &View{Self: t.self, Unavailable: map[string]State{}, Summaries: map[string]Summary{}}
	latest := map[string]Member{}
	for _, name := range t.sorted {
		m := t.records[name].Member
		m.State = t.records[name].effectiveState()
		v.Members = append(v.Members, m)
		if m.isEntry() && m.State < Suspect {
			v.Entries = append(v.Entries, m.Name)
		}
		if other, ok := latest[m.Backend]; !m.isEntry() && (!ok || represents(m, other)) {
			latest[m.Backend] = m
		}
	}
	for backend, m := range latest {
		if m.State == Leaving || m.State == Dead {
			v.Unavailable[backend] = m.State
		}
	}
	return v
}

// represents reports whether m rather than other is the agent that determines the
// state of their backend server: one that is not dead, then the later incarnation.
// State/Dead is 1 for Dead and 0 for all other states.
func represents(m, other Member) bool {
	return cmp.Or(cmp.Compare(other.State/Dead, m.State/Dead), cmp.Compare(m.Incarnation, other.Incarnation)) > 0
}

// Slots are the decode slots of a backend server.
type Slots struct {
	Free  uint32 `cbor:"1,keyasint,omitempty"`
	Total uint32 `cbor:"2,keyasint,omitempty"`
}

// Summary returns the summary of the data centre, with the slots that agents
// reported. Only members that are alive count.
func (t *Table) Summary(dataCentre, region string, slots map[string]Slots, now time.Time) Summary {
	s := Summary{DataCentre: dataCentre, Region: region, CreatedMillis: uint64(now.UnixMilli())}
	for _, r := range t.records {
		switch {
		case r.effectiveState() != Alive:
		case r.isEntry():
			s.Entries++
		default:
			s.Agents++
			s.FreeSlots += slots[r.Name].Free
			s.TotalSlots += slots[r.Name].Total
		}
	}
	return s
}

// Shares of its slots that a data centre keeps free for its own entries: it accepts
// no work of entries of the same region, or of another region, beyond them.
const (
	sameRegionReserve  = 0.1
	otherRegionReserve = 0.2
)

// AcceptsRemoteWork reports whether a backend server with this number of free slots
// may accept work from another data centre. It keeps a share of its slots for the
// entries of its own data centre, so that the loss of a data centre does not
// overload the others. It may always accept if its slots are unknown (total 0).
func AcceptsRemoteWork(free, total int, sameRegion bool) bool {
	reserve := otherRegionReserve
	if sameRegion {
		reserve = sameRegionReserve
	}
	return total == 0 || float64(free) > reserve*float64(total)
}

// Failover returns the data centres to try, in order: its own, those of its region,
// then the others; in each group, those with the most free slots first. Data centres
// whose free slots are within their reserve are excluded.
func (v *View) Failover(dataCentre, region string) []string {
	others := make([]Summary, 0, len(v.Summaries))
	for _, s := range v.Summaries {
		if s.DataCentre != dataCentre && AcceptsRemoteWork(int(s.FreeSlots), int(s.TotalSlots), s.Region == region) {
			others = append(others, s)
		}
	}
	slices.SortFunc(others, func(a, b Summary) int {
		if oneInRegion := (a.Region == region) != (b.Region == region); oneInRegion && a.Region == region {
			return -1
		} else if oneInRegion {
			return 1
		}
		return cmp.Or(cmp.Compare(b.FreeSlots, a.FreeSlots), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	out := []string{dataCentre}
	for _, s := range others {
		out = append(out, s.DataCentre)
	}
	return out
}
