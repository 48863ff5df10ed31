package agent

import (
	"slices"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
)

// TestSweepFreesOnlyUnownedRequests checks which of the engine's requests an
// agent cancels while other incarnations of it run.
func TestSweepFreesOnlyUnownedRequests(t *testing.T) {
	is := is.New(t)
	a := New(Config{
		Self: protocol.NodeRef{Node: "sweep-test", Incarnation: "life-2"}, Backend: "s", BackendURL: "http://127.0.0.1:1",
		TicketKey: make([]byte, 16),
	}, release.NewStore(), lifecycle.New(nil), log.NewNopLogger())
	a.attempts["mine"] = newTestAttempt(0)
	a.inherited = map[string]bool{"found.life-3": true, "gone.life-1": true}
	held := map[string]bool{
		"mine.life-2":    true, // in the table
		"dropped.life-2": true, // of this incarnation, not in the table
		"mine.life-1":    true, // of an earlier incarnation
		"other.life-3":   true, // of a later incarnation
		"found.life-3":   true, // held when this incarnation started
		"foreign":        true, // not created by an agent
	}
	got := a.orphans(held)
	slices.Sort(got)
	is.Equal(got, []string{"dropped.life-2", "foreign", "found.life-3", "mine.life-1"})
	is.Equal(a.inherited, map[string]bool{"found.life-3": true})
}
