package router

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// A request under suspicion (blame.Record.Suspected) is run as a trial: each entry runs one at
// a time, the entries take turns in an order that follows from the server that ended, and none
// begins one while a single server takes work. So a cause that ends servers ends one at a time
// until it is blamed, and what only came along is cleared.
const (
	// trialTurn is the time of an entry's turn, in whose first half a trial may begin. Most
	// trials show by the end of the turn whether their server survives.
	trialTurn = 200 * time.Millisecond
	// maxTrialEntries bounds the number of entries that take turns after an end.
	maxTrialEntries = 8
	// trialPoll is the interval at which a waiting request looks whether it may begin.
	trialPoll = 10 * time.Millisecond
)

// errSuspected is the error of a call that could not have its trial in time.
var errSuspected = errors.New("a server has ended under a request like this one, and it could not be tried by itself in time")

// awaitTrial waits until a call may run: at once unless it is under suspicion, else until it
// is cleared or its trial begins. A call under which a server ended for the first time, the
// only one of its kind, may be sent again at once: most servers end for other reasons. stage
// is that of the server that it needs.
func (x *exchange) awaitTrial(ctx context.Context, stage directory.Stage, limit time.Duration) error {
	for until := time.Now().Add(limit); ; sleep.WithContext(ctx, trialPoll) {
		now := time.Now()
		end, ends := x.router.blame.Suspected(x.causes(), now)
		switch {
		case x.blamed() != nil:
			return errEndsServers
		case x.onTrial || end == nil || ends == 1 && x.attempts == 1:
			return nil
		case x.failedTrial || now.After(until) || ctx.Err() != nil:
			return errSuspected
		case x.router.hasTrialTurn(end.Boot.ID, now.Sub(end.At)) && x.router.fleet.spares(x.service, stage) && x.router.trials.TryAcquire(1):
			x.onTrial = true
			x.warn("trial", "ended", end.Boot.ID, "end_ms", now.Sub(end.At).Milliseconds())
		}
	}
}

// hasTrialTurn reports whether this entry may begin a trial some time after the end of a
// server. The first turn is nobody's: what ran at other servers shows in it, and the entries
// agree which end is the latest.
func (r *Router) hasTrialTurn(server string, since time.Duration) bool {
	if since -= trialTurn; since < 0 {
		return false
	}
	if r.options.Peers == nil {
		return true
	}
	rank, entries := r.options.Peers.Rank(server)
	turn := int(since/trialTurn) % min(entries, maxTrialEntries)
	return turn == rank && since%trialTurn < trialTurn/2
}

// nextTrialTurn returns the time until this entry's next turn to begin a trial, some time after the
// end of a server.
func (r *Router) nextTrialTurn(server string, since time.Duration) time.Duration {
	rank, entries := 0, 1
	if r.options.Peers != nil {
		rank, entries = r.options.Peers.Rank(server)
	}
	entries = max(1, min(entries, maxTrialEntries))
	round := time.Duration(entries) * trialTurn
	first := trialTurn + time.Duration(rank%entries)*trialTurn
	if since < first {
		return first - since
	}
	return round - (since-first)%round
}

// endTrial ends the trial of the call, if it is on one. failed is set if its server ended.
func (x *exchange) endTrial(failed bool) {
	if !x.onTrial {
		return
	}
	x.onTrial, x.failedTrial = false, failed
	x.router.trials.Release(1)
}

// refuseSuspected returns the refusal of a call that could not have its trial.
func (x *exchange) refuseSuspected() *apierror.Error {
	if refusal := x.refuseBlamed(); refusal != nil {
		return refusal
	}
	x.warn("refused under suspicion", "failed_trial", x.failedTrial)
	delay, now := trialTurn, time.Now()
	if end, _ := x.router.blame.Suspected(x.causes(), now); end != nil {
		delay = x.router.nextTrialTurn(end.Boot.ID, now.Sub(end.At))
	}
	const remedy = "retry after the delay; it is refused for longer if more servers end under it"
	if x.attempts > 0 {
		return apierror.Unknown(apierror.KindEndsServers, errSuspected.Error(), remedy)
	}
	return apierror.NotRun(apierror.KindEndsServers, errSuspected.Error(), remedy).WithRetryAfter(min(delay, maxAdvisedDelay(x.call)))
}

// spares reports whether a stage of a service does not depend on a single server: two take
// work, or it has no more than one.
func (f *fleet) spares(service string, stage directory.Stage) bool {
	f.sync()
	f.mu.RLock()
	defer f.mu.RUnlock()
	all, usable := 0, 0
	now := time.Now()
	for _, s := range f.synced.Services[service] {
		b := f.backends[s.ID]
		if b == nil || s.Stage != stage {
			continue
		}
		all++
		if b.usable(now) && !b.leaving() {
			usable++
		}
	}
	return usable > 1 || all <= 1
}
