package gossip

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/membership"
)

// Timeouts of a probe.
const (
	// directTimeout is the time to wait for an answer before the ping is repeated,
	// directly and through other peers.
	directTimeout = 300 * time.Millisecond
	// probeTimeout is the time to wait for any answer before the target becomes
	// suspect.
	probeTimeout = 900 * time.Millisecond
	// maxProbeRetries is the number of times that a probe is repeated, directly and
	// through others.
	maxProbeRetries = 2
	// indirectProbes is the number of peers that each repetition asks to ping the
	// target.
	indirectProbes = 3
	// maxRelays bounds the concurrent pings on behalf of other processes.
	maxRelays = 64
)

// probe is the state of probing the members one after another.
type probe struct {
	next          time.Time
	nextDeadProbe time.Time
	// seq is the sequence number of the last ping of any kind; currentSeq is that
	// of the probe in progress.
	seq, currentSeq uint32
	target          membership.Member
	sent            time.Time
	inProgress      bool
	retries         int
	relays          map[uint32]relay
}

// relay is a ping on behalf of another process, requester, which numbered its own
// probe requesterSeq.
type relay struct {
	requester    string
	requesterSeq uint32
	deadline     time.Time
}

func (p *probe) init(cfg Config) {
	p.relays = map[uint32]relay{}
	p.next = cfg.Now.Add(time.Duration(cfg.Rand.Int64N(int64(probeInterval))))
	p.nextDeadProbe = cfg.Now.Add(deadProbeInterval)
}

// probeNext continues the probe in progress and, once in each interval, expires
// suspects and starts the probe of the next member.
func (n *Node) probeNext() {
	p := &n.probe
	n.continueProbe()
	if n.now.Before(p.next) {
		return
	}
	p.next = n.now.Add(probeInterval)
	n.table.ExpireSuspects(n.now)
	n.probeDead()
	m, ok := n.table.NextProbe(n.cfg.Rand)
	if !ok {
		return
	}
	p.target, p.sent, p.inProgress, p.retries = m, n.now, true, 0
	p.seq++
	p.currentSeq = p.seq
	n.ping(m, p.currentSeq)
}

// ping pings a member. If it is recorded as suspect or dead, the ping carries that
// record, so that the member can refute it.
func (n *Node) ping(m membership.Member, seq uint32) {
	out := &packet{Kind: kindPing, Seq: seq}
	if record, ok := n.table.SuspectOrDead(m.Name); ok {
		out.Members = append(out.Members, record)
	}
	n.sendWithRumors(m.Addr, out)
}

// continueProbe repeats the ping of the probe in progress, directly and through
// other peers. After probeTimeout it marks the target as suspect and pings it with
// that record.
func (n *Node) continueProbe() {
	p := &n.probe
	if !p.inProgress {
		return
	}
	age := n.now.Sub(p.sent)
	if age >= directTimeout && p.retries < maxProbeRetries {
		p.retries++
		n.ping(p.target, p.currentSeq)
		for _, m := range n.table.RandomResponsive(n.cfg.Rand, indirectProbes, p.target.Name) {
			n.sendWithRumors(m.Addr, &packet{Kind: kindPingRequest, Seq: p.currentSeq, Target: p.target.Addr})
		}
	}
	if age >= probeTimeout {
		p.inProgress = false
		n.table.MarkSuspect(p.target.Name, n.now)
		n.ping(n.latestMember(p.target), p.currentSeq)
	}
}

// latestMember returns the current record of a member, or m if it has been removed.
func (n *Node) latestMember(m membership.Member) membership.Member {
	if known, ok := n.table.Get(m.Name); ok {
		return known
	}
	return m
}

// probeDead pings a random dead member in each deadProbeInterval, so that the parts
// of a healed partition find each other.
func (n *Node) probeDead() {
	if n.now.Before(n.probe.nextDeadProbe) {
		return
	}
	n.probe.nextDeadProbe = n.now.Add(deadProbeInterval)
	if m, ok := n.table.RandomDead(n.cfg.Rand); ok {
		n.ping(m, 0)
	}
}

// relayPing pings the target of a peer's kindPingRequest, unless maxRelays is
// reached.
func (n *Node) relayPing(from string, p *packet) {
	for seq, r := range n.probe.relays {
		if n.now.After(r.deadline) {
			delete(n.probe.relays, seq)
		}
	}
	if len(n.probe.relays) >= maxRelays {
		return
	}
	n.probe.seq++
	n.probe.relays[n.probe.seq] = relay{requester: from, requesterSeq: p.Seq, deadline: n.now.Add(probeTimeout)}
	n.sendWithRumors(p.Target, &packet{Kind: kindPing, Seq: n.probe.seq})
}

// handleAck forwards the answer to a relayed ping to its requester, or ends the
// probe in progress.
func (n *Node) handleAck(p *packet) {
	if r, ok := n.probe.relays[p.Seq]; ok {
		delete(n.probe.relays, p.Seq)
		n.sendWithRumors(r.requester, &packet{Kind: kindAck, Seq: r.requesterSeq})
		return
	}
	if p.Seq == n.probe.currentSeq {
		n.probe.inProgress = false
	}
}
