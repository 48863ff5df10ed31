package router_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/router"
)

// Terms of a limit that a server names.
const (
	// limitGrace is the time after a limit was first named from which it holds.
	limitGrace = 3 * time.Second
	// toldAfter is the time after an answer that named the limit from which the requests
	// of its entry count.
	toldAfter = 500 * time.Millisecond
	// Within limitWindow a server gets at most limitFactor times what its limit allows,
	// and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedServer is a server that names a limit, and what it received.
type limitedServer struct {
	perSecond float64
	since     time.Time
	arrived   []time.Time // from entries that had received it
	told      map[int]time.Time
}

// limits are servers that name limits.
type limits struct {
	mu      sync.Mutex // guards servers and their content
	servers map[string]*limitedServer
}

func newLimits(perSecond map[string]float64) *limits {
	l := &limits{servers: map[string]*limitedServer{}}
	for id, n := range perSecond {
		l.servers[id] = &limitedServer{perSecond: n, since: time.Now(), told: map[int]time.Time{}}
	}
	return l
}

// end ends the limit of a server.
func (l *limits) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.servers, id)
}

func (l *limits) observe(entry int, server string) advisory.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil {
		return advisory.Notice{}
	}
	if at, ok := s.told[entry]; ok && time.Since(at) >= toldAfter {
		s.arrived = append(s.arrived, time.Now())
	} else if !ok {
		s.told[entry] = time.Now()
	}
	return advisory.Notice{Limit: &s.perSecond}
}

// most returns the largest number of requests that a server got within limitWindow, and
// the number that it allows.
func (s *limitedServer) most() (got, allowed int) {
	for i, first := range s.arrived {
		if first.Before(s.since.Add(limitGrace)) {
			continue
		}
		n := 0
		for _, at := range s.arrived[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		got = max(got, n)
	}
	return got, int(limitFactor*s.perSecond*limitWindow.Seconds()) + limitSlack
}

// check fails the test if a server got more than its limit allows.
func (l *limits) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for id, s := range l.servers {
		got, allowed := s.most()
		t.Logf("%s: limit %v, %d requests in %v, allowed %d", id, s.perSecond, got, limitWindow, allowed)
		is.True(got <= allowed)
	}
}

// after makes a server answer after a time.
func after(d time.Duration, b behaviour) behaviour {
	return func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
		if err := sleep(ctx, d); err != nil {
			return nil, err
		}
		return b(ctx, o)
	}
}

const loadTime = 12 * time.Second

func TestEntriesTogetherKeepToTheLimitOfAPlainServer(t *testing.T) {
	for name, tc := range map[string]struct {
		entries   int
		perSecond map[string]float64
		path      string
		answer    behaviour
	}{
		"five entries":             {5, map[string]float64{"a1": 7.8, "a2": 3.6}, "/once/x", ok("ok")},
		"repeats after failures":   {5, map[string]float64{"a1": 7.8, "a2": 3.6}, "/safe/x", fails(500)},
		"refusals":                 {5, map[string]float64{"a1": 7.8, "a2": 3.6}, "/safe/x", refuses},
		"more entries than limit":  {33, map[string]float64{"a1": 3.3}, "/once/x", ok("ok")},
		"less than one a second":   {33, map[string]float64{"a1": 0.4, "a2": 0.2}, "/once/x", ok("ok")},
		"a limit above the demand": {5, map[string]float64{"a1": 500}, "/once/x", ok("ok")},
		"nothing":                  {5, map[string]float64{"a1": 0}, "/once/x", ok("ok")},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, tc.entries, func(t *testing.T, g *region) {
				l := newLimits(tc.perSecond)
				g.observe = l.observe
				g.servers.setAll(plainServers, after(20*time.Millisecond, tc.answer))
				g.load(tc.path, 68, loadTime)
				l.check(t)
			})
		})
	}
}

func TestEntriesTogetherKeepToTheLimitOfAModelServer(t *testing.T) {
	for name, tc := range map[string]struct {
		entries   int
		perSecond map[string]float64
		answer    behaviour
	}{
		"prefill":             {5, map[string]float64{"p1": 1.2}, ok(stream)},
		"decode":              {5, map[string]float64{"d1": 1.2, "d2": 0.5}, ok(stream)},
		"decodes that refuse": {5, map[string]float64{"d1": 1.2, "d2": 0.5}, refuses},
		"streams that break": {5, map[string]float64{"d1": 1.2, "d2": 0.5}, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			return breaksAfter(event1)(ctx, o)
		}},
		"both, many entries": {33, map[string]float64{"p1": 1.2, "d1": 0.6}, ok(stream)},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, tc.entries, func(t *testing.T, g *region) {
				l := newLimits(tc.perSecond)
				g.observe = l.observe
				g.servers.setAll(decodeServers, after(100*time.Millisecond, tc.answer))
				g.load("/resumable/x", 8, loadTime)
				l.check(t)
			})
		})
	}
}

// stream is a complete answer, and event1 its first event.
const (
	event1 = "id: 1\ndata: a\n\n"
	stream = event1 + "id: 2\ndata: b\n\n"
)

// TestLimitedServersStayInUse checks that a limit costs no more than it must: the limited
// servers get a good part of what they allow, and the others the rest.
func TestLimitedServersStayInUse(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		l := newLimits(map[string]float64{"a1": 7.8, "a2": 3.6})
		g.observe = l.observe
		g.servers.setAll(plainServers, after(20*time.Millisecond, ok("ok")))
		answers := g.load("/once/x", 68, loadTime)
		is.Equal(served(answers), len(answers))
		for _, s := range l.servers {
			is.True(float64(len(s.arrived)) >= s.perSecond*loadTime.Seconds()/2)
		}
		l.end("a1")
		before := len(g.servers.recorded())
		g.load("/once/x", 68, loadTime)
		var got int
		for _, id := range g.servers.recorded()[before:] {
			if id == "a1" {
				got++
			}
		}
		is.True(float64(got) >= 68*loadTime.Seconds()/5) // used like the third again
	})
}

// TestCallsBeyondTheLimitsOfAllServersAreRefusedAtOnce makes each server of a service name a
// limit, together far below the load.
func TestCallsBeyondTheLimitsOfAllServersAreRefusedAtOnce(t *testing.T) {
	withRegion(t, 5, func(t *testing.T, g *region) {
		is := is.New(t)
		l := newLimits(map[string]float64{"a1": 5, "a2": 5, "a3": 5})
		g.observe = l.observe
		g.load("/once/x", 68, limitGrace)
		answers := g.load("/once/x", 68, loadTime)
		l.check(t)
		is.True(float64(served(answers)) >= 15*loadTime.Seconds()/2)
		for _, a := range answers {
			if a.status == 200 {
				continue
			}
			is.Equal(a.failure.Kind, apierror.KindOverloaded)
			is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
			is.True(a.failure.RetryAfter > 0)
			is.True(a.failure.RetryAfter <= 14*time.Second/3) // callers follow a third of their time
		}
	})
}

func TestARestartedServerIsNotLimited(t *testing.T) {
	withRegion(t, 1, func(t *testing.T, g *region) {
		is := is.New(t)
		l := newLimits(map[string]float64{"a1": 0, "a2": 0, "a3": 0})
		g.observe = l.observe
		g.load("/once/x", 10, time.Second)
		is.Equal(served(g.load("/once/x", 10, time.Second)), 0)
		l.end("a1")
		s := *g.directories[0].Current().Servers["a1"]
		s.Started++
		g.directories[0].Put(&s)
		is.Equal(served(g.load("/once/x", 10, time.Second)), 10)
	})
}
