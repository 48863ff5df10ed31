package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/membership"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return out
}

func TestMergeKeepsTheLatestObservation(t *testing.T) {
	m := func(s membership.State, incarnation uint64, version uint32) membership.Member {
		return membership.Member{Name: "b", Addr: "10.0.0.1:7000", State: s, Incarnation: incarnation, Version: version}
	}
	for _, tt := range []struct {
		name        string
		first, then membership.Member
		want        membership.State
	}{
		{"suspicion of the same version", m(membership.Alive, 1, 1), m(membership.Suspect, 1, 1), membership.Suspect},
		{"late observation of an old version", m(membership.Alive, 1, 2), m(membership.Dead, 1, 1), membership.Alive},
		{"refutation", m(membership.Dead, 1, 1), m(membership.Alive, 1, 2), membership.Alive},
		{"new incarnation after death", m(membership.Dead, 1, 9), m(membership.Alive, 2, 1), membership.Alive},
		{"rumor about an earlier incarnation", m(membership.Alive, 2, 1), m(membership.Dead, 1, 9), membership.Alive},
		{"leaving", m(membership.Alive, 1, 1), m(membership.Leaving, 1, 2), membership.Leaving},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := membership.NewTable(membership.Member{Name: "a"}, start)
			alive := tt.first
			alive.State = membership.Alive
			table.Merge(alive, start)
			table.Merge(tt.first, start)
			table.Merge(tt.then, start)
			got, _ := table.Get("b")
			is.Equal(got.State, tt.want)
		})
	}
}

func TestProcessRefutesItsDeath(t *testing.T) {
	is := is.New(t)
	table := membership.NewTable(membership.Member{Name: "a", Incarnation: 5, Version: 1}, start)
	is.True(table.Merge(membership.Member{Name: "a", Incarnation: 5, Version: 3, State: membership.Dead}, start))
	is.Equal(table.Self().State, membership.Alive)
	is.Equal(table.Self().Version, uint32(4))
	is.Equal(len(table.Rumors(1000)), 1)
}

func TestListedLeavingServersAreUnavailable(t *testing.T) {
	is := is.New(t)
	table := membership.NewTable(membership.Member{Name: "a"}, start)
	b := membership.Member{Name: "b", Addr: "10.0.0.1:7000", Backend: "s", State: membership.Leaving}
	table.ApplyVMList([]membership.Member{b}, start)
	is.Equal(table.View().Unavailable, map[string]membership.State{"s": membership.Leaving})
	replacement := membership.Member{Name: "c", Addr: "10.0.0.2:7000", Backend: "s", Incarnation: 2, Version: 1}
	table.Merge(replacement, start) // a new VM serves the backend server
	is.Equal(len(table.View().Unavailable), 0)
}

func TestSubsetsAreBoundedAndCoverEveryServer(t *testing.T) {
	is := is.New(t)
	entries, servers := names("entry", 13), names("server", 128)
	connections := map[string]int{}
	for _, e := range entries {
		subset := membership.Subset(e, entries, servers)
		is.True(len(subset) < 64)
		for _, s := range subset {
			connections[s]++
		}
	}
	for _, s := range servers {
		is.Equal(connections[s], 4)
	}
}

func TestRemovingAnEntryMovesOnlyItsShareOfServers(t *testing.T) {
	is := is.New(t)
	entries, servers := names("entry", 13), names("server", 128)
	moved := 0
	for _, e := range entries[:12] {
		before := map[string]bool{}
		for _, s := range membership.Subset(e, entries, servers) {
			before[s] = true
		}
		for _, s := range membership.Subset(e, entries[:12], servers) {
			if !before[s] {
				moved++
			}
		}
	}
	is.Equal(moved, len(membership.Subset("entry-12", entries, servers))) // only its own share
}

func TestFailoverPrefersTheRegionAndExcludesFullDataCentres(t *testing.T) {
	is := is.New(t)
	s := func(dc, region string, free uint32) membership.Summary {
		return membership.Summary{DataCentre: dc, Region: region, FreeSlots: free, TotalSlots: 100}
	}
	v := &membership.View{Summaries: map[string]membership.Summary{
		"b": s("b", "r1", 30), "c": s("c", "r1", 5), "d": s("d", "r2", 90), "e": s("e", "r2", 15), "f": s("f", "r3", 95),
	}}
	is.Equal(v.Failover("a", "r1"), []string{"a", "b", "f", "d"})
	is.True(membership.AcceptsRemoteWork(3, 20, true))
	is.True(!membership.AcceptsRemoteWork(3, 20, false))
}
