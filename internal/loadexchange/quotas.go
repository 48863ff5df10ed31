package loadexchange

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/quota"
)

const (
	// quotaBytes is the approximate size of the use of quotas that is added to another message,
	// and maxQuotaBytes that in a message of its own.
	quotaBytes    = 1 << 10
	maxQuotaBytes = 6 << 10
	// useBytes is the largest size of one use beside its name.
	useBytes = 1 + 3 + 9 + 9
	// idleTick is the interval at which it is checked whether any organisation has a limit.
	idleTick = 500 * time.Millisecond
)

// splitUses splits uses into a part of at most some bytes, though not less than one use, and the
// rest.
func splitUses(uses []quota.Use, bytes int) (part, rest []quota.Use) {
	for i, u := range uses {
		if bytes -= useBytes + len(u.Name); bytes < 0 && i > 0 {
			return uses[:i], uses[i:]
		}
	}
	return uses, nil
}

// addQuotasLocked adds uses of quotas to a message and returns further messages for those that
// do not fit into it.
func (x *Exchange) addQuotasLocked(m *message, uses []quota.Use) (more []*message) {
	if x.options.Quotas == nil || !x.options.Quotas.Limited() {
		return nil
	}
	m.Known = x.options.Quotas.Known()
	m.Quotas, uses = splitUses(uses, quotaBytes)
	for len(uses) > 0 {
		x.seq++
		next := &message{Incarnation: x.incarnation, Seq: x.seq}
		next.Quotas, uses = splitUses(uses, maxQuotaBytes)
		more = append(more, next)
	}
	return more
}

// PublishQuotas schedules a message to the peers with this entry's use of quotas that was not
// reported yet.
func (x *Exchange) PublishQuotas() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dirtyQuotas = true
	x.requestFlush()
}

// tick counts the entries that are in contact, and sends a message to the peers if the last one
// is long ago. It returns the time until the next call.
func (x *Exchange) tick(now time.Time) time.Duration {
	if x.options.Quotas == nil {
		return time.Hour
	}
	if !x.options.Quotas.Limited() {
		return idleTick
	}
	x.options.Quotas.Tick(now)
	x.mu.Lock()
	due := now.Sub(x.lastSent) >= x.scaledLocked(quota.Pulse)-quota.TickInterval/2
	x.dirtyQuotas = x.dirtyQuotas || due
	x.mu.Unlock()
	if due {
		x.sendChanges()
	}
	return quota.TickInterval
}

// quotaNewsLocked returns the uses of quotas that no message has reported.
func (x *Exchange) quotaNewsLocked() []quota.Use {
	x.dirtyQuotas = false
	if x.options.Quotas == nil {
		return nil
	}
	return x.options.Quotas.News(time.Now())
}

// sendQuotasTo sends peers that were just found what this entry used while they may have been
// silent, and the levels of its buckets.
func (x *Exchange) sendQuotasTo(to map[string]bool) {
	if x.options.Quotas == nil {
		return
	}
	now := time.Now()
	uses, levels := x.options.Quotas.Since(now, true), x.options.Quotas.Levels(now)
	if len(uses) == 0 && levels == nil {
		return
	}
	x.sendUses(uses, levels, to)
}

// sendQuotasToReturned sends peers that were silent for less than peerTimeout what this entry used
// meanwhile, and its levels.
func (x *Exchange) sendQuotasToReturned() {
	x.mu.Lock()
	to := x.returned
	x.returned = nil
	x.mu.Unlock()
	if len(to) == 0 {
		return
	}
	now := time.Now()
	x.sendUses(x.options.Quotas.Since(now, false), x.options.Quotas.Levels(now), to)
}

func (x *Exchange) sendUses(uses []quota.Use, levels *quota.Levels, to map[string]bool) {
	x.mu.Lock()
	x.seq++
	m := &message{Incarnation: x.incarnation, Seq: x.seq, Levels: levels}
	more := x.addQuotasLocked(m, uses)
	x.mu.Unlock()
	x.sendEach(append([]*message{m}, more...), to)
}

// sendEach sends messages to some peers.
func (x *Exchange) sendEach(messages []*message, to map[string]bool) {
	for _, m := range messages {
		x.send(m, to)
	}
}

// applyQuotas records a message of a peer for the quotas.
func (x *Exchange) applyQuotas(from string, m *message, now time.Time) {
	q := x.options.Quotas
	if q == nil {
		return
	}
	for _, addr := range m.Members {
		if addr != x.options.Self {
			q.Mention(now, addr)
		}
	}
	if q.Receive(now, from, m.Incarnation, m.Seq, m.Quotas, m.Known, m.Leaving) && q.Limited() {
		x.mu.Lock()
		if x.returned == nil {
			x.returned = map[string]bool{}
		}
		x.returned[from] = true
		x.requestFlush()
		x.mu.Unlock()
	}
	if m.Levels != nil {
		q.Adopt(now, from, m.Levels)
	}
}
