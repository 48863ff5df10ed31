package router_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// Timing of servers that crash.
const (
	// crashDelay is the time from the start of the fatal request to the crash.
	crashDelay = 60 * time.Millisecond
	// restartTime is the time from a crash to the next boot.
	restartTime = 3 * time.Second
	eventGap    = 50 * time.Millisecond
	// settled is the time after the last crash that is allowed from which the fatal
	// requests must be known.
	settled = 3 * time.Second
)

// crashingServers are the decode or plain servers of a region that end under some requests
// and start again.
type crashingServers struct {
	region *region
	fatal  func(c *router.Call) bool
	events int // of each stream
	// fatalEvents is the number of events that a fatal stream has before its server ends.
	fatalEvents int

	mu       sync.Mutex // guards the fields below
	boots    map[string]chan struct{}
	crashes  []time.Time
	arrivals []time.Time // of fatal requests
	sent     []soundCall
}

// soundCall is a request that crashes nothing.
type soundCall struct {
	at     time.Time
	answer *recordedAnswer
}

// newCrashingServers makes some servers of a region end under fatal requests.
func newCrashingServers(g *region, ids []string, fatal func(c *router.Call) bool) *crashingServers {
	s := &crashingServers{region: g, fatal: fatal, events: 30, boots: map[string]chan struct{}{}}
	g.servers.arrived = func(o *router.OutgoingCall) {
		if fatal(o.Call) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.arrivals = append(s.arrivals, time.Now())
		}
	}
	for _, id := range ids {
		s.boots[id] = make(chan struct{})
		if strings.HasPrefix(id, "p") {
			g.servers.prefills[id] = func(_ context.Context, o *router.OutgoingCall) (*router.Reply, error) { return nil, s.prefill(id, o) }
			continue
		}
		g.servers.set(id, func(_ context.Context, o *router.OutgoingCall) (*router.Reply, error) { return s.run(id, o) })
	}
	return s
}

// prefill fails a fatal prefill at the end of its server.
func (s *crashingServers) prefill(id string, o *router.OutgoingCall) error {
	s.mu.Lock()
	boot := s.boots[id]
	s.mu.Unlock()
	if boot == nil {
		return errRefusedConnection
	}
	if !s.fatal(o.Call) {
		return nil
	}
	time.AfterFunc(crashDelay, func() { s.crash(id, boot) })
	<-boot
	return &upstream.Error{Progress: upstream.Unanswered, Err: io.ErrUnexpectedEOF}
}

// run runs a request at a server.
func (s *crashingServers) run(id string, o *router.OutgoingCall) (*router.Reply, error) {
	s.mu.Lock()
	boot := s.boots[id]
	s.mu.Unlock()
	if boot == nil {
		return nil, errRefusedConnection
	}
	if s.fatal(o.Call) {
		time.AfterFunc(crashDelay, func() { s.crash(id, boot) })
	}
	if strings.HasPrefix(o.Call.Path, "/safe/") {
		select {
		case <-boot:
			return nil, &upstream.Error{Progress: upstream.Unanswered, Err: io.ErrUnexpectedEOF}
		case <-time.After(crashDelay + 10*time.Millisecond):
			return reply(200, strings.NewReader("ok")), nil
		}
	}
	body, w := io.Pipe()
	go func() {
		for i := range s.events {
			select {
			case <-boot:
				_ = w.CloseWithError(&upstream.Error{Progress: upstream.Broken, Err: io.ErrUnexpectedEOF})
				return
			case <-time.After(eventGap):
			}
			if !s.fatal(o.Call) || i < s.fatalEvents {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i) // the reader's end is the router's
			}
		}
		_ = w.Close() // a pipe's Close returns no error
	}()
	return reply(200, body), nil
}

// crash ends a boot of a server and starts the next one after restartTime.
func (s *crashingServers) crash(id string, boot chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boots[id] != boot {
		return // ended before
	}
	s.crashes = append(s.crashes, time.Now())
	s.boots[id] = nil
	s.region.servers.setReachable(id, false)
	close(boot)
	time.AfterFunc(restartTime, func() {
		s.mu.Lock()
		s.boots[id] = make(chan struct{})
		s.mu.Unlock()
		s.region.servers.setReachable(id, true)
		for _, d := range s.region.directories {
			next := *d.Current().Servers[id]
			next.Started += restartTime.Milliseconds()
			next.Version.Revision++
			d.Put(&next)
		}
	})
}

// play sends calls at a steady rate to the entries in turn. next makes the i-th call.
func (s *crashingServers) play(perSecond float64, d time.Duration, next func(i int) *router.Call) *sync.WaitGroup {
	all := &sync.WaitGroup{}
	all.Go(func() {
		for i := range int(perSecond * d.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
			c, entry := next(i), s.region.entries[i*7%len(s.region.entries)]
			all.Go(func() {
				a := serve(context.Background(), entry, c)
				if !s.fatal(c) {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.sent = append(s.sent, soundCall{c.Arrived, a})
				}
			})
		}
	})
	return all
}

// after returns the fatal requests that reached servers later than settled after the crash
// number allowed, and the share of the sound requests that were served from twice that time
// after it (after the last crash, if there were fewer).
func (s *crashingServers) after(allowed int) (late int, served float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		return 0, 1
	}
	last := s.crashes[min(allowed, len(s.crashes))-1]
	for _, t := range s.arrivals {
		if len(s.crashes) >= allowed && t.Sub(last) > settled {
			late++
		}
	}
	sound := slices.DeleteFunc(slices.Clone(s.sent), func(c soundCall) bool { return c.at.Sub(last) < 2*settled })
	for _, c := range sound {
		if c.answer.status == 200 && !c.answer.aborted {
			served++
		}
	}
	return late, served / float64(len(sound))
}

// addCopies registers copies of servers in further data centres, and returns the IDs of all.
func (g *region) addCopies(ids []string, copies int) []string {
	all := slices.Clone(ids)
	for i := range copies - 1 {
		for _, id := range ids {
			for _, d := range g.directories {
				s := *d.Current().Servers[id]
				s.ID, s.DataCentre = fmt.Sprint(id, "-", i), fmt.Sprint("dc", i)
				d.Put(&s)
			}
			all = append(all, fmt.Sprint(id, "-", i))
		}
	}
	return all
}

// withParts returns a call to a model whose prompt has the given shared parts.
func withParts(path string, parts ...string) *router.Call {
	c := newCall(path)
	c.SharedParts, c.OwnPart = parts, c.ID
	return c
}

// TestPromptPartThatCrashesServersIsNotSentAgain has requests of which no two are alike
// crash decode servers by one part that they share. Sound requests share their other parts.
func TestPromptPartThatCrashesServersIsNotSentAgain(t *testing.T) {
	fatal := func(c *router.Call) bool { return slices.Contains(c.SharedParts, "fatal") }
	for name, test := range map[string]struct {
		entries    int
		path       string
		bad, sound func(i int) []string
		servers    []string // that end; nil: the decode servers
	}{
		"the first part is common": {5, "/resumable/x", func(int) []string { return []string{"common", "fatal"} }, func(int) []string { return []string{"common"} }, nil},
		"the first part differs":   {5, "/resumable/x", func(i int) []string { return []string{fmt.Sprint(i), "fatal"} }, func(i int) []string { return []string{fmt.Sprint(i)} }, nil},
		"one entry":                {1, "/resumable/x", func(int) []string { return []string{"common", "fatal"} }, func(int) []string { return []string{"common"} }, nil},
		"not resumable":            {5, "/stream/x", func(int) []string { return []string{"common", "fatal"} }, func(int) []string { return []string{"common"} }, nil},
		"many parts":               {5, "/resumable/x", func(i int) []string { return []string{"common", "fatal", fmt.Sprint(i % 3), "end"} }, func(i int) []string { return []string{"common", fmt.Sprint(i % 3), "end"} }, nil},
		"prefill servers":          {5, "/resumable/x", func(int) []string { return []string{"common", "fatal"} }, func(int) []string { return []string{"common"} }, prefillServers},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, test.entries, func(t *testing.T, g *region) {
				is := is.New(t)
				servers := decodeServers
				if test.servers != nil {
					servers = test.servers
					for _, id := range decodeServers {
						g.servers.set(id, streamsFor(2*time.Second))
					}
				}
				s := newCrashingServers(g, g.addCopies(servers, 2), fatal)
				sound := s.play(4, 40*time.Second, func(i int) *router.Call { return withParts(test.path, test.sound(i)...) })
				time.Sleep(3 * time.Second)
				bad := s.play(2, 35*time.Second, func(i int) *router.Call { return withParts(test.path, test.bad(i)...) })
				bad.Wait()
				sound.Wait()
				late, served := s.after(5)
				t.Logf("%d crashes, %d late arrivals, %.2f of the sound requests served", len(s.crashes), late, served)
				is.True(late <= 3)
				is.True(served >= 0.95)
				for _, entry := range g.entries {
					blames := entry.Snapshot().Blames
					is.Equal(len(blames), 1)
					is.True(slices.Contains(blames[0].Causes, blame.PartKey("h", "fatal").String()))
				}
			})
		})
	}
}

// TestRequestThatCrashesServersIsNotSentAgain has one request come again and again and end
// each plain server that runs it.
func TestRequestThatCrashesServersIsNotSentAgain(t *testing.T) {
	for name, test := range map[string]struct {
		entries int
		fatal   func(c *router.Call) bool
		sound   func(i int) string // the query of a sound lookup
	}{
		"five entries":         {5, func(c *router.Call) bool { return c.Target == "/safe/x?fatal" }, func(i int) string { return fmt.Sprint("?", i) }},
		"one entry":            {1, func(c *router.Call) bool { return c.Target == "/safe/x?fatal" }, func(i int) string { return fmt.Sprint("?", i) }},
		"others send the same": {5, func(c *router.Call) bool { return c.Caller == "fatal" }, func(int) string { return "?fatal" }},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, test.entries, func(t *testing.T, g *region) {
				is := is.New(t)
				s := newCrashingServers(g, plainServers, test.fatal)
				plain := func(query, caller string) *router.Call {
					c := newCall("/safe/x")
					c.Target += query
					c.Caller = caller
					return c
				}
				sound := s.play(20, 40*time.Second, func(i int) *router.Call { return plain(test.sound(i), fmt.Sprint(i%10)) })
				time.Sleep(3 * time.Second)
				bad := s.play(2, 35*time.Second, func(int) *router.Call { return plain("?fatal", "fatal") })
				bad.Wait()
				sound.Wait()
				late, served := s.after(3)
				t.Logf("%d crashes, %d late arrivals, %.2f of the sound requests served", len(s.crashes), late, served)
				is.True(late <= 3)
				is.True(served >= 0.95)
			})
		})
	}
}

// TestFatalRequestsThatArriveTogetherEndFewServers has fifty fatal requests arrive within a
// second at five entries, and some more each second afterwards.
func TestFatalRequestsThatArriveTogetherEndFewServers(t *testing.T) {
	fatalPart := func(c *router.Call) bool { return slices.Contains(c.SharedParts, "fatal") }
	withFatalPart := func(_ int, fatal bool) *router.Call {
		if fatal {
			return withParts("/resumable/x", "common", "fatal")
		}
		return withParts("/resumable/x", "common")
	}
	for name, test := range map[string]struct {
		servers     []string
		allowed     int // ends
		fatalEvents int
		fatal       func(c *router.Call) bool
		call        func(i int, fatal bool) *router.Call
	}{
		"one request": {plainServers, 3, 0, func(c *router.Call) bool { return c.Target == "/safe/x?fatal" }, func(i int, fatal bool) *router.Call {
			c := newCall("/safe/x")
			if c.Target += fmt.Sprint("?", i); fatal {
				c.Target = "/safe/x?fatal"
			}
			return c
		}},
		"one part":                   {decodeServers, 5, 0, fatalPart, withFatalPart},
		"one part, after some event": {decodeServers, 5, 1, fatalPart, withFatalPart},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 5, func(t *testing.T, g *region) {
				is := is.New(t)
				s := newCrashingServers(g, g.addCopies(test.servers, 4), test.fatal)
				s.fatalEvents = test.fatalEvents
				sound := s.play(6, 40*time.Second, func(i int) *router.Call { return test.call(i, false) })
				time.Sleep(3 * time.Second)
				s.play(50, time.Second, func(i int) *router.Call { return test.call(i, true) }).Wait()
				s.play(5, 30*time.Second, func(i int) *router.Call { return test.call(i, true) }).Wait()
				sound.Wait()
				_, served := s.after(test.allowed)
				t.Logf("%d crashes, %.2f of the sound requests served", len(s.crashes), served)
				is.True(len(s.crashes) <= test.allowed)
				is.True(served >= 0.95)
			})
		})
	}
}

// TestServersThatEndForOtherReasonsBlameNoRequest ends servers at random, and all of a data
// centre at once, under requests that share a part.
func TestServersThatEndForOtherReasonsBlameNoRequest(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		s := newCrashingServers(g, decodeServers, func(*router.Call) bool { return false })
		sound := s.play(8, 2*time.Minute, func(int) *router.Call { return withParts("/resumable/x", "common") })
		rnd := rand.New(rand.NewPCG(1, 2))
		for round := range 20 {
			time.Sleep(5 * time.Second)
			for _, id := range decodeServers {
				if round%4 == 0 || rnd.IntN(3) == 0 {
					s.mu.Lock()
					boot := s.boots[id]
					s.mu.Unlock()
					s.crash(id, boot)
					time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond)
				}
			}
		}
		sound.Wait()
		is.True(len(s.crashes) > 20)
		for _, c := range s.sent {
			is.True(c.answer.failure == nil || c.answer.failure.Kind != apierror.KindEndsServers)
		}
	})
}

// TestUnframedAnswerOfAServerThatEndedIsNotComplete has a server end without a reset while an
// answer without length runs, whose body then only seems to be complete.
func TestUnframedAnswerOfAServerThatEndedIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		path, cut, whole string
		servers          []string
	}{
		"plain":                   {"/safe/x", "ha", "half", plainServers},
		"stream":                  {"/resumable/x", "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", decodeServers},
		"stream without an event": {"/resumable/x", "", "id: 1\ndata: x\n\n", decodeServers},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				ended := ""
				f.servers.setAll(test.servers, func(_ context.Context, o *router.OutgoingCall) (*router.Reply, error) {
					body := test.whole
					if ended == "" {
						body, ended = test.cut, o.Server.ID
						f.servers.setReachable(ended, false)
					}
					r := reply(200, strings.NewReader(body))
					r.Unframed = true
					return r, nil
				})
				a := f.call(t.Context(), test.path)
				is.Equal(a.status, 200)
				is.True(strings.HasSuffix(a.body.String(), test.whole)) // by another server
			})
		})
	}
}

// TestUnframedStreamWithoutEventIDsIsComplete streams events that name no IDs.
func TestUnframedStreamWithoutEventIDsIsComplete(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
			r := reply(200, strings.NewReader("data: x\n\n"))
			r.Unframed = true
			return r, nil
		})
		a := f.call(t.Context(), "/stream/x")
		is.Equal(a.status, 200)
		is.True(!a.aborted)
	})
}

// TestBlameOutlivesAllEntries guards against evidence that entries alone hold: a request that is
// blamed would end further servers after all entries were killed.
func TestBlameOutlivesAllEntries(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		s := newCrashingServers(g, plainServers, func(c *router.Call) bool { return c.Target == "/safe/x?fatal" })
		fatal := func(int) *router.Call {
			c := newCall("/safe/x")
			c.Target += "?fatal"
			return c
		}
		s.play(2, 30*time.Second, fatal).Wait()
		crashed := len(s.crashes)
		is.True(crashed >= 3)
		g.killAll(func(*directory.Directory) {})
		s.play(2, 10*time.Second, fatal).Wait()
		is.Equal(len(s.crashes), crashed)
	})
}
