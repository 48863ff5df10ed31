package orders

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/release"
)

// convergence bounds the time until one change is in force in the tests below: two
// loads of three seconds, the grace, and the retries after faults.
const convergence = 90 * time.Second

func TestOrdersConvergeDespiteFaults(t *testing.T) {
	faults := map[string][]fault{
		"intact":        nil,
		"lost":          {lost},
		"lost often":    {lost, lost, lost, lost},
		"answer lost":   {answerLost, answerLost},
		"duplicated":    {duplicated, duplicated, duplicated},
		"delayed":       {delayed, delayed},
		"all faults":    {lost, delayed, duplicated, answerLost, lost, delayed, duplicated},
		"delayed, lost": {delayed, lost},
	}
	for name, list := range faults {
		t.Run(name, func(t *testing.T) {
			withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
				is := is.New(t)
				r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
				p := &publisher{t: t}
				p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
				r.start()
				defer r.stop()
				r.awaitConverged(convergence)
				r.engine.faults = slices.Clone(list)
				p.publish(changeNote(server("s", release.RoleDecode, "reader@2")), r.store)
				r.awaitConverged(convergence)
				p.publish(changeNote(server("s", release.RolePrefill, "reader@2")), r.store)
				r.awaitConverged(convergence)
				time.Sleep(2 * orderDelay) // delayed orders arrive, and their effect is corrected
				r.awaitConverged(convergence)
				is.Equal(r.state().Models, []string{"reader@2"})
				is.Equal(r.state().Role, "prefill")
			})
		})
	}
}

func TestNewVersionLoadsBeforeOldIsUnloaded(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		p.publish(changeNote(server("s", release.RoleDecode, "reader@2")), r.store)
		bothServed := 0
		time.Sleep(convergence / 10)
		is.True(r.rec.Snapshot().InForce)    // the new version is in service
		is.True(!r.rec.Snapshot().Converged) // the old version is still loaded
		for range 600 {
			gate := r.rec.Gate()
			is.True(gate.Serves("decode", "reader@1") || gate.Serves("decode", "reader@2")) // one of the versions always serves
			if gate.Serves("decode", "reader@1") && gate.Serves("decode", "reader@2") {
				bothServed++
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(bothServed > 0) // both serve during the grace
		is.Equal(r.state().Models, []string{"reader@2"})
	})
}

func TestUnloadWaitsForAttempts(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		is.NoErr(r.startAttempt("a", "decode", "reader@1"))
		p.publish(changeNote(server("s", release.RoleDecode, "reader@2")), r.store)
		time.Sleep(10 * testGrace)
		is.True(slices.Contains(r.state().Models, "reader@1"))
		is.True(r.startAttempt("b", "decode", "reader@1") != nil) // it is draining
		is.NoErr(r.startAttempt("c", "decode", "reader@2"))
		is.True(r.finishAttempt("a")) // nothing aborted it
		r.awaitConverged(convergence)
		is.True(r.finishAttempt("c"))
		is.Equal(r.standin.AbortedRequests(), 0)
	})
}

func TestOldVersionIsUnloadedFirstWithoutMemoryForBoth(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		for _, capacityReported := range []bool{true, false} {
			is := is.New(t)
			cfg := engineConfig(fencing, release.RoleDecode, "reader@1")
			cfg.WeightsCapacity = gigabyte + gigabyte/2
			r := newRig(t, cfg)
			if !capacityReported {
				r.engine.hideCapacity = true
			}
			p := &publisher{t: t}
			p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
			r.start()
			r.awaitConverged(convergence)
			is.NoErr(r.startAttempt("a", "decode", "reader@1"))
			p.publish(changeNote(server("s", release.RoleDecode, "reader@2")), r.store)
			time.Sleep(5 * time.Second)
			is.Equal(r.state().Models, []string{"reader@1"}) // the attempt continues
			is.True(r.startAttempt("b", "decode", "reader@1") != nil)
			is.True(r.finishAttempt("a"))
			r.awaitConverged(convergence)
			is.Equal(r.state().Models, []string{"reader@2"})
			is.Equal(r.standin.AbortedRequests(), 0)
			r.stop()
		}
	})
}

func TestRoleChangesWhenIdle(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		is.NoErr(r.startAttempt("a", "decode", "reader@1"))
		is.NoErr(r.engine.AddRequest("foreign", "reader@1")) // of an earlier incarnation of the agent
		p.publish(changeNote(server("s", release.RolePrefill, "reader@1")), r.store)
		time.Sleep(time.Minute)
		is.Equal(r.state().Role, "decode")
		is.True(r.startAttempt("b", "decode", "reader@1") != nil)
		is.True(r.startAttempt("c", "prefill", "reader@1") != nil)
		is.True(r.finishAttempt("a"))
		time.Sleep(time.Minute)
		is.Equal(r.state().Role, "decode") // the foreign request still runs
		is.True(r.engine.CancelRequest("foreign"))
		r.awaitConverged(convergence)
		is.Equal(r.state().Role, "prefill")
		is.NoErr(r.startAttempt("d", "prefill", "reader@1"))
		is.Equal(r.standin.AbortedRequests(), 0)
	})
}

func TestEngineRestartLosesModelsAndAdapters(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		note := firstNote(server("s", release.RoleDecode, "reader@1"))
		note.Added.Adapters = []release.Adapter{{Name: "legal", Model: "reader@1", Version: "1"}}
		p.publish(note, r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		for range 3 {
			r.standin.Restart()
			time.Sleep(2 * pollInterval)
			is.True(!r.rec.Gate().Serves("decode", "reader@1"))
			r.awaitConverged(convergence)
			is.Equal(r.state().Models, []string{"reader@1"})
			is.Equal(r.state().Adapters, []string{"legal@1"})
		}
	})
}

func TestEngineRestartsDuringLoad(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@2")), r.store)
		r.start()
		defer r.stop()
		time.Sleep(2 * time.Second)
		is.Equal(r.state().Loading, []string{"reader@2"})
		r.standin.Restart()
		r.awaitConverged(convergence)
		is.Equal(r.state().Models, []string{"reader@2"})
	})
}

func TestAdapterVersions(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		note := firstNote(server("s", release.RoleDecode, "reader@1"))
		note.Added.Adapters = []release.Adapter{{Name: "legal", Model: "reader@1", Version: "1"}}
		p.publish(note, r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		gate := r.rec.Gate()
		is.True(gate.Admit("a", "decode", "reader@1", "legal") == nil)
		p.publish(release.Note{Changed: release.Items{
			Adapters: []release.Adapter{{Name: "legal", Model: "reader@1", Version: "2"}},
		}}, r.store)
		time.Sleep(time.Minute)
		is.Equal(r.state().Adapters, []string{"legal@1", "legal@2"}) // the old version drains
		is.True(gate.Admit("b", "decode", "reader@1", "legal") == nil)
		gate.Release("a")
		r.awaitConverged(convergence) // while the attempt of the new version continues
		is.Equal(r.state().Adapters, []string{"legal@2"})
		p.publish(release.Note{Withdrawn: release.ItemKeys{Adapters: []string{"legal"}}}, r.store)
		time.Sleep(2 * testGrace)
		is.Equal(r.state().Adapters, []string{"legal@2"}) // it is draining
		is.True(gate.Admit("c", "decode", "reader@1", "legal") != nil)
		gate.Release("b")
		r.awaitConverged(convergence)
		is.Equal(len(r.state().Adapters), 0)
	})
}

func TestWithdrawnServerTakesNoAttemptsAndNoOrders(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		is.NoErr(r.startAttempt("a", "decode", "reader@1"))
		p.publish(release.Note{Withdrawn: release.ItemKeys{BackendServers: []string{"s"}}}, r.store)
		time.Sleep(2 * pollInterval)
		is.True(r.startAttempt("b", "decode", "reader@1") != nil)
		time.Sleep(10 * testGrace)
		is.True(r.finishAttempt("a"))
		is.Equal(len(r.standin.Orders()), 0)
		is.True(r.rec.Snapshot().InForce)
		is.True(strings.Contains(r.rec.Snapshot().Reason, "does not list this backend server"))
	})
}

// TestAgentPausedAcrossTwoNotes pauses an agent between its observation and its order while
// another note is published. The order that follows from the earlier note must not be
// sent.
func TestAgentPausedAcrossTwoNotes(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
		var paused atomic.Bool
		r.engine.beforeState = func() {
			if r.store.Current().Number == 2 && paused.CompareAndSwap(false, true) {
				time.Sleep(time.Minute) // paused after it has read note 2
			}
		}
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		p.publish(changeNote(server("s", release.RolePrefill, "reader@2")), r.store)
		time.Sleep(10 * time.Second)
		is.True(paused.Load())
		p.publish(changeNote(server("s", release.RoleDecode, "reader@3")), r.store)
		r.awaitConverged(2 * convergence)
		for _, o := range r.standin.Orders() {
			is.True(o.Model != "reader@2" && o.Action != engine.ActionRole) // nothing that only note 2 lists was ordered
		}
		is.Equal(r.state().Models, []string{"reader@3"})
	})
}

// TestStaleAgentChangesNothing runs an agent that has only an older note beside one that has
// the note in force, as happens when a paused agent resumes after its replacement
// started. The engine's fencing or the shared writer lock must stop the older one.
func TestStaleAgentChangesNothing(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		// With a fencing engine, each agent has its own lock, so that only the
		// fencing tokens protect the engine.
		shared := &sharedLock{}
		oldLock, newLock := &sharedLock{}, &sharedLock{}
		if !fencing {
			oldLock, newLock = shared, shared
		}
		p := &publisher{t: t}
		stale := release.NewStore()
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store, stale)
		p.publish(changeNote(server("s", release.RoleDecode, "reader@2")), r.store)
		r.rec = r.newReconciler(newLock, r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		before := len(r.standin.Orders())
		staleRig := &rig{t: t, engine: r.engine, store: stale}
		staleRig.rec = r.newReconciler(oldLock, stale)
		staleRig.start()
		time.Sleep(5 * time.Minute)
		is.Equal(len(r.standin.Orders()), before) // the engine took no order of the stale agent
		is.Equal(r.state().Models, []string{"reader@2"})
		is.True(staleRig.rec.Snapshot().Error != "") // and reports why
		staleRig.stop()
	})
}

func TestWriterLockPassesToNextProcess(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		shared := &sharedLock{}
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@2")), r.store)
		r.rec = r.newReconciler(shared, r.store)
		r.start()
		r.awaitConverged(convergence)
		nextRig := &rig{t: t, standin: r.standin, engine: r.engine, store: r.store}
		nextRig.rec = r.newReconciler(shared, r.store)
		nextRig.start()
		defer nextRig.stop()
		r.stop()
		p.publish(changeNote(server("s", release.RoleDecode, "reader@3")), r.store)
		nextRig.awaitConverged(convergence)
		is.Equal(nextRig.state().Models, []string{"reader@3"})
		is.True(nextRig.state().Fence == 0 || nextRig.state().Fence>>noteBits == 2)
		orders := r.standin.Orders()
		for i := 1; i < len(orders); i++ {
			is.True(orders[i].Fence > orders[i-1].Fence) // across both processes
		}
	})
}

func TestEngineUnreachableForAMinute(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
		r.start()
		defer r.stop()
		r.awaitConverged(convergence)
		r.engine.setDown(true)
		p.publish(changeNote(server("s", release.RoleDecode, "reader@2")), r.store)
		time.Sleep(time.Minute)
		is.True(r.rec.Snapshot().Error != "")
		is.True(!r.rec.Snapshot().InForce)
		r.engine.setDown(false)
		r.awaitConverged(convergence)
	})
}

// TestDelayedUnloadAbortsNoAttempt delays an order to unload until a later note lists the
// model again. Attempts that the gate admits then must not be aborted when the order
// arrives.
func TestDelayedUnloadAbortsNoAttempt(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		is := is.New(t)
		r := newRig(t, engineConfig(fencing, release.RoleDecode, "reader@1", "reader@2"))
		p := &publisher{t: t}
		p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
		r.engine.faults = []fault{delayed}
		r.start()
		defer r.stop()
		time.Sleep(testGrace + 2*pollInterval) // the order to unload reader@2 is delayed
		is.Equal(r.engine.nextFault(), intact) // the fault was used
		p.publish(changeNote(server("s", release.RoleDecode, "reader@1", "reader@2")), r.store)
		admitted := 0
		for range 120 {
			if r.startAttempt("a", "decode", "reader@2") == nil {
				admitted++
				time.Sleep(500 * time.Millisecond)
				is.True(r.finishAttempt("a"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(admitted > 0)
		is.Equal(r.standin.AbortedRequests(), 0)
		r.awaitConverged(convergence)
	})
}

// TestRandomNotesAndFaults publishes random notes while orders fail at random and
// attempts run. The engine must end in the state of the last note, and no request may
// be aborted, since the engine does not restart.
func TestRandomNotesAndFaults(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		for seed := range uint64(40) {
			runRandom(t, fencing, seed)
		}
	})
}

func runRandom(t *testing.T, fencing bool, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	cfg := engineConfig(fencing, release.RoleDecode, "reader@1")
	if seed%2 == 0 {
		cfg.WeightsCapacity = 2 * gigabyte
	}
	r := newRig(t, cfg)
	p := &publisher{t: t}
	p.publish(firstNote(server("s", release.RoleDecode, "reader@1")), r.store)
	r.engine.faults = randomFaults(rnd)
	r.start()
	defer r.stop()
	roles := []release.Role{release.RolePrefill, release.RoleDecode}
	for i := range 12 {
		models := []string{"reader@1", "reader@2", "reader@3"}
		rnd.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
		p.publish(changeNote(server("s", roles[rnd.IntN(2)], models[:1+rnd.IntN(2)]...)), r.store)
		runAttempts(t, r, rnd, i)
	}
	r.awaitConverged(2 * convergence)
	want := DesiredOf(r.store.Current(), "s")
	state := r.state()
	if state.Role != want.Role || len(state.Models) != len(want.Models) {
		t.Fatalf("seed %d: engine %+v, want %+v", seed, state, want)
	}
	if r.standin.AbortedRequests() != 0 {
		t.Fatalf("seed %d: %d requests were aborted", seed, r.standin.AbortedRequests())
	}
}

func randomFaults(rnd *rand.Rand) []fault {
	out := make([]fault, 12)
	for i := range out {
		out[i] = fault(rnd.IntN(int(delayed) + 1))
	}
	return out
}

// runAttempts starts attempts of random models, as the gate admits them, for a random
// time. The attempts end up to five seconds later.
func runAttempts(t *testing.T, r *rig, rnd *rand.Rand, round int) {
	t.Helper()
	for step := range 1 + rnd.IntN(40) {
		id := fmt.Sprintf("%d-%d", round, step)
		state := r.state()
		key := fmt.Sprintf("reader@%d", 1+rnd.IntN(3))
		if r.rec.Gate().Admit(id, state.Role, key, "") == nil {
			if err := r.engine.AddRequest(id, key); err != nil {
				t.Fatal(err)
			}
			length := time.Duration(rnd.IntN(5000)) * time.Millisecond
			time.AfterFunc(length, func() { r.finishAttempt(id) })
		}
		time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
	}
}
