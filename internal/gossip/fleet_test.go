package gossip_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

const (
	testSeed = 7
	// target is the maximum time until a published note is in force everywhere.
	target = 19 * time.Second
	// drainTarget is the maximum time until all peers have recorded a VM as leaving.
	drainTarget = 3 * time.Second
	// serviceRate is the capacity of the configuration service, in calls a second.
	serviceRate = 2000
)

func providerNote(number uint64) release.Note {
	return release.Note{Added: release.Items{Providers: []release.Provider{{
		Name: fmt.Sprintf("p%d", number), Weight: 1, KeyDigests: []string{release.Digest([]byte(fmt.Sprint(number)))},
	}}}}
}

// conflictingNote is a note that differs from the published one of the same number.
func conflictingNote(number uint64, previous string) release.Document {
	n := providerNote(number)
	n.Schema, n.Number, n.Previous, n.Summary = release.Schema, number, previous, "the other branch"
	return standin.MustDocument(n)
}

func newFleet(processes, centres int) *standin.ControlFleet {
	return standin.NewControlFleet(standin.ControlOptions{
		Processes: processes, DataCentres: centres, EntryEvery: 5, Loss: 0.01, Seed: testSeed,
		Tuning: gossip.DefaultTuning(), Note: providerNote,
	})
}

// runningFleet returns a fleet in which this number of notes is in force everywhere.
func runningFleet(t *testing.T, processes, centres, notes int) *standin.ControlFleet {
	t.Helper()
	f := newFleet(processes, centres)
	f.Publish()
	f.StartAll()
	f.Run(5 * time.Second)
	for range notes - 1 {
		f.Publish()
	}
	if !f.RunUntil(target, func() bool { return f.InForce(uint64(notes)) }) {
		t.Fatalf("note %d is not in force", notes)
	}
	return f
}

// noteDecreaseCheck returns a function that fails the test when the number of the
// note in force has decreased at a process. It always returns false, for use with
// RunUntil.
func noteDecreaseCheck(t *testing.T, f *standin.ControlFleet) func() bool {
	t.Helper()
	highest := map[*standin.ControlNode]uint64{}
	return func() bool {
		for _, c := range f.Nodes {
			number := c.Node.Store().Current().Number
			if number < highest[c] {
				t.Fatalf("%s went back from note %d to %d", c.VM.Name, highest[c], number)
			}
			highest[c] = number
		}
		return false
	}
}

func TestStaleOrDownServiceDoesNotRevertNotes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 12, 3, 5)
	check := noteDecreaseCheck(t, f)
	f.SetVisible(2)
	for _, f.ConfigServiceDown = range []bool{false, true} {
		for range 60 * 60 {
			f.Run(time.Second)
			check()
		}
	}
	is.True(f.InForce(5))
	f.ConfigServiceDown = false
	f.Publish()
	is.True(f.RunUntil(target, func() bool { check(); return f.InForce(6) }))
}

func TestRestartedProcessGetsLatestNoteFromPeersWhenServiceIsStale(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 60, 3, 5)
	f.SetVisible(2)
	for _, vm := range f.VMs[:10] {
		c := f.Start(vm)
		is.True(f.RunUntil(target, func() bool { return c.Node.Store().Current().Number > 0 }))
		is.Equal(c.Node.Store().Current().Number, uint64(5)) // the first note in force is the latest
	}
}

func TestProcessWithoutPeersUsesNotesOfTheService(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(60, 3)
	for range 3 {
		f.Publish()
	}
	f.SetVisible(2)
	c := f.Start(f.VMs[0]) // no other listed process is running
	is.True(f.RunUntil(target, func() bool { return f.InForce(2) }))
	is.Equal(c.Node.Dump().Answers, 0)
	f.SetVisible(3)
	is.True(f.RunUntil(target, func() bool { return f.InForce(3) }))
}

func TestProcessGetsNotesFromPeersWhenServiceAndListAreDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 60, 3, 5)
	f.ConfigServiceDown = true
	c := f.Start(f.VMs[7])
	is.True(f.RunUntil(target, func() bool { return c.Node.Store().Current().Number == 5 }))
}

func TestConflictingNoteIsReportedAsFork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 60, 3, 4)
	digest := f.Published[2].Digest
	forked := f.Nodes[20]
	kept := forked.Node.Store().Current().Digest
	is.True(errors.Is(forked.Node.Store().Apply(conflictingNote(4, digest)), release.ErrFork))
	is.Equal(forked.Node.Store().Current().Digest, kept) // the first note stays in force
	fork, seen := forked.Node.Store().LastFork()
	is.True(seen)
	is.Equal(fork.Number, uint64(4))
}

func TestForkAcrossAPartitionIsDetectedWhenItHeals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 60, 3, 3)
	f.Network.Partitioned = func(from, to string) bool { return isolated(from) != isolated(to) }
	f.Unreachable = func(c *standin.ControlNode) bool { return isolated(c.VM.Peers) }
	other := conflictingNote(4, f.Published[2].Digest)
	for _, c := range f.Nodes {
		if isolated(c.VM.Peers) {
			is.NoErr(c.Node.Store().Apply(other))
		}
	}
	f.Publish()
	f.Run(2 * time.Minute)
	f.Network.Partitioned, f.Unreachable = nil, nil
	f.Run(time.Minute)
	forks := 0
	for _, c := range f.Nodes {
		forks += int(c.Node.Counters().Forks.Value())
		want := f.Published[3].Digest
		if isolated(c.VM.Peers) {
			want = other.Digest
		}
		is.Equal(c.Node.Store().Current().Digest, want) // each process keeps the note that it applied first
	}
	is.True(forks > 0)
}

// isolated selects the processes of the data centre dc-0, by their addresses.
func isolated(addr string) bool { return strings.HasPrefix(addr, "10.0.") }

func TestProcessPullsNotesMissedDuringAPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 60, 3, 2)
	partitioned := f.Nodes[9]
	f.Network.Partitioned = func(from, to string) bool { return from == partitioned.VM.Peers || to == partitioned.VM.Peers }
	f.Unreachable = func(c *standin.ControlNode) bool { return c == partitioned }
	for range 3 {
		f.Publish()
		f.Run(17 * time.Second)
	}
	is.Equal(partitioned.Node.Store().Current().Number, uint64(2))
	f.Network.Partitioned = nil
	is.True(f.RunUntil(target, func() bool { return f.InForce(5) }))
	is.True(f.RunUntil(time.Minute, func() bool { return countAliveRecords(f, partitioned.VM.Name) == 19 })) // its peers record it as alive again
}

// countAliveRecords counts the peers in the data centre that record a process as
// alive.
func countAliveRecords(f *standin.ControlFleet, name string) int {
	n := 0
	for _, c := range f.Nodes {
		for _, m := range c.Node.View().Members {
			if m.Name == name && c.VM.Name != name && m.State == membership.Alive {
				n++
			}
		}
	}
	return n
}

func TestPartitionWithNotesOnOneSideHeals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 90, 3, 2)
	check := noteDecreaseCheck(t, f)
	f.Network.Partitioned = func(from, to string) bool { return isolated(from) != isolated(to) }
	f.Unreachable = func(c *standin.ControlNode) bool { return isolated(c.VM.Peers) }
	for range 10 {
		f.Publish()
		f.RunUntil(18*time.Second, check)
	}
	for _, c := range f.Nodes {
		is.Equal(c.Node.Store().Current().Number == 2, isolated(c.VM.Peers))
	}
	f.Network.Partitioned = nil // the service stays unreachable
	is.True(f.RunUntil(target, func() bool { check(); return f.InForce(12) }))
}

func TestSimultaneousStartsStayWithinTheServiceRate(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name       string
		vmListDown bool
		cut        bool
	}{{"usual", false, false}, {"without gossip", false, true}, {"without list and gossip", true, true}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(1000, 7)
			f.VMListDown = tt.vmListDown
			if tt.cut {
				f.Network.Partitioned = func(string, string) bool { return true }
			}
			f.Publish()
			f.StartAll()
			is.True(f.RunUntil(time.Minute, func() bool { return f.InForce(1) }))
			f.Run(time.Second)
			f.ConfigServiceDown = true
			f.Run(5 * time.Second)
			f.ConfigServiceDown = false
			f.Publish()
			is.True(f.RunUntil(time.Minute, func() bool { return f.InForce(2) }))
			t.Logf("peak of %d calls a second", f.PeakCalls())
			is.True(f.PeakCalls() < serviceRate*1000/3530) // the share of 1000 processes in a fleet of 3530
		})
	}
}

func TestPausedProcessIsNotUpToDateUntilItHasTheLatestNote(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 60, 3, 2)
	c := f.Nodes[11]
	is.True(c.Node.UpToDate())
	c.Paused = true
	f.Publish()
	f.Publish()
	f.Run(30 * time.Second)
	c.Paused = false
	for f.Clock.Now(); c.Node.Counters().Pauses.Value() == 0; f.Run(time.Millisecond) {
		is.Equal(c.Node.Store().Current().Number < 4, true)
	}
	is.True(!c.Node.UpToDate())
	is.True(f.RunUntil(target, c.Node.UpToDate))
	is.Equal(c.Node.Store().Current().Number, uint64(4)) // up to date implies the latest note
}

func TestPeersRecordALeavingProcessWithinTheDrainTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 423, 3, 1) // 141 processes in a data centre
	leaving := f.Nodes[4]
	leaving.Node.Leave(f.Clock.Now())
	recordedByAll := func() bool {
		for _, c := range f.Nodes {
			if _, unavailable := c.Node.View().Unavailable[leaving.VM.Backend]; c.VM.DataCentre == leaving.VM.DataCentre && !unavailable {
				return false
			}
		}
		return true
	}
	is.True(f.RunUntil(drainTarget, recordedByAll))
}

func TestServersListedAsLeavingAreUnavailableAtEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 21, 3, 1)
	leaving := &f.VMs[4]
	leaving.State = controlplane.VMLeaving
	is.True(f.RunUntil(drainTarget, func() bool { return unavailableAt(f, leaving.Backend) == entriesOf(f) }))
	leaving.State = controlplane.VMLive
	is.True(f.RunUntil(drainTarget, func() bool { return unavailableAt(f, leaving.Backend) == 0 }))
}

func entriesOf(f *standin.ControlFleet) int {
	n := 0
	for _, vm := range f.VMs {
		if vm.Backend == "" {
			n++
		}
	}
	return n
}

// unavailableAt counts the entries that send no new work to a server.
func unavailableAt(f *standin.ControlFleet, backend string) int {
	n := 0
	for _, c := range f.Nodes {
		if _, unavailable := c.Node.View().Unavailable[backend]; unavailable && c.VM.Backend == "" {
			n++
		}
	}
	return n
}

func TestStoppedProcessBecomesSuspectThenDeadAndAliveAfterRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 60, 3, 1)
	c := f.Nodes[11]
	c.Stop()
	states := map[membership.State]bool{}
	f.RunUntil(time.Minute, func() bool {
		for _, m := range f.Nodes[14].Node.View().Members {
			if m.Name == c.VM.Name {
				states[m.State] = true
			}
		}
		return states[membership.Dead]
	})
	is.True(states[membership.Suspect])
	is.True(states[membership.Dead])
	f.Start(c.VM)
	is.True(f.RunUntil(time.Minute, func() bool { return countAliveRecords(f, c.VM.Name) == 19 }))
}

func TestPacketLossOfTenPercentMarksNoServerUnavailable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 141, 1, 1)
	f.Network.Loss = 0.10
	for range 60 {
		f.Run(time.Second)
		for _, c := range f.Nodes {
			is.Equal(len(c.Node.View().Unavailable), 0)
		}
	}
}

func TestNewProcessPullsASnapshotInsteadOfOldNotes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := runningFleet(t, 9, 3, 1)
	for range 600 {
		f.Publish()
		f.Run(100 * time.Millisecond)
	}
	is.True(f.RunUntil(10*target, func() bool { return f.InForce(601) }))
	f.ConfigServiceDown = true
	c := f.Start(f.VMs[3])
	is.True(f.RunUntil(target, func() bool { return c.Node.Store().Current().Number == 601 }))
	is.Equal(c.Node.Store().Current().StateDigest(), f.Nodes[0].Node.Store().Current().StateDigest())
	f.ConfigServiceDown = false
	f.Publish()
	is.True(f.RunUntil(target, func() bool { return f.InForce(602) })) // the next note follows the snapshot
}
