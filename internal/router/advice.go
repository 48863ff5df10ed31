package router

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// Observe records what an answer says of its server. at is the registration to which the
// request was sent.
func (r *Router) Observe(at *directory.Server, n advisory.Notice) {
	changed := r.record(at, n)
	b := r.fleet.get(at.ID)
	if b == nil || bootOf(b.server.Load()) != bootOf(at) {
		return
	}
	if n.Pace > 0 && r.recordPace(b, n.Pace, n.Received, false) {
		changed = true
	}
	if changed {
		r.shareUsage(b)
	}
}

// record records a notice and reports whether it changed what is known of the server.
func (r *Router) record(at *directory.Server, n advisory.Notice) bool {
	before, after := r.fleet.adviceFor(at).Record(n)
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

// adviceFor returns what the boot of a registration has said of itself.
func (f *fleet) adviceFor(at *directory.Server) *advisory.State {
	if b := f.get(at.ID); b != nil && bootOf(b.server.Load()) == bootOf(at) {
		return b.advice
	}
	return f.advice.State(bootOf(at))
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

// addAdvice adds what the server stated to this entry to what is reported to the others.
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

// withheld returns for how long the servers of a stage of a service that are in service
// want nothing from this entry. It reports false if one of them takes a request, or if there
// are none. The time is 0 if one of them is not closed: it has a limit.
func (f *fleet) withheld(service string, stage directory.Stage) (time.Duration, bool) {
	f.sync()
	f.mu.RLock()
	defer f.mu.RUnlock()
	now, found, wait := time.Now(), false, time.Duration(0)
	for _, s := range f.synced.Services[service] {
		b := f.backends[s.ID]
		if b == nil || s.Stage != stage || b.leaving() {
			continue
		}
		if f.admits(b, now) {
			return 0, false
		}
		if closed := b.advice.Advice().ClosedFor(now); !found || closed < wait {
			found, wait = true, closed
		}
	}
	return wait, found
}

// maxAdviceLogged is the number of servers whose advice a log line has.
const maxAdviceLogged = 8

// adviceOf returns what the servers of a stage of a service have stated, for logs.
func (f *fleet) adviceOf(service string, stage directory.Stage) []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []string
	for _, s := range f.synced.Services[service] {
		b := f.backends[s.ID]
		if b == nil || s.Stage != stage || len(out) == maxAdviceLogged {
			continue
		}
		if a := b.advice.Advice().String(); a != "" {
			out = append(out, s.ID+": "+a)
		}
	}
	return out
}

// closed reports whether the server wants nothing from this entry now.
func (b *backend) closed() bool { return b.advice.Advice().ClosedFor(time.Now()) > 0 }

// errClosed is the error of a request that is not sent to a server that wants nothing.
var errClosed = &upstream.Error{Progress: upstream.NotSent, Err: errors.New("the server wants nothing for a while")}

// returnSpread is the part of the delay over which callers that were refused together are
// advised to come back.
const returnSpread = 0.5

// refuseWithheld returns the refusal of a call whose servers take no request of this entry
// for a while.
func (x *exchange) refuseWithheld(wait time.Duration, stage directory.Stage) *apierror.Error {
	x.warn("refused before it was sent", "stage", stage, "closed_ms", wait.Milliseconds(), "advice", x.router.fleet.adviceOf(x.service, stage))
	if wait == 0 { // a limit, in requests a second
		wait = min(time.Second, time.Duration(float64(maxAdvisedDelay(x.call))/(1+returnSpread)))
	}
	wait += time.Duration(rand.Float64() * returnSpread * float64(wait))
	return apierror.NotRun(apierror.KindOverloaded, "the servers of "+x.service+" take no more requests now", "retry after the delay").WithRetryAfter(wait)
}

// refuseClosed returns a refusal if all servers of a stage are closed for longer than the
// call may wait.
func (x *exchange) refuseClosed() *apierror.Error {
	for _, stage := range []directory.Stage{directory.Prefill, directory.Decode} {
		if wait, ok := x.router.fleet.withheld(x.service, stage); ok && wait > x.route.LatencyTarget-time.Since(x.call.Arrived) {
			return x.refuseWithheld(wait, stage)
		}
	}
	return nil
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
