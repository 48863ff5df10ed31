package router

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/loadshare"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// Bounds of the time without work for a server that breaks calls off.
const (
	// leastBroken is the number of calls that were broken within
	// loadshare.BrokenFor, at all entries together, from which a server may be
	// left out. One may be the network's fault.
	leastBroken = 2
	// streamingAfter is the time after which a run that decodes counts as one that
	// the server does well.
	streamingAfter = 300 * time.Millisecond
	// firstPause and maxPause bound the time without work. It doubles while calls
	// are broken after it, since each costs a caller its answer.
	firstPause = time.Second
	maxPause   = 4 * time.Second
)

// brokenCalls counts the calls that a server took and broke off without an answer. It
// answers a server that takes connections and fails each call: it is always
// empty, so that all entries would send it most of what they have. It is safe for
// concurrent use.
type brokenCalls struct {
	mu        sync.Mutex // guards the fields below
	own       []time.Time
	elsewhere []time.Time
	pause     time.Duration
	until     time.Time
}

// paused reports whether the server gets no work.
func (c *brokenCalls) paused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.until)
}

// add counts a call of this entry.
func (c *brokenCalls) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = append(recent(c.own, now), now)
}

// told returns the calls of this entry that the others are told.
func (c *brokenCalls) told(now time.Time) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = recent(c.own, now)
	return slices.Clone(c.own)
}

// hear stores the calls of the other entries.
func (c *brokenCalls) hear(times []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elsewhere = times
}

// judge leaves the server out when more calls were broken than runs stream there.
// It returns the number of broken calls and the pause; 0 when it goes on.
func (c *brokenCalls) judge(now time.Time, streaming int) (calls int, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls = len(recent(c.own, now)) + len(recent(c.elsewhere, now))
	if calls < leastBroken || calls <= streaming || now.Before(c.until) {
		return calls, 0
	}
	if now.Sub(c.until) > maxPause {
		c.pause = 0
	}
	c.pause = min(max(firstPause, 2*c.pause), maxPause)
	c.until = now.Add(c.pause)
	return calls, c.pause
}

// recent returns the times of the last loadshare.BrokenFor.
func recent(times []time.Time, now time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(times), func(t time.Time) bool { return now.Sub(t) > loadshare.BrokenFor })
}

// brokeCall notes that a server took a call and broke it off without an answer.
func (r *Router) brokeCall(b *backend) {
	b.broken.add(time.Now())
	r.tell(b)
	r.judge(b)
}

// judge leaves a server out for a while if it breaks calls.
func (r *Router) judge(b *backend) {
	streaming := 0
	r.dispatch.Update(b, func(now time.Duration, v *placement.Server) { streaming = v.Streaming(now - streamingAfter) })
	if calls, pause := b.broken.judge(time.Now(), streaming); pause > 0 {
		_ = level.Warn(r.log).Log("msg", "server paused", "server", b.Name(), "broken_calls", calls, "streaming", streaming, "pause_ms", pause.Milliseconds())
	}
}
