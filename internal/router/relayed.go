package router

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/origin"
)

// relayedStream is a resumable stream that this entry relays.
type relayedStream struct {
	origin.Stream
	origin origin.Origin
	// keepers are the addresses of those that were told of it.
	keepers []string
	// calls is the number of calls that relay it: a caller may take it up here before the end
	// of its former call is noticed.
	calls int
}

// relayed are the resumable streams that this entry relays. It is safe for concurrent use.
type relayed struct {
	mu      sync.Mutex                   // guards streams
	streams map[origin.Key]relayedStream // by ID
}

func newRelayed() *relayed { return &relayed{streams: map[origin.Key]relayedStream{}} }

func (l *relayed) begin(s relayedStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.calls = l.streams[s.ID].calls + 1
	l.streams[s.ID] = s
}

// end ends one of the calls that relay a stream.
func (l *relayed) end(k origin.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[k]
	s.calls--
	if s.calls <= 0 {
		delete(l.streams, k)
		return
	}
	l.streams[k] = s
}

// endRelayed removes the stream of a call that ends from those that this entry relays.
func (x *exchange) endRelayed() {
	if x.relayed {
		x.router.relayed.end(x.stream().ID)
	}
}

// count returns the number of streams that something began.
func (l *relayed) count(o origin.Origin) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.streams {
		if s.origin == o {
			n++
		}
	}
	return n
}

func (l *relayed) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

func (l *relayed) all() map[origin.Key]relayedStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.streams)
}

// byOrigin are the keys of streams, by what began them.
type byOrigin map[origin.Origin][]origin.Key

func (b byOrigin) add(s relayedStream) { b[s.origin] = append(b[s.origin], s.ID, s.Content) }

// byKeeper returns the streams of which each keeper was told.
func (l *relayed) byKeeper() map[string]byOrigin {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]byOrigin{}
	for _, s := range l.streams {
		for _, addr := range s.keepers {
			if out[addr] == nil {
				out[addr] = byOrigin{}
			}
			out[addr].add(s)
		}
	}
	return out
}

// byOrigin returns all streams.
func (l *relayed) byOrigin() byOrigin {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := byOrigin{}
	for _, s := range l.streams {
		out.add(s)
	}
	return out
}

// reassign replaces the keepers of all streams, and returns for each new one the streams by
// origin.
func (l *relayed) reassign(keepersOf func(s relayedStream) []string) map[string]byOrigin {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]byOrigin{}
	for k, s := range l.streams {
		former := s.keepers
		s.keepers = keepersOf(s)
		l.streams[k] = s
		for _, addr := range s.keepers {
			if slices.Contains(former, addr) {
				continue
			}
			if out[addr] == nil {
				out[addr] = byOrigin{}
			}
			out[addr].add(s)
		}
	}
	return out
}

// evidenceKey selects the keepers of what is known of servers that ended: the same for all
// entries.
var evidenceKey = origin.KeyOf("evidence")

// tellNewKeepers tells keepers of what has become theirs with a change of the servers.
func (r *Router) tellNewKeepers() {
	if r.options.Peers == nil {
		return
	}
	all := slices.Concat(r.fleet.allKeepers()...)
	if slices.Equal(all, r.lastKeepers) {
		return
	}
	r.lastKeepers = all
	r.options.Peers.SetEvidenceKeepers(origin.KeepersOf(evidenceKey, "", all))
	news := r.relayed.reassign(func(s relayedStream) []string {
		return origin.KeepersOf(s.Content, s.origin.Software, r.fleet.keepers(s.origin.Service))
	})
	for addr, streams := range news {
		r.options.Peers.TellKeeper(addr, streams)
	}
}

// refreshRelayed records the streams that this entry relays again, here and elsewhere.
func (r *Router) refreshRelayed() {
	for _, s := range r.relayed.all() {
		r.putOrigin(s.Stream, s.origin)
		if r.options.Peers != nil {
			r.options.Peers.TellOrigin(s.Stream, s.origin, s.keepers)
		}
	}
}

// KeeperRestarted tells a keeper that has started again of the streams that it kept.
func (r *Router) KeeperRestarted(addr string) {
	if streams := r.relayed.byKeeper()[addr]; len(streams) > 0 {
		r.options.Peers.TellKeeper(addr, streams)
	}
}

// PeerFound tells a peer, which may have started again, of the streams that this entry relays.
func (r *Router) PeerFound(addr string) {
	if streams := r.relayed.byOrigin(); len(streams) > 0 {
		r.options.Peers.TellPeer(addr, streams)
	}
}

// keeperSilence is the time without a message of a keeper after which it is told again of its
// streams. It may have started again: others report to it often enough to notice that only where
// new streams begin.
const keeperSilence = 2 * time.Second

// tellSilentKeepers tells the keepers again that have not been heard of lately.
func (r *Router) tellSilentKeepers() {
	if r.options.Peers == nil {
		return
	}
	for addr, streams := range r.relayed.byKeeper() {
		if time.Since(r.options.Peers.KeeperHeard(addr)) >= keeperSilence {
			r.options.Peers.TellKeeper(addr, streams)
		}
	}
}

// HandOver tells the other processes of the streams that this entry relays and is about to break
// off. Those that were told when the streams began may have started again.
func (r *Router) HandOver() {
	if r.options.Peers == nil {
		return
	}
	if streams := r.relayed.byOrigin(); len(streams) > 0 {
		r.options.Peers.TellPeers(streams)
	}
	for addr, streams := range r.relayed.byKeeper() {
		r.options.Peers.TellKeeper(addr, streams)
	}
}

// keepers returns the number of keepers that answered lately.
func (r *Router) keepers() int {
	if r.options.Peers == nil {
		return 0
	}
	return r.options.Peers.Keepers()
}

// keepers returns the keepers beside the servers of a service. The list must not be modified.
func (f *fleet) keepers(service string) []origin.Keeper {
	f.sync()
	f.mu.Lock()
	defer f.mu.Unlock()
	list, ok := f.keepersBy[service]
	if ok {
		return list
	}
	for _, s := range f.synced.Services[service] {
		if s.Agent != "" && s.Stage != directory.Plain {
			list = append(list, origin.Keeper{Addr: s.Agent, Software: s.Software, Leaving: s.Draining})
		}
	}
	f.keepersBy[service] = list
	return list
}

// allKeepers returns the keepers beside the servers of each service, in the order of the services.
func (f *fleet) allKeepers() [][]origin.Keeper {
	var out [][]origin.Keeper
	for _, service := range slices.Sorted(maps.Keys(f.directory.Current().Services)) {
		out = append(out, f.keepers(service))
	}
	return out
}
