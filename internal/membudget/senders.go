package membudget

import (
	"sync/atomic"
	"time"
)

// Sender is a request that has not been received whole, for which memory is held.
type Sender struct {
	request    *Request
	disconnect func()
	evicted    atomic.Bool

	// The lock of the budget guards the fields below.
	began, movedAt time.Time
	moved          int64
}

// AddSender records that the rest of the request is awaited, until Remove or the end of the
// request. disconnect must end that. A nil Request has no senders.
func (r *Request) AddSender(now time.Time, disconnect func()) *Sender {
	if r == nil {
		return nil
	}
	s := &Sender{request: r, disconnect: disconnect, began: now, movedAt: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sender.Remove()
	r.sender = s
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.senders[s] = struct{}{}
	return s
}

// Remove records that nothing is awaited any more. A nil Sender does nothing.
func (s *Sender) Remove() {
	if s == nil {
		return
	}
	s.request.budget.mu.Lock()
	defer s.request.budget.mu.Unlock()
	delete(s.request.budget.senders, s)
}

// Moved records that n bytes came. A nil Sender does nothing.
func (s *Sender) Moved(now time.Time, n int64) {
	if s == nil || n == 0 {
		return
	}
	s.request.budget.mu.Lock()
	defer s.request.budget.mu.Unlock()
	s.moved += n
	s.movedAt = now
}

// Evicted reports whether the sender was disconnected in favour of others.
func (s *Sender) Evicted() bool { return s != nil && s.evicted.Load() }

// slowerThan reports whether a sender is to be disconnected rather than another one: those that
// stand still come first, the longest first, then those that sent the fewest bytes a second.
func (s *Sender) slowerThan(other *Sender, now time.Time) bool {
	still, otherStill := now.Sub(s.movedAt), now.Sub(other.movedAt)
	if still >= minBlocked || otherStill >= minBlocked {
		return still > otherStill
	}
	return float64(s.moved)*now.Sub(other.began).Seconds() < float64(other.moved)*now.Sub(s.began).Seconds()
}

// EvictSender disconnects the slowest sender of those whose bytes count in the scope of a refusal,
// and releases what its request holds. It reports false if none is awaited for long enough.
func (b *Budget) EvictSender(now time.Time, refusal *Refusal) bool {
	b.mu.Lock()
	var slowest *Sender
	for s := range b.senders {
		if refusal.concerns(s.request.holder) && now.Sub(s.began) >= minBlocked && (slowest == nil || s.slowerThan(slowest, now)) {
			slowest = s
		}
	}
	if slowest != nil {
		delete(b.senders, slowest)
		b.sendersEvicted++
		slowest.evicted.Store(true)
	}
	b.mu.Unlock()
	if slowest == nil {
		return false
	}
	slowest.request.End()
	slowest.disconnect()
	return true
}
