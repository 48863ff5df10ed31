package release_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirestream/samphirestream/internal/release"
)

// publish encodes a note as operators publish it, as the next note after a fleet
// state.
func publish(t interface{ Fatal(...any) }, n release.Note, after *release.FleetState) release.Document {
	n.Schema, n.Number, n.Previous = release.Schema, after.Number+1, after.Digest
	raw, err := yaml.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	d, err := release.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func adapterNote(name, model string) release.Note {
	return release.Note{Added: release.Items{Adapters: []release.Adapter{{Name: name, Model: model, Version: "1"}}}}
}

// chain returns a store with a note that adds a model, and n notes that add an adapter
// each.
func chain(t interface{ Fatal(...any) }, n int) *release.Store {
	s := release.NewStore()
	first := release.Note{Added: release.Items{Models: []release.Model{{Name: "m", Version: "1", WindowTokens: 1}}}}
	for i := range n + 1 {
		note := first
		if i > 0 {
			note = adapterNote(fmt.Sprintf("a%d", i), "m@1")
		}
		if err := s.Apply(publish(t, note, s.Latest())); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func TestStoreKeepsABoundedNumberOfNotes(t *testing.T) {
	is := is.New(t)
	s := chain(t, 600)
	_, ok := s.Document(1)
	is.True(!ok)
	d, ok := s.Document(601)
	is.True(ok)
	is.Equal(d.Note.Number, uint64(601))
	docs, ok := s.Since(599, 1<<20)
	is.True(ok)
	is.Equal(len(docs), 2)
	_, ok = s.Since(5, 1<<20)
	is.True(!ok)
	_, ok = s.Since(600, 10) // the next note does not fit
	is.True(!ok)
}

func TestStoreActivatesNoNotesWhileActivationIsDeferred(t *testing.T) {
	is := is.New(t)
	s := release.NewStore()
	s.DeferActivation()
	changed := s.Changed()
	is.NoErr(s.Apply(publish(t, release.Note{}, s.Latest())))
	is.Equal(s.Current().Number, uint64(0))
	is.Equal(s.Latest().Number, uint64(1))
	s.Activate()
	<-changed
	is.Equal(s.Current().Number, uint64(1))
	s.DeferActivation() // has no effect once a note is in force
	is.NoErr(s.Apply(publish(t, release.Note{}, s.Latest())))
	is.Equal(s.Current().Number, uint64(2))
}

func TestConflictingNoteIsRefused(t *testing.T) {
	is := is.New(t)
	s := chain(t, 2)
	before := s.Current()
	previous, _ := s.Document(2)
	other := release.Note{Schema: release.Schema, Number: 3, Previous: previous.Digest, Summary: "another"}
	raw, err := yaml.Marshal(other)
	is.NoErr(err)
	d, err := release.Parse(raw)
	is.NoErr(err)
	is.True(errors.Is(s.Apply(d), release.ErrFork))
	is.Equal(s.Current(), before)
	is.Equal(s.Forks(), int64(1))
	is.NoErr(s.CheckDigest(3, before.Digest[:16]))
	is.True(errors.Is(s.CheckDigest(2, before.Digest[:16]), release.ErrFork))
}

func TestSnapshotRestoresTheFleetState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := chain(t, rapid.IntRange(1, 20).Draw(t, "notes"))
		if rapid.Bool().Draw(t, "withdraw") {
			n := release.Note{Withdrawn: release.ItemKeys{Adapters: []string{"a1"}}}
			if err := s.Apply(publish(t, n, s.Latest())); err != nil {
				t.Fatal(err)
			}
		}
		data, err := s.Latest().Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		state, err := release.ParseSnapshot(data)
		if err != nil {
			t.Fatal(err)
		}
		if state.StateDigest() != s.Latest().StateDigest() || state.WasWithdrawn("a1") != s.Latest().WasWithdrawn("a1") {
			t.Fatal("the snapshot differs from the fleet state")
		}
		other := release.NewStore()
		if err := other.InstallSnapshot(state); err != nil {
			t.Fatal(err)
		}
		next := publish(t, adapterNote("z", "m@1"), s.Latest())
		if s.Apply(next) != nil || other.Apply(next) != nil || other.Current().StateDigest() != s.Current().StateDigest() {
			t.Fatal("the chain can not be continued after the snapshot")
		}
	})
}

func TestInstalledSnapshotKeepsALaterNote(t *testing.T) {
	is := is.New(t)
	old := chain(t, 2).Latest()
	s := chain(t, 5)
	is.NoErr(s.InstallSnapshot(old))
	is.Equal(s.Current().Number, uint64(6))
}

// designServers and designProviders are the fleet size that the system is designed
// for.
const (
	designServers   = 3200
	designProviders = 760
)

func designNote() release.Note {
	n := release.Note{}
	for i := range 4 {
		n.Added.Models = append(n.Added.Models, release.Model{Name: fmt.Sprintf("model-%d", i), Version: "2026-01", WindowTokens: 64_000})
	}
	for i := range designServers {
		n.Added.BackendServers = append(n.Added.BackendServers, release.BackendServer{
			Name: fmt.Sprintf("dc-%d-decode-%d", i%25, i), DataCentre: fmt.Sprintf("dc-%d", i%25), Region: fmt.Sprintf("region-%d", i%8),
			Agent: fmt.Sprintf("10.%d.%d.%d:7000", i%25, i>>8, i&255), Role: release.RoleDecode, Models: []string{fmt.Sprintf("model-%d@2026-01", i%4)},
		})
	}
	for i := range designProviders {
		n.Added.Providers = append(n.Added.Providers, release.Provider{
			Name: fmt.Sprintf("provider-%d", i), Weight: 1, KeyDigests: []string{release.Digest([]byte(fmt.Sprint(i)))},
		})
	}
	return n
}

func designState(t interface{ Fatal(...any) }) *release.FleetState {
	s := release.NewStore()
	if err := s.Apply(publish(t, designNote(), s.Latest())); err != nil {
		t.Fatal(err)
	}
	return s.Latest()
}

func TestSnapshotOfDesignSizeFitsLimit(t *testing.T) {
	is := is.New(t)
	data, err := designState(t).Snapshot()
	is.NoErr(err)
	t.Logf("snapshot of %d bytes", len(data))
	is.True(len(data) < release.MaxSnapshotBytes)
}

// BenchmarkApply measures applying one small note to a fleet state of the design
// size, including the digest of the state.
func BenchmarkApply(b *testing.B) {
	state := designState(b)
	d := publish(b, adapterNote("a", "model-0@2026-01"), state)
	b.ReportAllocs()
	for b.Loop() {
		next, err := state.Apply(d)
		if err != nil {
			b.Fatal(err)
		}
		_ = next.StateDigest()
	}
}

// BenchmarkFoldMemory measures the memory that a fleet state of the design size
// retains, together with its published note.
func BenchmarkFoldMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		state := designState(b)
		b.ReportMetric(heapBytes()-before, "B_retained")
		runtime.KeepAlive(state)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkSnapshot(b *testing.B) {
	state := designState(b)
	for b.Loop() {
		data, err := state.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := release.ParseSnapshot(data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "B")
	}
}

func FuzzParseSnapshot(f *testing.F) {
	data, err := chain(f, 3).Latest().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(strings.Repeat("\x00", 64)))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = release.ParseSnapshot(data) })
}
