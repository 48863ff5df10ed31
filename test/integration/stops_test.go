package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/surroundings"
)

// load sends requests of all kinds through all entries until it is stopped.
type load struct {
	fleet   *fleet
	stop    chan struct{}
	callers sync.WaitGroup

	mu       sync.Mutex
	outcomes map[invariant.Outcome]int
}

// startLoad starts n callers. Each sends its next request when the last one has
// ended, through the next entry, as behind a balancer.
func (f *fleet) startLoad(n int) *load {
	l := &load{fleet: f, stop: make(chan struct{}), outcomes: map[invariant.Outcome]int{}}
	for i := range n {
		l.callers.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) run(i int) {
	for turn := i; ; turn++ {
		select {
		case <-l.stop:
			return
		default:
		}
		entry := turn % len(l.fleet.callers)
		if !l.fleet.balanced(entry) {
			time.Sleep(pollInterval) // another entry takes the next request
			continue
		}
		got := l.call(entry, turn).Outcome
		l.mu.Lock()
		l.outcomes[got]++
		l.mu.Unlock()
		if got != invariant.OutcomeWhole {
			time.Sleep(pollInterval) // another entry takes the next request
		}
	}
}

// balanced reports whether a balancer sends requests to an entry: those that it
// sends to an entry which still starts are refused, and not cut.
func (f *fleet) balanced(entry int) bool {
	name := fmt.Sprintf("entry-%d", entry+1)
	return f.get(f.admins[name]+"/readyz", nil) == nil
}

func (l *load) call(entry, turn int) result {
	switch turn % 5 {
	case 0:
		return l.fleet.pay(entry, newContent(1), "").wait(l.fleet)
	case 1:
		return l.fleet.lookUp(entry).wait(l.fleet)
	case 2:
		return l.fleet.askWhole(entry, newContent(200)).wait(l.fleet)
	default:
		return l.fleet.ask(entry, newLongContent(100), 0).wait(l.fleet)
	}
}

func (l *load) end() map[invariant.Outcome]int {
	close(l.stop)
	l.callers.Wait()
	return l.outcomes
}

// count returns the number of calls that ended so.
func (l *load) count(o invariant.Outcome) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[o]
}

// awaitMore waits until more calls have ended whole.
func (l *load) awaitMore(n int) {
	l.fleet.t.Helper()
	target := l.count(invariant.OutcomeWhole) + n
	l.fleet.await("whole answers", func() bool { return l.count(invariant.OutcomeWhole) >= target })
}

// Every process of the system is stopped gracefully and started again, one
// after the other, under load. Nothing is cut.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, double())
	l := f.startLoad(8)
	for _, p := range f.order {
		if p.program != samphired {
			continue
		}
		f.doing = "restart of " + p.name
		l.awaitMore(8)
		p.stop(t)
		p.start(t)
		f.awaitReady()
	}
	l.awaitMore(8)
	outcomes := l.end()
	f.finish()
	t.Log(outcomes)
	for _, o := range []invariant.Outcome{invariant.OutcomeCut, invariant.OutcomePartial, invariant.OutcomeUnknown, invariant.OutcomeNotRun} {
		if outcomes[o] > 0 {
			t.Errorf("%d calls ended %s", outcomes[o], o)
		}
	}
}

// A planned stop waits for the request that runs, at each step.
func TestPlannedStopFinishesRequestAtEachStep(t *testing.T) {
	for _, p := range []part{partEntry, partPrefillAgent, partDecodeAgent} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, double())
			for _, s := range steps[1 : len(steps)-1] {
				f.doing = p.name + " stopped while " + s.name
				f.awaitReady()
				call, holder := f.advance(s)
				victim := f.victim(p, holder)
				victim.terminate()
				f.awaitDraining(victim)
				f.letGo(s)
				is.Equal(call.wait(f).Outcome, invariant.OutcomeWhole)
				victim.awaitEnd(t)
				victim.start(t)
			}
			f.finish()
		})
	}
}

// awaitDraining waits until a process that was told to stop has heard it.
func (f *fleet) awaitDraining(p *process) {
	f.t.Helper()
	f.await(p.name+" draining", func() bool {
		s, err := f.snapshot(p.name)
		return err != nil || s.State != "serving"
	})
}

// A server leaves by the list of VMs, or by a release note, or because its
// agent stops. After the bound it receives no new work; the rest serves on.
func TestLeavingServerReceivesNoNewWork(t *testing.T) {
	ways := map[string]func(*fleet, string){
		"by the list of VMs": func(f *fleet, server string) { f.setVM("agent-"+server, surroundings.VMLeaving) },
		"by a release note": func(f *fleet, server string) {
			f.publish(release.Note{Withdrawn: release.Names{BackendServers: []string{server}}})
		},
		"by the stop of its agent": func(f *fleet, server string) { f.procs["agent-"+server].terminate() },
	}
	for name, leave := range ways {
		for _, server := range []string{"prefill-1", "decode-1", "ledger-1"} {
			t.Run(name+" "+server, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, double())
				f.doing = fmt.Sprintf("%s leaves %s", server, name)
				l := f.startLoad(6)
				l.awaitMore(6)
				f.recorder.Record(invariant.Event{Kind: invariant.ServerLeaving, Process: &invariant.Process{Name: name, Server: server}})
				leave(f, server)
				for end := time.Now().Add(2 * invariant.LeavingBound); time.Now().Before(end); {
					l.awaitMore(1)
				}
				l.end()
				f.finish()
			})
		}
	}
}
