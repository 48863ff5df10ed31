package gossip

import (
	"encoding/hex"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/release"
)

// Timeouts of pulls.
const (
	pullTimeout = 300 * time.Millisecond
	bulkTimeout = 5 * time.Second
	// candidateTimeout bounds the wait for a second peer to confirm a snapshot.
	candidateTimeout = 3 * time.Second
)

// maxDatagramNotes is the maximum number of missing notes that are sent by
// datagrams; more are pulled by RPC.
const maxDatagramNotes = 16

// maxClaims bounds the stored heads of peers.
const maxClaims = 512

// noteSync is the state of the exchange of release notes with peers.
type noteSync struct {
	// head is the latest verified note.
	head head
	// headRounds is the number of announcements of the head that remain to be
	// sent.
	headRounds int
	// bestClaim is the highest head that a peer claimed, and bestClaimAddr the
	// address to pull it from.
	bestClaim     head
	bestClaimAddr string
	// claims are the last heads that peers sent, by name.
	claims map[string]head
	// nextPull is the earliest time of the next pull: the timeout of the pull in
	// progress or the end of a pause after an invalid note.
	nextPull time.Time
	// candidate is a snapshot that waits for confirmation until
	// candidateDeadline.
	candidate         *release.FleetState
	candidateFrom     string
	candidateDeadline time.Time
}

func (s *noteSync) init(store *release.Store) {
	s.claims = map[string]head{}
	s.head = headOf(store.Latest())
}

// recordHead records the head of a peer, checks it for a fork and pulls notes that
// this process lacks.
func (n *Node) recordHead(from string, p *packet) {
	if p.Head.Number == 0 {
		n.recordAnswer(p)
		return
	}
	n.checkFork(p)
	if len(n.notes.claims) >= maxClaims {
		clear(n.notes.claims)
	}
	n.notes.claims[p.From] = p.Head
	if p.Head.Number > n.notes.bestClaim.Number {
		n.notes.bestClaim, n.notes.bestClaimAddr = p.Head, from
	}
	n.recordAnswer(p)
	n.confirmCandidate()
	if p.Head.Number > n.notes.head.Number && p.Kind != kindNotes {
		n.pull(from)
	}
}

// checkFork reports a fork when a peer has a different note of the same number.
// A claim is checked when it first arrives or, if it is later than the head of this
// process, when the head reaches it; the same claim is not checked again.
func (n *Node) checkFork(p *packet) {
	if n.notes.claims[p.From] != p.Head && p.Head.Number <= n.notes.head.Number {
		n.checkClaim(p.From, p.Head)
	}
}

// checkClaim reports a fork when the head of a peer differs from the note of that number.
func (n *Node) checkClaim(from string, claim head) {
	if err := n.cfg.Store.CheckDigest(claim.Number, hex.EncodeToString(claim.Digest[:])); err != nil {
		n.reportFork(err, from)
	}
}

// reportFork counts and logs a fork of the chain.
func (n *Node) reportFork(err error, source string) {
	n.count.Forks.Add(1)
	_ = level.Error(n.cfg.Log).Log("msg", "release notes fork: two notes carry one number; the first stays in force; publish the next note after it and restart the processes that hold the other",
		"source", source, "err", err)
}

// pull asks a peer for the notes that are missing, unless a pull is in progress
// or pulls are paused.
func (n *Node) pull(addr string) {
	if n.now.Before(n.notes.nextPull) {
		return
	}
	n.notes.nextPull = n.now.Add(pullTimeout)
	n.count.Pulls.Add(1)
	n.sendWithRumors(addr, &packet{Kind: kindPull})
}

// pullMissing pulls again while a peer has claimed a later head, for pulls whose
// answer was lost. It asks that peer or a random one with equal probability.
func (n *Node) pullMissing() {
	if n.notes.bestClaim.Number <= n.notes.head.Number {
		return
	}
	addr := n.notes.bestClaimAddr
	if peers := n.table.RandomResponsive(n.cfg.Rand, 1, ""); len(peers) > 0 && n.cfg.Rand.IntN(2) == 0 {
		addr = peers[0].Addr
	}
	n.pull(addr)
}

// servePull sends the notes after the head of a peer, as many as fit a datagram,
// or refers the peer to a bulk pull.
func (n *Node) servePull(from string, p *packet) {
	missing := n.notes.head.Number - p.Head.Number
	if n.notes.head.Number <= p.Head.Number {
		return
	}
	out := &packet{Kind: kindNotes}
	docs, ok := n.cfg.Store.Since(p.Head.Number, maxNoteBytes)
	if !ok || missing > maxDatagramNotes {
		out.Bulk = true
		n.sendWithoutRumors(from, out)
		return
	}
	for _, d := range docs {
		out.Notes = append(out.Notes, d.Raw)
	}
	n.sendWithoutRumors(from, out)
}

// withLatestNote adds the latest note to an announcement if Tuning.Push is set and the
// note takes at most half of maxNoteBytes.
func (n *Node) withLatestNote(p *packet) *packet {
	if !n.cfg.Tuning.Push || n.notes.head.Number == 0 {
		return p
	}
	if docs, ok := n.cfg.Store.Since(n.notes.head.Number-1, maxNoteBytes/2); ok {
		p.Kind, p.Notes = kindNotes, [][]byte{docs[0].Raw}
	}
	return p
}

// receiveNotes applies the answer to a pull, and pulls again while notes are
// missing.
func (n *Node) receiveNotes(from string, p *packet) {
	if p.Bulk {
		n.pullBulk(from)
		return
	}
	if !n.applyAll(p.Notes, p.From) {
		return
	}
	if p.Head.Number > n.notes.head.Number {
		n.notes.nextPull = n.now
		n.pull(from)
	}
}

// pullBulk asks a peer by RPC for notes that do not fit a datagram, or a snapshot.
func (n *Node) pullBulk(addr string) {
	if n.notes.bestClaim.Number <= n.notes.head.Number {
		return
	}
	n.notes.nextPull = n.now.Add(bulkTimeout)
	n.count.BulkPulls.Add(1)
	n.cfg.BulkPuller.Pull(addr, n.notes.head.Number, func(r SinceReply, err error) { n.receiveBulk(addr, r, err) })
}

func (n *Node) receiveBulk(addr string, r SinceReply, err error) {
	n.notes.nextPull = n.now
	if err != nil {
		_ = level.Warn(n.cfg.Log).Log("msg", "pulling release notes from a peer failed; retrying at this or another peer", "peer", addr, "err", err)
		return
	}
	if !n.applyAll(r.Notes, addr) || len(r.Snapshot) == 0 {
		return
	}
	state, err := release.ParseSnapshot(r.Snapshot)
	if err != nil {
		_ = level.Error(n.cfg.Log).Log("msg", "refused a snapshot", "peer", addr, "err", err)
		return
	}
	if state.Number > n.notes.head.Number {
		n.notes.candidate, n.notes.candidateFrom, n.notes.candidateDeadline = state, r.From, n.now.Add(candidateTimeout)
		n.notes.nextPull = n.notes.candidateDeadline
		n.confirmCandidate()
	}
}

// confirmCandidate adopts the candidate snapshot once a second peer claims the same
// note and the same state, or when no second peer is known. It drops the candidate
// after the deadline, or when its note has arrived otherwise.
func (n *Node) confirmCandidate() {
	state := n.notes.candidate
	if state == nil {
		return
	}
	if n.now.After(n.notes.candidateDeadline) || state.Number <= n.notes.head.Number {
		n.notes.candidate = nil
		return
	}
	if n.countPeers() > 1 && !n.confirmedByOther(headOf(state)) {
		return
	}
	n.notes.candidate = nil
	if err := n.cfg.Store.InstallSnapshot(state); err != nil {
		n.reportFork(err, n.notes.candidateFrom)
		return
	}
	_ = level.Info(n.cfg.Log).Log("msg", "adopted a snapshot", "note", state.Number, "from", n.notes.candidateFrom)
	n.headAdvanced()
}

// confirmedByOther reports whether a peer other than the source of the candidate
// claims a head.
func (n *Node) confirmedByOther(h head) bool {
	for name, c := range n.notes.claims {
		if c == h && name != n.notes.candidateFrom {
			return true
		}
	}
	return false
}

// applyAll applies notes in order. If one is refused, it reports false and pauses
// pulls for bulkTimeout, since peers would send the same note again.
func (n *Node) applyAll(notes [][]byte, source string) bool {
	for _, raw := range notes {
		if n.apply(raw, source) != nil {
			n.notes.nextPull = n.now.Add(bulkTimeout)
			return false
		}
	}
	return true
}

// apply appends a published note to the chain. A note with the next number whose
// previous digest differs from the latest note continues a fork.
func (n *Node) apply(raw []byte, source string) error {
	doc, err := release.Parse(raw)
	if err == nil {
		err = n.cfg.Store.Apply(doc)
	}
	latest := n.cfg.Store.Latest()
	if err != nil && doc.Note.Number == latest.Number+1 && doc.Note.Previous != latest.Digest {
		err = errors.Annotatef(release.ErrFork, "note %d follows another note %d: %v", doc.Note.Number, latest.Number, err)
	}
	switch {
	case errors.Is(err, release.ErrFork):
		n.reportFork(err, source)
	case err != nil:
		_ = level.Warn(n.cfg.Log).Log("msg", "refused a release note", "source", source, "err", err)
	case doc.Note.Number > n.notes.head.Number:
		n.headAdvanced()
	}
	return err
}

// headAdvanced updates the head from the store and announces it.
func (n *Node) headAdvanced() {
	before := n.notes.head.Number
	n.notes.head = headOf(n.cfg.Store.Latest())
	for from, claim := range n.notes.claims {
		if claim.Number > before && claim.Number <= n.notes.head.Number {
			n.checkClaim(from, claim)
		}
	}
	n.notes.headRounds = n.cfg.Tuning.Rounds - 1
	n.notes.nextPull = n.now
	_ = level.Info(n.cfg.Log).Log("msg", "release note verified", "note", n.notes.head.Number)
	n.announce()
}

// NoteReported reports that a peer works under a note of this number. If the node
// lacks that note, it pulls from a random peer.
func (n *Node) NoteReported(now time.Time, number uint64) {
	n.now = now
	if number <= n.notes.head.Number {
		return
	}
	for _, m := range n.table.RandomResponsive(n.cfg.Rand, 1, "") {
		n.pull(m.Addr)
	}
}
