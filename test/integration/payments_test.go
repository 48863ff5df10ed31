package integration

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// paymentSteps are the steps of a payment at which faults are injected.
var paymentSteps = []standin.Step{standin.StepRecord, standin.StepAnswer}

// beginPayment sends a payment under a ticket through the first entry and waits
// until it has reached a step. Its last result is the server that holds it there.
func (f *fleet) beginPayment(s standin.Step) (first *pendingCall, reference, ticket, holder string) {
	f.t.Helper()
	f.holdAt(release.RoleService, s)
	ticket = f.newTicket(0)
	reference = newContent(1)
	first = f.pay(0, reference, ticket)
	return first, reference, ticket, f.awaitHeld(release.RoleService, s)
}

// repeatPayment repeats a payment through the second entry until it is answered.
// A repeat may fail if its connection was affected by a fault.
func (f *fleet) repeatPayment(reference, ticket string) {
	f.t.Helper()
	f.await("the answer to a payment", func() bool {
		return f.pay(1, reference, ticket).wait(f).Outcome == invariant.OutcomeWhole
	})
}

// The entry is killed while a payment runs. The caller repeats the payment through
// another entry and must receive the answer of the first attempt.
func TestPaymentSurvivesEntryCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	for _, s := range paymentSteps {
		f.scenario = "entry killed at " + string(s)
		f.awaitReady()
		first, reference, ticket, _ := f.beginPayment(s)
		f.processByName["entry-1"].kill()
		is.Equal(first.wait(f).Outcome, invariant.OutcomeConnectionLost)
		repeat := f.pay(1, reference, ticket)
		f.releaseHeld(release.RoleService, s)
		got := repeat.wait(f)
		is.Equal(got.Outcome, invariant.OutcomeWhole)
		is.True(got.repeated)
		f.processByName["entry-1"].start(t)
	}
	f.checkInvariants()
}

// The agent is killed while a payment runs. The restarted agent has no record of
// the outcome and must not run the payment again.
func TestPaymentIsNotRepeatedByRestartedAgent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	for _, s := range paymentSteps {
		f.scenario = "agent killed at " + string(s)
		f.awaitReady()
		first, reference, ticket, holder := f.beginPayment(s)
		f.processByName["agent-"+holder].kill()
		is.Equal(first.wait(f).Outcome, invariant.OutcomeUnknown)
		f.processByName["agent-"+holder].start(t)
		f.releaseHeld(release.RoleService, s)
		f.awaitReady()
		is.Equal(f.pay(1, reference, ticket).wait(f).Outcome, invariant.OutcomeUnknown)
	}
	f.checkInvariants()
}

// The service is killed while a payment runs. The outcome must be reported as
// unknown, also to a repeat.
func TestPaymentOutcomeIsUnknownWhenServiceCrashes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	for _, s := range paymentSteps {
		f.scenario = "ledger killed at " + string(s)
		f.awaitReady()
		first, reference, ticket, holder := f.beginPayment(s)
		f.processByName[holder].kill()
		is.Equal(first.wait(f).Outcome, invariant.OutcomeUnknown)
		f.processByName[holder].start(t)
		f.releaseHeld(release.RoleService, s)
		is.Equal(f.pay(1, reference, ticket).wait(f).Outcome, invariant.OutcomeUnknown)
	}
	f.checkInvariants()
}

// The agent is paused between the arrival of a payment and its answer, and resumes
// after the entry has abandoned the call. The payment must run once.
func TestPaymentRunsOnceWhenItsAgentPauses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	for _, s := range paymentSteps {
		f.scenario = "agent paused at " + string(s)
		f.awaitReady()
		first, reference, ticket, holder := f.beginPayment(s)
		agent := f.processByName["agent-"+holder]
		agent.pause()
		repeat := f.pay(1, reference, ticket)
		f.releaseHeld(release.RoleService, s)
		time.Sleep(leaseExpiry)
		agent.resume()
		for _, p := range []*pendingCall{first, repeat} {
			got := p.wait(f).Outcome
			is.True(got == invariant.OutcomeWhole || got == invariant.OutcomeUnknown)
		}
		f.awaitReady()
		f.repeatPayment(reference, ticket)
	}
	f.checkInvariants()
}

// Each of linkFaults is injected into the link between the entries and the agent
// while a payment runs. The payment must run once.
func TestPaymentRunsOnceWhenLinksFail(t *testing.T) {
	for name, inject := range linkFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, redundantPlan())
			for _, s := range paymentSteps {
				f.scenario = name + " at " + string(s)
				f.awaitReady()
				first, reference, ticket, holder := f.beginPayment(s)
				l := f.links["link:peers:"+holder]
				inject(t, l)
				f.releaseHeld(release.RoleService, s)
				got := first.wait(f).Outcome
				is.True(got == invariant.OutcomeWhole || got == invariant.OutcomeUnknown)
				l.heal()
				f.awaitReady()
				f.repeatPayment(reference, ticket)
			}
			f.checkInvariants()
		})
	}
}

// Both entries receive many repeats of one payment at once. The payment must run
// once, and each call must receive its answer.
func TestPaymentRunsOnceForConcurrentRepeats(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	ticket, reference := f.newTicket(0), newContent(1)
	var all []*pendingCall
	for i := range 20 {
		all = append(all, f.pay(i%2, reference, ticket))
	}
	for _, p := range all {
		is.Equal(p.wait(f).Outcome, invariant.OutcomeWhole)
	}
	f.checkInvariants()
}
