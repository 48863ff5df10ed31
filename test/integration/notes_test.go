package integration

import (
	"testing"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
)

// setConfigService sets whether the configuration service is up, with
// state=up or state=down, or makes it serve an older note, with show=NUMBER.
func (f *fleet) setConfigService(state string) { f.post(f.platform+"/control/config?"+state, nil) }

// providerNote returns a note that adds a provider.
func providerNote(provider string) release.Note {
	return release.Note{Added: release.Items{Providers: []release.Provider{{
		Name: provider, KeyDigests: []string{release.Digest([]byte(provider))}, Weight: 1,
	}}}}
}

// awaitNote waits until a note, or a later one, is in force at all processes.
func (f *fleet) awaitNote(number uint64) {
	f.t.Helper()
	for name := range f.adminURLs {
		f.await(name+" with the note", func() bool {
			s, err := f.snapshot(name)
			return err == nil && s.Note >= number
		})
	}
}

// recordPlatform records an outage of the platform or its end.
func (f *fleet) recordPlatform(kind invariant.Kind) {
	f.recorder.Record(invariant.Event{Kind: kind, Process: &invariant.Process{Name: "platform"}})
}

// The configuration service fails, then serves a stale note, then recovers, then
// is killed and restarted. Published notes must come into force at all processes
// within invariant.NoteBound, and none may revert.
func TestNotesSurviveConfigServiceOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, redundantPlan())
	f.publish(providerNote("second"))
	f.awaitNote(2)
	f.recordPlatform(invariant.LinkDown)
	f.setConfigService("state=down")
	f.publish(providerNote("third"))
	f.requestStream(0, newContent(10), 0).wait(f)
	f.setConfigService("show=1")
	f.requestStream(1, newContent(10), 0).wait(f)
	f.setConfigService("state=up")
	f.recordPlatform(invariant.LinkUp)
	f.awaitNote(3)
	f.processByName["platform"].kill()
	f.requestStream(0, newContent(10), 0).wait(f)
	f.processByName["platform"].start(t)
	f.checkInvariants()
}

// A process that starts while the configuration service serves a stale note must
// not serve with that note, since its peers already have a newer one.
func TestRestartWithStaleConfigServiceDoesNotRevert(t *testing.T) {
	t.Parallel()
	f := newFleet(t, redundantPlan())
	f.publish(providerNote("second"))
	f.awaitNote(2)
	f.setConfigService("show=1")
	for _, name := range []string{"entry-2", "agent-decode-1", "agent-ledger-1"} {
		f.scenario = "restart of " + name
		f.processByName[name].kill()
		f.processByName[name].start(t)
	}
	f.awaitServingNote("entry-2", 2)
	f.awaitServingNote("agent-decode-1", 2)
	f.awaitServingNote("agent-ledger-1", 2)
	f.checkInvariants()
}

// awaitServingNote waits until a process serves. It fails the test if the process
// serves with an older note.
func (f *fleet) awaitServingNote(name string, number uint64) {
	f.t.Helper()
	f.await(name+" serving", func() bool {
		s, err := f.snapshot(name)
		if err != nil || s.State != "serving" {
			return false
		}
		if s.Note < number {
			f.t.Fatalf("%s serves with note %d, though note %d is in force at its peers", name, s.Note, number)
		}
		return true
	})
}

// A process that starts while the configuration service is down must get the note
// from its peers.
func TestRestartWithoutConfigServiceServes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, redundantPlan())
	f.publish(providerNote("second"))
	f.awaitNote(2)
	f.setConfigService("state=down")
	for _, name := range []string{"entry-2", "agent-decode-1", "agent-ledger-1"} {
		f.scenario = "restart of " + name
		f.processByName[name].kill()
		f.processByName[name].start(t)
		f.awaitServingNote(name, 2)
	}
	f.checkInvariants()
}

// Some processes can't reach the configuration service. They must get the note
// from their peers.
func TestNoteReachesProcessWithoutConfigService(t *testing.T) {
	t.Parallel()
	f := newFleet(t, redundantPlan())
	for _, name := range []string{"entry-2", "agent-decode-1"} {
		f.links["link:platform:"+name].cutOff("")
	}
	f.publish(providerNote("second"))
	f.awaitNote(2)
	f.checkInvariants()
}
