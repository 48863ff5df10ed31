package membudget

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func scopeOf(err error) Scope {
	var r *Refusal
	if !errors.As(err, &r) {
		return ""
	}
	return r.Scope
}

// TestNoHolderTakesAll guards against a caller or an organisation that leaves nothing to the
// others, and against bytes that are not returned.
func TestNoHolderTakesAll(t *testing.T) {
	is := is.New(t)
	b := New(1000)
	greedy := b.Open(Holder{Caller: "10.0.0.1", Organisation: "a"})
	for greedy.Reserve(time.Now(), Answers, 10) == nil {
	}
	is.Equal(b.Stats().Answers, int64(660))
	is.Equal(scopeOf(b.Reserve(Holder{Caller: "10.0.0.1"}, Answers, 10)), ScopeCaller)
	is.Equal(scopeOf(b.Reserve(Holder{Caller: "10.0.0.2", Organisation: "a"}, Answers, 10)), ScopeOrganisation)
	other := b.Open(Holder{Caller: "10.0.0.2", Organisation: "b"})
	is.NoErr(other.Reserve(time.Now(), Answers, 200))
	is.Equal(scopeOf(other.Reserve(time.Now(), Bodies, 10)), ScopeProcess) // the rest is for answers
	is.Equal(b.Stats().Refused[ScopeOrganisation], int64(1))
	greedy.Close()
	other.Close()
	other.Close()
	is.Equal(b.totalLocked(), int64(0))
	is.Equal(len(b.callers)+len(b.organisations), 0)
	is.Equal(b.Stats().Peak, int64(860))
}

// TestSlowestReaderIsEvicted guards against the disconnection of a reader that moves, of one
// that fell behind just now, and of one of another organisation.
func TestSlowestReaderIsEvicted(t *testing.T) {
	is := is.New(t)
	b, start := New(1000), time.Now()
	var gone []string
	add := func(name, organisation string, at time.Duration) *Reader {
		return b.AddReader(Holder{Organisation: organisation}, start.Add(at), func() { gone = append(gone, name) })
	}
	moving, _, _, _ := add("moving", "a", 0), add("stalled", "a", 0), add("fresh", "a", 7900*time.Millisecond), add("elsewhere", "b", 0)
	for at := time.Duration(0); at < 8*time.Second; at += 500 * time.Millisecond {
		moving.Moved(start.Add(at), 5)
	}
	now, refusal := start.Add(8*time.Second), &Refusal{Scope: ScopeOrganisation, Holder: Holder{Organisation: "a"}}
	is.True(b.Evict(now, refusal))
	is.True(b.Evict(now, refusal))
	is.True(!b.Evict(now, refusal))
	is.Equal(gone, []string{"stalled", "moving"})
	is.True(b.Evict(now, &Refusal{Scope: ScopeProcess}))
	is.Equal(gone, []string{"stalled", "moving", "elsewhere"})
}

// TestLargeBodyEvictsNoReader guards against bodies that end the answers of others, although
// those hold little.
func TestLargeBodyEvictsNoReader(t *testing.T) {
	is := is.New(t)
	b, start, evicted := New(1000), time.Now(), 0
	h := Holder{Organisation: "a"}
	b.AddReader(h, start, func() { evicted++; b.Release(h, Answers, 600) })
	b.Force(h, Answers, 400)
	is.Equal(scopeOf(b.ReserveOrEvict(start.Add(time.Second), Holder{}, Bodies, 900)), ScopeProcess)
	is.Equal(evicted, 0)
	b.Force(h, Answers, 200)
	is.NoErr(b.ReserveOrEvict(start.Add(time.Second), Holder{}, Bodies, 600))
	is.Equal(evicted, 1)
}

// TestReserveDoesNotAllocate guards the cost of a reservation, which each request pays.
func TestReserveDoesNotAllocate(t *testing.T) {
	b, h := New(1<<20), Holder{Caller: "10.0.0.1", Organisation: "a"}
	b.Force(h, Bodies, 1)
	n := testing.AllocsPerRun(100, func() {
		if b.Reserve(h, Bodies, 100) == nil {
			b.Release(h, Bodies, 100)
		}
	})
	is.New(t).Equal(n, 0.0)
}

// TestSlowSendersAreEvicted guards against requests that stand still and keep others out, and
// against the eviction of one that moves while others stand still.
func TestSlowSendersAreEvicted(t *testing.T) {
	is := is.New(t)
	b, start := New(1000), time.Now()
	var gone []string
	send := func(name string) (*Request, *Sender) {
		r := b.Open(Holder{})
		is.NoErr(r.Reserve(start, Bodies, 200))
		return r, r.AddSender(start, func() { gone = append(gone, name) })
	}
	stalled, _ := send("stalled")
	_, moving := send("moving")
	_, faster := send("faster")
	next := b.Open(Holder{})
	is.Equal(scopeOf(next.Reserve(start.Add(minBlocked/2), Bodies, 200)), ScopeProcess) // none is slow yet
	later := start.Add(2 * minBlocked)
	moving.Moved(later, 10)
	faster.Moved(later, 20)
	for range 2 {
		is.NoErr(next.Reserve(later, Bodies, 200))
	}
	is.Equal(gone, []string{"stalled", "moving"})
	is.True(moving.Evicted() && !faster.Evicted())
	is.True(stalled.Reserve(later, Bodies, 1) != nil) // it holds nothing any more
	next.Close()
	is.Equal(b.Stats().Bodies, int64(200))
}
