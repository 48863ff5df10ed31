// Package loadexchange exchanges, among the entries of one region, what each of them
// uses of the backend servers. Load reports of servers lag by most of a second, in
// which all entries would choose the same server; the entries' own counts are
// current. Each entry sends its use of a server to its peers when it changes, and
// its use of all servers once a second, which repairs lost datagrams. The use of a
// peer that has sent nothing within peerTimeout is discarded.
package loadexchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
)

// Intervals, timeouts and size limits.
const (
	// fullInterval is the interval of full messages, which also serve as heartbeats.
	fullInterval = time.Second
	// peerTimeout is the time without a message after which a peer's load is discarded:
	// two and a half heartbeat intervals, so that two lost datagrams are tolerated.
	peerTimeout = 2500 * time.Millisecond
	// peerRemovalTimeout is the time without a message after which a peer is removed
	// and gets no more messages.
	peerRemovalTimeout = 30 * time.Second
	// batchDelay is the time for which changes are collected into one datagram, about
	// the network latency between data centres.
	batchDelay = 2 * time.Millisecond
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 8 << 10
)

// Conn sends and receives datagrams. A net.PacketConn is one.
type Conn interface {
	ReadFrom(p []byte) (int, net.Addr, error)
	WriteTo(p []byte, addr net.Addr) (int, error)
	Close() error
}

// Options configure a share.
type Options struct {
	// Self is the address at which the peers reach this entry.
	Self string
	// Seeds are addresses of some entries; they may be stale.
	Seeds []string
	// Changed is called with the use of a server by each of the peers that use it.
	Changed func(server string, others []Usage)
	// Waiting is called with the arrival times of the requests that wait for a pool at
	// the peers.
	Waiting func(pool string, arrivals []time.Time)
}

// Share sends the load of one entry to its peers and receives theirs. It is safe for
// concurrent use.
type Share struct {
	options     Options
	conn        Conn
	log         log.Logger
	incarnation int64 // see message
	started     time.Time
	// flush requests that the changes be sent.
	flush chan struct{}

	mu    sync.Mutex // guards the fields below
	seeds []string
	seq   uint64
	// localUse is this entry's use, by server; dirty are the servers whose use has
	// changed since it was sent.
	localUse map[string]Usage
	dirty    map[string]bool
	// waits are the arrival times of this entry's waiting requests, by pool.
	waits      map[string][]time.Time
	dirtyWaits map[string]bool
	peers      map[string]*peer
	// newPeers are discovered peers to which no full message was sent yet.
	newPeers map[string]bool
	// assumed is set when maxEntries was computed within discoveryTime.
	assumed bool
	// maxEntries is the largest number of entries alive at once within
	// entriesHoldTime; it is valid until maxEntriesUntil.
	maxEntries      int
	maxEntriesUntil time.Time
}

// New returns a share that sends nothing until Run is called.
func New(conn Conn, o Options, logger log.Logger) *Share {
	return &Share{
		options: o, conn: conn, log: logger, incarnation: time.Now().UnixMilli(), started: time.Now(), flush: make(chan struct{}, 1),
		seeds: o.Seeds, localUse: map[string]Usage{}, dirty: map[string]bool{}, peers: map[string]*peer{},
		waits: map[string][]time.Time{}, dirtyWaits: map[string]bool{}, newPeers: map[string]bool{},
	}
}

// Seeds replaces the seed addresses, to which all full messages are sent.
func (s *Share) Seeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Use sets this entry's present use of a server and schedules a message to the
// peers.
func (s *Share) Use(server string, u Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.empty() {
		delete(s.localUse, server)
	} else {
		s.localUse[server] = u
	}
	s.dirty[server] = true
	s.requestFlush()
}

func (s *Share) requestFlush() {
	select {
	case s.flush <- struct{}{}:
	default:
	}
}

// Wait sets the arrival times of this entry's requests that wait for a pool and
// schedules a message to the peers.
func (s *Share) Wait(pool string, arrivals []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits[pool] = arrivals
	s.dirtyWaits[pool] = true
	s.requestFlush()
}

// maxWaitsPerPool is the maximum number of waiting requests of a pool in one message.
const maxWaitsPerPool = 32

// agesLocked returns the ages in milliseconds of the waiting requests of some pools.
func (s *Share) agesLocked(pools map[string]bool, now time.Time) map[string][]int64 {
	out := map[string][]int64{}
	for pool := range pools {
		ages := []int64{}
		for _, t := range s.waits[pool][:min(len(s.waits[pool]), maxWaitsPerPool)] {
			ages = append(ages, now.Sub(t).Milliseconds())
		}
		out[pool] = ages
	}
	return out
}

// Within discoveryTime of its start an entry counts assumedEntries plus the peers that
// it has found, since one that restarts would otherwise use the budget of all before
// it has found them.
const (
	discoveryTime  = 2 * time.Second
	assumedEntries = 32
)

// entriesHoldTime is the time for which Entries still counts entries that timed out,
// since they may be alive on the other side of a network partition.
const entriesHoldTime = 15 * time.Second

// Entries returns the largest number of entries, including this one, that were
// alive at once within entriesHoldTime.
func (s *Share) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entriesLocked(time.Now())
}

func (s *Share) entriesLocked(now time.Time) int {
	n := 1
	assumed := now.Sub(s.started) < discoveryTime
	if assumed {
		n = assumedEntries
	}
	for _, p := range s.peers {
		if p.alive(now) {
			n++
		}
	}
	if n >= s.maxEntries || now.After(s.maxEntriesUntil) || s.assumed {
		s.maxEntries, s.maxEntriesUntil = n, now.Add(entriesHoldTime)
	}
	s.assumed = assumed
	return s.maxEntries
}

// Peers returns the sorted addresses of the peers that are alive.
func (s *Share) Peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	now := time.Now()
	for addr, p := range s.peers {
		if p.alive(now) {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// Run sends and receives until ctx ends, and then notifies the peers that this entry
// leaves.
func (s *Share) Run(ctx context.Context) {
	go s.receive(ctx)
	full := time.NewTicker(fullInterval)
	defer full.Stop()
	s.sendFull(false)
	for {
		select {
		case <-ctx.Done():
			s.sendFull(true)
			_ = s.conn.Close() // nothing is sent after the last message
			return
		case <-full.C:
			s.expire(time.Now())
			s.sendFull(false)
		case <-s.flush:
			time.Sleep(batchDelay)
			s.sendToNewPeers()
			s.sendChanges()
		}
	}
}

// sendFull sends a full message to all peers and seeds.
func (s *Share) sendFull(leaving bool) {
	s.mu.Lock()
	m := s.fullLocked(time.Now())
	m.Leaving = leaving
	to := map[string]bool{}
	for _, seed := range s.seeds {
		to[seed] = true
	}
	for addr := range s.peers {
		to[addr] = true
	}
	s.dirty, s.dirtyWaits = map[string]bool{}, map[string]bool{}
	s.mu.Unlock()
	delete(to, s.options.Self)
	s.send(m, to)
}

// sendToNewPeers sends a full message to the peers that were just discovered and may
// not have discovered this entry yet. An entry that has just started would otherwise
// treat the servers as idle until the next regular full message.
func (s *Share) sendToNewPeers() {
	s.mu.Lock()
	to := s.newPeers
	s.newPeers = map[string]bool{}
	if len(to) == 0 {
		s.mu.Unlock()
		return
	}
	m := s.fullLocked(time.Now())
	s.mu.Unlock()
	s.send(m, to)
}

// fullLocked returns a full message and removes the uses that have ended.
func (s *Share) fullLocked(now time.Time) *message {
	s.seq++
	m := &message{Incarnation: s.incarnation, Seq: s.seq, Full: true, Uses: map[string]Usage{}}
	for addr, p := range s.peers {
		if p.alive(now) {
			m.Members = append(m.Members, addr)
		}
	}
	for server, u := range s.localUse {
		if u = u.withAges(now); u.empty() {
			delete(s.localUse, server) // all of the use has ended
			continue
		}
		m.Uses[server] = u
	}
	all := map[string]bool{}
	for pool := range s.waits {
		all[pool] = true
	}
	m.Waits = s.agesLocked(all, now)
	return m
}

func (s *Share) sendChanges() {
	s.mu.Lock()
	if len(s.dirty)+len(s.dirtyWaits) == 0 {
		s.mu.Unlock()
		return
	}
	s.seq++
	now := time.Now()
	m := &message{Incarnation: s.incarnation, Seq: s.seq, Uses: map[string]Usage{}}
	for server := range s.dirty {
		m.Uses[server] = s.localUse[server].withAges(now)
	}
	m.Waits = s.agesLocked(s.dirtyWaits, now)
	s.dirty, s.dirtyWaits = map[string]bool{}, map[string]bool{}
	to := map[string]bool{}
	for addr, p := range s.peers {
		if p.alive(now) {
			to[addr] = true
		}
	}
	s.mu.Unlock()
	s.send(m, to)
}

// send sends a message to some peers, one datagram each. The next full message
// repairs a loss.
func (s *Share) send(m *message, to map[string]bool) {
	b, err := encode(m)
	if err == nil && len(b) > maxDatagram {
		err = errors.Errorf("a message of %d bytes exceeds the datagram limit", len(b))
	}
	if err != nil {
		_ = level.Error(s.log).Log("msg", "load not shared", "err", err)
		return
	}
	for addr := range to {
		s.write(b, addr)
	}
}

// write sends one datagram.
func (s *Share) write(b []byte, addr string) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		_ = level.Warn(s.log).Log("msg", "peer has no usable address", "peer", addr, "err", err)
		return
	}
	if _, err := s.conn.WriteTo(b, to); err != nil {
		_ = level.Debug(s.log).Log("msg", "load not shared", "peer", addr, "err", err)
	}
}

func (s *Share) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			_ = level.Warn(s.log).Log("msg", "no load received", "err", err)
			time.Sleep(batchDelay)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			_ = level.Warn(s.log).Log("msg", "load message not readable", "peer", from.String(), "err", err)
			continue
		}
		s.apply(from.String(), m, time.Now())
	}
}

// apply records a message of a peer, adds the peers that it lists, and calls Changed
// and Waiting.
func (s *Share) apply(from string, m *message, now time.Time) {
	s.mu.Lock()
	p, ok := s.peers[from]
	if !ok {
		p = newPeer(m.Incarnation)
		s.peers[from] = p
	}
	if ok && p.fromOldIncarnation(m, now) {
		s.mu.Unlock()
		return
	}
	known := ok && p.incarnation == m.Incarnation && p.alive(now)
	changed := p.apply(m, now)
	waitsChanged := p.applyWaits(m, now)
	if m.Leaving {
		changed = s.removePeerLocked(from)
	}
	for _, addr := range m.Members {
		if _, ok := s.peers[addr]; !ok && addr != s.options.Self {
			s.peers[addr] = newPeer(0)
			s.peers[addr].lastReceived = now.Add(-peerTimeout)
			s.newPeers[addr] = true
		}
	}
	if !known && !m.Leaving {
		s.newPeers[from] = true
	}
	if len(s.newPeers) > 0 {
		s.requestFlush()
	}
	entries := s.entriesLocked(now)
	s.mu.Unlock()
	if !known && !m.Leaving {
		_ = level.Info(s.log).Log("msg", "peer found", "peer", from, "entries", entries)
	}
	s.notifyUses(changed)
	if waitsChanged || m.Leaving {
		s.notifyWaits()
	}
}

// notifyWaits calls Waiting with the requests that wait at all peers, by pool.
func (s *Share) notifyWaits() {
	all := map[string][]time.Time{}
	s.mu.Lock()
	for _, p := range s.peers {
		for pool, list := range p.waits {
			all[pool] = append(all[pool], list...)
		}
	}
	s.mu.Unlock()
	for pool, arrivals := range all {
		s.options.Waiting(pool, arrivals)
	}
}

// removePeerLocked removes a peer and returns the servers that it used.
func (s *Share) removePeerLocked(addr string) []string {
	var changed []string
	for server := range s.peers[addr].uses {
		changed = append(changed, server)
	}
	delete(s.peers, addr)
	return changed
}

// expire discards the load of the peers that timed out and removes those that have
// sent nothing within peerRemovalTimeout.
func (s *Share) expire(now time.Time) {
	var changed []string
	s.mu.Lock()
	for addr, p := range s.peers {
		idle := now.Sub(p.lastReceived)
		if idle > peerTimeout && len(p.uses)+len(p.waits) > 0 {
			_ = level.Info(s.log).Log("msg", "peer lost", "peer", addr, "silent_ms", idle.Milliseconds())
			for server := range p.uses {
				changed = append(changed, server)
			}
			clear(p.uses)
			clear(p.seqs)
			for pool := range p.waits {
				p.waits[pool] = nil
			}
		}
		if idle > peerRemovalTimeout {
			delete(s.peers, addr)
		}
	}
	s.mu.Unlock()
	s.notifyUses(changed)
	s.notifyWaits()
}

// notifyUses calls Changed for some servers.
func (s *Share) notifyUses(servers []string) {
	for _, server := range servers {
		var all []Usage
		s.mu.Lock()
		for _, p := range s.peers {
			if u, ok := p.uses[server]; ok && !u.empty() {
				all = append(all, u)
			}
		}
		s.mu.Unlock()
		s.options.Changed(server, all)
	}
}
