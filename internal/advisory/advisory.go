// Package advisory holds what backend servers say of themselves in their answers: that
// they leave, that they want nothing for a time, and how many requests a second they
// take. It does no I/O. Readers get immutable values.
package advisory

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Boot identifies one life of a backend server. What a server said before it started
// again does not hold after it.
type Boot struct {
	ID string
	// Started is the Unix time in milliseconds at which the server started; 0 when
	// unknown.
	Started int64
}

// Notice is what one answer of a server says of it.
type Notice struct {
	// Leaving is set when the server says that it leaves.
	Leaving bool
	// RetryAfter is the time for which the server wants nothing from this process; 0 if
	// it asks for none.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the server takes from all entries
	// together; nil when the answer names none.
	Limit *float64
	// Software is the version of the server's software; "" if the answer does not name it.
	Software string
	// Pace is how long work takes at the server for the moment, in multiples of the usual
	// time; 0 if the answer does not name it.
	Pace float64
	// ToRequest is set in answers to requests of callers. Others, as to orders, may leave
	// out a limit that holds.
	ToRequest bool
	// Sent is the time at which the answered request was sent, and Received that at which
	// the answer arrived.
	Sent, Received time.Time
	// FromPeer is set if another entry got the answer.
	FromPeer bool
}

// Advice is what a server has said of itself until now.
type Advice struct {
	// LeavingSince is the time since which it is known that the server leaves; zero if it
	// does not. LeavingFromPeer is set while only other entries received it.
	LeavingSince    time.Time
	LeavingFromPeer bool
	// ClosedUntil is the time until which the server wants nothing from this process. A later
	// answer may defer it.
	ClosedUntil time.Time
	// Limited is set while the server names a limit, and Limit is that in requests a
	// second. It was first named at LimitSince.
	Limited    bool
	Limit      float64
	LimitSince time.Time
	// LimitHeard is the time of the newest answer that decided whether there is a limit, and
	// LimitAsked that at which its request was sent. LimitFromPeer is set if another entry
	// got it.
	LimitHeard, LimitAsked time.Time
	LimitFromPeer          bool
	// Software is the version of the server's software; "" if it did not name it.
	Software string
}

// Leaving reports whether the server leaves.
func (a Advice) Leaving() bool { return !a.LeavingSince.IsZero() }

// String describes what holds now, how old it is and from whom it came, for logs.
func (a Advice) String() string {
	now := time.Now()
	var parts []string
	if a.Leaving() {
		parts = append(parts, fmt.Sprintf("leaves, said %d ms ago to %s", now.Sub(a.LeavingSince).Milliseconds(), listener(a.LeavingFromPeer)))
	}
	if left := a.ClosedFor(now); left > 0 {
		parts = append(parts, fmt.Sprintf("wants nothing for %d ms", left.Milliseconds()))
	}
	if a.Limited {
		parts = append(parts, fmt.Sprintf("takes %g requests a second, said %d ms ago to %s", a.Limit, now.Sub(a.LimitHeard).Milliseconds(), listener(a.LimitFromPeer)))
	}
	return strings.Join(parts, "; ")
}

func listener(peer bool) string {
	if peer {
		return "another entry"
	}
	return "this entry"
}

// ClosedFor returns the time for which the server wants nothing more from this process; 0 if
// it does not want to be left alone.
func (a Advice) ClosedFor(now time.Time) time.Duration { return max(0, a.ClosedUntil.Sub(now)) }

// with returns the advice after a notice. Answers may overtake each other: one to a
// request that was sent before the present limit was received may lower the limit, but
// neither raise nor end it.
func (a Advice) with(n Notice) Advice {
	if n.Leaving {
		if !a.Leaving() {
			a.LeavingSince, a.LeavingFromPeer = n.Received, true
		}
		a.LeavingFromPeer = a.LeavingFromPeer && n.FromPeer
	}
	if until := n.Received.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(a.ClosedUntil) {
		a.ClosedUntil = until
	}
	if n.Software != "" {
		a.Software = n.Software
	}
	switch newer := n.Sent.After(a.LimitHeard); {
	case n.Limit != nil && (!a.Limited || newer || *n.Limit <= a.Limit):
		if !a.Limited {
			a.LimitSince = n.Received
		}
		a.Limited, a.Limit = true, *n.Limit
	case n.Limit == nil && n.ToRequest && newer && a.Limited:
		a.Limited, a.Limit = false, 0
	default:
		return a
	}
	a.LimitHeard, a.LimitAsked, a.LimitFromPeer = n.Received, n.Sent, n.FromPeer
	return a
}

// State is what one boot of a server has said of itself. It is safe for concurrent use.
type State struct {
	advice atomic.Pointer[Advice]

	mu     sync.Mutex // held by writers of advice; guards bucket
	bucket bucket     // of the limit
}

// Advice returns what the server has said until now.
func (s *State) Advice() Advice {
	if a := s.advice.Load(); a != nil {
		return *a
	}
	return Advice{}
}

// Record records a notice. It returns the advice before and after it.
func (s *State) Record(n Notice) (before, after Advice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.Advice()
	after = before.with(n)
	if after != before {
		s.advice.Store(&after)
	}
	if after.Limited && !before.Limited {
		s.bucket = bucket{filled: n.Received}
	}
	return before, after
}

// retention is the time for which the state of a boot is kept after its last use. It is
// longer than servers ask to be left alone.
const retention = 10 * time.Minute

// Table holds the states of all known boots. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex // guards the fields below
	states map[Boot]*State
	used   map[Boot]time.Time
	pruned time.Time
}

// NewTable returns a table without states.
func NewTable() *Table {
	return &Table{states: map[Boot]*State{}, used: map[Boot]time.Time{}}
}

// State returns the state of a boot. It is the same for all registrations of the boot,
// also after the registration was missing for a while.
func (t *Table) State(b Boot) *State {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	s, ok := t.states[b]
	if !ok {
		s = &State{}
		t.states[b] = s
	}
	t.used[b] = now
	return s
}

// prune removes the states that were not used within retention.
func (t *Table) prune(now time.Time) {
	if now.Sub(t.pruned) < retention {
		return
	}
	t.pruned = now
	for b, used := range t.used {
		if now.Sub(used) > retention {
			delete(t.states, b)
			delete(t.used, b)
		}
	}
}
