package router_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// setSoftware registers model servers with versions of their software, at all entries.
func (g *region) setSoftware(versions map[string]string) {
	for _, d := range g.directories {
		for id, v := range versions {
			s := *d.Current().Servers[id]
			s.Software = v
			s.Version.Revision++
			d.Put(&s)
		}
	}
}

const eventsPerStream = 6

// versionedStream is an answer whose events name the software that made them.
type versionedStream struct {
	software     string
	next, breaks int // the event before which the stream breaks; 0: it does not
	buffered     *strings.Reader
}

func (s *versionedStream) Read(p []byte) (int, error) {
	if s.buffered == nil || s.buffered.Len() == 0 {
		time.Sleep(20 * time.Millisecond)
		switch s.next {
		case eventsPerStream + 1:
			return 0, io.EOF
		case s.breaks:
			return 0, &upstream.Error{Progress: upstream.Broken, Err: io.ErrUnexpectedEOF}
		}
		s.buffered = strings.NewReader(fmt.Sprintf("id: %d\ndata: %s\n\n", s.next, s.software))
		s.next++
	}
	return s.buffered.Read(p)
}

// versioned makes a server serve streams. It breaks a share of them after some events.
func versioned(software string, broken float64, rnd *rand.Rand) behaviour {
	var mu sync.Mutex // guards rnd
	return func(_ context.Context, o *router.OutgoingCall) (*router.Reply, error) {
		after, _ := strconv.Atoi(o.LastEvent) // "": a new stream
		s := &versionedStream{software: software, next: after + 1}
		mu.Lock()
		defer mu.Unlock()
		if rnd.Float64() < broken {
			s.breaks = s.next + 1 + rnd.IntN(2)
		}
		return reply(200, s), nil
	}
}

// softwareOf returns the versions that made the events of an answer.
func softwareOf(body string) map[string]bool {
	out := map[string]bool{}
	for line := range strings.SplitSeq(body, "\n") {
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			out[v] = true
		}
	}
	return out
}

// takeUp returns a request that takes up the stream of a former one.
func takeUp(c *router.Call, answers string) *router.Call {
	next := newCall(c.Path)
	next.Resumes, next.LastEvent = c.ID, strconv.Itoa(strings.Count(answers, "id: "))
	if c.Resumes != "" {
		next.Resumes = c.Resumes
	}
	return next
}

// stream plays a caller that takes its stream up at another entry when it breaks off.
func (g *region) stream(path string, entry func() int) (body string, takenUp, wentOn int, last *recordedAnswer) {
	c := newCall(path)
	last = serve(context.Background(), g.entries[entry()], c)
	body = last.body.String()
	for range 2 {
		if !last.aborted {
			break
		}
		takenUp++
		c = takeUp(c, body)
		last = serve(context.Background(), g.entries[entry()], c)
		body += last.body.String()
		if last.starts > 0 {
			wentOn++
		}
	}
	return body, takenUp, wentOn, last
}

// TestStreamsGoOnAtTheSoftwareThatBeganThem breaks many streams while servers of two
// versions serve.
func TestStreamsGoOnAtTheSoftwareThatBeganThem(t *testing.T) {
	for name, entries := range map[string]int{"one entry": 1, "five entries": 5, "many entries": 33} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, entries, func(t *testing.T, g *region) {
				is := is.New(t)
				versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}
				g.setSoftware(versions)
				for id, v := range versions {
					g.servers.set(id, versioned(v, 0.5, rand.New(rand.NewPCG(1, uint64(id[1])))))
				}
				const streams = 200
				var mu sync.Mutex // guards the counts and rnd
				var mixed, takenUp, wentOn int
				rnd := rand.New(rand.NewPCG(2, uint64(entries)))
				entry := func() int {
					mu.Lock()
					defer mu.Unlock()
					return rnd.IntN(entries)
				}
				var all sync.WaitGroup
				for range streams {
					time.Sleep(150 * time.Millisecond)
					all.Go(func() {
						body, n, on, _ := g.stream("/resumable/x", entry)
						mu.Lock()
						defer mu.Unlock()
						takenUp, wentOn = takenUp+n, wentOn+on
						if len(softwareOf(body)) > 1 {
							mixed++
						}
					})
				}
				all.Wait()
				t.Logf("%d streams of two versions; of %d taken up %d went on", mixed, takenUp, wentOn)
				is.Equal(mixed, 0)
				is.True(takenUp > 20)
				is.True(float64(wentOn) >= 0.9*float64(takenUp))
			})
		})
	}
}

// cutAnswer is an answer whose connection is cut when ctx ends.
type cutAnswer struct {
	recordedAnswer
	ctx context.Context
}

func (a *cutAnswer) Write(p []byte) error {
	if a.ctx.Err() != nil {
		return a.ctx.Err()
	}
	return a.recordedAnswer.Write(p)
}

// TestStreamsOfAKilledEntryGoOnAtTheSoftwareThatBeganThem kills the entry that relays a
// stream right after the first event.
func TestStreamsOfAKilledEntryGoOnAtTheSoftwareThatBeganThem(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}
		g.setSoftware(versions)
		for id, v := range versions {
			g.servers.set(id, versioned(v, 0, rand.New(rand.NewPCG(1, 1))))
		}
		const streams = 20
		calls := make([]*router.Call, streams)
		answers := make([]*cutAnswer, streams)
		ctx, kill := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for i := range streams {
			calls[i] = newCall("/resumable/x")
			calls[i].PromptTokens, calls[i].MaxTokens, calls[i].ExpectedTokens = 500, 500, 400
			answers[i] = &cutAnswer{ctx: ctx}
			all.Go(func() { g.entries[0].Serve(ctx, calls[i], answers[i]) })
		}
		time.Sleep(prefillTime + 50*time.Millisecond)
		g.stop[0]()
		kill()
		all.Wait()
		begun := 0
		for i, a := range answers {
			if a.starts == 0 {
				continue
			}
			begun++
			next := serve(context.Background(), g.entries[1+i%4], takeUp(calls[i], a.body.String()))
			is.Equal(next.status, 200)
			is.Equal(len(softwareOf(a.body.String()+next.body.String())), 1)
		}
		is.True(begun > streams/2)
	})
}

// TestStreamsWhoseSoftwareIsGoneAreNotMixed takes up a stream of a version that no server
// has any longer, and one whose version is not recorded.
func TestStreamsWhoseSoftwareIsGoneAreNotMixed(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, g *region) {
		is := is.New(t)
		g.setSoftware(map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1", "d3": "v1"})
		for _, id := range decodeServers {
			g.servers.set(id, versioned("v1", 1, rand.New(rand.NewPCG(1, 1))))
		}
		c := newCall("/resumable/x")
		a := serve(context.Background(), g.entries[0], c)
		is.True(a.aborted)
		g.setSoftware(map[string]string{"p1": "v2", "p2": "v2", "d1": "v2", "d2": "v2", "d3": "v2"})
		unknown := newCall("/resumable/x")
		unknown.ID = "unknown"
		for _, former := range []*router.Call{c, unknown} {
			before := len(g.servers.recorded())
			next := serve(context.Background(), g.entries[1], takeUp(former, a.body.String()))
			is.Equal(next.starts, 0)
			is.Equal(next.failure.Outcome, apierror.OutcomeNotRun)
			is.Equal(len(g.servers.recorded()), before) // nothing was prefilled in vain
		}
		serve(context.Background(), g.entries[0], newCall("/resumable/x"))
		time.Sleep(time.Minute) // v1 is not remembered, but the stream is
		before := len(g.servers.recorded())
		next := serve(context.Background(), g.entries[0], takeUp(c, a.body.String()))
		is.Equal(next.starts, 0)
		is.Equal(len(g.servers.recorded()), before)
		time.Sleep(time.Minute) // streams of v1 are over
		next = serve(context.Background(), g.entries[1], takeUp(unknown, ""))
		is.Equal(next.starts, 1)
	})
}

// TestStreamsTakenUpBeforeAnyServerIsKnownAreNotMixed takes a stream up at an entry that has a
// configuration and no servers yet. Those that appear while the call would wait may be of
// another version.
func TestStreamsTakenUpBeforeAnyServerIsKnownAreNotMixed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		known := f.directory.Current().Servers
		for id := range known {
			f.directory.Remove(id, 0)
		}
		f.Router = router.New(f.directory, f.servers, testOptions, nopLogger)
		time.AfterFunc(100*time.Millisecond, func() {
			for i, id := range slices.Sorted(maps.Keys(known)) {
				s := *known[id]
				s.Software = fmt.Sprint("v", i%2)
				f.directory.Put(&s)
			}
		})
		c := newCall("/resumable/x")
		c.Resumes, c.LastEvent = "begun-elsewhere", "3"
		a := serve(context.Background(), f.Router, c)
		is.Equal(a.starts, 0)
		is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
	})
}

// TestStreamsThatWaitForTheirSoftwareHoldUpNoOthers takes up a stream whose only server has
// no memory left.
func TestStreamsThatWaitForTheirSoftwareHoldUpNoOthers(t *testing.T) {
	withRegion(t, 1, func(t *testing.T, g *region) {
		is := is.New(t)
		g.setSoftware(map[string]string{"d1": "v1", "d2": "v2", "d3": "v2"})
		for _, id := range []string{"d2", "d3"} {
			g.servers.set(id, versioned("v2", 0, rand.New(rand.NewPCG(1, 1))))
		}
		broken := false
		g.servers.set("d1", func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			if broken {
				return hangs(ctx, o)
			}
			return reply(200, &versionedStream{software: "v1", next: 1, breaks: 3}), nil
		})
		var c *router.Call
		var a *recordedAnswer
		for range 20 { // until one is begun at d1
			c, a = newCall("/resumable/x"), &recordedAnswer{}
			g.entries[0].Serve(context.Background(), c, a)
			if softwareOf(a.body.String())["v1"] {
				break
			}
		}
		is.True(a.aborted)
		broken = true
		ctx, end := context.WithCancel(context.Background())
		defer end()
		for range 40 { // more than d1 has slots for
			go serve(ctx, g.entries[0], takeUp(c, a.body.String()))
			time.Sleep(100 * time.Millisecond)
		}
		var waiting sync.WaitGroup
		var waited time.Duration
		var next *recordedAnswer
		waiting.Go(func() {
			began := time.Now()
			next = serve(context.Background(), g.entries[0], takeUp(c, a.body.String()))
			waited = time.Since(began)
		})
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		is.Equal(serve(context.Background(), g.entries[0], newCall("/resumable/x")).status, 200)
		is.True(time.Since(began) < target)
		waiting.Wait()
		is.Equal(next.failure.Outcome, apierror.OutcomeNotRun)
		is.True(waited <= patience-target) // enough for a first event before callers give up
	})
}

// splitResumableRoute divides the requests of the resumable route between two services by their
// weights.
func splitResumableRoute(d *directory.Directory, llm, other float64) {
	c := *d.Current().Config
	c.Version++
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		if c.Routes[i].Resumable {
			c.Routes[i].Shares = []directory.TrafficShare{{Service: "llm", Weight: llm}, {Service: "other", Weight: other}}
		}
	}
	c.Services = maps.Clone(c.Services)
	c.Services["other"] = &directory.Service{Name: "other", Engine: c.Services["llm"].Engine}
	d.SetConfig(&c)
	d.Put(&directory.Server{ID: "q1", Service: "other", Slots: 12, DataCentre: "dc", Stage: directory.Prefill})
	d.Put(&directory.Server{ID: "e1", Service: "other", Slots: 12, DataCentre: "dc", Stage: directory.Decode})
}

// TestStreamsGoOnAtTheServiceThatBeganThem takes up streams of a route that is split
// between services with different weights.
func TestStreamsGoOnAtTheServiceThatBeganThem(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, g *region) {
		is := is.New(t)
		for _, d := range g.directories {
			splitResumableRoute(d, 1, 1)
		}
		for _, id := range decodeServers {
			g.servers.set(id, versioned("llm", 0.5, rand.New(rand.NewPCG(1, uint64(id[1])))))
		}
		g.servers.set("e1", versioned("other", 0.5, rand.New(rand.NewPCG(1, 9))))
		rnd, mixed := rand.New(rand.NewPCG(3, 3)), 0
		for range 60 {
			body, _, _, _ := g.stream("/resumable/x", func() int { return rnd.IntN(2) })
			if len(softwareOf(body)) > 1 {
				mixed++
			}
		}
		is.Equal(mixed, 0)
	})
}

// TestStreamsWithoutFurtherEventsKeepTheirProof takes up a stream of which only the end is
// missing.
func TestStreamsWithoutFurtherEventsKeepTheirProof(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(""))
		c := newCall("/resumable/x")
		c.Resumes, c.LastEvent = "first", "6"
		a := serve(context.Background(), f.Router, c)
		is.Equal(a.starts, 1)
		is.Equal(a.status, 200)
		is.True(!a.aborted)
	})
}

// TestEachVersionThatBeganStreamsKeepsADecodeServer takes all decode servers of one version
// away. One of its prefill servers is ordered to decode, and none of a version that has begun
// no stream.
func TestEachVersionThatBeganStreamsKeepsADecodeServer(t *testing.T) {
	for name, tc := range map[string]struct {
		versions map[string]string
		orders   int
	}{
		"a version loses its decode servers":    {map[string]string{"p1": "v1", "p2": "v1", "p3": "v1", "p4": "v2", "d1": "v1", "d2": "v1", "d3": "v2"}, 1},
		"a version has begun no streams":        {map[string]string{"p1": "v1", "p2": "v1", "p3": "v2", "p4": "v2", "d1": "v1", "d2": "v1", "d3": "v1"}, 0},
		"two prefill servers are all there are": {map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1", "d3": "v2"}, 1},
		"the last prefill server stays":         {map[string]string{"p1": "v1", "d1": "v1", "d2": "v1", "d3": "v2"}, 0},
		"one server of the version is left":     {map[string]string{"p1": "v1", "p2": "v2", "p3": "v2", "p4": "v2", "d1": "v1", "d2": "v1", "d3": "v2"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 1, func(t *testing.T, g *region) {
				is := is.New(t)
				for _, id := range []string{"p1", "p2", "p3", "p4"} {
					if g.directories[0].Remove(id, 0); tc.versions[id] != "" {
						g.directories[0].Put(&directory.Server{ID: id, Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Prefill})
					}
				}
				g.setSoftware(tc.versions)
				stop := g.balance()
				time.Sleep(3 * time.Second)
				is.Equal(len(g.servers.recorded()), 0)
				g.directories[0].Remove("d1", 0)
				g.directories[0].Remove("d2", 0)
				time.Sleep(5 * time.Second)
				stop()
				is.Equal(len(g.servers.recorded()), tc.orders)
				for _, server := range g.orders() {
					is.Equal(tc.versions[server], "v1")
					is.True(strings.HasPrefix(server, "p"))
				}
			})
		})
	}
}

// Entries must not leave a server out for longer than its change of stage takes.
func TestStreamsGoOnAtAServerOnceItHasChangedItsStage(t *testing.T) {
	withRegion(t, 3, func(t *testing.T, g *region) {
		is := is.New(t)
		g.serveVersions(map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1", "d3": "v2"})
		defer g.balance()()
		time.Sleep(3 * time.Second)
		streams := g.beginStreams(30, func() {})
		for _, d := range g.directories {
			d.Remove("d1", 0)
			d.Remove("d2", 0)
		}
		time.Sleep(4 * time.Second) // of the 6 s that a change may take
		orders := g.orders()
		is.Equal(len(orders), 1)
		ordered := orders[0]
		for _, d := range g.directories {
			s := *d.Current().Servers[ordered]
			s.Stage = directory.Decode
			s.Version.Revision++
			d.Put(&s)
		}
		time.Sleep(2 * time.Second) // full messages report the order again
		begun, same, mixed := g.takeUpAll(slices.DeleteFunc(streams, func(s *begunStream) bool { return s.software() != "v1" }))
		is.True(begun > 5)
		is.Equal(same, begun)
		is.Equal(mixed, 0)
	})
}

// Orders must not end with one entry, come from several, or rely on an old view.
func TestOrdersDoNotEndWithAnEntry(t *testing.T) {
	for name, tc := range map[string]struct {
		alive  []int
		cutOff bool // from the registry
		orders int
	}{
		"all entries live": {[]int{0, 1, 2}, false, 1}, "the first one": {[]int{0}, false, 1}, "the second one": {[]int{1}, false, 1},
		"the third one": {[]int{2}, false, 1}, "all are cut off from the registry": {[]int{0, 1, 2}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 3, func(t *testing.T, g *region) {
				is := is.New(t)
				g.setSoftware(map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1", "d3": "v2"})
				all := g.entries
				g.entries = nil
				for i, r := range all {
					g.registries[i].unreachable.Store(tc.cutOff)
					if slices.Contains(tc.alive, i) {
						g.entries = append(g.entries, r)
					} else {
						g.stop[i]()
					}
				}
				defer g.balance()()
				time.Sleep(5 * time.Second)
				for _, d := range g.directories {
					d.Remove("d1", 0)
					d.Remove("d2", 0)
				}
				time.Sleep(5 * time.Second)
				is.Equal(len(g.orders()), tc.orders)
			})
		})
	}
}

// A version that had several decode servers must not be left with room for one.
func TestVersionsKeepRoomForTheirStreams(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, g *region) {
		is := is.New(t)
		prefills := []string{"p1", "p2", "p3", "p4", "p5"}
		for _, id := range prefills {
			for _, d := range g.directories {
				d.Put(&directory.Server{ID: id, Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Prefill, Software: "v1", Version: directory.Version{Revision: 1}})
			}
		}
		g.setSoftware(map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"})
		g.servers.setAll(decodeServers, paced(140, 100*time.Millisecond))
		defer g.balance()()
		time.Sleep(3 * time.Second)
		ctx, cut := context.WithCancel(context.Background())
		defer cut()
		for i := range 20 {
			c := newCall("/resumable/x")
			c.PromptTokens, c.MaxTokens, c.ExpectedTokens = 5000, 400, 400
			go serve(ctx, g.entries[i%2], c)
			time.Sleep(50 * time.Millisecond)
		}
		for _, d := range g.directories {
			d.Put(&directory.Server{ID: "d4", Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Decode, Software: "v2"})
			for _, id := range decodeServers {
				s := *d.Current().Servers[id]
				s.Draining = true
				s.Version.Revision++
				d.Put(&s)
			}
		}
		time.Sleep(8 * time.Second)
		is.Equal(len(g.orders()), 2) // room for 12 streams each
	})
}
