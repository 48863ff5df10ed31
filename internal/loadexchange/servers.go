package loadexchange

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// ServerSpeeds are what one entry has observed of the speed of one server.
type ServerSpeeds struct {
	// Started is the start, in Unix milliseconds, of the life of the server that was observed.
	Started int64
	Sums    predict.ServerSums
}

const (
	// maxServersPerMessage is the number of servers whose speeds one message has at most. With
	// names of 60 bytes they take about 100 bytes each, or 115 with all quantities observed.
	maxServersPerMessage = 64
	// serverSpeedsTTL is the time for which observations of a peer count that it does not
	// repeat, about that in which they lose their weight (see predict.ServerSpeeds). A peer
	// repeats those of 1,500 servers within it.
	serverSpeedsTTL = 2 * time.Minute
	// maxServersAtOnce is the number of servers in a message up to which it is passed on at
	// once: those are first observations.
	maxServersAtOnce = 4
	// weightUnit and runsUnit are the units of the rounded figures in messages.
	weightUnit, runsUnit = 0.01, 0.01
)

// serverSums are ServerSpeeds in messages.
type serverSums struct {
	_       struct{} `cbor:",toarray"`
	Started int64
	// Means are in the order of predict.ServerSums; nil for a quantity that was not observed.
	Means []*meanSums
}

// meanSums are predict.MeanSums in messages, rounded: a weight and two means take less than
// three sums.
type meanSums struct {
	_ struct{} `cbor:",toarray"`
	// Weight is in weightUnit, and X, a mean, in runsUnit.
	Weight, X uint32
	// Y is a mean.
	Y float32
}

func newServerSums(s ServerSpeeds) serverSums {
	out := serverSums{Started: s.Started}
	for _, m := range s.Sums {
		w := uint32(math.Round(m.Weight / weightUnit))
		if w == 0 {
			out.Means = append(out.Means, nil)
			continue
		}
		out.Means = append(out.Means, &meanSums{Weight: w, X: uint32(math.Round(m.X / m.Weight / runsUnit)), Y: float32(m.Y / m.Weight)})
	}
	return out
}

// speeds returns the observations. Quantities that this version does not know are left out.
func (s serverSums) speeds() ServerSpeeds {
	out := ServerSpeeds{Started: s.Started}
	for i, m := range s.Means[:min(len(s.Means), len(out.Sums))] {
		if m != nil {
			w := weightUnit * float64(m.Weight)
			out.Sums[i] = predict.MeanSums{Weight: w, X: w * runsUnit * float64(m.X), Y: w * float64(m.Y)}
		}
	}
	return out
}

// receivedSpeeds are the observations of a peer with the time at which they arrived.
type receivedSpeeds struct {
	ServerSpeeds
	at time.Time
}

// ShareServerSpeeds has this entry's observations of the speed of a server sent at once.
func (x *Exchange) ShareServerSpeeds(server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dirtyServers[server] = true
	x.requestFlush()
}

// sendServerSpeeds sends this entry's observations of some servers, or of all if none is
// named, to some peers.
func (x *Exchange) sendServerSpeeds(servers []string, to map[string]bool) {
	all := x.handler.ServerSpeeds(servers)
	for part := range slices.Chunk(slices.Sorted(maps.Keys(all)), maxServersPerMessage) {
		x.sendServerSums(all, part, to)
	}
}

// sendNextServerSpeeds sends this entry's observations of the next servers, one message of
// them, to the live peers, so that the bytes a second are bounded in large deployments.
func (x *Exchange) sendNextServerSpeeds() {
	all := x.handler.ServerSpeeds(nil)
	names := slices.Sorted(maps.Keys(all))
	if len(names) == 0 {
		return
	}
	x.mu.Lock()
	from, found := slices.BinarySearch(names, x.lastServer)
	if found {
		from++
	}
	names = append(names[from:], names[:from]...)
	names = names[:min(len(names), maxServersPerMessage)]
	x.lastServer = names[len(names)-1]
	to := x.livePeersLocked(time.Now())
	x.mu.Unlock()
	x.sendServerSums(all, names, to)
}

func (x *Exchange) sendServerSums(all map[string]ServerSpeeds, names []string, to map[string]bool) {
	m := &message{Incarnation: x.incarnation, ServerSpeeds: map[string]serverSums{}}
	for _, name := range names {
		m.ServerSpeeds[name] = newServerSums(all[name])
	}
	x.mu.Lock()
	x.seq++
	m.Seq = x.seq
	x.mu.Unlock()
	x.send(m, to)
}

// sendChangedServerSpeeds sends the observations that are to be sent at once.
func (x *Exchange) sendChangedServerSpeeds() {
	x.mu.Lock()
	servers := slices.Collect(maps.Keys(x.dirtyServers))
	x.dirtyServers = map[string]bool{}
	to := x.livePeersLocked(time.Now())
	x.mu.Unlock()
	if len(servers) > 0 {
		x.sendServerSpeeds(servers, to)
	}
}

// applyServerSpeeds records what a peer has observed of servers. A few servers are passed on
// at once, and many with the next full message: with each message of each peer, the sums over
// all peers would take much of the time of a small VM.
func (x *Exchange) applyServerSpeeds(from string, m *message, now time.Time) {
	if len(m.ServerSpeeds) == 0 {
		return
	}
	x.mu.Lock()
	if p := x.peers[from]; p != nil {
		for name, s := range m.ServerSpeeds {
			p.serverSpeeds[name] = receivedSpeeds{ServerSpeeds: s.speeds(), at: now}
			x.updatedServers[name] = true
		}
	}
	x.mu.Unlock()
	if len(m.ServerSpeeds) <= maxServersAtOnce {
		x.notifyServerSpeeds(slices.Collect(maps.Keys(m.ServerSpeeds)), now)
	}
}

// notifyUpdatedServerSpeeds calls SetRemoteServerSpeeds for the servers of which peers have sent
// observations since it was last called.
func (x *Exchange) notifyUpdatedServerSpeeds(now time.Time) {
	x.mu.Lock()
	names := slices.Collect(maps.Keys(x.updatedServers))
	x.updatedServers = map[string]bool{}
	x.mu.Unlock()
	x.notifyServerSpeeds(names, now)
}

// notifyServerSpeeds calls SetRemoteServerSpeeds for some servers. Observations that were not
// repeated for serverSpeedsTTL are dropped.
func (x *Exchange) notifyServerSpeeds(names []string, now time.Time) {
	for _, name := range names {
		var others []ServerSpeeds
		x.mu.Lock()
		for _, p := range x.peers {
			s, ok := p.serverSpeeds[name]
			if ok && now.Sub(s.at) > x.scaledLocked(serverSpeedsTTL) {
				delete(p.serverSpeeds, name)
			} else if ok {
				others = append(others, s.ServerSpeeds)
			}
		}
		x.mu.Unlock()
		x.handler.SetRemoteServerSpeeds(name, others)
	}
}
