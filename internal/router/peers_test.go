package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/router"
)

// recordingPeers records what an entry publishes.
type recordingPeers struct {
	mu     sync.Mutex
	usages map[string]loadexchange.Usage
	urgent int // urgent publications

	age     time.Duration // of what is known of other entries
	entries int           // 0 for one
}

func (p *recordingPeers) PublishUsage(server string, u loadexchange.Usage, urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usages[server] = u
	if urgent {
		p.urgent++
	}
}

func (p *recordingPeers) urgentCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.urgent
}

func (p *recordingPeers) usage(server string) loadexchange.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usages[server]
}

func (*recordingPeers) PublishWaiting(string, []loadexchange.Waiting)      {}
func (*recordingPeers) PublishSpeeds(string, predict.SpeedSums)            {}
func (*recordingPeers) ShareServerSpeeds(string)                           {}
func (*recordingPeers) SetEvidenceKeepers([]string)                        {}
func (*recordingPeers) TellOrigin(origin.Stream, origin.Origin, []string)  {}
func (*recordingPeers) TellKeeper(string, map[origin.Origin][]origin.Key)  {}
func (*recordingPeers) TellPeer(string, map[origin.Origin][]origin.Key)    {}
func (*recordingPeers) TellPeers(map[origin.Origin][]origin.Key)           {}
func (*recordingPeers) Leads() bool                                        { return true }
func (*recordingPeers) KeeperHeard(string) time.Time                       { return time.Time{} }
func (*recordingPeers) AskOrigin(origin.Key, origin.Stream, []string) bool { return false }
func (*recordingPeers) Keepers() int                                       { return 0 }
func (*recordingPeers) ReportEnd(blame.End)                                {}
func (*recordingPeers) ReportSurvived(map[blame.Key]time.Time)             {}
func (*recordingPeers) Alive() int                                         { return 0 }

func (*recordingPeers) PublishQuotas()                  {}
func (p *recordingPeers) UsageAge() time.Duration       { return p.age }
func (p *recordingPeers) Entries() int                  { return max(1, p.entries) }
func (*recordingPeers) Rank(string) (rank, entries int) { return 0, 1 }

// withPeers runs a test with a fleet that publishes to recording peers.
func withPeers(t *testing.T, test func(t *testing.T, f *fleet, p *recordingPeers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, p := newFleet(), &recordingPeers{usages: map[string]loadexchange.Usage{}}
		o := testOptions
		o.Peers = p
		f.Router = router.New(f.directory, f.servers, o, nopLogger)
		test(t, f, p)
		time.Sleep(20 * time.Second) // timers and probes end
	})
}

// streamsFor answers with a stream that ends after a while.
func streamsFor(d time.Duration) behaviour {
	return func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
		body, w := io.Pipe()
		go func() {
			for i := range int(d / (100 * time.Millisecond)) {
				time.Sleep(100 * time.Millisecond)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i) // the reader's end is the test's
			}
			_ = w.Close() // a pipe's Close returns no error
		}()
		return reply(200, body), nil
	}
}

// TestUsageAfterAChangeOfStage has the entry that leads serve a run at a server whose
// stage it has changed. The end of the time for the change must not publish the server's
// former registration, which has no runs: the other entries would take its memory for
// free.
func TestUsageAfterAChangeOfStage(t *testing.T) {
	withPeers(t, func(t *testing.T, f *fleet, p *recordingPeers) {
		is := is.New(t)
		for _, id := range append([]string{"p1", "p2", "p3"}, decodeServers...) {
			f.servers.set(id, streamsFor(8*time.Second))
		}
		f.directory.Put(&directory.Server{ID: "p3", Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Prefill})
		ctx, cancel := context.WithCancel(context.Background())
		balanced := make(chan struct{})
		go func() { f.Balance(ctx); close(balanced) }()
		var calls sync.WaitGroup
		for range 24 {
			calls.Go(func() { f.call(context.Background(), "/stream/x") })
			time.Sleep(100 * time.Millisecond)
		}
		ordered := ""
		for _, s := range f.servers.recorded() {
			if _, err := fmt.Sscanf(s, "order %s", &ordered); err == nil {
				break
			}
		}
		is.True(ordered != "")
		f.directory.Put(&directory.Server{ID: ordered, Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Decode})
		for range 100 {
			calls.Go(func() { f.call(context.Background(), "/stream/x") })
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			served := 0
			for _, s := range f.Snapshot().Servers {
				if s.ID == ordered {
					served = s.Slots
				}
			}
			is.Equal(len(p.usage(ordered).Runs), served)
		}
		cancel()
		<-balanced
		calls.Wait()
	})
}

// TestReplacedServersAreShared has one entry find another server at a server's address.
// The entry publishes that, and an entry that receives it sends nothing there, unless the
// server was started again under its ID.
func TestReplacedServersAreShared(t *testing.T) {
	withPeers(t, func(t *testing.T, f *fleet, p *recordingPeers) {
		is := is.New(t)
		misdirected := func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
			return &router.Reply{Status: 421, Misdirected: true, NotRun: true, Body: http.NoBody}, nil
		}
		f.servers.set("a1", misdirected)
		for range 60 { // at random, one of them to a1
			f.call(context.Background(), "/safe/x")
		}
		u := p.usage("a1")
		is.True(time.Until(u.ReplacedUntil) > time.Second)

		other := newFleet()
		for _, tc := range []struct {
			started int64
			want    bool
		}{{0, false}, {7, true}} {
			other.directory.Put(&directory.Server{ID: "a1", Service: "app", Slots: 6, DataCentre: "dc", Started: tc.started, Version: directory.Version{Revision: uint64(tc.started)}})
			other.SetRemoteUsage("a1", []loadexchange.Usage{u})
			sent := false
			before := len(other.servers.recorded())
			for range 12 {
				other.call(context.Background(), "/safe/x")
			}
			for _, s := range other.servers.recorded()[before:] {
				sent = sent || s == "a1"
			}
			is.Equal(sent, tc.want)
		}
	})
}

// TestCallsAreSharedAtOnceWhileBusy sends calls to plain servers that are mostly idle, and
// then more than half of what they serve at once.
func TestCallsAreSharedAtOnceWhileBusy(t *testing.T) {
	withPeers(t, func(t *testing.T, f *fleet, p *recordingPeers) {
		is := is.New(t)
		var calls sync.WaitGroup
		defer calls.Wait()
		f.servers.setAll(plainServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			time.Sleep(100 * time.Millisecond)
			return ok("ok")(ctx, o)
		})
		send := func(n int) {
			for range n {
				calls.Go(func() { f.call(context.Background(), "/once/x") })
				synctest.Wait() // each call is counted before the next one
			}
		}
		send(6) // two of six slots at each server
		is.Equal(p.urgentCount(), 0)
		send(3)
		is.Equal(p.urgentCount(), 3)
		time.Sleep(200 * time.Millisecond)
		is.Equal(p.urgentCount(), 6) // and the first end of a call at each
	})
}

// TestAttemptsThatTimeOutCountAsFailures has a server hang. The time-out of an attempt is
// the server's failure, not a caller that left.
func TestAttemptsThatTimeOutCountAsFailures(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.set("a1", hangs)
		for range 60 { // at random, one of them to a1
			f.call(context.Background(), "/safe/x")
		}
		for _, s := range f.Snapshot().Servers {
			if s.ID == "a1" {
				is.True(s.FailureRate > 0)
			}
		}
	})
}
