package gossip

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/looplab/fsm"
)

// States of a process with regard to release notes.
const (
	// Learning processes have started or resumed from a pause, and have not yet
	// received enough answers to rule out that they miss a later note.
	Learning = "learning"
	// Current processes have caught up and follow announcements.
	Current = "current"
)

// Events of the state machine.
const (
	eventComplete = "enough"
	eventResume   = "wake"
)

// Bounds of learning.
const (
	// minAnswers is the number of peers whose heads a process has to receive
	// before it is current.
	minAnswers = 3
	// learnTimeout is the time after which fewer peers, or the configuration
	// service alone, are enough.
	learnTimeout = 5 * time.Second
	// pauseThreshold is the gap between ticks that counts as a pause.
	pauseThreshold = 2 * time.Second
	// learnFanout is the number of local peers that a learning process asks for
	// their heads in each tick.
	learnFanout = 4
	// learnRemoteFanout is the number of other data centres whose contacts it
	// asks in each tick.
	learnRemoteFanout = 2
)

// learning collects what a process has received since it started or resumed.
type learning struct {
	since time.Time
	// peerHeads are the note numbers of the peers that answered.
	peerHeads       map[string]uint64
	serviceAnswered bool
}

// initSyncState creates the state machine, in the state Learning.
func (n *Node) initSyncState() {
	n.syncState = fsm.NewFSM(Learning, fsm.Events{
		{Name: eventComplete, Src: []string{Learning}, Dst: Current},
		{Name: eventResume, Src: []string{Current, Learning}, Dst: Learning},
	}, fsm.Callbacks{
		"enter_" + Current:  func(context.Context, *fsm.Event) { n.enterCurrent() },
		"enter_" + Learning: func(context.Context, *fsm.Event) { n.resetLearning() },
	})
	n.resetLearning()
}

// resetLearning discards the answers and restarts learnTimeout.
func (n *Node) resetLearning() {
	n.upToDate.Store(false)
	n.learning = learning{since: n.now, peerHeads: map[string]uint64{}}
}

// enterCurrent brings the verified notes into force: until then the store holds
// them back.
func (n *Node) enterCurrent() {
	n.cfg.Store.Activate()
	n.upToDate.Store(true)
	_ = level.Info(n.cfg.Log).Log("msg", "release notes are up to date", "note", n.notes.head.Number, "peers", len(n.learning.peerHeads), "service", n.learning.serviceAnswered)
}

// recordAnswer records the head that a peer sent. Datagrams of a peer with a note in
// force also put off the fallback reads of the configuration service.
func (n *Node) recordAnswer(p *packet) {
	if !p.Starting {
		n.reader.lastPeerContact = n.now
	}
	if n.syncState.Is(Learning) {
		n.learning.peerHeads[p.From] = p.Head.Number
	}
}

// continueLearning asks peers for their heads while the process is learning, and
// makes it current once learning is complete.
func (n *Node) continueLearning() {
	if !n.syncState.Is(Learning) {
		return
	}
	if n.learningComplete() {
		_ = n.syncState.Event(context.Background(), eventComplete)
		return
	}
	for _, m := range n.table.RandomResponsive(n.cfg.Rand, learnFanout, "") {
		n.sendWithRumors(m.Addr, &packet{Kind: kindPing})
	}
	n.announceRemote(learnRemoteFanout)
}

// learningComplete reports whether a note is verified, no peer that answered has a
// later one, and enough sources have answered: minAnswers peers or all known ones,
// the configuration service if no peer is known, or any source after learnTimeout.
// Before learnTimeout, the VM list must have been read as well.
func (n *Node) learningComplete() bool {
	number := n.notes.head.Number
	if number == 0 || !n.vms.loaded && n.now.Sub(n.learning.since) < learnTimeout {
		return false
	}
	for _, claimed := range n.learning.peerHeads {
		if claimed > number {
			return false
		}
	}
	known := n.countPeers()
	if known > 0 && len(n.learning.peerHeads) >= min(minAnswers, known) {
		return true
	}
	if n.now.Sub(n.learning.since) >= learnTimeout {
		return n.learning.serviceAnswered || len(n.learning.peerHeads) > 0
	}
	return known == 0 && n.learning.serviceAnswered
}

// countPeers returns the number of processes that could answer: local members that
// are not dead, and the contacts of other data centres.
func (n *Node) countPeers() int {
	peers := n.table.CountPeers()
	for _, dc := range n.vms.remoteCentres {
		peers += len(n.vms.remoteContacts[dc])
	}
	return peers
}

// detectPause returns to Learning when the process did not run for pauseThreshold.
// Recorded states of peers and the times since their last messages are stale then,
// so timers that measure idle peers restart.
func (n *Node) detectPause() {
	gap := elapsed(n.lastTick, n.now)
	if gap < pauseThreshold {
		return
	}
	n.lastTick = n.now
	n.count.Pauses.Add(1)
	_ = level.Warn(n.cfg.Log).Log("msg", "the process was paused; checking again for later release notes", "gap", gap)
	n.table.ResetTimers(n.now)
	n.probe.inProgress = false
	n.reader.lastPeerContact = n.now
	n.notes.nextPull = n.now
	n.vms.nextRead = n.now
	_ = n.syncState.Event(context.Background(), eventResume)
	if n.syncState.Is(Learning) {
		n.resetLearning() // a transition from Learning to itself runs no callback
	}
}

// elapsed returns the time between two readings by the monotonic or the wall clock,
// whichever is longer: the monotonic clock stops while a VM is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
