package router

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Timing of the probes of a suspected server.
const (
	// probeInterval is the pause between two probes.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 200 * time.Millisecond
)

// suspect excludes a server that did not respond to the call, and probes it until it
// is reachable again.
func (x *exchange) suspect(b *backend, err error) {
	if x.router.suspectAndProbe(b) {
		x.warn("server suspected", "server", b.Name(), "addr", b.server.Load().Addr, "err", err)
		x.router.shareUsage(b)
	}
}

// observeRemoteSuspicion records whether another entry reports a server unreachable.
// When that report is new, the server is excluded and probed before a request is lost
// at it; if it responds, it gets work again after a round trip.
func (r *Router) observeRemoteSuspicion(b *backend, unreachable bool) {
	if was := b.unreachableRemotely.Swap(unreachable); was || !unreachable {
		return
	}
	if r.suspectAndProbe(b) {
		_ = level.Info(r.log).Log("msg", "server suspected", "server", b.Name(), "addr", b.server.Load().Addr, "cause", "another entry does not reach it")
	}
}

// suspectAndProbe excludes a server from new work and starts to probe it. It reports
// false when the server is suspected already.
func (r *Router) suspectAndProbe(b *backend) bool {
	if !b.health.markSuspected() {
		return false
	}
	r.count.suspected.Add(1)
	r.servers.CloseIdle(b.server.Load())
	go r.probe(b)
	return true
}

// probe tries to reach a suspected server until that succeeds or the server is
// replaced or removed.
func (r *Router) probe(b *backend) {
	began := time.Now()
	for !b.health.usable() && r.fleet.get(b.Name()) == b {
		if err := r.reach(context.Background(), b); err == nil {
			b.health.markReachable()
			_ = level.Info(r.log).Log("msg", "server reached again", "server", b.Name(), "after_ms", time.Since(began).Milliseconds())
			break
		}
		sleep.WithContext(context.Background(), probeInterval)
		r.fleet.sync()
	}
	r.shareUsage(b)
	r.dispatch.Pump()
}

// reach opens a connection to a server for its next call.
func (r *Router) reach(ctx context.Context, b *backend) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return r.servers.Probe(ctx, b.server.Load())
}
