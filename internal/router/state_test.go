package router_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/router"
)

// TestOneLongTimeLimitChangesNothingForOthers guards callers against being refused since another
// one waits longer than they do.
func TestOneLongTimeLimitChangesNothingForOthers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		is.Equal(serve(context.Background(), f.Router, within("/stream/x", time.Hour)()).status, 200)
		for _, id := range decodeServers { // room for one more
			f.SetRemoteUsage(id, []loadexchange.Usage{{Runs: []loadexchange.Run{{Prompt: 47_000, Answer: 9000, Began: time.Now()}}}})
		}
		is.Equal(serve(context.Background(), f.Router, within("/stream/x", 9*time.Second)()).status, 200)
	})
}

// failingOrders are servers that no order reaches.
type failingOrders struct{ *fakeServers }

func (failingOrders) Order(context.Context, *router.Order) error {
	return errors.New("connection refused")
}

// TestFailedOrderIsNotAnnounced fails the orders of stages: the other entries may go on
// sending to the servers.
func TestFailedOrderIsNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &recordingPeers{usages: map[string]loadexchange.Usage{}}
		f := &fleet{servers: newFakeServers(), directory: newDirectory()}
		options := testOptions
		options.Peers = peers
		f.Router = router.New(f.directory, failingOrders{f.servers}, options, nopLogger)
		for _, id := range []string{"p3", "p4"} {
			f.directory.Put(&directory.Server{ID: id, Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Prefill})
		}
		ctx, cancel := context.WithCancel(context.Background())
		go f.Balance(ctx)
		announced, longest := time.Duration(0), time.Duration(0)
		const step = 100 * time.Millisecond
		var runs []loadexchange.Run
		for range 120 {
			runs = append(runs, loadexchange.Run{Prompt: 4000, Answer: 1_000_000, Began: time.Now()})
			for _, id := range decodeServers {
				f.SetRemoteUsage(id, []loadexchange.Usage{{Runs: runs[:min(len(runs), 12)]}})
			}
			time.Sleep(step)
			pending := false
			for _, id := range []string{"p1", "p2", "p3", "p4"} {
				pending = pending || !peers.usage(id).StageChangeUntil.IsZero()
			}
			if announced += step; !pending {
				announced = 0
			}
			longest = max(longest, announced)
		}
		cancel()
		time.Sleep(20 * time.Second)
		is.True(longest < 2*time.Second) // a change of stage takes 6 s
	})
}

// TestMemoryOfOtherEntriesIsNotFree reads the free memory of a server that runs a request of
// another entry.
func TestMemoryOfOtherEntriesIsNotFree(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		free := func() int {
			for _, s := range f.Snapshot().Servers {
				if s.ID == decodeServers[0] {
					return s.FreeTokens
				}
			}
			return 0
		}
		before := free()
		f.SetRemoteUsage(decodeServers[0], []loadexchange.Usage{{Runs: []loadexchange.Run{{Prompt: 4000, Answer: 1000, Began: time.Now()}}}})
		is.Equal(before-free(), 5000)
	})
}

// TestLongResponsesAreWholeOrRefused has servers send responses around the longest that the
// router buffers. A longer one is no failure of its server and is asked for once.
func TestLongResponsesAreWholeOrRefused(t *testing.T) {
	const limit = 1 << 20
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, ok(strings.Repeat("x", limit)))
		is.Equal(f.call(context.Background(), "/safe/x").body.Len(), limit)
		f.servers.setAll(plainServers, ok(strings.Repeat("x", limit+1)))
		sent := len(f.servers.recorded())
		a := f.call(context.Background(), "/safe/x")
		is.Equal(a.starts, 0)
		is.Equal(a.failure.Outcome, apierror.OutcomeUnknown)
		is.Equal(len(f.servers.recorded())-sent, 1)
		for _, s := range f.Snapshot().Servers {
			is.Equal(s.FailureRate, 0.0)
		}
	})
}

// TestLongErrorsOfStreamsAreNotCut has decode servers fail with a response longer than the
// router buffers.
func TestLongErrorsOfStreamsAreNotCut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
			return reply(500, strings.NewReader(strings.Repeat("x", 2<<20))), nil
		})
		a := f.call(context.Background(), "/stream/x")
		is.Equal(a.starts, 0)
		is.Equal(a.failure.Outcome, apierror.OutcomeUnknown)
	})
}
