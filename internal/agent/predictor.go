package agent

import (
	"context"
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// Estimates that are used until there are samples.
const (
	assumedPrefillRate = 20.0 // tokens per millisecond
	assumedSlotHold    = 3 * time.Second
)

// predictor estimates when queued prefills start and how long decodes hold their
// slots at one engine. The agent's lock guards it.
type predictor struct {
	backlog        placement.Backlog
	rate           predict.Mean // tokens per millisecond
	lastPrefillEnd time.Duration
	slotHolds      predict.Mean // milliseconds from the claim of a slot to its release
}

// prefillWait returns the predicted wait for a new prefill.
func (p *predictor) prefillWait(now time.Duration) time.Duration {
	return time.Duration(p.backlog.WaitMillis(now) * float64(time.Millisecond))
}

// queuedTokens returns the number of prompt tokens that correspond to the
// predicted wait.
func (p *predictor) queuedTokens(now time.Duration) int {
	return int(p.backlog.WaitMillis(now) * p.rate.Value(assumedPrefillRate))
}

func (p *predictor) addPrefill(now time.Duration, tokens int) {
	p.backlog.Add(now, float64(tokens)/p.rate.Value(assumedPrefillRate))
}

// recordPrefill records the rate of a prefill that was queued at the given time,
// and returns its compute time. Engines run one prefill at a time, so computing
// began when the previous prefill ended, or when this one was queued if later.
func (p *predictor) recordPrefill(now, queued time.Duration, computed int, queueEmpty bool) time.Duration {
	took := now - max(queued, p.lastPrefillEnd)
	p.lastPrefillEnd = now
	if took > 0 && computed > 0 {
		p.rate.Add(float64(computed) / (float64(took) / float64(time.Millisecond)))
	}
	if queueEmpty {
		p.backlog.Reset(now)
	}
	return took
}

func (p *predictor) meanSlotHold() time.Duration {
	ms := p.slotHolds.Value(float64(assumedSlotHold / time.Millisecond))
	return time.Duration(ms * float64(time.Millisecond))
}

// capacityState returns the input of the decision whether to grant a reservation.
func (a *Agent) capacityState() placement.DecodeCapacity {
	c := &a.capacity
	return placement.DecodeCapacity{
		SlotsTotal: c.slots.total, PiecesTotal: c.pieces.total,
		SlotsUsed: c.slots.used, PiecesUsed: c.pieces.used,
		SlotsReserved: c.reserved.slots, PiecesReserved: c.reserved.pieces,
		MeanDuration: a.predictor.meanSlotHold(),
	}
}

// claimStep acquires one of an attempt's reserved resources. It reports false if
// the resource is not free yet.
type claimStep func(c *capacity, t *attempt) bool

// claimMemory acquires the reserved memory, which the KV transfer needs.
func claimMemory(c *capacity, t *attempt) bool {
	t.holdsMemory = t.holdsMemory || c.claimMemory(t.pieces)
	return t.holdsMemory
}

// claimSlot acquires the reserved slot, which the decode needs.
func claimSlot(c *capacity, t *attempt) bool {
	t.holdsSlot = t.holdsSlot || c.claimSlot()
	return t.holdsSlot
}

// claim waits until step succeeds. It reports false if the context ended first or
// the attempt was removed.
func (a *Agent) claim(ctx context.Context, t *attempt, step claimStep) bool {
	for {
		a.mu.Lock()
		alive := a.attempts[t.id] == t
		done := alive && step(&a.capacity, t)
		freed := a.capacity.freed
		if done {
			t.claimed = a.uptime()
			a.publishLocked()
		}
		a.mu.Unlock()
		if done || !alive {
			return done
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

// claimWithin waits at most d for the reserved memory.
func (a *Agent) claimWithin(t *attempt, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(t.ctx, d)
	defer cancel()
	return a.claim(ctx, t, claimMemory)
}
