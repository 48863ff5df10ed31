package integration

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// twoCentrePlan has one entry and one server of each role in each of two data
// centres.
func twoCentrePlan() plan {
	return plan{entries: []string{"dc-a", "dc-b"}, servers: []serverPlan{
		{"prefill-1", "dc-a", release.RolePrefill},
		{"decode-1", "dc-a", release.RoleDecode},
		{"ledger-1", "dc-a", release.RoleService},
		{"prefill-2", "dc-b", release.RolePrefill},
		{"decode-2", "dc-b", release.RoleDecode},
		{"ledger-2", "dc-b", release.RoleService},
	}}
}

// oppositeCentre maps each data centre to the other one.
var oppositeCentre = map[string]string{"dc-a": "dc-b", "dc-b": "dc-a"}

// partition separates the data centres, except for gossip, which does not pass
// through links. Connections between them are closed or, with blackhole, stay open
// but carry no data.
func (f *fleet) partition(blackhole bool) {
	for _, s := range f.plan.servers {
		l, source := f.links["link:peers:"+s.name], oppositeCentre[s.dc]
		if blackhole {
			l.injectToxics(f.t, source, toxicBlackholeUp, toxicBlackholeDown)
		} else {
			l.cutOff(source)
		}
	}
}

func (f *fleet) healPartition() {
	for _, s := range f.plan.servers {
		f.links["link:peers:"+s.name].heal()
	}
}

// Both data centres must keep serving during a partition. A payment that was in
// progress in one of them must not run in the other when it is repeated there.
func TestPartitionBetweenDataCentres(t *testing.T) {
	for name, blackhole := range map[string]bool{"cut": false, "blackhole": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, twoCentrePlan())
			for _, s := range paymentSteps {
				f.scenario = name + " partition with a payment at " + string(s)
				f.awaitReady()
				running := []*pendingCall{f.requestStream(0, newLongContent(50), 0), f.requestStream(1, newLongContent(50), 0)}
				first, reference, ticket, _ := f.beginPayment(s)
				f.partition(blackhole)
				repeat := f.pay(1, reference, ticket)
				f.releaseHeld(release.RoleService, s)
				is.Equal(first.wait(f).Outcome, invariant.OutcomeWhole)
				repeat.wait(f) // checkInvariants checks its outcome
				for entry := range f.callerURLs {
					is.Equal(f.requestStream(entry, newLongContent(50), 0).wait(f).Outcome, invariant.OutcomeWhole)
					is.Equal(f.getContract(entry).wait(f).Outcome, invariant.OutcomeWhole)
				}
				for _, call := range running {
					is.Equal(call.wait(f).Outcome, invariant.OutcomeWhole)
				}
				f.healPartition()
				f.repeatPayment(reference, ticket)
			}
			f.checkInvariants()
		})
	}
}

// A partition starts at each step of a request that runs in the other data centre
// than its entry. The answer must still be whole.
func TestPartitionAtEachStep(t *testing.T) {
	for name, blackhole := range map[string]bool{"cut": false, "blackhole": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, twoCentrePlan())
			for _, s := range steps[1 : len(steps)-1] {
				f.scenario = name + " partition while " + s.name
				f.awaitReady()
				f.links["link:peers:prefill-1"].cutOff("dc-a") // so that servers in dc-b are selected
				f.links["link:peers:decode-1"].cutOff("dc-a")
				f.awaitUsable("entry-1", "prefill-1", false)
				f.awaitUsable("entry-1", "decode-1", false)
				call, _ := f.advanceTo(s)
				f.links["link:peers:prefill-1"].heal()
				f.links["link:peers:decode-1"].heal()
				f.awaitUsable("entry-1", "prefill-1", true)
				f.awaitUsable("entry-1", "decode-1", true)
				f.partition(blackhole)
				f.releaseStep(s)
				is.Equal(call.wait(f).Outcome, invariant.OutcomeWhole)
				f.healPartition()
				f.await("released memory", f.memoryFree)
			}
			f.checkInvariants()
		})
	}
}

// awaitUsable waits until an entry lists a server as usable, or as not usable.
func (f *fleet) awaitUsable(entry, server string, usable bool) {
	f.t.Helper()
	f.await(server+" as seen by "+entry, func() bool {
		s, err := f.snapshot(entry)
		if err != nil {
			return false
		}
		for _, a := range s.Agents {
			if a.Server == server {
				return a.Usable == usable
			}
		}
		return !usable
	})
}

// doubleFaults are pairs of faults that are injected together. The field inject
// gets the server that holds the request.
var doubleFaults = []struct {
	name   string
	inject func(t *testing.T, f *fleet, holder string) (repair func())
}{
	{"decode agent and the link to it", func(t *testing.T, f *fleet, holder string) func() {
		f.links["link:peers:"+holder].blackholeOpen(t, toxicBlackholeUp, toxicBlackholeDown)
		f.processByName["agent-"+holder].kill()
		return func() { f.processByName["agent-"+holder].start(t) }
	}},
	{"decode engine and a prefill agent", func(t *testing.T, f *fleet, holder string) func() {
		f.processByName[holder].kill()
		f.processByName["agent-prefill-1"].pause()
		return func() {
			f.processByName[holder].start(t)
			f.processByName["agent-prefill-1"].resume()
		}
	}},
	{"decode engine and configuration service", func(t *testing.T, f *fleet, holder string) func() {
		f.processByName["platform"].pause()
		f.processByName[holder].kill()
		return func() {
			f.processByName["platform"].resume()
			f.processByName[holder].start(t)
		}
	}},
	{"restart of both prefill agents", func(t *testing.T, f *fleet, _ string) func() {
		f.processByName["agent-prefill-1"].kill()
		f.processByName["agent-prefill-2"].kill()
		f.processByName["agent-prefill-1"].start(t)
		f.processByName["agent-prefill-2"].start(t)
		return func() {}
	}},
	{"agent pauses and its engine dies", func(t *testing.T, f *fleet, holder string) func() {
		f.processByName["agent-"+holder].pause()
		f.processByName[holder].kill()
		return func() {
			f.processByName[holder].start(t)
			f.processByName["agent-"+holder].resume()
		}
	}},
}

// Two faults are injected together while a request is being decoded. The caller
// must receive one whole answer.
func TestTwoFaultsAtOnce(t *testing.T) {
	for _, d := range doubleFaults {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, redundantPlan())
			f.scenario = d.name
			s := step{"decoding", release.RoleDecode, standin.StepDecode}
			call, holder := f.advanceTo(s)
			repair := d.inject(t, f, holder)
			f.releaseStep(s)
			got := call.wait(f)
			is.Equal(got.Outcome, invariant.OutcomeWhole)
			repair()
			f.releaseHeld(s.role, s.at)
			f.checkInvariants()
		})
	}
}
