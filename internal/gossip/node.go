// Package gossip spreads release notes and membership among the processes of
// the fleet. Few processes of a data centre, its readers, read the configuration
// service; the others receive notes from peers. Node implements the protocol
// without I/O, goroutines or a clock; Runner drives it.
package gossip

import (
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/looplab/fsm"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
)

// Transport sends datagrams, best effort.
type Transport interface {
	Send(addr string, payload []byte)
}

// BulkPuller pulls notes that do not fit a datagram from a peer. done is called on
// the goroutine of the node, as an event (Node.RunEvent).
type BulkPuller interface {
	Pull(addr string, after uint64, done func(SinceReply, error))
}

// ServiceReader reads the configuration service (Head, Note) and the VM list. done is
// called on the goroutine of the node, as an event (Node.RunEvent).
type ServiceReader interface {
	Head(after uint64, wait time.Duration, done func(uint64, error))
	Note(number uint64, done func([]byte, error))
	VMs(done func([]controlplane.VM, error))
}

// Config configures a node.
type Config struct {
	Self       membership.Member
	DataCentre string
	Region     string
	// Key is the shared key of the fleet; it authenticates datagrams.
	Key        []byte
	Store      *release.Store
	Transport  Transport
	BulkPuller BulkPuller
	Service    ServiceReader
	Rand       *rand.Rand
	Log        log.Logger
	// Now is the time at which the node is created.
	Now time.Time
	// Tuning holds the parameters of the protocol.
	Tuning Tuning
}

// Tuning are the parameters of the protocol.
type Tuning struct {
	// Fanout is the number of random peers that each announcement is sent to.
	Fanout int
	// Rounds is the number of times that a change is announced.
	Rounds int
	// Readers is the number of processes of a data centre that watch the
	// configuration service.
	Readers int
	// Push sends notes with announcements instead of waiting for a pull.
	Push bool
}

// DefaultTuning returns the parameters for production.
func DefaultTuning() Tuning { return Tuning{Fanout: 4, Rounds: 2, Readers: 2} }

// TickInterval is the interval between calls of Node.Tick.
const TickInterval = 200 * time.Millisecond

// Intervals of periodic work.
const (
	probeInterval          = time.Second
	remoteAnnounceInterval = time.Second
	deadProbeInterval      = 5 * time.Second
)

// Counters counts datagrams, reads, pulls and incidents of a node. Rejected counts
// received datagrams that were not processed and datagrams that could not be encoded.
type Counters struct {
	Sent, Received, SentBytes, ReceivedBytes expvar.Int
	Rejected, ServiceCalls, ListCalls        expvar.Int
	Forks, Pulls, BulkPulls, Pauses          expvar.Int
}

// Node is the protocol state of one process. It is not safe for concurrent use,
// except for the methods that say so.
type Node struct {
	cfg   Config
	codec *codec
	table *membership.Table
	count Counters
	now   time.Time

	syncState *fsm.FSM
	learning  learning
	notes     noteSync
	reader    reader
	probe     probe
	vms       vmList

	load               loadReports
	nextRemoteAnnounce time.Time
	lastTick           time.Time
	// membershipRounds is the number of announcements of membership changes that
	// remain to be sent.
	membershipRounds int
	summaries        map[string]membership.Summary
	// summariesChanged is set while the published view lacks the latest summaries.
	summariesChanged bool

	view     atomic.Pointer[membership.View]
	dump     atomic.Pointer[Dump]
	upToDate atomic.Bool
}

// New returns a node in the state Learning. The store brings no note into force
// until the node is Current.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, codec: newCodec(cfg.Key), now: cfg.Now, lastTick: cfg.Now,
		table:     membership.NewTable(cfg.Self, cfg.Now),
		summaries: map[string]membership.Summary{},
	}
	n.load.init(cfg)
	cfg.Store.DeferActivation()
	n.notes.init(cfg.Store)
	n.probe.init(cfg)
	n.vms.init(cfg)
	n.reader.init(cfg)
	n.initSyncState()
	n.membershipRounds = cfg.Tuning.Rounds
	n.publish()
	return n
}

// Tick does the periodic work. It is to be called every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.beginEvent(now)
	n.lastTick = now
	n.refreshList()
	n.probeNext()
	n.announcePending()
	n.pullMissing()
	n.announceRemoteIfDue()
	n.readService()
	n.continueLearning()
	n.publish()
}

// beginEvent sets the time of an event and detects a pause, since any event can be
// the first after one.
func (n *Node) beginEvent(now time.Time) {
	n.now = now
	n.detectPause()
}

// Receive handles a datagram from an address.
func (n *Node) Receive(now time.Time, from string, payload []byte) {
	n.beginEvent(now)
	n.count.Received.Add(1)
	n.count.ReceivedBytes.Add(int64(len(payload) + IPv4UDPHeaderBytes))
	p, err := n.codec.decode(payload)
	if err != nil || p.From == n.cfg.Self.Name {
		n.count.Rejected.Add(1)
		return
	}
	n.recordPacket(from, p)
	n.respond(from, p)
}

// RunEvent runs f, such as the callback of a read, as an event of the node.
func (n *Node) RunEvent(now time.Time, f func()) {
	n.beginEvent(now)
	f()
}

// recordPacket processes the fields that every kind of datagram can carry.
func (n *Node) recordPacket(from string, p *packet) {
	local := p.DataCentre == n.cfg.DataCentre
	for _, m := range p.Members {
		if local && n.mergeMember(m) {
			n.membershipRounds = n.cfg.Tuning.Rounds
		}
	}
	for _, s := range p.Summaries {
		n.mergeSummary(s)
	}
	n.recordHead(from, p)
	if p.Slots != nil && local {
		n.recordSlots(p)
	}
	if p.Introduce {
		n.table.AnnounceSelf()
	}
}

// mergeMember merges an observation of a member and reports whether it is urgent
// enough for announcements: a leaving or dead member, and the end of a suspicion.
// Other changes spread with the datagrams of probes.
func (n *Node) mergeMember(m membership.Member) bool {
	old, _ := n.table.Get(m.Name)
	if !n.table.Merge(m, n.now) {
		return false
	}
	if m.Name == n.cfg.Self.Name {
		return true
	}
	return m.State != membership.Suspect && (m.State != old.State || old.State >= membership.Suspect)
}

// respond acts on a datagram by its kind.
func (n *Node) respond(from string, p *packet) {
	switch p.Kind {
	case kindPing:
		n.reply(from, p, &packet{Kind: kindAck, Seq: p.Seq})
	case kindAck:
		n.handleAck(p)
	case kindPingRequest:
		n.relayPing(from, p)
	case kindAnnounce:
		if p.Head.Number < n.notes.head.Number {
			n.reply(from, p, &packet{Kind: kindAnnounce})
		}
	case kindPull:
		n.servePull(from, p)
	case kindNotes:
		n.receiveNotes(from, p)
	}
}

// reply answers a datagram. A local sender that is recorded as suspect or dead
// receives that record, so that it can refute it.
func (n *Node) reply(addr string, to, p *packet) {
	if to.DataCentre != n.cfg.DataCentre {
		p.Summaries = append(p.Summaries, n.localSummary())
		n.sendWithoutRumors(addr, p)
		return
	}
	if m, ok := n.table.SuspectOrDead(to.From); ok {
		p.Members = append(p.Members, m)
	}
	p.Introduce = !n.table.RecordIncarnation(to.From, to.Incarnation)
	n.sendWithRumors(addr, p)
}

// sendWithRumors sends a datagram within the data centre, with pending rumors and,
// unless notes take the space, one summary.
func (n *Node) sendWithRumors(addr string, p *packet) {
	p.Members = append(p.Members, n.table.Rumors(maxRumorBytes)...)
	if s, ok := n.randomSummary(); ok && p.Kind != kindNotes {
		p.Summaries = append(p.Summaries, s)
	}
	n.sendWithoutRumors(addr, p)
}

// sendWithoutRumors sends a datagram to any data centre, without rumors.
func (n *Node) sendWithoutRumors(addr string, p *packet) {
	p.From, p.DataCentre, p.Incarnation = n.cfg.Self.Name, n.cfg.DataCentre, n.table.Self().Incarnation
	p.Head = n.notes.head
	p.Starting = n.cfg.Store.Current().Number == 0
	payload, err := n.codec.encode(p)
	if err != nil {
		n.count.Rejected.Add(1)
		return
	}
	n.count.Sent.Add(1)
	n.count.SentBytes.Add(int64(len(payload) + IPv4UDPHeaderBytes))
	n.cfg.Transport.Send(addr, payload)
}

// announcePending sends an announcement if rounds of one remain to be sent.
func (n *Node) announcePending() {
	if n.membershipRounds == 0 && n.notes.headRounds == 0 {
		return
	}
	n.membershipRounds, n.notes.headRounds = max(n.membershipRounds-1, 0), max(n.notes.headRounds-1, 0)
	n.announce()
}

// announce sends the head, and the latest note if Tuning.Push is set, to random
// peers. A contact sends the head to other data centres as well.
func (n *Node) announce() {
	for _, m := range n.table.RandomResponsive(n.cfg.Rand, n.cfg.Tuning.Fanout, "") {
		n.sendWithRumors(m.Addr, n.withLatestNote(&packet{Kind: kindAnnounce}))
	}
	if n.vms.isContact {
		n.announceRemote(n.cfg.Tuning.Fanout)
	}
}

// Leave announces to peers that the process accepts no new work.
func (n *Node) Leave(now time.Time) {
	n.now = now
	n.table.UpdateSelf(now, func(m *membership.Member) { m.State = membership.Leaving })
	n.membershipRounds = n.cfg.Tuning.Rounds
	n.announcePending()
	n.publish()
}

// Counters returns the counters. It is safe for concurrent use.
func (n *Node) Counters() *Counters { return &n.count }

// View returns the membership as last published. It is safe for concurrent use.
func (n *Node) View() *membership.View { return n.view.Load() }

// Store returns the store of release notes.
func (n *Node) Store() *release.Store { return n.cfg.Store }

// UpToDate reports whether the process is Current: its release notes are up to date
// since it started or resumed from a pause. It is safe for concurrent use.
func (n *Node) UpToDate() bool { return n.upToDate.Load() }
