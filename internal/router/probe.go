package router

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/pause"
)

// Bounds of the probes of a suspected server.
const (
	// probeEvery is the interval between attempts to reach it.
	probeEvery = 300 * time.Millisecond
	// probeTimeout bounds one attempt.
	probeTimeout = 200 * time.Millisecond
)

// suspect notes that a server did not answer, and probes it until it is reached
// again. It gets no work meanwhile.
func (x *exchange) suspect(b *backend, err error) {
	if x.router.doubt(b) {
		x.warn("server suspected", "server", b.Name(), "addr", b.server.Load().Addr, "err", err)
		x.router.tell(b)
	}
}

// suspectedElsewhere takes from the other entries whether one of them does not
// reach a server. Such a server is probed at once, before a request is lost at
// it; one that answers is back after a round trip.
func (r *Router) suspectedElsewhere(b *backend, unreachable bool) {
	if was := b.toldUnreachable.Swap(unreachable); was || !unreachable {
		return
	}
	if r.doubt(b) {
		_ = level.Info(r.log).Log("msg", "server suspected", "server", b.Name(), "addr", b.server.Load().Addr, "cause", "another entry does not reach it")
	}
}

// doubt takes a server's work away and probes it. It reports false when that is
// done already.
func (r *Router) doubt(b *backend) bool {
	if !b.health.suspect() {
		return false
	}
	r.count.suspected.Add(1)
	r.servers.Forget(b.server.Load())
	go r.probe(b)
	return true
}

// probe tries to reach a suspected server until it succeeds or the server is
// replaced or gone.
func (r *Router) probe(b *backend) {
	began := time.Now()
	for !b.health.usable() && r.fleet.get(b.Name()) == b {
		if err := r.reach(context.Background(), b); err == nil {
			b.health.reached()
			_ = level.Info(r.log).Log("msg", "server reached again", "server", b.Name(), "after_ms", time.Since(began).Milliseconds())
			break
		}
		pause.For(context.Background(), probeEvery)
		r.fleet.sync()
	}
	r.tell(b)
	r.dispatch.Pump()
}

// reach opens a connection to a server for its next call.
func (r *Router) reach(ctx context.Context, b *backend) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return r.servers.Reach(ctx, b.server.Load())
}
