package agent

import "time"

// Bounds on the tombstones of ended attempts.
const (
	// tombstoneTTL exceeds the lifetime of any command, so that a command that
	// arrives after its tombstone was removed has expired.
	tombstoneTTL  = maxCommandLifetime + time.Minute
	maxTombstones = 1 << 17
)

// tombstones stores the IDs of ended attempts, so that a late command can not
// restart one. None is evicted early: when it is full, new attempts are refused. An ID
// that does not fit is not stored; new attempts are refused until each command for it
// has expired.
// The agent's lock guards it.
type tombstones struct {
	max int
	// closedUntil is the time until which a command for an ID that was not stored may
	// arrive.
	closedUntil time.Time
	ids         map[string]struct{}
	queue       []tombstone // in the order of time
}

type tombstone struct {
	id    string
	added time.Time
}

func newTombstones(limit int) *tombstones {
	return &tombstones{max: limit, ids: map[string]struct{}{}}
}

func (s *tombstones) add(id string) {
	if s.has(id) {
		return
	}
	now := time.Now()
	if len(s.ids) >= s.max {
		s.closedUntil = now.Add(tombstoneTTL)
		return
	}
	s.ids[id] = struct{}{}
	s.queue = append(s.queue, tombstone{id, now})
}

func (s *tombstones) has(id string) bool {
	_, ok := s.ids[id]
	return ok
}

// full reports whether there is no space for the tombstones of all attempts in
// progress and one more, or an ID was not stored.
func (s *tombstones) full(attempts int) bool {
	return len(s.ids)+attempts >= s.max || time.Now().Before(s.closedUntil)
}

// expire removes the tombstones that are older than tombstoneTTL.
func (s *tombstones) expire(now time.Time) {
	n := 0
	for n < len(s.queue) && now.Sub(s.queue[n].added) > tombstoneTTL {
		delete(s.ids, s.queue[n].id)
		n++
	}
	s.queue = s.queue[n:]
}
