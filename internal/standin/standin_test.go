package standin

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/release"
)

// TestUnloadedFetchDoesNotLoadItsModel unloads a model while its weights are fetched and
// loads it again: it is loaded when the second fetch ends.
func TestUnloadedFetchDoesNotLoadItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultEngineConfig("s", "decode", "reader@1")
		cfg.Fetch = func(engine.Order) error { time.Sleep(10 * time.Second); return nil }
		e := NewEngine(cfg)
		loaded := func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			_, ok := e.models["reader@2"]
			return ok
		}
		load := func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			is.NoErr(e.loadLocked(engine.Order{Model: "reader@2", Source: "weights"}))
		}
		load()
		time.Sleep(4 * time.Second)
		e.mu.Lock()
		e.unloadLocked("reader@2")
		e.mu.Unlock()
		load()
		time.Sleep(7 * time.Second)
		is.True(!loaded())
		time.Sleep(4 * time.Second)
		is.True(loaded())
	})
}

// TestPartitionOfRepliesFailsPulls separates two addresses in one direction.
func TestPartitionOfRepliesFailsPulls(t *testing.T) {
	is := is.New(t)
	clock := NewVirtualClock(time.Unix(0, 0))
	n := &Network{After: clock.After, Rand: rand.New(rand.NewPCG(1, 1)), Partitioned: func(from, _ string) bool { return from == "b" }}
	n.Attach("b", Host{Notes: &gossip.NotesService{Self: "b", Store: release.NewStore()}})
	var got error
	n.Endpoint("a").Pull("b", 0, func(_ gossip.SinceReply, err error) { got = err })
	clock.RunUntil(time.Unix(1, 0), nil)
	is.True(errors.Is(got, errUnreachable))
}
