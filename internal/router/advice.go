package router

import (
	"expvar"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/directory"
)

// Observe records what an answer says of its server. at is the registration to which the
// request was sent.
func (r *Router) Observe(at *directory.Server, n advisory.Notice) {
	before, after := r.fleet.advice.State(bootOf(at)).Record(n)
	logger := level.Info(r.log)
	if after.Leaving() && !before.Leaving() {
		_ = logger.Log("msg", "server says that it leaves", "server", at.ID, "service", at.Service, "boot", at.Started)
	}
	if after.ClosedUntil != before.ClosedUntil {
		_ = logger.Log("msg", "server wants nothing for a while", "server", at.ID, "service", at.Service, "boot", at.Started, "for_ms", n.RetryAfter.Milliseconds())
	}
	switch {
	case after.Limited && (!before.Limited || after.Limit != before.Limit):
		_ = logger.Log("msg", "server names a limit", "server", at.ID, "service", at.Service, "boot", at.Started, "per_second", after.Limit, "former", before.Limit, "entries", r.entries())
	case before.Limited && !after.Limited:
		_ = logger.Log("msg", "server names its limit no longer", "server", at.ID, "service", at.Service, "boot", at.Started, "former", before.Limit, "after_ms", time.Since(before.LimitSince).Milliseconds())
	}
}

// countLimited counts a request to a server that names a limit.
func countLimited(b *backend, counter *expvar.Int) {
	if b.advice.Advice().Limited {
		counter.Add(1)
	}
}
