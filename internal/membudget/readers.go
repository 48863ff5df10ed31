package membudget

import "time"

// Reader is a caller that is behind with its answer, parts of which are held for it.
type Reader struct {
	budget     *Budget
	holder     Holder
	disconnect func()

	// The lock of the budget guards the fields below.
	since       time.Time // when it fell behind
	windowBegan time.Time
	// moved are the bytes that it took in the current window, and movedBefore those in the
	// window before.
	moved, movedBefore int64
}

// AddReader records that a caller is behind. disconnect must drop what is held for it.
func (b *Budget) AddReader(h Holder, now time.Time, disconnect func()) *Reader {
	r := &Reader{budget: b, holder: h, disconnect: disconnect, since: now, windowBegan: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers[r] = struct{}{}
	return r
}

// Remove records that the caller is not behind any more, or is gone.
func (r *Reader) Remove() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.readers, r)
}

// Moved records that the caller took n bytes.
func (r *Reader) Moved(now time.Time, n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.rollLocked(now)
	r.moved += n
}

// rollLocked begins a new window if the current one is over.
func (r *Reader) rollLocked(now time.Time) {
	age := now.Sub(r.windowBegan)
	if age < progressWindow {
		return
	}
	r.movedBefore = r.moved
	if age >= 2*progressWindow {
		r.movedBefore = 0
	}
	r.moved, r.windowBegan = 0, now
}

// rateLocked returns the bytes a second that the caller took lately.
func (r *Reader) rateLocked(now time.Time) float64 {
	r.rollLocked(now)
	covered := min(now.Sub(r.since), now.Sub(r.windowBegan)+progressWindow)
	return float64(r.moved+r.movedBefore) / max(covered, minBlocked).Seconds()
}

// Evict disconnects the reader that took the fewest bytes a second lately, of those whose
// bytes count in the scope of a refusal. It reports false if none is behind for long enough.
func (b *Budget) Evict(now time.Time, refusal *Refusal) bool {
	b.mu.Lock()
	var slowest *Reader
	lowest := 0.0
	for r := range b.readers {
		if !refusal.concerns(r.holder) || now.Sub(r.since) < minBlocked {
			continue
		}
		rate := r.rateLocked(now)
		if slowest == nil || rate < lowest || rate == lowest && r.since.Before(slowest.since) {
			slowest, lowest = r, rate
		}
	}
	if slowest != nil {
		delete(b.readers, slowest)
		b.evicted++
	}
	b.mu.Unlock()
	if slowest == nil {
		return false
	}
	slowest.disconnect()
	return true
}

// concerns reports whether bytes of a holder count in the scope of the refusal.
func (r *Refusal) concerns(h Holder) bool {
	switch r.Scope {
	case ScopeCaller:
		return h.Caller == r.Holder.Caller
	case ScopeOrganisation:
		return h.Organisation == r.Holder.Organisation
	default:
		return true
	}
}
