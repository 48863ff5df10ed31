package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Bounds on the lifetime of commands and attempts.
const (
	// maxCommandLifetime is the maximum time for which a command may take effect.
	maxCommandLifetime = 10 * time.Minute
	// maxGrace is the maximum time for which an attempt is kept without an owner.
	maxGrace = 30 * time.Second
)

// resources are the resources that a new attempt needs.
type resources struct {
	slots, pieces int
	// reserve requests a reservation of the slots and pieces. It is claimed when
	// the prefill ends, which is predicted to be after timeToPrefillEnd.
	reserve          bool
	timeToPrefillEnd time.Duration
	provider         string
	// tokens is the number of prompt tokens of a prefill, which may wait for
	// maxWait.
	tokens  int
	maxWait time.Duration
}

// acquire acquires or reserves resources, or reports false. The caller holds
// a.mu.
func (a *Agent) acquire(r resources) bool {
	if r.reserve {
		return a.reserve(r)
	}
	now := a.uptime()
	if r.tokens > 0 && !placement.AcceptPrefill(a.predictor.prefillWait(now), r.maxWait) {
		return false
	}
	if !a.capacity.acquire(r.slots, r.pieces) {
		return false
	}
	if r.tokens > 0 {
		a.predictor.addPrefill(now, r.tokens)
	}
	return true
}

// reserve reserves a slot and memory, in fair shares among providers, or reports
// false. The caller holds a.mu.
func (a *Agent) reserve(r resources) bool {
	now, weight := a.uptime(), a.store.Current().ProviderWeight(r.provider)
	if !a.capacity.couldFit(r.pieces) {
		return false
	}
	if !placement.CanReserve(a.capacityState(), r.pieces, r.timeToPrefillEnd, placement.ReservationConfidence) {
		a.shares.RecordUnmetDemand(now, r.provider, weight)
		return false
	}
	if a.shares.MustYield(now, r.provider, weight) {
		return false
	}
	a.shares.Acquire(r.provider, weight)
	a.capacity.reserve(r.pieces)
	return true
}

// openAttempt adds a new attempt with its resources and renews the lease of its
// owner, or refuses the attempt.
func (a *Agent) openAttempt(c protocol.CommandHeader, at protocol.Attempt, phase string, r resources) (*attempt, *apierror.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	left, refusal := a.checkNew(c, at.ID)
	if refusal == nil {
		refusal = a.checkAdvice()
	}
	if refusal == nil {
		refusal = a.admitAttempt(at, phase, r)
	}
	if refusal != nil {
		a.count.refused.Add(1)
		return nil, refusal
	}
	a.countRequest()
	t := newAttempt(at, c, left)
	t.phase, t.slots, t.pieces, t.tokens = phase, r.slots, r.pieces, r.tokens
	t.reserved, t.opened = r.reserve, a.uptime()
	a.queuedPrefills += min(r.tokens, 1)
	a.attempts[at.ID] = t
	a.leases[c.From] = time.Now().Add(a.cfg.LeaseDuration)
	a.publishLocked()
	return t, nil
}

// admitAttempt checks that the engine serves the attempt and acquires its
// resources. The caller holds a.mu.
func (a *Agent) admitAttempt(at protocol.Attempt, phase string, r resources) *apierror.Error {
	if refusal := a.orders.Gate().Admit(at.ID, roleOf(phase), at.Model, at.Adapter); refusal != nil {
		return refusal
	}
	if !a.acquire(r) {
		a.orders.Gate().Release(at.ID)
		return apierror.NotRun(apierror.KindOverloaded, "no room at "+a.cfg.Backend, "try another backend server")
	}
	return nil
}

// checkNew refuses a command that opens an attempt if it arrives while the agent
// accepts no new work, after its deadline, after a newer incarnation of the entry,
// after the attempt was cancelled, twice, or while the tombstones are full. It
// returns the time left. The caller holds a.mu.
func (a *Agent) checkNew(c protocol.CommandHeader, id string) (time.Duration, *apierror.Error) {
	if refusal := a.checkAccepting(); refusal != nil {
		return 0, refusal
	}
	left := a.timeLeft(c)
	_, exists := a.attempts[id]
	switch {
	case left <= 0:
		return 0, apierror.NotRun(apierror.KindDeadlineExceeded, "the command arrived after its deadline", "send a new attempt")
	case a.superseded(c.From):
		return 0, apierror.NotRun(apierror.KindCancelled, "the command is of an earlier life of the entry", "send a new attempt")
	case a.tombstones.has(id):
		return 0, apierror.NotRun(apierror.KindCancelled, "the attempt was cancelled before it arrived", "send a new attempt")
	case exists:
		return 0, apierror.Unknown(apierror.KindBadRequest, "the attempt exists already", "use a new attempt ID")
	case a.tombstones.full(len(a.attempts)):
		return 0, apierror.NotRun(apierror.KindOverloaded, "the memory for ended attempts is full", "try another backend server")
	}
	return left, nil
}

// timeLeft returns the time during which a command may still take effect. If the
// command waited in a buffer while this process was paused, this is less than
// the sender's timeout.
func (a *Agent) timeLeft(c protocol.CommandHeader) time.Duration {
	left := min(c.Timeout, maxCommandLifetime)
	if c.ToIncarnation == a.cfg.Self.Incarnation && c.ExpiresAt > 0 {
		left = min(left, c.ExpiresAt-a.uptime())
	}
	return left
}

// superseded reports whether a later incarnation of an entry holds a lease. The
// caller holds a.mu.
func (a *Agent) superseded(from protocol.NodeRef) bool {
	for owner := range a.leases {
		if owner.Node == from.Node && owner.Incarnation > from.Incarnation {
			return true
		}
	}
	return false
}

// findAttempt returns an attempt of an owner. It reports false for an attempt
// whose lease or deadline has passed, even if expire has not ended it yet.
func (a *Agent) findAttempt(owner protocol.NodeRef, id string) (*attempt, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.attempts[id]
	if !ok || t.owner != owner {
		return nil, false
	}
	now := time.Now()
	return t, a.leased(owner, now) && !now.After(t.deadline)
}

// leased reports whether an entry holds a lease. The caller holds a.mu.
func (a *Agent) leased(owner protocol.NodeRef, now time.Time) bool {
	until, ok := a.leases[owner]
	return ok && !now.After(until)
}

// setPhase moves an attempt from one phase to another, and reports false if it is
// no longer in the first.
func (a *Agent) setPhase(t *attempt, from, to string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attempts[t.id] != t || t.phase != from {
		return false
	}
	t.phase = to
	if to == phaseResult {
		a.queuedPrefills -= min(t.tokens, 1)
		t.tokens = 0
		t.prefillEnded = time.Now()
	}
	a.publishLocked()
	return true
}

// removeAttempt removes an attempt and releases its resources. It reports false
// if the attempt was already removed.
func (a *Agent) removeAttempt(t *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.removeAttemptLocked(t)
}

func (a *Agent) removeAttemptLocked(t *attempt) bool {
	if a.attempts[t.id] != t {
		return false
	}
	delete(a.attempts, t.id)
	a.orders.Gate().Release(t.id)
	a.tombstones.add(t.id)
	a.releaseResources(t)
	t.phase = phaseEnded
	t.cancel()
	a.publishLocked()
	return true
}

// releaseResources releases the resources of an attempt. The caller holds a.mu.
func (a *Agent) releaseResources(t *attempt) {
	if t.reserved {
		a.releaseReservation(t)
		return
	}
	a.capacity.release(t.slots, t.pieces)
	if t.tokens == 0 {
		return
	}
	if a.queuedPrefills--; a.queuedPrefills == 0 {
		a.predictor.backlog.Reset(a.uptime())
	}
}

// releaseReservation releases the claimed and the reserved resources of a decode.
func (a *Agent) releaseReservation(t *attempt) {
	now := a.uptime()
	a.shares.Release(now, t.provider)
	if t.holdsSlot {
		a.capacity.release(t.slots, 0)
	} else {
		a.capacity.releaseReserved(t.slots, 0)
	}
	if t.holdsMemory {
		a.capacity.release(0, t.pieces)
	} else {
		a.capacity.releaseReserved(0, t.pieces)
	}
	if t.phase == phaseDecoding {
		a.predictor.slotHolds.Add(float64(now-t.claimed) / float64(time.Millisecond))
	}
}

// abort ends an attempt, sends its entry the reason, and frees the engine's
// memory.
func (a *Agent) abort(t *attempt, reason string) {
	if a.endAttempt(t, reason) {
		go a.freeEngine(t.id)
	}
}

// endAttempt removes an attempt and sends its entry the reason. It reports false
// if the attempt was already removed.
func (a *Agent) endAttempt(t *attempt, reason string) bool {
	t.finish(cancelledEnd(reason))
	if !a.removeAttempt(t) {
		return false
	}
	a.count.cancelled.Add(1)
	_ = level.Info(a.log).Log("msg", "attempt cancelled", "request_id", t.request, "attempt", t.id, "reason", reason)
	return true
}

// freeEngine frees what the engine holds for an attempt. If that fails, the next
// sweep repeats it.
func (a *Agent) freeEngine(id string) { a.freeEngineID(a.engineID(id)) }

func (a *Agent) freeEngineID(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if err := a.engine.Cancel(ctx, id); err != nil {
		_ = level.Warn(a.log).Log("msg", "cancelling a request at the engine failed; the next sweep retries", "engine_id", id, "err", err)
	}
}

// finishDecode releases the resources of an attempt whose engine has finished.
// Its tokens stay buffered until they are acknowledged.
func (a *Agent) finishDecode(t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attempts[t.id] != t {
		return
	}
	a.releaseResources(t)
	t.slots, t.pieces, t.claimed, t.reserved = 0, 0, 0, false
	t.phase = phaseFinished
	a.publishLocked()
}

// expire ends the attempts whose lease or deadline has passed, and removes
// expired tombstones and calls.
func (a *Agent) expire() {
	a.mu.Lock()
	expired := a.expireLeasesLocked(time.Now())
	a.tombstones.expire(time.Now())
	a.mu.Unlock()
	a.abortAll(expired, "its lease or its deadline is over")
	a.calls.expire()
}

func (a *Agent) abortAll(list []*attempt, reason string) {
	for _, t := range list {
		a.abort(t, reason)
	}
}

// expireLeasesLocked removes expired leases and returns the attempts to end.
// Resumable attempts are parked first. The caller holds a.mu.
func (a *Agent) expireLeasesLocked(now time.Time) []*attempt {
	for owner := range a.leases {
		if !a.leased(owner, now) {
			delete(a.leases, owner)
			a.count.expiredLeases.Add(1)
		}
	}
	var expired []*attempt
	for _, t := range a.attempts {
		if a.mustEndLocked(t, now) {
			expired = append(expired, t)
		}
	}
	return expired
}

// mustEndLocked reports whether an attempt must end. It parks a resumable attempt
// whose owner has no lease.
func (a *Agent) mustEndLocked(t *attempt, now time.Time) bool {
	if now.After(t.deadline) {
		return true
	}
	if t.owner != (protocol.NodeRef{}) && !a.leased(t.owner, now) {
		return a.parkLocked(t, now)
	}
	return t.owner == protocol.NodeRef{} && now.Sub(t.parked) > t.grace
}

// parkLocked removes the owner of a resumable attempt, which is then kept for its
// grace. It reports true if the attempt must end instead, because it has no grace
// or its decode was not started.
func (a *Agent) parkLocked(t *attempt, now time.Time) bool {
	started := t.phase == phaseDecoding || t.phase == phaseFinished || t.phase == phaseImporting
	if t.grace == 0 || !started {
		return true
	}
	t.owner, t.parked = protocol.NodeRef{}, now
	a.count.parked.Add(1)
	return false
}

// endAll ends all attempts when the agent stops, and waits until the engine was
// asked to free them.
func (a *Agent) endAll() {
	a.mu.Lock()
	var all []*attempt
	for _, t := range a.attempts {
		all = append(all, t)
	}
	a.mu.Unlock()
	var freed sync.WaitGroup
	for _, t := range all {
		if a.endAttempt(t, "the agent ends") {
			freed.Go(func() { a.freeEngine(t.id) })
		}
	}
	freed.Wait()
}
