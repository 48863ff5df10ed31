package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A view must not count as complete and current when it is old, or has a gap.
func TestCoverageEndsAndBeginsWithTheReads(t *testing.T) {
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	for name, tc := range map[string]struct {
		first, missed bool          // the system's first start; changes were missed before the second read
		from, to      time.Duration // the first read is at 10 s, the second one at 20 s
		want          bool
	}{
		"between the reads":                   {false, false, at(10), at(20), true},
		"before the first read":               {false, false, at(9), at(20), false},
		"before the first read of all":        {true, false, at(0), at(20), true},
		"after the last read":                 {true, false, at(10), at(21), false},
		"over a gap":                          {true, true, at(10), at(20), false},
		"after a gap":                         {false, true, at(20), at(20), true},
		"over a gap since the system's start": {true, true, at(0), at(20), false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				for _, kind := range []struct {
					whole func(d *Directory, at time.Time, missed bool)
					known func(s *Snapshot) Coverage
				}{
					{(*Directory).ConfirmWholeRead, func(s *Snapshot) Coverage { return s.ServersKnown }},
					{(*Directory).ConfirmWholeConfigRead, func(s *Snapshot) Coverage { return s.ConfigKnown }},
				} {
					d := New()
					if tc.first {
						d.NothingBefore()
					}
					d.ConfirmRead(began) // nothing was read yet
					d.ConfirmConfigRead(began)
					is.True(!kind.known(d.Current()).Includes(began, began))
					kind.whole(d, began.Add(at(10)), false)
					kind.whole(d, began.Add(at(20)), tc.missed)
					is.Equal(kind.known(d.Current()).Includes(began.Add(tc.from), began.Add(tc.to)), tc.want)
				}
			})
		})
	}
}

// A version must not be forgotten whose servers came and left between two snapshots.
func TestFormerRolesAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := func(id, software string, stage Stage, revision uint64) *Server {
			return &Server{ID: id, Service: "svc", Software: software, Stage: stage, Version: Version{Revision: revision}}
		}
		d := New()
		d.Put(server("a", "v1", Decode, 1))
		d.Apply([]Change{{Put: server("b", "v2", Decode, 2)}, {ID: "b"}, {Put: server("a", "v1", Prefill, 3)}, {Put: server("a", "v3", Decode, 4)}})
		roles := func(within time.Duration) int { return len(d.Current().Roles(time.Now().Add(-within))) }
		time.Sleep(time.Second)
		is.Equal(roles(time.Second), 4)
		is.Equal(roles(time.Second-1), 1)
		time.Sleep(RoleTTL)
		d.Remove("a", 0)
		is.Equal(len(d.Current().Former), 1) // the others are forgotten
	})
}
