package directory

import (
	"math"
	"time"
)

// Coverage is a span of time of which all changes of some items of the registry are known. That
// an item is absent shows something only about this span: a view without gaps may be old, and a new
// one may have begun lately.
type Coverage struct {
	since time.Time
	// asOf is zero if nothing is known.
	asOf time.Time
}

// Includes reports whether all changes from one time to another are known.
func (c Coverage) Includes(from, to time.Time) bool {
	return !c.asOf.IsZero() && !c.since.After(from) && !c.asOf.Before(to)
}

// Age returns the time since the end of the span.
func (c Coverage) Age(now time.Time) time.Duration {
	if c.asOf.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(c.asOf)
}

// LogFields returns the age of the span and its length as fields of a log line.
func (c Coverage) LogFields(now time.Time) []any {
	if c.asOf.IsZero() {
		return []any{"known_ms", 0}
	}
	return []any{"known_ms", c.asOf.Sub(c.since).Milliseconds(), "known_ago_ms", c.Age(now).Milliseconds()}
}

// NothingBefore records that no server served a request before this process started. It must be
// called before the first read.
func (d *Directory) NothingBefore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nothingBefore = true
}

// ConfirmRead records that the registrations of the snapshot were complete at a time.
func (d *Directory) ConfirmRead(at time.Time) { d.extend(serversKnown, at) }

// ConfirmConfigRead records that the configuration of the snapshot was in force at a time.
func (d *Directory) ConfirmConfigRead(at time.Time) { d.extend(configKnown, at) }

// ConfirmWholeRead records that all registrations were read anew at a time. missed is set if some
// may have been made and removed since they were last known.
func (d *Directory) ConfirmWholeRead(at time.Time, missed bool) { d.begin(serversKnown, at, missed) }

// ConfirmWholeConfigRead records that the configuration was read anew at a time. missed is set if
// there may have been others since it was last known.
func (d *Directory) ConfirmWholeConfigRead(at time.Time, missed bool) {
	d.begin(configKnown, at, missed)
}

// ConfigMissed records that configurations before a time may be unknown.
func (d *Directory) ConfigMissed(before time.Time) {
	d.setCoverage(configKnown, func(c Coverage) Coverage { return Coverage{since: before, asOf: c.asOf} })
}

// Recall adds what the registry's history tells: the roles that servers had at some time since a
// time of which all registrations are known then. Until when they had them is not known.
func (d *Directory) Recall(since time.Time, roles []Role) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, now := d.update(), time.Now()
	for _, r := range roles {
		u.recordFormer(r, now)
	}
	u.next.ServersKnown = u.next.ServersKnown.extendBack(since)
	d.current.Store(&u.next)
}

// RecallConfig records that the configuration in force was in force since a time.
func (d *Directory) RecallConfig(since time.Time) {
	d.setCoverage(configKnown, func(c Coverage) Coverage { return c.extendBack(since) })
}

// extendBack extends a span back to a time.
func (c Coverage) extendBack(since time.Time) Coverage {
	if since.Before(c.since) {
		c.since = since
	}
	return c
}

func serversKnown(s *Snapshot) *Coverage { return &s.ServersKnown }

func configKnown(s *Snapshot) *Coverage { return &s.ConfigKnown }

// extend extends a span to a time. Without a whole read there is none.
func (d *Directory) extend(which func(*Snapshot) *Coverage, to time.Time) {
	d.setCoverage(which, func(c Coverage) Coverage {
		if !c.asOf.IsZero() && to.After(c.asOf) {
			c.asOf = to
		}
		return c
	})
}

// begin begins a span at a whole read, or extends the present one to it if no change was missed.
func (d *Directory) begin(which func(*Snapshot) *Coverage, at time.Time, missed bool) {
	d.setCoverage(which, func(c Coverage) Coverage {
		if missed || c.asOf.IsZero() && !d.nothingBefore {
			c.since = at
		}
		if at.After(c.asOf) {
			c.asOf = at
		}
		return c
	})
}

// setCoverage changes a span. It does not close the channel of Changed.
func (d *Directory) setCoverage(which func(*Snapshot) *Coverage, change func(Coverage) Coverage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.Current()
	known := which(&next)
	*known = change(*known)
	d.current.Store(&next)
}
