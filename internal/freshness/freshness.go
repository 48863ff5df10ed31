// Package freshness bounds the staleness of what a process knows of a registry that it
// follows. A withdrawal in the registry must take effect within a bound even at processes
// that can not reach it, so each of them keeps the time as of which its knowledge is complete
// and stops relying on it in time.
package freshness

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed point. It must count the time in which the VM is
// suspended, and never go back.
type Clock func() time.Duration

// BootClock is the time since the VM started. Unlike the monotonic clock of package time it
// goes on while the VM is suspended.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return math.MaxInt64 // knowledge of unknown age counts as stale
	}
	return time.Duration(t.Nano())
}

// Never is the age of knowledge that was never confirmed.
const Never = time.Duration(math.MaxInt64)

// Record keeps the time as of which the knowledge of a process is complete: all changes
// before it are known. It is safe for concurrent use.
type Record struct {
	clock Clock
	// asOf is in nanoseconds of the clock, plus 1; 0 before the first confirmation.
	asOf atomic.Int64
}

// NewRecord returns a record without a confirmation.
func NewRecord(clock Clock) *Record { return &Record{clock: clock} }

// Now returns the present time of the record's clock.
func (r *Record) Now() time.Duration { return r.clock() }

// Confirm records that all changes before asOf are known. An earlier time than the recorded
// one has no effect.
func (r *Record) Confirm(asOf time.Duration) {
	for {
		old := r.asOf.Load()
		if int64(asOf)+1 <= old || r.asOf.CompareAndSwap(old, int64(asOf)+1) {
			return
		}
	}
}

// KnownAt reports whether all changes before a time are known.
func (r *Record) KnownAt(at time.Duration) bool { return r.asOf.Load() > int64(at) }

// Age returns the time since that as of which the knowledge is complete, or Never.
func (r *Record) Age() time.Duration {
	asOf := r.asOf.Load()
	if asOf <= 0 {
		return Never
	}
	return max(0, r.clock()-time.Duration(asOf-1))
}
