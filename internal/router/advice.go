package router

import (
	"expvar"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
)

// Observe records what an answer says of its server. at is the registration to which the
// request was sent.
func (r *Router) Observe(at *directory.Server, n advisory.Notice) {
	if !r.record(at, n) {
		return
	}
	if b := r.fleet.get(at.ID); b != nil && bootOf(b.server.Load()) == bootOf(at) {
		r.shareUsage(b)
	}
}

// record records a notice and reports whether it changed what is known of the server.
func (r *Router) record(at *directory.Server, n advisory.Notice) bool {
	before, after := r.fleet.advice.State(bootOf(at)).Record(n)
	logger := level.Info(r.log)
	if after.Leaving() && !before.Leaving() {
		_ = logger.Log("msg", "server says that it leaves", "server", at.ID, "service", at.Service, "boot", at.Started, "from_peer", n.FromPeer)
	}
	if after.ClosedUntil != before.ClosedUntil {
		_ = logger.Log("msg", "server wants nothing for a while", "server", at.ID, "service", at.Service, "boot", at.Started, "for_ms", n.RetryAfter.Milliseconds())
	}
	switch {
	case after.Limited && (!before.Limited || after.Limit != before.Limit):
		_ = logger.Log("msg", "server names a limit", "server", at.ID, "service", at.Service, "boot", at.Started, "per_second", after.Limit, "former", before.Limit, "from_peer", n.FromPeer, "entries", r.entries())
	case before.Limited && !after.Limited:
		_ = logger.Log("msg", "server names its limit no longer", "server", at.ID, "service", at.Service, "boot", at.Started, "from_peer", n.FromPeer, "former", before.Limit, "after_ms", time.Since(before.LimitSince).Milliseconds())
	default:
		return after.Leaving() != before.Leaving()
	}
	return true
}

// recordRemoteAdvice records what a server said of itself to another entry.
func (r *Router) recordRemoteAdvice(at *directory.Server, u loadexchange.Usage) {
	if !u.LeavingSince.IsZero() {
		r.record(at, advisory.Notice{Leaving: true, Received: u.LeavingSince, FromPeer: true})
	}
	if l := u.Limit; l != nil {
		r.record(at, advisory.Notice{Limit: l.PerSecond, ToRequest: true, Sent: l.Asked, Received: l.Heard, FromPeer: true})
	}
}

// addAdvice adds to what is told to the other entries what the server told this one.
func addAdvice(u *loadexchange.Usage, b *backend) {
	a := b.advice.Advice()
	if a.Leaving() && !a.LeavingFromPeer {
		u.LeavingSince, u.Started = a.LeavingSince, b.server.Load().Started
	}
	if !a.LimitHeard.IsZero() && !a.LimitFromPeer {
		u.Limit, u.Started = &loadexchange.Limit{Asked: a.LimitAsked, Heard: a.LimitHeard}, b.server.Load().Started
		if a.Limited {
			u.Limit.PerSecond = &a.Limit
		}
	}
}

// admits reports whether a server may get a request of this entry now, by what it has said
// of itself.
func (f *fleet) admits(b *backend, now time.Time) bool {
	return b.advice.Admits(now, func(limit float64) float64 { return f.share(b, limit) })
}

// take counts a request that this entry will send to a server. It reports false if the
// server may get none now. All requests to servers that callers cause are counted before
// they are sent.
func (f *fleet) take(b *backend, now time.Time) bool {
	return b.advice.Take(now, func(limit float64) float64 { return f.share(b, limit) })
}

// share returns the part of a server's limit that is this entry's, in requests a second.
func (f *fleet) share(b *backend, limit float64) float64 {
	rank, entries := 0, 1
	if f.peers != nil {
		rank, entries = f.peers.Rank(b.Name())
	}
	return advisory.EntryShare(limit, rank, entries)
}

// withheld reports whether a service has servers that are in service and take no request
// of this entry now, by what they have said of themselves.
func (f *fleet) withheld(service string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := time.Now()
	return slices.ContainsFunc(f.synced.Services[service], func(s *directory.Server) bool {
		b := f.backends[s.ID]
		return b != nil && !b.leaving() && !f.admits(b, now)
	})
}

// Assigned implements dispatch.Fleet. No further job is assigned to a server that admits
// none.
func (f *fleet) Assigned(b *backend) {
	now := time.Now()
	f.take(b, now)
	if !f.admits(b, now) {
		b.view.Unavailable = true
	}
}

// countLimited counts a request to a server that names a limit.
func countLimited(b *backend, counter *expvar.Int) {
	if b.advice.Advice().Limited {
		counter.Add(1)
	}
}
