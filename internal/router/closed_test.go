package router_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
)

// From closedAfter after a server has turned a request of an entry away for a time, until that
// time is over, at most maxClosed requests of the entry reach it.
const (
	closedAfter = 500 * time.Millisecond
	maxClosed   = 2
)

// closers are servers that turn requests away and want nothing for a time.
type closers struct {
	mu      sync.Mutex // guards the fields below
	servers map[string]bool
	closed  time.Duration // named in each answer
	turned  map[string]map[int][]time.Time
	most    int // largest number of requests in one such time
}

func newClosers(closed time.Duration, ids ...string) *closers {
	c := &closers{servers: map[string]bool{}, closed: closed, turned: map[string]map[int][]time.Time{}}
	for _, id := range ids {
		c.servers[id], c.turned[id] = true, map[int][]time.Time{}
	}
	return c
}

func (c *closers) observe(entry int, server string) advisory.Notice {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.servers[server] {
		return advisory.Notice{}
	}
	for _, at := range c.turned[server][entry] {
		n := 0
		for _, other := range append(c.turned[server][entry], time.Now()) {
			if d := other.Sub(at); d >= closedAfter && d < c.closed {
				n++
			}
		}
		c.most = max(c.most, n)
	}
	c.turned[server][entry] = append(c.turned[server][entry], time.Now())
	return advisory.Notice{RetryAfter: c.closed}
}

// TestServersThatTurnAwayAreLeftAlone makes a server of each kind turn all requests away.
func TestServersThatTurnAwayAreLeftAlone(t *testing.T) {
	for name, tc := range map[string]struct {
		server, path string
		perSecond    float64
		closed       time.Duration
	}{
		"plain":                {"a1", "/once/x", 150, 3 * time.Second},
		"plain, repeated":      {"a1", "/safe/x", 150, 3 * time.Second},
		"prefill":              {"p1", "/stream/x", 8, 3 * time.Second},
		"decode":               {"d1", "/stream/x", 8, 3 * time.Second},
		"decode, resumable":    {"d1", "/resumable/x", 8, 3 * time.Second},
		"just above the bound": {"d1", "/resumable/x", 8, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 5, func(t *testing.T, g *region) {
				is := is.New(t)
				c := newClosers(tc.closed, tc.server)
				g.observe = c.observe
				g.servers.setAll(plainServers, after(20*time.Millisecond, ok("ok")))
				g.servers.setAll(decodeServers, after(20*time.Millisecond, ok(stream)))
				g.servers.set(tc.server, refuses)
				g.servers.prefills[tc.server] = refuses
				answers := g.load(tc.path, tc.perSecond, loadTime)
				t.Logf("at most %d requests to a closed server; %d of %d served", c.most, served(answers), len(answers))
				is.True(c.most <= maxClosed)
				is.True(float64(served(answers)) >= 0.95*float64(len(answers)))
			})
		})
	}
}

// TestCallersAreRefusedAtOnceWhileAllServersAreClosed checks that nothing waits for servers
// that are closed for longer than the target, and when callers are advised to come back.
func TestCallersAreRefusedAtOnceWhileAllServersAreClosed(t *testing.T) {
	for name, tc := range map[string]struct {
		servers []string
		path    string
	}{
		"plain": {plainServers, "/once/x"}, "prefill": {prefillServers, "/stream/x"}, "decode": {decodeServers, "/resumable/x"},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 1, func(t *testing.T, g *region) {
				is := is.New(t)
				const closed = 4 * time.Second
				for _, id := range tc.servers {
					g.entries[0].Observe(g.directories[0].Current().Servers[id], advisory.Notice{ToRequest: true, RetryAfter: closed, Received: time.Now()})
				}
				began := time.Now()
				returns := map[time.Duration]bool{}
				for range 10 {
					a := serve(context.Background(), g.entries[0], newCall(tc.path))
					is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
					is.Equal(a.failure.Kind, apierror.KindOverloaded)
					is.True(a.failure.RetryAfter >= closed && a.failure.RetryAfter < 2*closed)
					returns[a.failure.RetryAfter] = true
				}
				is.Equal(time.Since(began), time.Duration(0))
				is.True(len(returns) > 5) // they do not return together
				is.Equal(len(g.servers.recorded()), 0)
				time.Sleep(closed)
				g.servers.setAll(decodeServers, ok(stream))
				is.Equal(serve(context.Background(), g.entries[0], newCall(tc.path)).status, 200)
			})
		})
	}
}

// TestAClosedServerIsNotAFailedOne checks that the time after it is closed is spent like the
// time before.
func TestAClosedServerIsNotAFailedOne(t *testing.T) {
	withRegion(t, 1, func(t *testing.T, g *region) {
		is := is.New(t)
		c := newClosers(time.Second, "a1")
		g.observe = c.observe
		g.servers.setAll(plainServers, after(20*time.Millisecond, ok("ok")))
		g.servers.set("a1", refuses)
		g.load("/once/x", 68, 10*time.Second)
		g.observe = nil
		g.servers.set("a1", after(20*time.Millisecond, ok("ok")))
		for _, s := range g.entries[0].Snapshot().Servers {
			is.Equal(s.FailureRate, 0.0)
			is.True(!s.Suspected)
		}
		time.Sleep(2 * time.Second)
		before := len(g.servers.recorded())
		g.load("/once/x", 68, loadTime)
		used := 0
		for _, id := range g.servers.recorded()[before:] {
			if id == "a1" {
				used++
			}
		}
		is.True(float64(used) >= 68*loadTime.Seconds()/5)
	})
}
