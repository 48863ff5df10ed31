package quota

import (
	"math"
	"time"
)

// Limit is the quota of one organisation over all entries together.
type Limit struct {
	Name string
	// Rate is in tokens a second, and Burst in tokens; a Rate of 0 is no limit.
	Rate, Burst float64
}

const (
	// minBurst is the least burst in tokens: a request is admitted while the level is above 0.
	minBurst = 1
	// recentPeriod is the length of the two periods over which recent use is summed. They cover
	// at least the time after which a silent peer is noticed.
	recentPeriod = silence + TickInterval
	// maxReserveTime bounds what silent peers are assumed to accrue: older use no longer counts
	// in the window of the bound.
	maxReserveTime = 8 * time.Second
)

// bucket is the token bucket of one organisation as one entry sees it. level is the part for
// the entries in contact. Each known entry that is silent has a slot of its own, with a part of
// the level at the time of its last message and the refill since then, from which its use is
// subtracted once it is reported. The level and all slots together are the bucket of the fleet.
type bucket struct {
	limit   Limit
	index   int // in reserves
	level   float64
	updated time.Time
	// accrued is the refill of one slot so far, whether or not there is one.
	accrued float64
	// largest is the largest cost of a request so far.
	largest float64
	// sum is this entry's use since its start less refunds, and sent the sum last reported.
	// changed is the time of the last change.
	sum, sent int64
	changed   time.Time
	// marks are the sums at the begins of the present and the former period of repeatTime.
	marks    [2]int64
	markedAt time.Time
	// recent is the use of the entries in contact.
	recent recent
}

// recent is the use in the present and the former period.
type recent struct {
	tokens [2]float64
	from   time.Time // begin of the present period
}

// get returns the use in the last one or two periods.
func (r *recent) get(now time.Time) float64 {
	if age := now.Sub(r.from); age >= recentPeriod {
		r.tokens = [2]float64{0, r.tokens[0]}
		if age >= 2*recentPeriod {
			r.tokens[1] = 0
		}
		r.from = now
	}
	return r.tokens[0] + r.tokens[1]
}

// add adds use. Refunds are not subtracted: use that counts too high only moves a part of the
// level to the slot of a silent peer until its next message.
func (r *recent) add(now time.Time, tokens float64) {
	r.get(now)
	r.tokens[0] += max(tokens, 0)
}

// reserve is the contents of a slot, by index of the bucket, less accrued of the bucket.
type reserve []float64

// get returns the contents of a slot.
func (r reserve) get(b *bucket, f fleet) float64 {
	return min(r[b.index]+b.accrued, (b.limit.Burst+maxReserveTime.Seconds()*b.limit.Rate)/float64(f.known))
}

// set sets the contents of a slot.
func (r reserve) set(b *bucket, tokens float64) { r[b.index] = tokens - b.accrued }

// fleet is the number of entries in contact and of known ones, with this one.
type fleet struct{ heard, known int }

func (f fleet) share() float64 { return float64(f.heard) / float64(f.known) }

// setLimit puts a limit in force. A lower one cuts the level at once.
func (b *bucket) setLimit(now time.Time, l Limit, f fleet) {
	b.refill(now, f)
	b.limit = l
	b.limit.Burst = max(l.Burst, minBurst)
	b.level = min(b.level, b.cap(f))
}

// cap returns the largest level. It is never below what the largest request needs, so that no
// share refuses an organisation for good.
func (b *bucket) cap(f fleet) float64 { return max(f.share()*b.limit.Burst, b.need(b.largest, f)) }

// need returns the level from which a request is admitted. With all entries in contact any
// level above 0 is enough, and the fleet exceeds the quota by at most one request. Each group
// of a partition may exceed its part only by its share of a request, so that all groups
// together exceed the quota by no more than that.
func (b *bucket) need(cost float64, f fleet) float64 { return (1 - f.share()) * cost }

// refill adds what has accrued since the last call.
func (b *bucket) refill(now time.Time, f fleet) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.level = min(b.level+f.share()*b.limit.Rate*elapsed, b.cap(f))
	b.accrued += b.limit.Rate * elapsed / float64(f.known)
}

// part returns what each of some entries in contact leaves with when they fall silent. What the
// others used since the last contact counts against the part of those, since the silent ones may
// not know of it.
func (b *bucket) part(now time.Time, fallen []*contact, f fleet) float64 {
	others := b.recent.get(now)
	for _, p := range fallen {
		if r := p.recent[b.index]; r != nil {
			others -= r.get(now)
		}
	}
	return (b.level + max(others, 0)) / float64(f.heard)
}

// added returns this entry's use in the last one or two periods of repeatTime.
func (b *bucket) added(now time.Time) int64 {
	if age := now.Sub(b.markedAt); age >= repeatTime {
		b.marks = [2]int64{b.sum, b.marks[0]}
		if age >= 2*repeatTime {
			b.marks[1] = b.sum
		}
		b.markedAt = now
	}
	return b.sum - b.marks[1]
}

// use subtracts the use of an entry in contact.
func (b *bucket) use(now time.Time, tokens float64) {
	b.level -= tokens
	b.recent.add(now, tokens)
}

// wait returns the time until a request is admitted if nothing else is.
func (b *bucket) wait(cost float64, f fleet) time.Duration {
	missing := max(b.need(cost, f)-b.level, 0)
	return time.Duration(math.Min(missing/(f.share()*b.limit.Rate)*float64(time.Second), float64(time.Hour)))
}
