// Package loadshare tells the entries of one region what each of them has in use
// at the backend servers. Reports of servers lag by most of a second, in which
// all entries would choose the same one; the entries' own counts do not. Each
// entry sends the others its present use of a server when that changes, and all
// of its use once a second, which repairs lost datagrams. A peer that falls
// silent counts for nothing after a while.
package loadshare

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

// Intervals and bounds.
const (
	// fullEvery is the interval of full messages, which are heartbeats too.
	fullEvery = time.Second
	// silence is the time after which a peer is no longer counted: two lost
	// heartbeats and a half.
	silence = 2500 * time.Millisecond
	// forget is the time after which a peer is no longer written to.
	forget = 30 * time.Second
	// gather is the time for which changes are collected into one datagram, about
	// the delay between data centres.
	gather = 2 * time.Millisecond
	// maxDatagram bounds a datagram in bytes.
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
	// Self is the address under which the others reach this entry.
	Self string
	// Seeds are addresses of some entries; they may be stale.
	Seeds []string
	// Changed is called with the sum of the others' use of a server.
	Changed func(server string, others []Usage)
	// Waiting is called with the arrivals of the others' waiting requests of a
	// pool.
	Waiting func(pool string, arrivals []time.Time)
}

// Share is one entry's part. It is safe for concurrent use.
type Share struct {
	options Options
	conn    Conn
	log     log.Logger
	boot    int64
	started time.Time
	wake    chan struct{}

	mu    sync.Mutex // guards the fields below
	seeds []string
	seq   uint64
	own   map[string]Usage
	dirty map[string]bool
	// waits are the arrivals of this entry's waiting requests, by pool.
	waits      map[string][]time.Time
	dirtyWaits map[string]bool
	peers      map[string]*peer
	// unmet are the peers that this entry has learnt of and told nothing yet.
	unmet map[string]bool
	// assumed is set while most was assumed.
	assumed bool
	// most is the largest number of entries that lived at once lately.
	most      int
	mostUntil time.Time
}

// New returns a share that sends nothing yet.
func New(conn Conn, o Options, logger log.Logger) *Share {
	return &Share{
		options: o, conn: conn, log: logger, boot: time.Now().UnixMilli(), started: time.Now(), wake: make(chan struct{}, 1),
		seeds: o.Seeds, own: map[string]Usage{}, dirty: map[string]bool{}, peers: map[string]*peer{},
		waits: map[string][]time.Time{}, dirtyWaits: map[string]bool{}, unmet: map[string]bool{},
	}
}

// Seeds replaces the addresses that are written to until they answer.
func (s *Share) Seeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Use stores this entry's present use of a server and tells the others soon.
func (s *Share) Use(server string, u Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.empty() {
		delete(s.own, server)
	} else {
		s.own[server] = u
	}
	s.dirty[server] = true
	s.signal()
}

func (s *Share) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Wait stores the arrivals of this entry's waiting requests of a pool and tells
// the others soon.
func (s *Share) Wait(pool string, arrivals []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits[pool] = arrivals
	s.dirtyWaits[pool] = true
	s.signal()
}

// maxWaits bounds the waiting requests of a pool that one message tells.
const maxWaits = 32

// agesLocked returns the ages of the waiting requests of some pools.
func (s *Share) agesLocked(pools map[string]bool, now time.Time) map[string][]int64 {
	out := map[string][]int64{}
	for pool := range pools {
		ages := []int64{}
		for _, t := range s.waits[pool][:min(len(s.waits[pool]), maxWaits)] {
			ages = append(ages, now.Sub(t).Milliseconds())
		}
		out[pool] = ages
	}
	return out
}

// Until the others are found, many are assumed, since a process that starts again
// would otherwise take the budget of all.
const (
	findTime       = 2 * time.Second
	assumedEntries = 32
)

// entriesMemory is the time for which entries that fell silent still count in
// Entries, since they may live behind a partition.
const entriesMemory = 15 * time.Second

// Entries returns the number of entries that lived at once lately, this one
// included.
func (s *Share) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entriesLocked(time.Now())
}

func (s *Share) entriesLocked(now time.Time) int {
	n := 1
	assumed := now.Sub(s.started) < findTime
	if assumed {
		n = assumedEntries
	}
	for _, p := range s.peers {
		if p.lives(now) {
			n++
		}
	}
	if n >= s.most || now.After(s.mostUntil) || s.assumed {
		s.most, s.mostUntil = n, now.Add(entriesMemory)
	}
	s.assumed = assumed
	return s.most
}

// Peers returns the addresses of the peers that live.
func (s *Share) Peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	now := time.Now()
	for addr, p := range s.peers {
		if p.lives(now) {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// Run sends and receives until ctx ends, and then tells the others that this
// entry leaves.
func (s *Share) Run(ctx context.Context) {
	go s.receive(ctx)
	full := time.NewTicker(fullEvery)
	defer full.Stop()
	s.sendFull(false)
	for {
		select {
		case <-ctx.Done():
			s.sendFull(true)
			_ = s.conn.Close() // nothing is sent any more
			return
		case <-full.C:
			s.expire(time.Now())
			s.sendFull(false)
		case <-s.wake:
			time.Sleep(gather)
			s.greet()
			s.sendChanges()
		}
	}
}

// sendFull tells all of this entry's use to all peers and seeds.
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

// greet tells all to those that this entry has just learnt of, which may not know
// it yet: one that starts must not take the servers for idle until the next full
// message.
func (s *Share) greet() {
	s.mu.Lock()
	to := s.unmet
	s.unmet = map[string]bool{}
	if len(to) == 0 {
		s.mu.Unlock()
		return
	}
	m := s.fullLocked(time.Now())
	s.mu.Unlock()
	s.send(m, to)
}

// fullLocked returns a message with all of this entry's use.
func (s *Share) fullLocked(now time.Time) *message {
	s.seq++
	m := &message{Boot: s.boot, Seq: s.seq, Full: true, Uses: map[string]Usage{}}
	for addr, p := range s.peers {
		if p.lives(now) {
			m.Members = append(m.Members, addr)
		}
	}
	for server, u := range s.own {
		if u = u.at(now); u.empty() {
			delete(s.own, server) // all that was told of it is over
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
	m := &message{Boot: s.boot, Seq: s.seq, Uses: map[string]Usage{}}
	for server := range s.dirty {
		m.Uses[server] = s.own[server].at(now)
	}
	m.Waits = s.agesLocked(s.dirtyWaits, now)
	s.dirty, s.dirtyWaits = map[string]bool{}, map[string]bool{}
	to := map[string]bool{}
	for addr, p := range s.peers {
		if p.lives(now) {
			to[addr] = true
		}
	}
	s.mu.Unlock()
	s.send(m, to)
}

// send writes a message to some peers, one datagram each. A loss is repaired by
// the next full message.
func (s *Share) send(m *message, to map[string]bool) {
	b, err := encode(m)
	if err == nil && len(b) > maxDatagram {
		err = errors.Errorf("a message of %d bytes is over the bound", len(b))
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
			time.Sleep(gather)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			_ = level.Warn(s.log).Log("msg", "load message not readable", "peer", from.String(), "err", err)
			continue
		}
		s.take(from.String(), m, time.Now())
	}
}

// take applies a message of a peer.
func (s *Share) take(from string, m *message, now time.Time) {
	s.mu.Lock()
	p, ok := s.peers[from]
	if !ok {
		p = newPeer(m.Boot)
		s.peers[from] = p
	}
	if ok && p.former(m, now) {
		s.mu.Unlock()
		return
	}
	known := ok && p.boot == m.Boot && p.lives(now)
	changed := p.take(m, now)
	queues := p.takeWaits(m, now)
	if m.Leaving {
		changed = s.dropLocked(from)
	}
	for _, addr := range m.Members {
		if _, ok := s.peers[addr]; !ok && addr != s.options.Self {
			s.peers[addr] = newPeer(0)
			s.peers[addr].heard = now.Add(-silence)
			s.unmet[addr] = true
		}
	}
	if !known && !m.Leaving {
		s.unmet[from] = true
	}
	if len(s.unmet) > 0 {
		s.signal()
	}
	entries := s.entriesLocked(now)
	s.mu.Unlock()
	if !known && !m.Leaving {
		_ = level.Info(s.log).Log("msg", "peer found", "peer", from, "entries", entries)
	}
	s.report(changed)
	if queues || m.Leaving {
		s.reportWaits()
	}
}

// reportWaits passes on which requests wait at the others.
func (s *Share) reportWaits() {
	all := map[string][]time.Time{}
	s.mu.Lock()
	for _, p := range s.peers {
		for pool, list := range p.waits {
			all[pool] = append(all[pool], list...)
		}
	}
	s.mu.Unlock()
	for pool, list := range all {
		s.options.Waiting(pool, list)
	}
}

func (s *Share) dropLocked(addr string) []string {
	var changed []string
	for server := range s.peers[addr].uses {
		changed = append(changed, server)
	}
	delete(s.peers, addr)
	return changed
}

// expire drops what silent peers told.
func (s *Share) expire(now time.Time) {
	var changed []string
	s.mu.Lock()
	for addr, p := range s.peers {
		quiet := now.Sub(p.heard)
		if quiet > silence && len(p.uses)+len(p.waits) > 0 {
			_ = level.Info(s.log).Log("msg", "peer lost", "peer", addr, "silent_ms", quiet.Milliseconds())
			for server := range p.uses {
				changed = append(changed, server)
			}
			clear(p.uses)
			clear(p.seqs)
			for pool := range p.waits {
				p.waits[pool] = nil
			}
		}
		if quiet > forget {
			delete(s.peers, addr)
		}
	}
	s.mu.Unlock()
	s.report(changed)
	s.reportWaits()
}

// report passes on what the others have in use at some servers.
func (s *Share) report(servers []string) {
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
