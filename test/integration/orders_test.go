package integration

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
)

// engineServers returns the fleet's engines as backend servers with the given
// models.
func (f *fleet) engineServers(models ...string) []release.BackendServer {
	var out []release.BackendServer
	for _, s := range f.servers {
		if s.Role != release.RoleService {
			s.Models = models
			out = append(out, s)
		}
	}
	return out
}

// versionNote returns a note that adds a version of the model and assigns it,
// beside the first version, to all engines.
func (f *fleet) versionNote(version string) release.Note {
	return release.Note{
		Added:   release.Items{Models: []release.Model{{Name: "reader", Version: version, WindowTokens: 64_000, WeightsBytes: 1 << 20}}},
		Changed: release.Items{BackendServers: f.engineServers(model, "reader@"+version)},
	}
}

// awaitModel waits until all engines have loaded a model.
func (f *fleet) awaitModel(key string) {
	f.t.Helper()
	for _, s := range f.engineServers() {
		f.await(s.Name+" loading "+key, func() bool {
			var state engine.State
			err := f.get(f.controlURLs[s.Name]+"/engine/state", &state)
			return err == nil && slices.Contains(state.Models, key)
		})
	}
}

// Orders to load a model must reach the engines of an agent that is paused while
// two notes are published, of an agent that is killed between them, and an engine
// that restarts without the model. Calls must still be answered.
func TestOrdersReachEveryEngine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	f.processByName["agent-decode-1"].pause()
	f.publish(f.versionNote("2"))
	f.processByName["agent-prefill-1"].kill()
	f.publish(f.versionNote("3"))
	f.processByName["agent-prefill-1"].start(t)
	f.processByName["agent-decode-1"].resume()
	f.scenario = "after a pause and a restart of agents"
	f.awaitModel("reader@3")
	f.awaitReady()
	is.Equal(f.requestStream(0, newContent(30), 0).wait(f).Outcome, invariant.OutcomeWhole)
	f.processByName["prefill-2"].kill()
	f.processByName["prefill-2"].start(t)
	f.scenario = "after a restart of an engine"
	f.awaitModel("reader@3")
	f.awaitReady()
	is.Equal(f.requestStream(1, newContent(30), 0).wait(f).Outcome, invariant.OutcomeWhole)
	f.checkInvariants()
}
