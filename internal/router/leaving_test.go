package router_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// drainTime is the time after an answer that says that its server leaves from which the
// server gets no request that was sent later.
const drainTime = 2 * time.Second

// leavers are servers that say that they leave, and when they got requests after it.
type leavers struct {
	mu      sync.Mutex // guards the fields below
	leaving map[string]bool
	// stated is the time of the first such answer to an entry; late counts the requests that
	// reached a server from an entry later than drainTime after it.
	stated map[string]map[int]time.Time
	late   map[string]int
}

func newLeavers(ids ...string) *leavers {
	l := &leavers{leaving: map[string]bool{}, stated: map[string]map[int]time.Time{}, late: map[string]int{}}
	for _, id := range ids {
		l.leaving[id], l.stated[id] = true, map[int]time.Time{}
	}
	return l
}

func (l *leavers) observe(entry int, server string) advisory.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaving[server] {
		return advisory.Notice{}
	}
	at, ok := l.stated[server][entry]
	if !ok {
		l.stated[server][entry] = time.Now()
	} else if time.Since(at) > drainTime {
		l.late[server]++
	}
	return advisory.Notice{Leaving: true}
}

// TestLeavingServersGetNoNewRequests makes a server of each kind say that it leaves, while its
// registration stays as it was.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		server, path string
		answer       behaviour
	}{
		"plain":               {"a1", "/once/x", ok("ok")},
		"plain that fails":    {"a1", "/safe/x", fails(500)},
		"prefill":             {"p1", "/stream/x", ok(stream)},
		"decode":              {"d1", "/stream/x", ok(stream)},
		"decode, resumed":     {"d1", "/resumable/x", breaksAfter(event1)},
		"decode that refuses": {"d1", "/stream/x", refuses},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 5, func(t *testing.T, g *region) {
				is := is.New(t)
				l := newLeavers(tc.server)
				g.observe = l.observe
				g.servers.setAll(plainServers, after(20*time.Millisecond, tc.answer))
				g.servers.setAll(decodeServers, after(20*time.Millisecond, tc.answer))
				g.load(tc.path, 8, loadTime)
				t.Logf("%d requests too late", l.late[tc.server])
				is.Equal(l.late[tc.server], 0)
			})
		})
	}
}

// TestOneEntryTellsTheOthersThatAServerLeaves checks that an entry avoids a server that has
// stated to another one that it leaves, also after the registration was read again from an older
// store, and that a new life of the server is used.
func TestOneEntryTellsTheOthersThatAServerLeaves(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, g *region) {
		is := is.New(t)
		l := newLeavers("a1")
		g.observe = l.observe
		for len(l.stated["a1"]) == 0 {
			serve(context.Background(), g.entries[0], newCall("/once/x"))
		}
		time.Sleep(100 * time.Millisecond)
		g.directories[1].Remove("a1", 0)
		serve(context.Background(), g.entries[1], newCall("/once/x"))
		g.directories[1].Put(&directory.Server{ID: "a1", Service: "app", Slots: 6, DataCentre: "dc", Version: directory.Version{Revision: 9}})
		before := len(g.servers.recorded())
		for range 20 {
			serve(context.Background(), g.entries[1], newCall("/once/x"))
		}
		for _, id := range g.servers.recorded()[before:] {
			is.True(id != "a1")
		}
		g.directories[1].Put(&directory.Server{ID: "a1", Service: "app", Slots: 6, DataCentre: "dc", Started: 5, Version: directory.Version{Revision: 10}})
		before = len(g.servers.recorded())
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() { serve(context.Background(), g.entries[1], newCall("/once/x")) })
		}
		all.Wait()
		used := 0
		for _, id := range g.servers.recorded()[before:] {
			if id == "a1" {
				used++
			}
		}
		is.True(used > 0)
	})
}

// TestLeavingServersFinishWhatTheyRun says in the header of a stream that its server leaves.
func TestLeavingServersFinishWhatTheyRun(t *testing.T) {
	withRegion(t, 1, func(t *testing.T, g *region) {
		is := is.New(t)
		l := newLeavers(decodeServers...)
		g.observe = l.observe
		g.servers.setAll(decodeServers, func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
			return reply(200, bytes.NewBufferString(stream)), nil
		})
		a := serve(context.Background(), g.entries[0], newCall("/stream/x"))
		is.Equal(a.body.String(), stream)
	})
}

// TestAdviceOfAnIdleServerIsStillRead has a server say something after it was idle for so long
// that states without a registration are forgotten.
func TestAdviceOfAnIdleServerIsStillRead(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.call(context.Background(), "/once/x")
		time.Sleep(time.Hour)
		f.directory.Put(&directory.Server{ID: "a4", Service: "app", Slots: 6, DataCentre: "dc"})
		f.call(context.Background(), "/once/x") // states are pruned
		f.Observe(f.directory.Current().Servers["a1"], advisory.Notice{Leaving: true, Received: time.Now()})
		for _, s := range f.Snapshot().Servers {
			is.Equal(s.Draining, s.ID == "a1")
		}
	})
}

// TestDecodesAreNotSentToServersThatLeftDuringThePrefill takes the decode server of a request
// away while its prompt is prefilled.
func TestDecodesAreNotSentToServersThatLeftDuringThePrefill(t *testing.T) {
	for name, leave := range map[string]func(f *fleet, s directory.Server){
		"removed": func(f *fleet, s directory.Server) { f.directory.Remove(s.ID, 0) },
		"draining for long": func(f *fleet, s directory.Server) {
			s.Draining = true
			s.Version.Revision++
			f.directory.Put(&s)
		},
		"says so": func(f *fleet, s directory.Server) {
			f.Observe(&s, advisory.Notice{Leaving: true, Received: time.Now()})
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				o := testOptions
				o.DrainTime = 500 * time.Millisecond
				f.Router = router.New(f.directory, f.servers, o, nopLogger)
				f.servers.prefillTime = o.DrainTime / 2
				f.servers.setAll(decodeServers, ok(events))
				left := ""
				time.AfterFunc(o.DrainTime/10, func() {
					for _, s := range f.Snapshot().Servers {
						if s.Stage == directory.Decode && s.Slots > 0 {
							left = s.ID
							leave(f, *f.directory.Current().Servers[s.ID])
						}
					}
				})
				a := f.call(context.Background(), "/stream/x")
				is.Equal(a.body.String(), events)
				is.True(left != "")
				for _, id := range f.servers.recorded() {
					is.True(id != left)
				}
			})
		})
	}
}
