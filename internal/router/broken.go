package router

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// Limits of the pause of a server that breaks calls.
const (
	// minBrokenCalls is the number of calls broken within
	// loadexchange.BrokenCallWindow, at all entries together, from which a server
	// may be paused. A single one may be the network's fault.
	minBrokenCalls = 2
	// minStreamingTime is the time for which a run must have been decoding to count
	// as evidence that the server works.
	minStreamingTime = 300 * time.Millisecond
	// minPause and maxPause bound the pause. It doubles when the server breaks calls
	// again after it, since each broken call costs a caller its answer.
	minPause = time.Second
	maxPause = 4 * time.Second
)

// brokenCalls counts the calls that a server accepted and then broke without an
// answer, and pauses the server. Without the pause, a server that accepts connections and
// fails each call would always be empty, and all entries would send it most of their
// calls. It is safe for concurrent use.
type brokenCalls struct {
	mu         sync.Mutex    // guards the fields below
	local      []time.Time   // of this entry
	remote     []time.Time   // of the other entries
	pause      time.Duration // length of the last pause
	pauseUntil time.Time     // end of the last pause
}

// paused reports whether the server is excluded from new work.
func (c *brokenCalls) paused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.pauseUntil)
}

// add records a broken call of this entry.
func (c *brokenCalls) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = append(recent(c.local, now), now)
}

// recentLocal returns the recent broken calls of this entry, for the other entries.
func (c *brokenCalls) recentLocal(now time.Time) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = recent(c.local, now)
	return slices.Clone(c.local)
}

// setRemote stores the broken calls of the other entries.
func (c *brokenCalls) setRemote(times []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote = times
}

// evaluate pauses the server when it broke more calls than it has streaming runs. It
// returns the number of broken calls and the length of a new pause, or 0.
func (c *brokenCalls) evaluate(now time.Time, streaming int) (calls int, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls = len(recent(c.local, now)) + len(recent(c.remote, now))
	if calls < minBrokenCalls || calls <= streaming || now.Before(c.pauseUntil) {
		return calls, 0
	}
	if now.Sub(c.pauseUntil) > maxPause { // long after the last pause: start with minPause again
		c.pause = 0
	}
	c.pause = min(max(minPause, 2*c.pause), maxPause)
	c.pauseUntil = now.Add(c.pause)
	return calls, c.pause
}

// recent returns the times within the last loadexchange.BrokenCallWindow.
func recent(times []time.Time, now time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(times), func(t time.Time) bool { return now.Sub(t) > loadexchange.BrokenCallWindow })
}

// recordBrokenCall records that a server accepted a call and broke it without an
// answer.
func (r *Router) recordBrokenCall(b *backend) {
	b.broken.add(time.Now())
	r.shareUsage(b)
	r.pauseIfBreaking(b)
}

// pauseIfBreaking pauses a server that breaks calls.
func (r *Router) pauseIfBreaking(b *backend) {
	streaming := 0
	r.dispatch.Update(b, func(now time.Duration, v *placement.Server) { streaming = v.RunsBegunBefore(now - minStreamingTime) })
	if calls, pause := b.broken.evaluate(time.Now(), streaming); pause > 0 {
		_ = level.Warn(r.log).Log("msg", "server paused", "server", b.Name(), "broken_calls", calls, "streaming", streaming, "pause_ms", pause.Milliseconds())
	}
}
