package router

import (
	"slices"
	"sync"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/origin"
)

// relayedStream is a resumable stream that this entry relays.
type relayedStream struct {
	service, software string
	// keepers are the addresses of those that were told of it.
	keepers []string
}

// relayed are the resumable streams that this entry relays. It is safe for concurrent use.
type relayed struct {
	mu      sync.Mutex // guards streams
	streams map[origin.Key]relayedStream
}

func newRelayed() *relayed { return &relayed{streams: map[origin.Key]relayedStream{}} }

func (l *relayed) begin(k origin.Key, s relayedStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[k] = s
}

func (l *relayed) end(k origin.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, k)
}

func (l *relayed) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams)
}

// keptBy returns the streams, by version, of which a keeper was told.
func (l *relayed) keptBy(addr string) map[string][]origin.Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]origin.Key{}
	for k, s := range l.streams {
		if slices.Contains(s.keepers, addr) {
			out[s.software] = append(out[s.software], k)
		}
	}
	return out
}

// reassign replaces the keepers of all streams, and returns for each new one the streams by
// version.
func (l *relayed) reassign(keepersOf func(k origin.Key, s relayedStream) []string) map[string]map[string][]origin.Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]map[string][]origin.Key{}
	for k, s := range l.streams {
		former := s.keepers
		s.keepers = keepersOf(k, s)
		l.streams[k] = s
		for _, addr := range s.keepers {
			if slices.Contains(former, addr) {
				continue
			}
			if out[addr] == nil {
				out[addr] = map[string][]origin.Key{}
			}
			out[addr][s.software] = append(out[addr][s.software], k)
		}
	}
	return out
}

// tellNewKeepers tells keepers of the streams that have become theirs with a change of the
// servers.
func (r *Router) tellNewKeepers() {
	if r.options.Peers == nil {
		return
	}
	news := r.relayed.reassign(func(k origin.Key, s relayedStream) []string {
		return origin.KeepersOf(k, s.software, r.fleet.keepers(s.service))
	})
	for addr, streams := range news {
		r.options.Peers.TellKeeper(addr, streams)
	}
}

// KeeperRestarted tells a keeper that has started again of the streams that it kept.
func (r *Router) KeeperRestarted(addr string) {
	if streams := r.relayed.keptBy(addr); len(streams) > 0 {
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
