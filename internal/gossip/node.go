// Package gossip spreads release notes and membership among the processes of
// the fleet. Few processes of a data centre read the configuration service; the
// others hear from peers. Node is the protocol without I/O, goroutines or a
// clock; Runner runs it.
package gossip

import (
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/looplab/fsm"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/surroundings"
)

// Transport sends datagrams, best effort.
type Transport interface {
	Send(addr string, payload []byte)
}

// Bulk pulls notes that do not fit a datagram from a peer. done is called on
// the goroutine of the node.
type Bulk interface {
	Pull(addr string, after uint64, done func(SinceReply, error))
}

// Platform reads the platform's services. done is called on the goroutine of
// the node.
type Platform interface {
	Head(after uint64, wait time.Duration, done func(uint64, error))
	Note(number uint64, done func([]byte, error))
	VMs(done func([]surroundings.VM, error))
}

// Config configures a node.
type Config struct {
	Self       membership.Member
	DataCentre string
	Region     string
	// Key is the key of the fleet.
	Key       []byte
	Store     *release.Store
	Transport Transport
	Bulk      Bulk
	Platform  Platform
	Rand      *rand.Rand
	Log       log.Logger
	Now       time.Time
	// Tuning holds the parameters of the protocol.
	Tuning Tuning
}

// Tuning are the parameters of the protocol.
type Tuning struct {
	// Fanout is the number of peers that hear each announcement of news.
	Fanout int
	// Rounds is the number of announcements of one piece of news.
	Rounds int
	// Readers is the number of processes of a data centre that watch the
	// configuration service.
	Readers int
	// Push sends notes with announcements instead of waiting for a pull.
	Push bool
}

// DefaultTuning returns the parameters of production.
func DefaultTuning() Tuning { return Tuning{Fanout: 4, Rounds: 2, Readers: 2} }

// TickInterval is the interval between calls of Node.Tick.
const TickInterval = 200 * time.Millisecond

// Intervals of periodic work.
const (
	probeInterval   = time.Second
	contactInterval = time.Second
	deadInterval    = 5 * time.Second
)

// Counters count the work of a node.
type Counters struct {
	Sent, Received, SentBytes, ReceivedBytes expvar.Int
	Rejected, ServiceCalls, ListCalls        expvar.Int
	Forks, Pulls, BulkPulls, Wakes           expvar.Int
}

// Node is the protocol of one process. It is not safe for concurrent use, but
// for the methods that say so.
type Node struct {
	cfg   Config
	codec *codec
	table *membership.Table
	count Counters
	now   time.Time

	start    *fsm.FSM
	learning learning
	notes    notes
	reader   reader
	probe    probe
	vms      vmList

	load        loadReports
	nextContact time.Time
	lastTick    time.Time
	// urgent is the number of announcements of membership that remain.
	urgent    int
	summaries map[string]membership.Summary
	// summariesChanged is set until the view shows the summaries.
	summariesChanged bool

	view  atomic.Pointer[membership.View]
	dump  atomic.Pointer[Dump]
	fresh atomic.Bool
}

// New returns a node that has heard nothing. It holds the store until it has
// heard enough.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, codec: newCodec(cfg.Key), now: cfg.Now, lastTick: cfg.Now,
		table:     membership.NewTable(cfg.Self, cfg.Now),
		summaries: map[string]membership.Summary{},
	}
	n.load.init(cfg)
	cfg.Store.Hold()
	n.notes.init(cfg.Store)
	n.probe.init(cfg)
	n.vms.init(cfg)
	n.reader.init(cfg)
	n.startLearning()
	n.urgent = cfg.Tuning.Rounds
	n.publish()
	return n
}

// Tick does the periodic work.
func (n *Node) Tick(now time.Time) {
	n.at(now)
	n.lastTick = now
	n.refreshList()
	n.probeNext()
	n.announceHot()
	n.pullMissing()
	n.contact()
	n.read()
	n.learn()
	n.publish()
}

// at starts an event. A pause is noticed whatever event comes first.
func (n *Node) at(now time.Time) {
	n.now = now
	n.detectPause()
}

// Receive handles a datagram from an address.
func (n *Node) Receive(now time.Time, from string, payload []byte) {
	n.at(now)
	n.count.Received.Add(1)
	n.count.ReceivedBytes.Add(int64(len(payload) + HeaderBytes))
	p, err := n.codec.decode(payload)
	if err != nil || p.From == n.cfg.Self.Name {
		n.count.Rejected.Add(1)
		return
	}
	n.hear(from, p)
	n.answer(from, p)
}

// Do runs f, such as the answer of a read, as an event of the node.
func (n *Node) Do(now time.Time, f func()) {
	n.at(now)
	f()
}

// hear takes in what every datagram carries.
func (n *Node) hear(from string, p *packet) {
	local := p.DataCentre == n.cfg.DataCentre
	for _, m := range p.Members {
		if local && n.merge(m) {
			n.urgent = n.cfg.Tuning.Rounds
		}
	}
	for _, s := range p.Summaries {
		n.mergeSummary(s)
	}
	n.hearHead(from, p)
	if p.Slots != nil && local {
		n.hearSlots(p)
	}
	if p.Introduce {
		n.table.Introduce()
	}
}

// merge takes in an observation and reports whether it is worth announcements
// of its own: leaving, death, and the end of a suspicion. The rest travels with
// probes.
func (n *Node) merge(m membership.Member) bool {
	old, _ := n.table.Get(m.Name)
	if !n.table.Merge(m, n.now) {
		return false
	}
	if m.Name == n.cfg.Self.Name {
		return true
	}
	return m.State != membership.Suspect && (m.State != old.State || old.State >= membership.Suspect)
}

func (n *Node) answer(from string, p *packet) {
	switch p.Kind {
	case kindPing:
		n.reply(from, p, &packet{Kind: kindAck, Seq: p.Seq})
	case kindAck:
		n.acknowledged(p)
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

// reply answers a datagram, and tells its sender what is held against it.
func (n *Node) reply(addr string, to, p *packet) {
	if to.DataCentre != n.cfg.DataCentre {
		p.Summaries = append(p.Summaries, n.summary())
		n.sendRemote(addr, p)
		return
	}
	if m, ok := n.table.Doubted(to.From); ok {
		p.Members = append(p.Members, m)
	}
	p.Introduce = !n.table.Observe(to.From, to.Life)
	n.send(addr, p)
}

// send sends a datagram within the data centre, with rumors and one summary.
func (n *Node) send(addr string, p *packet) {
	p.Members = append(p.Members, n.table.Rumors(maxRumorBytes)...)
	if s, ok := n.randomSummary(); ok && p.Kind != kindNotes {
		p.Summaries = append(p.Summaries, s)
	}
	n.sendRemote(addr, p)
}

// sendRemote sends a datagram without rumors.
func (n *Node) sendRemote(addr string, p *packet) {
	p.From, p.DataCentre, p.Life = n.cfg.Self.Name, n.cfg.DataCentre, n.table.Self().Life
	p.Head = n.notes.head
	p.Starting = n.cfg.Store.Current().Number == 0
	payload, err := n.codec.encode(p)
	if err != nil {
		n.count.Rejected.Add(1)
		return
	}
	n.count.Sent.Add(1)
	n.count.SentBytes.Add(int64(len(payload) + HeaderBytes))
	n.cfg.Transport.Send(addr, payload)
}

// announceHot announces news to random peers.
func (n *Node) announceHot() {
	if n.urgent == 0 && n.notes.hot == 0 {
		return
	}
	n.urgent, n.notes.hot = max(n.urgent-1, 0), max(n.notes.hot-1, 0)
	n.announce()
}

// announce tells the head, and the last note when notes are pushed, to random
// peers and, from a contact, to other data centres.
func (n *Node) announce() {
	for _, m := range n.table.Random(n.cfg.Rand, n.cfg.Tuning.Fanout, "") {
		n.send(m.Addr, n.pushed(&packet{Kind: kindAnnounce}))
	}
	if n.vms.contact {
		n.announceRemote(n.cfg.Tuning.Fanout)
	}
}

// Leave tells peers that the process takes no new work.
func (n *Node) Leave(now time.Time) {
	n.now = now
	n.table.UpdateSelf(now, func(m *membership.Member) { m.State = membership.Leaving })
	n.urgent = n.cfg.Tuning.Rounds
	n.announceHot()
	n.publish()
}

// Counters returns the counters. It is safe for concurrent use.
func (n *Node) Counters() *Counters { return &n.count }

// View returns the members as last published. It is safe for concurrent use.
func (n *Node) View() *membership.View { return n.view.Load() }

// Store returns the store of release notes.
func (n *Node) Store() *release.Store { return n.cfg.Store }

// Fresh reports whether the process has heard enough since it started or woke
// from a pause. It is safe for concurrent use.
func (n *Node) Fresh() bool { return n.fresh.Load() }
