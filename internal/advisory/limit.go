package advisory

import (
	"math"
	"time"
)

// Division of a limit among entries.
const (
	// senderTime is the time in which each entry that sends to a limited server may send
	// once. It bounds their number, and so the requests that all of them send at once after
	// a quiet time.
	senderTime = time.Second
	// minRate is the number of requests a second that all entries together send to a server
	// with a lower limit. Without them no entry would learn that the limit has ended.
	minRate = 0.25
	// limitTTL is the time without word of a limit after which it is taken to have ended. An
	// entry without a share learns of it from others only, and may have missed the end.
	limitTTL = time.Minute
	// burstTime is the time for which an entry may save up its share.
	burstTime = 250 * time.Millisecond
)

// EntryShare returns the number of requests a second that one entry may send to a server
// with a limit. rank is that of the entry among all entries; the order should differ from
// server to server. Only the first entries send, so that no entry's share is below one
// request in senderTime, unless there is one only. It is 0 for the others.
func EntryShare(limit float64, rank, entries int) float64 {
	senders := min(float64(entries), max(1, math.Ceil(limit*senderTime.Seconds())))
	if float64(rank) >= senders {
		return 0
	}
	return max(limit, minRate) / senders
}

// limitHolds reports whether the server has a limit, as far as is known.
func (a Advice) limitHolds(now time.Time) bool {
	return a.Limited && now.Sub(a.LimitHeard) <= limitTTL
}

// bucket is a token bucket. It starts empty.
type bucket struct {
	tokens float64
	filled time.Time
}

// fill adds the tokens since the last fill at a rate a second.
func (b *bucket) fill(now time.Time, rate float64) {
	b.tokens = min(max(1, rate*burstTime.Seconds()), b.tokens+rate*max(0, now.Sub(b.filled).Seconds()))
	b.filled = now
}

// Admits reports whether the server may get a request now, of an entry with a share of its
// limit.
func (s *State) Admits(now time.Time, share func(limit float64) float64) bool {
	return s.admit(now, share, 0)
}

// Take counts a request that an entry with a share of the server's limit will send. It
// reports false if the server may get none now.
func (s *State) Take(now time.Time, share func(limit float64) float64) bool {
	return s.admit(now, share, 1)
}

func (s *State) admit(now time.Time, share func(limit float64) float64, tokens float64) bool {
	a := s.Advice()
	if a.ClosedFor(now) > 0 {
		return false
	}
	if !a.limitHolds(now) {
		return true
	}
	rate := share(a.Limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket.fill(now, rate)
	if rate == 0 || s.bucket.tokens < 1 {
		return false
	}
	s.bucket.tokens -= tokens
	return true
}

// Wait returns the time until the server may get a request of an entry with a share of its
// limit: 0 if it may get one now. It reports false if the entry's share is 0.
func (s *State) Wait(now time.Time, share func(limit float64) float64) (time.Duration, bool) {
	a := s.Advice()
	wait := a.ClosedFor(now)
	if !a.limitHolds(now) {
		return wait, true
	}
	rate := share(a.Limit)
	if rate == 0 {
		return wait, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket.fill(now, rate)
	missing := time.Duration(max(0, 1-s.bucket.tokens) / rate * float64(time.Second))
	return max(wait, missing), true
}

// Alone is the share of a process that is the only one to send to a server.
func Alone(limit float64) float64 { return EntryShare(limit, 0, 1) }
