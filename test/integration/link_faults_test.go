package integration

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
)

// linkFaults inject one kind of fault into a link each.
var linkFaults = map[string]func(testing.TB, *link){
	"cut":                func(_ testing.TB, l *link) { l.cutOff("") },
	"reset":              func(_ testing.TB, l *link) { l.reset() },
	"blackholed":         func(t testing.TB, l *link) { l.injectToxics(t, "", toxicBlackholeUp, toxicBlackholeDown) },
	"no data upstream":   func(t testing.TB, l *link) { l.injectToxics(t, "", toxicBlackholeUp) },
	"no data downstream": func(t testing.TB, l *link) { l.injectToxics(t, "", toxicBlackholeDown) },
	"open connections blackholed": func(t testing.TB, l *link) {
		l.blackholeOpen(t, toxicBlackholeUp, toxicBlackholeDown)
	},
	"latency":       func(t testing.TB, l *link) { l.injectToxics(t, "", toxicLatency) },
	"low bandwidth": func(t testing.TB, l *link) { l.injectToxics(t, "", toxicSlow) },
}

func TestEntryToPrefillAgentLinkFails(t *testing.T) {
	testLinkFaults(t, "link:peers:", release.RolePrefill)
}

func TestEntryToDecodeAgentLinkFails(t *testing.T) {
	testLinkFaults(t, "link:peers:", release.RoleDecode)
}

func TestAgentToPrefillEngineLinkFails(t *testing.T) {
	testLinkFaults(t, "link:backend:", release.RolePrefill)
}

func TestAgentToDecodeEngineLinkFails(t *testing.T) {
	testLinkFaults(t, "link:backend:", release.RoleDecode)
}

// testLinkFaults injects each fault at each step of a request into the link of the
// server that works on the request. The answer must still be whole.
func testLinkFaults(t *testing.T, prefix string, role release.Role) {
	for name, inject := range linkFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, redundantPlan())
			for _, s := range steps[1:] {
				f.scenario = name + " while " + s.name
				f.awaitReady()
				call, holder := f.advanceTo(s)
				if f.roleOf(holder) != role {
					holder = f.attemptHolder(role)
				}
				if holder == "" {
					holder = string(role) + "-1"
				}
				l := f.links[prefix+holder]
				inject(t, l)
				f.releaseStep(s)
				got := call.wait(f)
				if got.Outcome != invariant.OutcomeWhole {
					t.Errorf("%s: the call ended %s (%s)", f.scenario, got.Outcome, got.Reason)
				}
				l.heal()
				f.await("released memory", f.memoryFree)
			}
			is.True(len(f.checkInvariants()) > 0)
		})
	}
}
