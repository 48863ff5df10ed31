package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
)

// load sends requests of all kinds through all entries until end is called.
type load struct {
	fleet   *fleet
	stop    chan struct{}
	callers sync.WaitGroup

	mu       sync.Mutex
	outcomes map[invariant.Outcome]int
}

// startLoad starts n callers. Each sends its requests one after the other, through
// the entries in turn, like a load balancer.
func (f *fleet) startLoad(n int) *load {
	l := &load{fleet: f, stop: make(chan struct{}), outcomes: map[invariant.Outcome]int{}}
	for i := range n {
		l.callers.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) run(i int) {
	for n := i; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		entry := n % len(l.fleet.callerURLs)
		if !l.fleet.acceptsTraffic(entry) {
			time.Sleep(pollInterval) // the next request goes to another entry
			continue
		}
		got := l.call(entry, n).Outcome
		l.mu.Lock()
		l.outcomes[got]++
		l.mu.Unlock()
		if got != invariant.OutcomeWhole {
			time.Sleep(pollInterval) // the next request goes to another entry
		}
	}
}

// acceptsTraffic reports whether an entry is ready, so that a load balancer sends
// requests to it. An entry that is still starting refuses them, but does not
// interrupt them.
func (f *fleet) acceptsTraffic(entry int) bool {
	name := fmt.Sprintf("entry-%d", entry+1)
	return f.get(f.adminURLs[name]+"/readyz", nil) == nil
}

func (l *load) call(entry, n int) result {
	switch n % 5 {
	case 0:
		return l.fleet.pay(entry, newContent(1), "").wait(l.fleet)
	case 1:
		return l.fleet.getContract(entry).wait(l.fleet)
	case 2:
		return l.fleet.requestWhole(entry, newContent(200)).wait(l.fleet)
	default:
		return l.fleet.requestStream(entry, newLongContent(100), 0).wait(l.fleet)
	}
}

// end stops the callers and returns the number of calls with each outcome.
func (l *load) end() map[invariant.Outcome]int {
	close(l.stop)
	l.callers.Wait()
	return l.outcomes
}

// count returns the number of calls with an outcome so far.
func (l *load) count(o invariant.Outcome) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[o]
}

// awaitMore waits until n more calls have received a whole answer.
func (l *load) awaitMore(n int) {
	l.fleet.t.Helper()
	target := l.count(invariant.OutcomeWhole) + n
	l.fleet.await("whole answers", func() bool { return l.count(invariant.OutcomeWhole) >= target })
}

// Each samphired process is stopped gracefully and started again, one after the
// other, under load. No call may be interrupted or refused.
func TestRollingRestartInterruptsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, redundantPlan())
	l := f.startLoad(8)
	for _, p := range f.processes {
		if p.program != samphired {
			continue
		}
		f.scenario = "restart of " + p.name
		l.awaitMore(8)
		p.stop(t)
		p.start(t)
		f.awaitReady()
	}
	l.awaitMore(8)
	outcomes := l.end()
	f.checkInvariants()
	t.Log(outcomes)
	for _, o := range []invariant.Outcome{invariant.OutcomeConnectionLost, invariant.OutcomePartial, invariant.OutcomeUnknown, invariant.OutcomeNotRun} {
		if outcomes[o] > 0 {
			t.Errorf("%d calls ended %s", outcomes[o], o)
		}
	}
}

// A process receives SIGTERM at each step of a request. It must finish the request
// before it exits.
func TestPlannedStopFinishesRequestAtEachStep(t *testing.T) {
	for _, p := range []component{entryComponent, prefillAgentComponent, decodeAgentComponent} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, redundantPlan())
			for _, s := range steps[1 : len(steps)-1] {
				f.scenario = p.name + " stopped while " + s.name
				f.awaitReady()
				call, holder := f.advanceTo(s)
				target := f.targetProcess(p, holder)
				target.terminate()
				f.awaitDraining(target)
				f.releaseStep(s)
				is.Equal(call.wait(f).Outcome, invariant.OutcomeWhole)
				target.awaitExit(t)
				target.start(t)
			}
			f.checkInvariants()
		})
	}
}

// awaitDraining waits until a process that received SIGTERM no longer reports that
// it serves.
func (f *fleet) awaitDraining(p *process) {
	f.t.Helper()
	f.await(p.name+" draining", func() bool {
		s, err := f.snapshot(p.name)
		return err != nil || s.State != "serving"
	})
}

// A server is marked as leaving in the list of VMs, is withdrawn by a release note,
// or its agent stops. After invariant.LeavingBound it must receive no new work,
// while the other servers keep serving.
func TestLeavingServerReceivesNoNewWork(t *testing.T) {
	ways := map[string]func(*fleet, string){
		"by the list of VMs": func(f *fleet, server string) { f.setVM("agent-"+server, controlplane.VMLeaving) },
		"by a release note": func(f *fleet, server string) {
			f.publish(release.Note{Withdrawn: release.ItemKeys{BackendServers: []string{server}}})
		},
		"by the stop of its agent": func(f *fleet, server string) { f.processByName["agent-"+server].terminate() },
	}
	for name, leave := range ways {
		for _, server := range []string{"prefill-1", "decode-1", "ledger-1"} {
			t.Run(name+" "+server, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, redundantPlan())
				f.scenario = fmt.Sprintf("%s leaves %s", server, name)
				l := f.startLoad(6)
				l.awaitMore(6)
				f.recorder.Record(invariant.Event{Kind: invariant.ServerLeaving, Process: &invariant.Process{Name: name, Server: server}})
				leave(f, server)
				for end := time.Now().Add(2 * invariant.LeavingBound); time.Now().Before(end); {
					l.awaitMore(1)
				}
				l.end()
				f.checkInvariants()
			})
		}
	}
}
