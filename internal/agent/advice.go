package agent

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
)

// Observe records what an answer of the engine or service says of it. One that leaves says so
// in all answers, so that an answer without it is that of another life.
func (a *Agent) Observe(n advisory.Notice, err error) {
	if err != nil {
		_ = level.Warn(a.log).Log("msg", "header of the backend server not understood", "backend", a.cfg.Backend, "err", err)
	}
	s := a.advice.Load()
	if before := s.Advice(); before.Leaving() && !n.Leaving && n.Sent.After(before.LeavingSince) {
		s = &advisory.State{}
		a.advice.Store(s)
		_ = level.Info(a.log).Log("msg", "backend server leaves no longer", "backend", a.cfg.Backend)
	}
	before, after := s.Record(n)
	if after.Leaving() != before.Leaving() || after.Limited != before.Limited || after.Limit != before.Limit || after.ClosedUntil != before.ClosedUntil || after.Software != before.Software {
		_ = level.Info(a.log).Log("msg", "backend server says of itself", "backend", a.cfg.Backend, "leaving", after.Leaving(),
			"limited", after.Limited, "per_second", after.Limit, "software", after.Software, "closed_ms", after.ClosedFor(n.Received).Milliseconds())
	}
}

// closedFor returns the time for which the backend server takes nothing new, by what it has
// said of itself. The agent is the only one to send to it.
func (a *Agent) closedFor() time.Duration {
	wait, _ := a.advice.Load().Wait(time.Now(), advisory.Alone) // its share is the whole limit
	return wait
}

// checkAdvice refuses new work that the backend server does not want now. The caller holds
// a.mu until the work is counted.
func (a *Agent) checkAdvice() *apierror.Error {
	if a.advice.Load().Admits(time.Now(), advisory.Alone) {
		return nil
	}
	return apierror.NotRun(apierror.KindOverloaded, a.cfg.Backend+" takes nothing now", "try another backend server").WithRetryAfter(a.closedFor())
}

// countRequest counts new work that the agent will send to the backend server.
func (a *Agent) countRequest() { a.advice.Load().Take(time.Now(), advisory.Alone) }
