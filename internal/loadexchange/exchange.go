// Package loadexchange exchanges, among the entries of one region, what each of them
// uses of the backend servers. Load reports of servers lag by most of a second, in
// which all entries would choose the same server; the entries' own counts are
// current. Each entry sends its use of a server to its peers when it changes, and
// its use of all servers once a second, which repairs lost datagrams. The use of a
// peer that has sent nothing within peerTimeout is discarded.
package loadexchange

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/quota"
)

// Intervals, timeouts and size limits.
const (
	// fullInterval is the interval of full messages, which also serve as heartbeats.
	fullInterval = time.Second
	// completeEvery is the number of full messages of which one is complete: it also has
	// what changes rarely, the sender's peers and the speeds of servers.
	completeEvery = 5
	// peersPerSecond is the number of peers up to which full messages have that interval.
	// With more, it grows in proportion, so that the datagrams a second do not: the share
	// of the load that the message of one peer reports falls as well.
	peersPerSecond = 100
	// peerTimeout is the time without a message after which a peer's load is discarded:
	// two and a half of the shortest heartbeat intervals, so that two lost datagrams are
	// tolerated. It grows with the interval.
	peerTimeout = 2500 * time.Millisecond
	// maxMembers is the number of peers that a complete message lists, so that peers are
	// found in the end that have missed each other's first messages.
	maxMembers = 8
	// maxMembersToNew is the number of peers that the message of a seed to a new peer
	// lists at most; their addresses take less than half of a datagram.
	maxMembersToNew = 180
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

// Options configure an exchange.
type Options struct {
	// Self is the address at which the peers reach this entry.
	Self string
	// Seeds are addresses of some entries; they may be stale.
	Seeds []string
	// OnRegistry, if not nil, is called with the newest state of the registry that a peer
	// has read in which servers changed.
	OnRegistry func(at directory.Version)
	// OnConfig, if not nil, is called with the text of a configuration newer than the own
	// one that a peer has, and the state of the registry in which it was written.
	OnConfig func(text []byte, at directory.Version)
	// Capacity is the bandwidth of this entry's link; the unit is that of the peers.
	Capacity float64
	// Registry, if not nil, is the entry's knowledge of the registry, of which the entries
	// exchange the age.
	Registry Registry
	// Quotas, if not nil, are the quotas of organisations, whose use the entries report to each
	// other their use.
	Quotas *quota.Table
}

// Handler receives what the peers report.
type Handler interface {
	// SetRemoteUsage is called with the use of a server by each of the peers that use it.
	SetRemoteUsage(server string, others []Usage)
	// SetRemoteWaiting is called with the requests that wait for a pool at the peers.
	SetRemoteWaiting(pool string, waiting []Waiting)
	// SetRemoteSpeeds is called with what the peers have observed of the speeds of a service.
	SetRemoteSpeeds(service string, others []predict.SpeedSums)
	// SetRemoteServerSpeeds is called with what the peers have observed of the speed of a
	// server, and ServerSpeeds returns what this entry has observed of some servers, or of all
	// if none is named.
	SetRemoteServerSpeeds(server string, others []ServerSpeeds)
	ServerSpeeds(servers []string) map[string]ServerSpeeds
	// SetRemoteOrigins is called with streams that have one origin.
	SetRemoteOrigins(o origin.Origin, streams []origin.Key)
	// Origin returns what began a stream, if this entry has it recorded.
	Origin(stream origin.Key) (o origin.Origin, ok bool)
	// KeeperRestarted is called when a keeper has started again and remembers nothing.
	KeeperRestarted(addr string)
	// PeerFound is called when a peer was found, has started again or was silent: it lacks what was
	// reported before.
	PeerFound(addr string)
	// AddRemoteEnd is called with a server that ended without a plan, and AddRemoteSurvived
	// with a cause of which servers have survived a request since.
	AddRemoteEnd(e blame.End)
	AddRemoteSurvived(cause blame.Key, at time.Time)
	// Evidence returns all recorded ends of servers, and when servers last survived requests
	// with the causes of these.
	Evidence() ([]blame.End, map[blame.Key]time.Time)
}

// Exchange sends the load of one entry to its peers and receives theirs. It is safe
// for concurrent use.
type Exchange struct {
	options     Options
	handler     Handler
	conn        Conn
	log         log.Logger
	incarnation int64 // see message
	started     time.Time
	// flush requests that the changes be sent.
	flush chan struct{}

	mu    sync.Mutex // guards the fields below
	seeds []string
	seq   uint64
	// fulls is the number of regular full messages so far.
	fulls int
	// localUse is this entry's use, by server; dirty are the servers whose use has
	// changed since it was sent.
	localUse map[string]Usage
	dirty    map[string]bool
	// waits are this entry's waiting requests, by pool; dirtyWaits
	// are the pools for which they have changed since they were sent.
	waits      map[string][]Waiting
	dirtyWaits map[string]bool
	// speeds are this entry's observations, by service; dirtySpeeds are the services for
	// which they are to be sent before the next full message, and sentSpeeds the weights
	// that were last sent.
	speeds      map[string]predict.SpeedSums
	dirtySpeeds map[string]bool
	sentSpeeds  map[string]float64
	// dirtyQuotas is set if the use of quotas is to be sent before the next full message.
	dirtyQuotas bool
	// returned are peers that were silent and have not been sent what they missed of quotas.
	returned map[string]bool
	// lastSent is the time of the last message to all live peers.
	lastSent time.Time
	// dirtyServers are the servers for which this entry's observations of the speed are to be
	// sent at once.
	dirtyServers map[string]bool
	// lastServer is the last server of the last message of this entry's observations, and
	// updatedServers are those of which peers have sent some that were not passed on yet.
	lastServer     string
	updatedServers map[string]bool
	// remotePools are the pools for which a peer has ever reported waiting requests.
	remotePools map[string]bool
	// registry is the newest state of the registry that this entry has read in which servers
	// changed. All configurations are known up to configRead.
	registry, configRead directory.Version
	configs              configs
	peers                map[string]*peer // by address
	// keepers are the keepers that have answered, by address.
	keepers map[string]keeperState
	// orders are the orders of this entry that wait for an answer, by ID.
	orders map[uint64]chan *orderPart
	// newEvidence is what was not yet reported of servers that ended, and sentEvidence what
	// is reported once more.
	newEvidence, sentEvidence evidence
	// evidenceKeepers are the addresses of the keepers of the evidence.
	evidenceKeepers []string
	// freshnessAsked are the times at which peers were asked for the age of their knowledge,
	// on the registry's clock, by nonce.
	freshnessAsked map[uint64]time.Duration
	// newPeers are discovered peers to which no full message was sent yet.
	newPeers map[string]bool
	// assumed is set if the last count of entries was made within discoveryTime of
	// the start.
	assumed bool
	// maxEntries is the largest number of entries alive at once within
	// entriesHoldTime; it is valid until maxEntriesUntil.
	maxEntries      int
	maxEntriesUntil time.Time
}

// SetHandler sets the receiver of what the peers report. It must be called before Run.
func (x *Exchange) SetHandler(h Handler) { x.handler = h }

// New returns an exchange that sends nothing until Run is called. It needs a handler then.
func New(conn Conn, o Options, logger log.Logger) *Exchange {
	return &Exchange{
		options: o, conn: conn, log: logger, incarnation: time.Now().UnixMilli(), started: time.Now(), flush: make(chan struct{}, 1),
		seeds: o.Seeds, localUse: map[string]Usage{}, dirty: map[string]bool{}, peers: map[string]*peer{},
		remotePools: map[string]bool{}, waits: map[string][]Waiting{}, dirtyWaits: map[string]bool{}, newPeers: map[string]bool{}, keepers: map[string]keeperState{}, orders: map[uint64]chan *orderPart{},
		speeds: map[string]predict.SpeedSums{}, dirtySpeeds: map[string]bool{}, sentSpeeds: map[string]float64{},
		dirtyServers: map[string]bool{}, updatedServers: map[string]bool{},
		freshnessAsked: map[uint64]time.Duration{},
	}
}

// SetSeeds replaces the seed addresses, to which all full messages are sent.
func (x *Exchange) SetSeeds(seeds []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.seeds = seeds
}

// PublishUsage sets this entry's present use of a server. It is sent to the peers at
// once if it is urgent, and else with the next full message.
func (x *Exchange) PublishUsage(server string, u Usage, urgent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if u.empty() {
		delete(x.localUse, server)
	} else {
		x.localUse[server] = u
	}
	if urgent {
		x.dirty[server] = true
		x.requestFlush()
	}
}

func (x *Exchange) requestFlush() {
	select {
	case x.flush <- struct{}{}:
	default:
	}
}

// PublishWaiting sets this entry's requests that wait for a pool and schedules a message
// to the peers.
func (x *Exchange) PublishWaiting(pool string, waiting []Waiting) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.waits[pool] = waiting
	x.dirtyWaits[pool] = true
	x.requestFlush()
}

// speedsGrowth is the growth of the weight of observations from which they are sent at
// once: the first ones replace assumptions.
const speedsGrowth = 2

// PublishSpeeds sets what this entry has observed of the speeds of a service. It is sent
// with the next full message, or at once if it has grown much.
func (x *Exchange) PublishSpeeds(service string, s predict.SpeedSums) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.speeds[service] = s
	if s.Weight() >= speedsGrowth*x.sentSpeeds[service] {
		x.dirtySpeeds[service] = true
		x.requestFlush()
	}
}

// SetRegistry sets the newest state of the registry that this entry has read in which servers
// changed, which is sent with the next full message, and that up to which it knows all
// configurations.
func (x *Exchange) SetRegistry(servers, configRead directory.Version) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.registry, x.configRead = servers, configRead
}

// speedsLocked returns this entry's observations of some services and records that they
// are sent.
func (x *Exchange) speedsLocked(services map[string]bool) map[string]predict.SpeedSums {
	out := map[string]predict.SpeedSums{}
	for service := range services {
		out[service] = x.speeds[service]
		x.sentSpeeds[service] = out[service].Weight()
	}
	return out
}

// maxWaitsPerPool is the maximum number of waiting requests of a pool in one message.
const maxWaitsPerPool = 32

// waitingLocked returns the waiting requests of some pools with their ages.
func (x *Exchange) waitingLocked(pools map[string]bool, now time.Time) map[string][]Waiting {
	out := map[string][]Waiting{}
	for pool := range pools {
		waiting := []Waiting{}
		for _, w := range x.waits[pool][:min(len(x.waits[pool]), maxWaitsPerPool)] {
			w.Age = now.Sub(w.Arrived).Milliseconds()
			waiting = append(waiting, w)
		}
		out[pool] = waiting
	}
	return out
}

// Within discoveryTime of its start an entry counts assumedEntries plus the peers that
// it has found. The slack of the retry budget is divided by that count, and an entry
// that restarts would otherwise use all of it before it has found its peers.
const (
	discoveryTime  = 2 * time.Second
	assumedEntries = 32
)

// entriesHoldTime is the time for which Entries still counts entries that timed out,
// since they may be alive on the other side of a network partition.
const entriesHoldTime = 15 * time.Second

// Entries returns the largest number of entries, including this one, that were
// alive at once within entriesHoldTime.
func (x *Exchange) Entries() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.entriesLocked(time.Now())
}

func (x *Exchange) entriesLocked(now time.Time) int {
	n := 1
	assumed := now.Sub(x.started) < discoveryTime
	if assumed {
		n = assumedEntries
	}
	for _, p := range x.peers {
		if p.alive(now, x.timeoutLocked()) {
			n++
		}
	}
	if n >= x.maxEntries || now.After(x.maxEntriesUntil) || x.assumed {
		x.maxEntries, x.maxEntriesUntil = n, now.Add(entriesHoldTime)
	}
	x.assumed = assumed
	return x.maxEntries
}

// activeTime is the time after a message that reported a use for which a peer counts as
// one that serves callers.
const activeTime = 5 * time.Second

// Rank returns the position of this entry among those that serve callers, in an order that
// differs from key to key and that all entries share (rendezvous hashing: Thaler and
// Ravishankar, 1998), and their number. This entry is taken to be one of them.
func (x *Exchange) Rank(key string) (rank, entries int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	entries = 1
	if now.Sub(x.started) < discoveryTime {
		entries = assumedEntries
	}
	own := rendezvousWeight(key, x.options.Self)
	for addr, p := range x.peers {
		if !p.alive(now, x.timeoutLocked()) || now.Sub(p.lastActive) >= activeTime {
			continue
		}
		entries++
		if rendezvousWeight(key, addr) > own {
			rank++
		}
	}
	return rank, entries
}

// Leads reports whether this entry comes first of all that are alive, in an order that they share.
// After a start it does not before the others are known.
func (x *Exchange) Leads() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if now.Sub(x.started) < discoveryTime {
		return false
	}
	entries := x.livePeersLocked(now)
	entries[x.options.Self] = true
	return highestWeights("lead", entries, 1)[0] == x.options.Self
}

func rendezvousWeight(key, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + " " + addr)) // never fails
	return h.Sum64()
}

// highestWeights returns up to n entries in the order of their rendezvous weights for a key,
// the highest first.
func highestWeights(key string, entries map[string]bool, n int) []string {
	weights := make(map[string]uint64, len(entries))
	for addr := range entries {
		weights[addr] = rendezvousWeight(key, addr)
	}
	out := slices.SortedFunc(maps.Keys(weights), func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	return out[:min(n, len(out))]
}

// ReportDelay is the usual age of a use that is sent at once when it is received: it waits for
// others for batchDelay, and then takes the latency between entries, which is about as long.
const ReportDelay = 2 * batchDelay

// UsageAge returns the mean age of what is known of the uses of the peers that are sent with
// full messages only; 0 without peers.
func (x *Exchange) UsageAge() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	now, sum, peers := time.Now(), time.Duration(0), time.Duration(0)
	for _, p := range x.peers {
		if !p.alive(now, x.timeoutLocked()) {
			continue
		}
		age := x.timeoutLocked() // of a peer of which only changes were received yet
		if !p.lastFull.IsZero() {
			age = min(age, now.Sub(p.lastFull))
		}
		sum += age
		peers++
	}
	if peers == 0 {
		return 0
	}
	return sum/peers + ReportDelay
}

// Peers returns the sorted addresses of the peers that are alive.
func (x *Exchange) Peers() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Sorted(maps.Keys(x.livePeersLocked(time.Now())))
}

// Alive returns the number of peers that are alive.
func (x *Exchange) Alive() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.livePeersLocked(time.Now()))
}

// livePeersLocked returns the addresses of the peers that are alive.
func (x *Exchange) livePeersLocked(now time.Time) map[string]bool {
	out := map[string]bool{}
	for addr, p := range x.peers {
		if p.alive(now, x.timeoutLocked()) {
			out[addr] = true
		}
	}
	return out
}

// Run sends and receives until ctx ends, and then notifies the peers that this entry
// leaves.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive(ctx)
	full := time.NewTimer(fullInterval)
	defer full.Stop()
	x.sendFull(false)
	tick := time.NewTimer(x.tick(time.Now()))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			x.sendFull(true)
			_ = x.conn.Close() // nothing is sent after the last message
			return
		case <-full.C:
			x.expire(time.Now())
			x.notifyUpdatedServerSpeeds(time.Now())
			x.sendFull(false)
			x.sendEvidence(true)
			full.Reset(x.fullInterval())
		case <-tick.C:
			tick.Reset(x.tick(time.Now()))
		case <-x.flush:
			time.Sleep(batchDelay)
			x.sendToNewPeers()
			x.sendChanges()
			x.sendChangedServerSpeeds()
			x.sendQuotasToReturned()
			x.sendEvidence(false)
			x.announceConfig()
		}
	}
}

// sendFull sends a full message to all peers and seeds.
func (x *Exchange) sendFull(leaving bool) {
	x.mu.Lock()
	complete, members := x.fulls%completeEvery == 0, 0
	if complete {
		members = maxMembers
	}
	m := x.fullLocked(time.Now(), complete, members)
	x.fulls++
	m.Leaving = leaving
	var more []*message
	if x.options.Quotas != nil {
		more = x.addQuotasLocked(m, x.options.Quotas.Recent(time.Now()))
	}
	x.dirtyQuotas, x.lastSent = false, time.Now()
	to := map[string]bool{}
	for _, seed := range x.seeds {
		to[seed] = true
	}
	for addr := range x.peers {
		to[addr] = true
	}
	x.dirty, x.dirtyWaits = map[string]bool{}, map[string]bool{}
	if complete {
		x.dirtySpeeds = map[string]bool{}
	}
	x.mu.Unlock()
	delete(to, x.options.Self)
	x.sendEach(append(more, m), to)
	if complete && !leaving {
		x.sendNextServerSpeeds()
	}
}

// sendToNewPeers sends a full message to the peers that were just discovered and may
// not have discovered this entry yet. An entry that has just started would otherwise
// treat the servers as idle until the next regular full message.
func (x *Exchange) sendToNewPeers() {
	x.mu.Lock()
	to := x.newPeers
	x.newPeers = map[string]bool{}
	if len(to) == 0 {
		x.mu.Unlock()
		return
	}
	members := maxMembers
	if slices.Contains(x.seeds, x.options.Self) {
		members = maxMembersToNew // those who start ask the seeds
	}
	m := x.fullLocked(time.Now(), true, members)
	x.mu.Unlock()
	x.send(m, to)
	x.sendQuotasTo(to)
	x.sendServerSpeeds(nil, to)
	x.sendAllEvidence(to)
}

// fullLocked returns a full message, complete or not, that lists up to a number of peers.
// It removes the uses that have ended.
func (x *Exchange) fullLocked(now time.Time, complete bool, members int) *message {
	x.seq++
	m := &message{Incarnation: x.incarnation, Seq: x.seq, Full: true, Uses: map[string]Usage{}}
	m.RegistryEra, m.RegistryRevision = x.registry.Era, x.registry.Revision
	x.addConfigLocked(m)
	m.Capacity = x.options.Capacity
	for addr, p := range x.peers {
		if len(m.Members) < members && p.alive(now, x.timeoutLocked()) {
			m.Members = append(m.Members, addr)
		}
	}
	for server, u := range x.localUse {
		if u = u.withAges(now); u.empty() {
			delete(x.localUse, server) // all of the use has ended
			continue
		}
		m.Uses[server] = u
	}
	all := map[string]bool{}
	for pool := range x.waits {
		all[pool] = true
	}
	m.Waits = x.waitingLocked(all, now)
	if complete {
		services := map[string]bool{}
		for service := range x.speeds {
			services[service] = true
		}
		m.Speeds = x.speedsLocked(services)
	}
	return m
}

// sendChanges sends what has changed since the last message to the live peers.
func (x *Exchange) sendChanges() {
	x.mu.Lock()
	if len(x.dirty)+len(x.dirtyWaits)+len(x.dirtySpeeds) == 0 && !x.dirtyQuotas {
		x.mu.Unlock()
		return
	}
	x.seq++
	now := time.Now()
	m := &message{Incarnation: x.incarnation, Seq: x.seq, Uses: map[string]Usage{}}
	for server := range x.dirty {
		m.Uses[server] = x.localUse[server].withAges(now)
	}
	m.Waits, m.Speeds = x.waitingLocked(x.dirtyWaits, now), x.speedsLocked(x.dirtySpeeds)
	x.dirty, x.dirtyWaits, x.dirtySpeeds = map[string]bool{}, map[string]bool{}, map[string]bool{}
	more := x.addQuotasLocked(m, x.quotaNewsLocked())
	x.lastSent = now
	to := x.livePeersLocked(now)
	x.mu.Unlock()
	x.sendEach(append(more, m), to)
}

// send sends a message to some peers, one datagram each. The next full message
// repairs a loss.
func (x *Exchange) send(m *message, to map[string]bool) {
	b, err := encode(m)
	if err == nil && len(b) > maxDatagram {
		err = errors.Errorf("a message of %d bytes exceeds the datagram limit", len(b))
	}
	if err != nil {
		_ = level.Error(x.log).Log("msg", "load not shared", "err", err)
		return
	}
	for addr := range to {
		x.write(b, addr)
	}
}

// write sends one datagram.
func (x *Exchange) write(b []byte, addr string) {
	to, err := netip.ParseAddrPort(addr) // names are not resolved, which would block the exchange
	if err != nil {
		_ = level.Warn(x.log).Log("msg", "peer has no usable address", "peer", addr, "err", err)
		return
	}
	if _, err := x.conn.WriteTo(b, net.UDPAddrFromAddrPort(to)); err != nil {
		_ = level.Debug(x.log).Log("msg", "load not shared", "peer", addr, "err", err)
	}
}

// fullInterval returns the interval of this entry's full messages.
func (x *Exchange) fullInterval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.scaledLocked(fullInterval)
}

// timeoutLocked returns the time without a message after which a peer's load is discarded.
func (x *Exchange) timeoutLocked() time.Duration { return x.scaledLocked(peerTimeout) }

// scaledLocked returns an interval or a timeout for the present number of peers.
func (x *Exchange) scaledLocked(d time.Duration) time.Duration {
	return d * time.Duration(max(peersPerSecond, len(x.peers))) / peersPerSecond
}

func (x *Exchange) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := x.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			_ = level.Warn(x.log).Log("msg", "no load received", "err", err)
			time.Sleep(batchDelay)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			_ = level.Warn(x.log).Log("msg", "load message not readable", "peer", from.String(), "err", err)
			continue
		}
		x.apply(from.String(), m, time.Now())
	}
}

// apply records a message of a peer, adds the peers that it lists, and passes on
// what it reports.
func (x *Exchange) apply(from string, m *message, now time.Time) {
	if m.Keeper {
		x.applyKeeper(from, m, now)
		return
	}
	x.mu.Lock()
	p, ok := x.peers[from]
	if !ok {
		p = newPeer(m.Incarnation)
		x.peers[from] = p
	}
	if ok && p.fromOldIncarnation(m, now, x.timeoutLocked()) {
		x.mu.Unlock()
		return
	}
	known := ok && p.incarnation == m.Incarnation && p.alive(now, x.timeoutLocked())
	changed := p.apply(m, now, x.timeoutLocked())
	waitsChanged := p.applyWaits(m, now)
	for pool := range m.Waits {
		x.remotePools[pool] = true
	}
	for service, s := range m.Speeds {
		p.speeds[service] = s
	}
	if m.Leaving {
		changed = x.removePeerLocked(from)
	}
	for _, addr := range m.Members {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			continue // not an address of an entry
		}
		if _, ok := x.peers[addr]; !ok && addr != x.options.Self {
			x.peers[addr] = newPeer(0)
			x.peers[addr].lastReceived = now.Add(-x.timeoutLocked())
			x.newPeers[addr] = true
		}
	}
	if !known && !m.Leaving {
		x.newPeers[from] = true
	}
	if len(x.newPeers) > 0 {
		x.requestFlush()
	}
	entries := x.entriesLocked(now)
	x.mu.Unlock()
	if !known && !m.Leaving {
		_ = level.Info(x.log).Log("msg", "peer found", "peer", from, "entries", entries)
		x.handler.PeerFound(from)
	}
	x.notifyUsage(changed)
	if waitsChanged || m.Leaving {
		x.notifyWaits()
	}
	if len(m.Speeds) > 0 {
		x.notifySpeeds()
	}
	x.applyServerSpeeds(from, m, now)
	for _, o := range m.Origins {
		x.handler.SetRemoteOrigins(o.origin(), o.Streams)
	}
	x.answerOrigins(from, m.AskedOrigins)
	x.applyQuotas(from, m, now)
	x.applyEvidence(m, now)
	x.exchangeConfigs(from, m, now)
	x.exchangeFreshness(from, m.Freshness)
	if m.RegistryRevision > 0 && x.options.OnRegistry != nil {
		x.options.OnRegistry(directory.Version{Era: m.RegistryEra, Revision: m.RegistryRevision})
	}
}

// notifySpeeds calls SetRemoteSpeeds for each service that a peer has reported. The
// observations of a peer that timed out still count, since they are about servers.
func (x *Exchange) notifySpeeds() {
	all := map[string][]predict.SpeedSums{}
	x.mu.Lock()
	for _, p := range x.peers {
		for service, s := range p.speeds {
			all[service] = append(all[service], s)
		}
	}
	x.mu.Unlock()
	for service, others := range all {
		x.handler.SetRemoteSpeeds(service, others)
	}
}

// notifyWaits calls SetRemoteWaiting for each pool that a peer has ever reported, with the
// requests that wait at all peers.
func (x *Exchange) notifyWaits() {
	all := map[string][]Waiting{}
	x.mu.Lock()
	for pool := range x.remotePools {
		all[pool] = nil
	}
	for _, p := range x.peers {
		for pool, list := range p.waits {
			all[pool] = append(all[pool], list...)
		}
	}
	x.mu.Unlock()
	for pool, waiting := range all {
		x.handler.SetRemoteWaiting(pool, waiting)
	}
}

// removePeerLocked removes a peer and returns the servers that it used.
func (x *Exchange) removePeerLocked(addr string) []string {
	var changed []string
	for server := range x.peers[addr].uses {
		changed = append(changed, server)
	}
	delete(x.peers, addr)
	return changed
}

// expire discards the load of the peers that timed out and removes those that have
// sent nothing within peerRemovalTimeout.
func (x *Exchange) expire(now time.Time) {
	var changed []string
	x.mu.Lock()
	x.expireKeepersLocked(now)
	timeout := x.timeoutLocked()
	for addr, p := range x.peers {
		idle := now.Sub(p.lastReceived)
		if idle > timeout && len(p.uses)+len(p.waits) > 0 {
			_ = level.Info(x.log).Log("msg", "peer lost", "peer", addr, "silent_ms", idle.Milliseconds())
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
			delete(x.peers, addr)
		}
	}
	x.mu.Unlock()
	x.notifyUsage(changed)
	x.notifyWaits()
}

// notifyUsage calls SetRemoteUsage for some servers.
func (x *Exchange) notifyUsage(servers []string) {
	for _, server := range servers {
		var all []Usage
		x.mu.Lock()
		for _, p := range x.peers {
			if u, ok := p.uses[server]; ok && !u.empty() {
				all = append(all, u)
			}
		}
		x.mu.Unlock()
		x.handler.SetRemoteUsage(server, all)
	}
}
