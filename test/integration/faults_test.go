package integration

import (
	"cmp"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// step is a step of a model request at which faults are injected.
type step struct {
	name string
	role release.Role
	at   standin.Step
}

// Steps of a model request, in order. At stepReserved the decode memory is
// reserved, but the prefill command does not arrive. At stepAnswered the answer
// has been received. At the others a stand-in holds the request.
var (
	stepReserved = step{name: "reserved"}
	stepAnswered = step{name: "answered"}
	steps        = []step{
		stepReserved,
		{"prefilling", release.RolePrefill, standin.StepPrefill},
		{"transferring", release.RolePrefill, standin.StepExport},
		{"importing", release.RoleDecode, standin.StepImport},
		{"decoding", release.RoleDecode, standin.StepDecode},
		stepAnswered,
	}
)

// component is a part of the system into which faults are injected: the entry, or
// the agent or the backend server that works on the request.
type component struct {
	name  string
	agent bool
	role  release.Role // empty for an entry
}

var (
	entryComponent         = component{name: "entry"}
	prefillAgentComponent  = component{"prefill agent", true, release.RolePrefill}
	prefillEngineComponent = component{"prefill engine", false, release.RolePrefill}
	decodeAgentComponent   = component{"decode agent", true, release.RoleDecode}
	decodeEngineComponent  = component{"decode engine", false, release.RoleDecode}
)

// leaseExpiry is the time after which a lease has expired and its expiry has been
// detected by a periodic check.
const leaseExpiry = defaultLease + 500*time.Millisecond

// defaultLease is the default of the setting timeouts.lease.
const defaultLease = 3 * time.Second

// fault is a fault of a process. repair makes the process work again.
type fault struct {
	name   string
	inject func(*process)
	repair func(*testing.T, *process)
}

var (
	faultKill  = fault{"kill", (*process).kill, func(t *testing.T, p *process) { p.start(t) }}
	faultPause = fault{"pause", (*process).pause, func(_ *testing.T, p *process) { p.resume() }}
)

// advanceTo sends a model request and waits until it has reached a step. It
// returns the server that holds the request there, if there is one.
func (f *fleet) advanceTo(s step) (*pendingCall, string) {
	f.t.Helper()
	if s == stepAnswered {
		p := f.requestStream(0, newLongContent(50), 0)
		p.wait(f)
		return p, ""
	}
	if s == stepReserved {
		f.eachServer(release.RolePrefill, func(server string) {
			f.links["link:peers:"+server].injectToxics(f.t, "", toxicBlackholeUp)
		})
		p := f.requestStream(0, newLongContent(50), 0)
		return p, f.awaitAttempt(release.RoleDecode)
	}
	f.holdAt(s.role, s.at)
	p := f.requestStream(0, newLongContent(50), 0)
	if s.at == standin.StepDecode {
		<-p.firstToken
	}
	return p, f.awaitHeld(s.role, s.at)
}

// releaseStep undoes what advanceTo did to hold requests at a step.
func (f *fleet) releaseStep(s step) {
	if s == stepReserved {
		f.eachServer(release.RolePrefill, func(server string) { f.links["link:peers:"+server].heal() })
	}
	if s.role != "" {
		f.releaseHeld(s.role, s.at)
	}
}

// awaitAttempt waits until an agent of a role holds an attempt.
func (f *fleet) awaitAttempt(role release.Role) string {
	f.t.Helper()
	holder := ""
	f.await("an attempt at an agent", func() bool {
		holder = f.attemptHolder(role)
		return holder != ""
	})
	return holder
}

// attemptHolder returns a server of a role whose agent holds an attempt.
func (f *fleet) attemptHolder(role release.Role) string {
	holder := ""
	f.eachServer(role, func(server string) {
		if s, err := f.snapshot("agent-" + server); err == nil && len(s.Attempts) > 0 {
			holder = server
		}
	})
	return holder
}

// targetProcess returns the process of a component that works on the request, or,
// if there is none, another process of the component.
func (f *fleet) targetProcess(p component, holder string) *process {
	if p.role == "" {
		return f.processByName["entry-1"]
	}
	server := holder
	if f.roleOf(holder) != p.role {
		server = cmp.Or(f.attemptHolder(p.role), string(p.role)+"-1")
	}
	if p.agent {
		return f.processByName["agent-"+server]
	}
	return f.processByName[server]
}

func (f *fleet) roleOf(server string) release.Role {
	for _, s := range f.plan.servers {
		if s.name == server {
			return s.role
		}
	}
	return ""
}

// Each test kills or pauses one component at each step of a request.

func TestKillEntryAtEachStep(t *testing.T) { testFaultAtEachStep(t, faultKill, entryComponent) }

func TestKillPrefillAgentAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultKill, prefillAgentComponent)
}

func TestKillPrefillEngineAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultKill, prefillEngineComponent)
}

func TestKillDecodeAgentAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultKill, decodeAgentComponent)
}

func TestKillDecodeEngineAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultKill, decodeEngineComponent)
}

func TestPauseEntryAtEachStep(t *testing.T) { testFaultAtEachStep(t, faultPause, entryComponent) }

func TestPausePrefillAgentAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultPause, prefillAgentComponent)
}

func TestPausePrefillEngineAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultPause, prefillEngineComponent)
}

func TestPauseDecodeAgentAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultPause, decodeAgentComponent)
}

func TestPauseDecodeEngineAtEachStep(t *testing.T) {
	testFaultAtEachStep(t, faultPause, decodeEngineComponent)
}

// testFaultAtEachStep injects a fault into a component at each step of a request.
// The answer must still be whole, unless the entry of the caller was killed.
func testFaultAtEachStep(t *testing.T, ft fault, p component) {
	t.Parallel()
	f := newFleet(t, redundantPlan())
	for _, s := range steps {
		f.testFault(t, ft, p, s)
	}
	f.checkInvariants()
}

func (f *fleet) testFault(t *testing.T, ft fault, p component, s step) {
	t.Helper()
	f.scenario = ft.name + " " + p.name + " while " + s.name
	f.awaitReady()
	call, holder := f.advanceTo(s)
	target := f.targetProcess(p, holder)
	ft.inject(target)
	f.releaseStep(s)
	if p.name == "entry" && ft.name == "pause" {
		time.Sleep(leaseExpiry) // the entry resumes after its lease has expired
		ft.repair(t, target)
	}
	got := call.wait(f)
	want := invariant.OutcomeWhole
	if p.name == "entry" && ft.name == "kill" && s != stepAnswered {
		want = invariant.OutcomeConnectionLost
	}
	if got.Outcome != want {
		t.Errorf("%s: the call ended %s (%s), want %s", f.scenario, got.Outcome, got.Reason, want)
	}
	if p.name != "entry" || ft.name != "pause" {
		ft.repair(t, target)
	}
	f.releaseHeld(s.role, s.at) // the first release misses a stand-in that is paused
	f.await("released memory", f.memoryFree)
}
