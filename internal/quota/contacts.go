package quota

import "time"

// Times of contact with peers.
const (
	// Pulse is the longest time between two messages of an entry to its peers while an
	// organisation has a limit.
	Pulse = 250 * time.Millisecond
	// TickInterval is the interval at which silent peers are looked for.
	TickInterval = 50 * time.Millisecond
	// silence is the time without a message after which a peer is taken to be out of contact.
	// Until then each group of a partition can use the whole bucket, which the bound allows for
	// about 0.5 s at eight times the rate. A lost datagram costs little: the peer's part of the
	// bucket is withheld until its next one.
	silence = 350 * time.Millisecond
	// settling is the time for which a peer must be heard before it counts as in contact, so
	// that what it used while it was silent is subtracted from the reserve for it.
	settling = 300 * time.Millisecond
	// maxLate bounds the time that is added to silence after a late tick. A process that was
	// stopped for longer takes its peers to be out of contact.
	maxLate     = 400 * time.Millisecond
	knownTime   = 60 * time.Second
	peersScaled = 100
	// Within discoveryTime of its start an entry counts at least assumedEntries.
	discoveryTime  = 2 * time.Second
	assumedEntries = 32
	// maxKnown bounds the number of entries that a peer reports.
	maxKnown = 10_000
)

// contact is what is known of the contact with one peer.
type contact struct {
	// since is the time of the first message after the last silence, and last that of the last
	// message; since is zero for a peer that was only mentioned by others.
	since, last time.Time
	// left is set once the life with an incarnation has announced that it leaves.
	left        bool
	incarnation int64
	// known is the number of entries that the peer knows.
	known int
	state contactState
	// reserve is the slot of a silent peer.
	reserve reserve
	// recent is what the peer used while it was in contact, by index of the bucket.
	recent map[int]*recent
}

// contactState is how a peer is counted since the last tick.
type contactState int

const (
	uncounted contactState = iota
	heard
	silent
	// gone peers have left, or sent nothing within knownTime.
	gone
)

// contacts counts the entries that are in contact and those that are known. It is not safe for
// concurrent use.
type contacts struct {
	started time.Time
	peers   map[string]*contact
	// late is the time by which the last ticks were late. Messages may have waited as long in a
	// process that got no processor time.
	late time.Duration
}

// tick records the time between two ticks.
func (c *contacts) tick(elapsed time.Duration) {
	c.late = max(min(elapsed-TickInterval, maxLate), c.late/2)
}

// silence returns the time after which a peer is out of contact. Like the interval of messages
// it grows with the number of peers.
func (c *contacts) silence() time.Duration {
	return silence*time.Duration(max(peersScaled, len(c.peers)))/peersScaled + c.late
}

// receive records a message of a peer. A message that arrives after the last one of its sender is
// ignored.
func (c *contacts) receive(now time.Time, addr string, incarnation int64, known int, leaving bool) *contact {
	p, ok := c.peers[addr]
	if !ok {
		p = &contact{recent: map[int]*recent{}}
		c.peers[addr] = p
	}
	if p.left && p.incarnation == incarnation {
		return p
	}
	if p.since.IsZero() || p.left || now.Sub(p.last) > c.silence() {
		p.since = now
	}
	p.last, p.left, p.incarnation = now, leaving, incarnation
	if known > 0 {
		p.known = min(known, maxKnown)
	}
	return p
}

// mention records that another entry is in contact with a peer.
func (c *contacts) mention(now time.Time, addr string) {
	if _, ok := c.peers[addr]; !ok {
		c.peers[addr] = &contact{last: now, recent: map[int]*recent{}}
	}
}

func (c *contacts) inContact(p *contact, now time.Time) bool {
	return !p.left && !p.since.IsZero() && now.Sub(p.last) <= c.silence() && now.Sub(p.since) >= settling
}

// next returns how a peer is to be counted now.
func (c *contacts) next(p *contact, now time.Time) contactState {
	switch {
	case p.left || now.Sub(p.last) > knownTime:
		return gone
	case c.inContact(p, now):
		return heard
	default:
		return silent
	}
}
