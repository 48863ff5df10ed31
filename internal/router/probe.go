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
	// probeFor is the time after which a server that is not reached is left to its
	// registration, which lapses by itself.
	probeFor = time.Minute
)

// suspect notes that a server did not answer, and probes it until it is reached
// again. It gets no work meanwhile.
func (x *exchange) suspect(b *backend, err error) {
	if !b.health.suspect() {
		return
	}
	x.router.count.suspected.Add(1)
	x.warn("server suspected", "server", b.Name(), "addr", b.server.Load().Addr, "err", err)
	x.router.servers.Forget(b.server.Load())
	go x.router.probe(b)
}

// probe tries to reach a suspected server until it succeeds or the server is
// replaced.
func (r *Router) probe(b *backend) {
	began := time.Now()
	for time.Since(began) < probeFor && !b.health.usable() && r.fleet.get(b.Name()) == b {
		if err := r.reach(context.Background(), b); err == nil {
			b.health.reached()
			_ = level.Info(r.log).Log("msg", "server reached again", "server", b.Name(), "after_ms", time.Since(began).Milliseconds())
			r.dispatch.Pump()
			return
		}
		pause.For(context.Background(), probeEvery)
	}
}

// reach opens a connection to a server for its next call.
func (r *Router) reach(ctx context.Context, b *backend) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return r.servers.Reach(ctx, b.server.Load())
}
