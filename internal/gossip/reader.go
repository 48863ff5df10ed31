package gossip

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// Rate limits of one process for calls to the configuration service, in calls a
// second. A long poll counts as one call.
const (
	// readerRate applies to the readers of a data centre.
	readerRate  = 2
	readerBurst = 10
	// fallbackRate applies to all other processes, which read only while no peer
	// sends them notes (mayFallBack).
	fallbackRate  = 1.0 / 6
	fallbackBurst = 2
	// maxListedRank is the number of listed VMs that can become readers in place
	// of others that seem dead. It bounds the number of readers when every process
	// is isolated and takes all others for dead.
	maxListedRank = 6
)

// Delays of reads.
const (
	// watchWait is the time that a long poll of a reader waits for a later note.
	watchWait = 30 * time.Second
	// readRetry is the minimum delay after a failed or stale read.
	readRetry = time.Second
	// invalidRetry is the minimum delay after an invalid note.
	invalidRetry = 5 * time.Second
	// peerIdleTimeout is the time without datagrams from peers with a note in
	// force after which any process reads.
	peerIdleTimeout = 10 * time.Second
	// firstReadSpread is the range of the random delay of the first read of a
	// process that is not a reader.
	firstReadSpread = 6 * time.Second
	// firstReadGrace is added to that delay when peers are known, so that readers
	// read first and send the notes to the others.
	firstReadGrace = 2 * time.Second
)

// reader schedules the reads of the configuration service by this process.
type reader struct {
	readerLimiter, fallbackLimiter *rate.Limiter
	// isReader is set when this process is a reader of its data centre.
	isReader bool
	reading  bool
	nextRead time.Time
	// firstFallback is the earliest time of a fallback read.
	firstFallback time.Time
	// lastPeerContact is the time of the last datagram of a peer with a note in
	// force.
	lastPeerContact time.Time
	// serviceHead is the highest note number that the service returned.
	serviceHead uint64
}

func (r *reader) init(cfg Config) {
	r.readerLimiter = rate.NewLimiter(readerRate, readerBurst)
	r.fallbackLimiter = rate.NewLimiter(fallbackRate, fallbackBurst)
	r.firstFallback = cfg.Now.Add(time.Duration(cfg.Rand.Int64N(int64(firstReadSpread))))
}

// updateRole decides whether the process is a reader: an alive candidate with fewer
// than readers alive candidates before it. For a candidate that is not alive, such as a
// leaving process, all candidates before it count, and the alive ones count twice. A
// process that is not on the VM list is no candidate.
func (r *reader) updateRole(self string, candidates, aliveNames []string, readers int) {
	r.isReader = false
	for i, name := range candidates {
		alive := slices.Contains(aliveNames, name)
		if name == self {
			r.isReader = i < readers || alive && readers > 0
		}
		if alive {
			readers--
		}
	}
}

// readService starts the next read of the configuration service if one is due and
// within the rate limit.
func (n *Node) readService() {
	r := &n.reader
	if r.reading || n.now.Before(r.nextRead) {
		return
	}
	limiter, wait := r.readerLimiter, watchWait
	if !r.isReader {
		if !n.mayFallBack() {
			return
		}
		limiter, wait = r.fallbackLimiter, 0
	}
	if n.pullInProgress() || !limiter.AllowN(n.now, 1) {
		return
	}
	r.reading = true
	n.count.ServiceCalls.Add(1)
	if r.serviceHead > n.notes.head.Number {
		n.readNote(n.notes.head.Number + 1)
		return
	}
	n.readHead(wait)
}

// mayFallBack reports whether a process that is not a reader may read: no peer with a
// note in force has sent a datagram within peerIdleTimeout, and the delay of the first
// read is over.
func (n *Node) mayFallBack() bool {
	if n.now.Sub(n.reader.lastPeerContact) < peerIdleTimeout {
		return false
	}
	first := n.reader.firstFallback
	if n.countPeers() > 0 {
		first = first.Add(firstReadGrace)
	}
	return !n.now.Before(first)
}

// pullInProgress reports whether a pull is in progress from peers that claim a note
// at least as late as the service does.
func (n *Node) pullInProgress() bool {
	return n.notes.bestClaim.Number > n.notes.head.Number && n.notes.bestClaim.Number >= n.reader.serviceHead && n.now.Before(n.notes.nextPull)
}

// readHead reads the number of the latest note.
func (n *Node) readHead(wait time.Duration) {
	r := &n.reader
	after, asked := n.notes.head.Number, n.now
	n.cfg.Service.Head(after, wait, func(number uint64, err error) {
		r.reading = false
		if err != nil {
			r.nextRead = n.now.Add(n.jitter(readRetry))
			_ = level.Warn(n.cfg.Log).Log("msg", "reading the head of the release notes failed; retrying", "err", err)
			return
		}
		n.learning.serviceAnswered = true
		r.serviceHead = max(r.serviceHead, number)
		if number <= after && n.now.Sub(asked) < wait {
			// The service answered before the wait was over but has no later note: it
			// is stale.
			r.nextRead = n.now.Add(n.jitter(readRetry))
		}
		n.readService()
	})
}

// readNote reads and applies the note with this number.
func (n *Node) readNote(number uint64) {
	r := &n.reader
	n.cfg.Service.Note(number, func(raw []byte, err error) {
		r.reading = false
		if err != nil {
			r.nextRead = n.now.Add(n.jitter(readRetry))
			_ = level.Warn(n.cfg.Log).Log("msg", "reading a release note failed; retrying", "note", number, "err", err)
			return
		}
		if n.apply(raw, "configuration service") != nil {
			r.nextRead = n.now.Add(n.jitter(invalidRetry))
			return
		}
		n.readService()
	})
}

// jitter returns d plus a random duration of less than half of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d + time.Duration(n.cfg.Rand.Int64N(int64(d/2)))
}
