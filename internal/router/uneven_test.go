package router_test

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/router"
)

// snapshotOf returns the state of a server.
func (f *fleet) snapshotOf(id string) router.ServerSnapshot {
	all := f.Snapshot().Servers
	return all[slices.IndexFunc(all, func(s router.ServerSnapshot) bool { return s.ID == id })]
}

// statePace has a server state its pace in an answer that arrives now.
func (f *fleet) statePace(id string, pace float64) {
	f.Observe(f.directory.Current().Servers[id], advisory.Notice{Pace: pace, ToRequest: true, Sent: time.Now(), Received: time.Now()})
}

// TestSurprisingPaceIsSharedAtOnce guards against entries that send to a server which another
// entry knows to be slow for the moment, and against a message for each answer.
func TestSurprisingPaceIsSharedAtOnce(t *testing.T) {
	withPeers(t, func(t *testing.T, f *fleet, p *recordingPeers) {
		is := is.New(t)
		for _, id := range []string{"a1", "p1"} {
			f.SetRemoteUsage(id, nil) // reads the directory
			before := p.urgentCount()
			f.statePace(id, 1)
			is.Equal(p.urgentCount(), before) // as expected
			f.statePace(id, 2.5)
			is.Equal(p.urgentCount(), before+1)
			is.Equal(p.usage(id).Pace.Percent, 250)
			f.statePace(id, 2.4)
			is.Equal(p.urgentCount(), before+1)
			is.Equal(f.snapshotOf(id).Speed.PacePercent, 240.0)
			time.Sleep(300 * time.Millisecond)
			is.Equal(f.snapshotOf(id).Speed.ExpectedPacePercent, 170.0)
			is.Equal(f.snapshotOf(id).Speed.PaceAge, int64(300))
			time.Sleep(300 * time.Millisecond)
			is.Equal(f.snapshotOf(id).Speed.ExpectedPacePercent, 100.0)
		}
	})
}

// TestPaceOfAnotherEntryCounts guards against a pace of an earlier boot, and an older one, that
// replace what is known.
func TestPaceOfAnotherEntryCounts(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		report := func(percent int, age time.Duration, started int64) {
			f.SetRemoteUsage("p1", []loadexchange.Usage{{Started: started, Pace: &loadexchange.Pace{Percent: percent, Heard: time.Now().Add(-age)}}})
		}
		report(250, 0, 7) // another boot
		is.Equal(f.snapshotOf("p1").Speed.ExpectedPacePercent, 100.0)
		report(-5, 0, 0)
		report(1<<40, 0, 0)
		is.Equal(f.snapshotOf("p1").Speed.ExpectedPacePercent, 100.0)
		report(250, 300*time.Millisecond, 0)
		is.Equal(f.snapshotOf("p1").Speed.ExpectedPacePercent, 175.0)
		report(100, 400*time.Millisecond, 0)
		is.Equal(f.snapshotOf("p1").Speed.ExpectedPacePercent, 175.0)
	})
}

// prefillsAt returns the observations of another entry of a server that prefills at a speed.
func prefillsAt(rate float64) predict.ServerSums {
	o := predict.NewServers().Add("dc")
	for range 20 {
		o.AddPrefill(0, rate)
	}
	return o.Local(0)
}

// TestRestartedServerStartsAnew guards against the speed of an earlier boot, which may have run
// on another machine, and against the loss of it at a change of stage.
func TestRestartedServerStartsAnew(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		put := func(started int64, stage directory.Stage) {
			f.directory.Put(&directory.Server{ID: "p1", Service: "llm", Slots: 12, DataCentre: "dc", Stage: stage, Started: started})
			f.SetRemoteUsage("p1", nil) // reads the directory
		}
		put(1, directory.Prefill)
		f.SetRemoteSpeeds("llm", []predict.SpeedSums{{PrefillRate: predict.LineSums{Weight: 100, Y: 5000}}})
		slow := []loadexchange.ServerSpeeds{{Started: 1, Sums: prefillsAt(25)}}
		f.SetRemoteServerSpeeds("p1", slow)
		is.True(f.snapshotOf("p1").Speed.Prefill < 0.6)
		put(1, directory.Decode)
		is.True(f.snapshotOf("p1").Speed.Prefill < 0.6)
		put(2, directory.Prefill)
		is.Equal(f.snapshotOf("p1").Speed.Prefill, 1.0)
		is.Equal(f.snapshotOf("p1").Speed.OtherObservations, 0.0)
		f.SetRemoteServerSpeeds("p1", slow) // of the earlier boot
		is.Equal(f.snapshotOf("p1").Speed.Prefill, 1.0)
		f.SetRemoteServerSpeeds("unknown", slow)
	})
}

// hub connects routers: what one publishes reaches the others at once.
type hub struct {
	recordingPeers
	mu      sync.Mutex
	members []*hub // shared by all
	router  *router.Router
	usages  map[string]loadexchange.Usage
	alone   bool
}

// PublishUsage implements router.Peers.
func (h *hub) PublishUsage(server string, u loadexchange.Usage, _ bool) {
	h.mu.Lock()
	h.usages[server] = u
	h.mu.Unlock()
	for _, to := range h.members {
		var others []loadexchange.Usage
		for _, from := range h.members {
			from.mu.Lock()
			if from != to {
				others = append(others, from.usages[server])
			}
			from.mu.Unlock()
		}
		if to != h {
			to.router.SetRemoteUsage(server, others)
		}
	}
}

// ShareServerSpeeds implements router.Peers.
func (h *hub) ShareServerSpeeds(server string) {
	for _, to := range h.members {
		var others []loadexchange.ServerSpeeds
		for _, from := range h.members {
			if from != to {
				others = append(others, from.router.ServerSpeeds([]string{server})[server])
			}
		}
		if to != h && !h.alone {
			to.router.SetRemoteServerSpeeds(server, others)
		}
	}
}

// plainLatency returns the mean time of calls to six servers with six slots, two of which run
// at 0.55 and the others at 1.2 of the usual speed, and all of which take 2.5 times as long for
// 600 ms at a time. 8 entries share what they know or not.
func plainLatency(t *testing.T, share bool) (mean time.Duration) {
	const entries, calls, work = 8, 2000, 60 * time.Millisecond
	slowness := func(id string) float64 {
		if id == "a1" || id == "a2" {
			return 1 / 0.55
		}
		return 1 / 1.2
	}
	synctest.Test(t, func(t *testing.T) {
		d, servers, members := newDirectory(), newFakeServers(), []*hub{}
		for _, id := range []string{"a4", "a5", "a6"} {
			d.Put(&directory.Server{ID: id, Service: "app", Slots: 6, DataCentre: "dc"})
		}
		for i := range 6 {
			id := []string{"a1", "a2", "a3", "a4", "a5", "a6"}[i]
			slots := make(chan struct{}, 6)
			servers.set(id, func(_ context.Context, o *router.OutgoingCall) (*router.Reply, error) {
				slots <- struct{}{}
				defer func() { <-slots }()
				pace := 1.0
				if (time.Now().UnixMilli()/600)%6 == int64(i) {
					pace = 2.5
				}
				time.Sleep(time.Duration(slowness(id) * pace * float64(work)))
				if share {
					n, _ := strconv.Atoi(o.Call.Caller)
					members[n].router.Observe(o.Server, advisory.Notice{Pace: pace, ToRequest: true, Sent: time.Now(), Received: time.Now()})
				}
				return reply(200, bytes.NewBufferString("ok")), nil
			})
		}
		o := testOptions
		for range entries {
			h := &hub{usages: map[string]loadexchange.Usage{}, alone: !share}
			members = append(members, h)
			o.Peers = h
			h.router = router.New(d, servers, o, nopLogger)
		}
		for _, h := range members {
			h.members = members
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		total := time.Duration(0)
		for n := range calls {
			time.Sleep(time.Second / 200)
			all.Go(func() {
				c := newCall("/once/x")
				m := members[n%entries]
				c.Caller = strconv.Itoa(n % entries)
				began := time.Now()
				if a := serve(context.Background(), m.router, c); a.status != 200 {
					t.Error("a call was not answered")
				}
				mu.Lock()
				defer mu.Unlock()
				total += time.Since(began)
			})
		}
		all.Wait()
		mean = total / calls
		time.Sleep(20 * time.Second) // timers end
	})
	return mean
}

// TestPlainCallsAvoidSlowServers guards against calls that wait at slow servers while fast ones
// have free slots.
func TestPlainCallsAvoidSlowServers(t *testing.T) {
	is := is.New(t)
	alone, shared := plainLatency(t, false), plainLatency(t, true)
	t.Logf("mean time of a call of 60 ms at the usual speed: %v alone without paces, %v shared", alone, shared)
	is.True(shared < alone*9/10)
}

// TestPlainChoiceIsByLoadAmongEqualServers guards against a choice among equal servers that
// follows the noise of their measured times.
func TestPlainChoiceIsByLoadAmongEqualServers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for i, id := range plainServers {
			f.servers.set(id, func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
				time.Sleep(100*time.Millisecond + time.Duration(i)*8*time.Millisecond)
				return reply(200, bytes.NewBufferString("ok")), nil
			})
		}
		for range 10 {
			var all sync.WaitGroup
			began := len(f.servers.recorded())
			for range 9 {
				all.Go(func() { f.call(context.Background(), "/once/x") })
				time.Sleep(time.Millisecond)
			}
			all.Wait()
			got := f.servers.recorded()[began:]
			slices.Sort(got)
			is.Equal(got, []string{"a1", "a1", "a1", "a2", "a2", "a2", "a3", "a3", "a3"})
		}
	})
}
