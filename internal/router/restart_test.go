package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// begunStream is a stream that its entry relayed in part.
type begunStream struct {
	call *router.Call
	cutAnswer
}

// software returns the version that began the stream.
func (s *begunStream) software() string {
	for v := range softwareOf(s.body.String()) {
		return v
	}
	return ""
}

// beginStreams begins streams at all entries and cuts them when some of their events were sent.
// meanwhile is called between their first events and the cut.
func (g *region) beginStreams(n int, meanwhile func()) []*begunStream {
	ctx, cut := context.WithCancel(context.Background())
	out := make([]*begunStream, n)
	var all sync.WaitGroup
	for i := range out {
		c := newCall("/resumable/x")
		c.PromptTokens, c.MaxTokens, c.ExpectedTokens = 500, 500, 400
		if !g.alike {
			c.OwnPart = c.ID
		}
		out[i] = &begunStream{call: c, cutAnswer: cutAnswer{ctx: ctx}}
		all.Go(func() { g.entries[i%len(g.entries)].Serve(ctx, c, &out[i].cutAnswer) })
	}
	time.Sleep(prefillTime + 60*time.Millisecond)
	meanwhile()
	time.Sleep(15 * time.Millisecond)
	cut()
	all.Wait()
	return out
}

// takeUpAll takes streams up that have events, and returns how many there were and how many
// went on, at the version that began them and at another one.
func (g *region) takeUpAll(streams []*begunStream) (begun, same, mixed int) {
	var mu sync.Mutex // guards the counts
	var all sync.WaitGroup
	for i, s := range streams {
		if s.software() == "" {
			continue
		}
		begun++
		all.Go(func() {
			c := takeUp(s.call, s.body.String())
			if c.OwnPart = s.call.OwnPart; g.unnamed {
				c.Resumes = ""
			}
			next := serve(context.Background(), g.entries[(i+1)%len(g.entries)], c)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case next.starts == 0:
			case softwareOf(next.body.String())[s.software()]:
				same++
			default:
				mixed++
			}
		})
	}
	all.Wait()
	return begun, same, mixed
}

// serveVersions has the decode servers serve streams of some versions.
func (g *region) serveVersions(versions map[string]string) {
	g.setSoftware(versions)
	for id, v := range versions {
		g.servers.set(id, versioned(v, 0, rand.New(rand.NewPCG(1, 1))))
	}
}

// TestStreamsGoOnAfterAllEntriesWereKilled guards against versions that entries alone remember.
func TestStreamsGoOnAfterAllEntriesWereKilled(t *testing.T) {
	for name, tc := range map[string]struct {
		versions       map[string]string
		unnamed, alike bool // take-ups do not name the first call; all callers ask the same
		goOn           bool
	}{
		"named":             {map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}, false, false, true},
		"unnamed":           {map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}, true, false, true},
		"one version":       {map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"}, true, true, true},
		"named and alike":   {map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}, false, true, true},
		"unnamed and alike": {map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 5, func(t *testing.T, g *region) {
				is := is.New(t)
				g.serveVersions(tc.versions)
				g.unnamed, g.alike = tc.unnamed, tc.alike
				streams := g.beginStreams(30, func() {})
				g.killAll(func(*directory.Directory) {})
				begun, same, mixed := g.takeUpAll(streams)
				is.True(begun > len(streams)/2)
				is.Equal(mixed, 0)
				is.True(same == begun || !tc.goOn)
			})
		})
	}
}

// TestStreamsGoOnAfterTheirKeepersHaveChanged guards against records that are lost one after the
// other while a stream runs.
func TestStreamsGoOnAfterTheirKeepersHaveChanged(t *testing.T) {
	for name, change := range map[string]func(g *region){
		"all started again": func(g *region) {
			for id, stop := range g.stopKeeper {
				stop()
				g.stopKeeper[id] = g.startKeeper(agentOf(id))
			}
			for i := range 3 * len(g.entries) { // whose keepers answer
				go serve(context.Background(), g.entries[i%len(g.entries)], newCall("/resumable/x"))
			}
			time.Sleep(prefillTime + 30*time.Millisecond)
		},
		"the version moved to other VMs": func(g *region) {
			for i, id := range []string{"p1", "p2", "d1", "d2"} {
				agent := fmt.Sprintf("10.0.2.%d:7000", i+1)
				g.startKeeper(agent)
				for _, d := range g.directories {
					s := *d.Current().Servers[id]
					s.ID, s.Agent = "new-"+id, agent
					d.Put(&s)
					d.Remove(id, 0)
				}
				g.stopKeeper[id]()
				g.servers.set("new-"+id, versioned("v1", 0, rand.New(rand.NewPCG(1, 1))))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 5, func(t *testing.T, g *region) {
				is := is.New(t)
				g.serveVersions(map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1", "d3": "v2"})
				for _, id := range decodeServers {
					g.servers.slowBy(id, 30*time.Millisecond)
				}
				streams := g.beginStreams(30, func() { change(g) })
				g.killAll(func(*directory.Directory) {})
				begun, same, mixed := g.takeUpAll(streams)
				is.True(begun > len(streams)/2)
				is.Equal(mixed, 0)
				is.Equal(same, begun)
			})
		})
	}
}

// Records must not be lost by one process after the other while an entry still relays.
func TestStreamsGoOnAfterARollingRestart(t *testing.T) {
	for name, end := range map[string]func(r *router.Router){
		"the last entry is stopped": func(r *router.Router) { r.HandOver() },
		"the last entry is killed":  func(*router.Router) {},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 3, func(t *testing.T, g *region) {
				is := is.New(t)
				g.serveVersions(map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1", "d3": "v2"})
				for _, id := range decodeServers {
					g.servers.slowBy(id, 1500*time.Millisecond)
				}
				all := g.entries
				g.entries = all[2:]
				streams := g.beginStreams(20, func() {
					time.Sleep(1500 * time.Millisecond) // the streams have events
					for id, stop := range g.stopKeeper {
						stop()
						g.stopKeeper[id] = g.startKeeper(agentOf(id))
					}
					g.entries = all
					for i := range 2 {
						g.stop[i]()
						time.Sleep(300 * time.Millisecond)
						g.restart(i)
					}
					time.Sleep(3 * time.Second)
					end(all[2])
					g.stop[2]()
				})
				g.entries = all[:2]
				begun, same, mixed := g.takeUpAll(streams)
				is.True(begun > len(streams)/2)
				is.Equal(mixed, 0)
				is.Equal(same, begun)
			})
		})
	}
}

// TestVersionsThatLeftBeforeARestartAreNotMixed guards against an entry that takes the only
// version that it finds for the one that began a stream.
func TestVersionsThatLeftBeforeARestartAreNotMixed(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		g.serveVersions(map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"})
		streams := g.beginStreams(20, func() {})
		for _, id := range decodeServers {
			g.servers.set(id, versioned("v2", 0, rand.New(rand.NewPCG(1, 1))))
		}
		g.killAll(func(d *directory.Directory) {
			for _, id := range decodeServers {
				s := *d.Current().Servers[id]
				s.ID, s.Software = s.ID+"-new", "v2"
				d.Remove(id, 0)
				d.Put(&s)
				g.servers.set(s.ID, versioned("v2", 0, rand.New(rand.NewPCG(1, 1))))
			}
		})
		begun, same, mixed := g.takeUpAll(streams)
		is.True(begun > len(streams)/2)
		is.Equal(mixed, 0)
		is.Equal(same, 0)
		refused := serve(context.Background(), g.entries[0], takeUp(streams[0].call, streams[0].body.String()))
		is.Equal(refused.failure.Outcome, apierror.OutcomeNotRun)
	})
}

// TestTakeUpsGoOnBesideNewLoad guards against streams that are refused like callers who return
// late. New calls come beyond what the servers can take.
func TestTakeUpsGoOnBesideNewLoad(t *testing.T) {
	withRegion(t, 3, func(t *testing.T, g *region) {
		is := is.New(t)
		g.serveVersions(map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"})
		streams := g.beginStreams(20, func() {})
		g.servers.prefillTime = 250 * time.Millisecond
		var load sync.WaitGroup
		var answers []*recordedAnswer
		load.Go(func() { answers = g.load("/resumable/x", 40, 12*time.Second) })
		time.Sleep(5 * time.Second)
		begun, wentOn := 0, atomic.Int64{}
		var takeUps sync.WaitGroup
		for i, s := range streams {
			if s.starts == 0 {
				continue
			}
			begun++
			c := takeUp(s.call, s.body.String())
			c.Deadline = time.Now().Add(6 * time.Second) // of 14 seconds
			takeUps.Go(func() { wentOn.Add(int64(serve(context.Background(), g.entries[i%3], c).starts)) })
		}
		takeUps.Wait()
		load.Wait()
		is.True(served(answers) < len(answers)*3/4)
		is.True(begun > len(streams)/2)
		is.Equal(int(wentOn.Load()), begun)
	})
}

// Without any record, one version in the registry's history must be enough.
func TestStreamsGoOnAfterAllProcessesWereKilled(t *testing.T) {
	role := func(software string) directory.Role {
		return directory.Role{Service: "llm", Software: software, Stage: directory.Decode}
	}
	for name, tc := range map[string]struct {
		history []directory.Role // of the registry
		later   time.Duration
		goOn    bool
	}{
		"the history has one version":         {[]directory.Role{role("v1")}, 0, true},
		"another version has left":            {[]directory.Role{role("v1"), role("v2")}, 0, false},
		"no history":                          {nil, 0, false},
		"no history, as long as streams last": {nil, 14 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 3, func(t *testing.T, g *region) {
				is := is.New(t)
				g.serveVersions(map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1", "d3": "v1"})
				streams := g.beginStreams(20, func() {})
				for id, stop := range g.stopKeeper {
					stop()
					g.stopKeeper[id] = g.startKeeper(agentOf(id))
				}
				g.killAll(func(*directory.Directory) {})
				for _, r := range g.registries {
					r.history = tc.history
				}
				time.Sleep(tc.later)
				begun, same, mixed := g.takeUpAll(streams)
				is.True(begun > len(streams)/2)
				is.Equal(mixed, 0)
				is.Equal(same == begun, tc.goOn)
				is.True(tc.goOn || same == 0)
			})
		})
	}
}

// A take-up must not be refused for the part of the answer that its caller has.
func TestTakeUpsAreNotRefusedForTheWholeAnswer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, paced(70, 100*time.Millisecond))
		is.Equal(f.call(context.Background(), "/resumable/x").status, 200) // the speed is known now
		c := newCall("/resumable/x")
		c.Deadline = c.Arrived.Add(4 * time.Second)
		is.True(serve(context.Background(), f.Router, c).failure != nil)
		c = takeUp(c, strings.Repeat("id: ", 50)) // 2 s are left
		c.Deadline = c.Arrived.Add(4 * time.Second)
		a := serve(context.Background(), f.Router, c)
		is.True(a.failure == nil)
		is.Equal(a.starts, 1)
	})
}
