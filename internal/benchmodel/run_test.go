package benchmodel

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

func TestRunsAreDeterministic(t *testing.T) {
	is := is.New(t)
	f := Nile()
	f.Duration = 10 * time.Second
	for _, s := range Scenarios() {
		is.Equal(Run(f, s, Default()), Run(f, s, Default()))
	}
}

// TestEveryRequestCompletesOrIsRefused checks that each request either completes or
// is refused if its entry does not crash, with each fault and policy.
func TestEveryRequestCompletesOrIsRefused(t *testing.T) {
	is := is.New(t)
	f := Registry()
	f.Duration = 12 * time.Second
	for _, s := range Scenarios() {
		if s.LoseDataCentre {
			continue // requests at dead entries neither complete nor are refused
		}
		for _, p := range Policies() {
			if p.NoTransferTimeout && s.CrashPrefill {
				continue // a transfer from a crashed server never ends, by design of the policy
			}
			requests := generate(f, s)
			sim := newSimulation(f, s, p)
			for _, r := range requests {
				sim.clock.at(r.arrived, func() { sim.routeRequest(r) })
			}
			sim.scheduleFaults()
			sim.clock.run(f.Duration + 10*drainTime)
			for _, r := range requests {
				if r.completed == r.refused {
					t.Errorf("%s/%s: request %d completed %v, refused %v, attempts %d", s.Name, p.Name, r.id, r.completed, r.refused, r.attempts)
				}
			}
			sim.checkServersEmpty(is)
		}
	}
}

// checkServersEmpty checks that decode servers have no slots or memory in use or
// reserved after all requests have ended.
func (sim *simulation) checkServersEmpty(is *is.I) {
	is.Helper()
	for _, s := range sim.decodes {
		is.Equal(s.slotsUsed, 0)
		is.Equal(s.slotsReserved, 0)
		is.Equal(s.piecesUsed, 0)
		is.Equal(s.piecesReserved, 0)
	}
}

// TestLateDecodeFailureAfterReplacement covers the case in which the failure of a
// crashed decode server is reported when its request is already reserving another
// one.
func TestLateDecodeFailureAfterReplacement(t *testing.T) {
	is := is.New(t)
	s, ok := FindScenario("crash")
	is.True(ok)
	for _, p := range Policies() {
		t.Log(p.Name)
		is.True(Run(Registry(), s, p).GoodputShare > 0)
	}
}

// TestEachAttemptIsCountedOnce tries several prefill servers in one attempt, and begins
// another after a refusal.
func TestEachAttemptIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := Nile()
	f.Duration = time.Second
	policy := Default()
	policy.Reservation = ReserveAfterPrefill
	requests := generate(f, Scenario{Load: 0.5})
	e := newSimulation(f, Scenario{}, policy).entries[0]
	a := &activeRequest{e: e, req: requests[0]}
	a.job = &schedule.Job{Provider: f.Providers[0].Name, Weight: 1, Owner: a}
	e.prepareJob(a)
	plan := placement.Plan{Prefill: 0, Decode: -1}
	e.dispatch(a, plan)
	e.runPrefill(a) // at another server, as after a failed call
	is.Equal(a.req.attempts, 1)
	a.refusals = 1
	e.dispatch(a, plan)
	is.Equal(a.req.attempts, 2)
}

// TestBoundCountsWhatFaultsLeave checks the server time that is left by faults that do not
// stop a server.
func TestBoundCountsWhatFaultsLeave(t *testing.T) {
	is := is.New(t)
	f := Nile()
	f.Duration = 30 * time.Second
	w := Window{0, f.Duration}
	prefill, decode := Scenario{}.availableServerTime(f, w)
	slowPrefill, slowDecode := Scenario{SlowDecode: true}.availableServerTime(f, w)
	is.Equal(slowPrefill, prefill)
	is.Equal(decode-slowDecode, 10*time.Second/slowFactor) // half of the speed for a third of the run
	stalledPrefill, stalledDecode := Scenario{StallLink: true}.availableServerTime(f, w)
	is.Equal(prefill-stalledPrefill, stallDuration-firstTokenTarget)
	is.Equal(stalledDecode, decode)
}
