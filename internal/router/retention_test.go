package router_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// TestStreamsOfLongRoutesAreNotMixed guards against versions and records that are forgotten
// while streams of routes with a long time limit still run.
func TestStreamsOfLongRoutesAreNotMixed(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		g.serveVersions(map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"})
		for _, d := range g.directories {
			setResumableTimeout(d, 10*time.Minute)
		}
		streams := g.beginStreams(20, func() {})
		for _, d := range g.directories {
			g.replaceDecodeServers(d, "v2")
		}
		for range 5 { // the tables and the versions age with calls and heartbeats
			time.Sleep(time.Minute)
			for _, d := range g.directories {
				s := *d.Current().Servers["p1"]
				d.Put(&s)
			}
			for _, r := range g.entries {
				serve(t.Context(), r, newCall("/resumable/x"))
			}
		}
		begun, same, mixed := g.takeUpAll(streams)
		t.Logf("of %d streams %d went on at their version, %d at another", begun, same, mixed)
		is.True(begun > 0)
		is.Equal(mixed, 0)
	})
}

// TestStreamsAreRememberedWhileTheyRun guards against streams that outlive their records.
func TestStreamsAreRememberedWhileTheyRun(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		versions := map[string]string{"d1": "v1", "d2": "v2", "d3": "v2"}
		g.setSoftware(versions)
		g.servers.setAll(decodeServers, paced(6000, 100*time.Millisecond))
		for _, d := range g.directories {
			setResumableTimeout(d, 10*time.Minute)
		}
		ctx, cut := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cut()
		c := newCall("/resumable/x")
		c.Deadline = time.Now().Add(10 * time.Minute)
		first := &cutAnswer{ctx: ctx}
		g.entries[0].Serve(ctx, c, first)
		begunAt := g.servers.recorded()
		g.killAll(func(*directory.Directory) {})
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		next := &cutAnswer{ctx: ctx}
		g.entries[1].Serve(ctx, takeUp(c, first.body.String()), next)
		is.Equal(next.starts, 1)
		wentOnAt := g.servers.recorded()
		is.Equal(versions[wentOnAt[len(wentOnAt)-1]], versions[begunAt[len(begunAt)-1]])
	})
}

// TestStreamsOfAMovedRouteAreNotMixed guards against streams that go on at another service
// whose servers have the same version, after a configuration has moved the route.
func TestStreamsOfAMovedRouteAreNotMixed(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		g.serveVersions(map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"})
		g.servers.set("e1", ok("id: 9\ndata: other\n\n"))
		streams := g.beginStreams(20, func() {})
		for _, d := range g.directories {
			c := *d.Current().Config
			c.Version++
			c.Routes = slices.Clone(c.Routes)
			for i := range c.Routes {
				if c.Routes[i].Resumable {
					c.Routes[i].Shares = []directory.TrafficShare{{Service: "other", Weight: 1}}
				}
			}
			c.Services = maps.Clone(c.Services)
			c.Services["other"] = &directory.Service{Name: "other", Engine: c.Services["llm"].Engine}
			d.SetConfig(&c)
			d.Put(&directory.Server{ID: "q1", Service: "other", Slots: 12, DataCentre: "dc", Stage: directory.Prefill, Software: "v1"})
			d.Put(&directory.Server{ID: "e1", Service: "other", Slots: 12, DataCentre: "dc", Stage: directory.Decode, Software: "v1"})
		}
		begun, same, mixed := g.takeUpAll(streams)
		t.Logf("of %d streams %d went on at their service, %d at another", begun, same, mixed)
		is.True(begun > 0)
		is.Equal(mixed, 0)
	})
}

// firstEvent stands for the first event of a stream.
const firstEvent = "id: 1\n"

// countedAnswer counts the writes of an answer that is still sent.
type countedAnswer struct {
	cutAnswer
	writes atomic.Int64
}

func (a *countedAnswer) Write(p []byte) error {
	a.writes.Add(1)
	return a.cutAnswer.Write(p)
}

// TestStreamsStayRelayedWhileTheirCallerTakesThemUp guards against an entry that tells keepers
// which have started again nothing of a stream, since the call that its caller has given up
// ended there.
func TestStreamsStayRelayedWhileTheirCallerTakesThemUp(t *testing.T) {
	for name, former := range map[string]struct{ ends bool }{"the former call runs on": {false}, "the former call ends": {true}} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 1, func(t *testing.T, g *region) {
				is := is.New(t)
				g.serveVersions(map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"})
				for _, id := range decodeServers {
					g.servers.slowBy(id, 500*time.Millisecond)
				}
				var calls sync.WaitGroup
				defer calls.Wait()
				begin := func(ctx context.Context, c *router.Call) {
					a := &countedAnswer{cutAnswer: cutAnswer{ctx: ctx}}
					calls.Go(func() { g.entries[0].Serve(ctx, c, a) })
					time.Sleep(prefillTime + 550*time.Millisecond)
					is.Equal(a.writes.Load(), int64(1))
				}
				ctx, cut := context.WithCancel(context.Background())
				defer cut()
				c := newCall("/resumable/x")
				begin(ctx, c)
				next := takeUp(c, firstEvent)
				begin(context.Background(), next)
				if former.ends {
					cut()
				}
				time.Sleep(10 * time.Millisecond)
				for id, stop := range g.stopKeeper {
					stop()
					g.stopKeeper[id] = g.startKeeper(agentOf(id))
				}
				for range 6 { // whose keepers answer
					calls.Go(func() { serve(context.Background(), g.entries[0], newCall("/resumable/x")) })
				}
				time.Sleep(prefillTime + 550*time.Millisecond)
				g.killAll(func(*directory.Directory) {})
				last := serve(context.Background(), g.entries[0], takeUp(next, firstEvent))
				is.Equal(last.starts, 1)
			})
		})
	}
}
