package router

import (
	"math"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// pace is the pace that a server stated last, to this entry or to another one. It is safe for
// concurrent use. The view of a model server has a copy, which the dispatcher's lock guards.
type pace struct {
	mu sync.Mutex
	// newest is on the dispatcher's clock.
	newest predict.Pace
	// value was stated to this entry at heard; zero if none was.
	value float64
	heard time.Time
}

// paceSurprise is the difference between a stated pace and the one that was expected from
// which is reported to the other entries at once. Most statements confirm what is expected and go
// along with messages that are sent anyway.
const paceSurprise = 0.25

// recordPace records a pace that a server stated at a time. It reports whether the other
// entries do not expect it.
func (r *Router) recordPace(b *backend, value float64, heard time.Time, fromPeer bool) bool {
	at := r.dispatch.FromWallClock(heard)
	b.pace.mu.Lock()
	expected := b.pace.newest.At(at)
	newest := b.pace.newest.Observe(at, value)
	if newest && !fromPeer {
		b.pace.value, b.pace.heard = value, heard
	}
	b.pace.mu.Unlock()
	if !newest {
		return false
	}
	if b.server.Load().Stage != directory.Plain {
		r.dispatch.Update(b, func(_ time.Duration, v *placement.Server) { v.ObservePace(at, value) })
	}
	return !fromPeer && math.Abs(value-expected) > paceSurprise
}

// paceOf returns the pace of a server that is expected now.
func (r *Router) paceOf(b *backend, now time.Time) float64 {
	b.pace.mu.Lock()
	defer b.pace.mu.Unlock()
	return b.pace.newest.At(r.dispatch.FromWallClock(now))
}

// addPace adds the pace that the server stated to this entry to what is reported to the
// others.
func addPace(u *loadexchange.Usage, b *backend) {
	b.pace.mu.Lock()
	defer b.pace.mu.Unlock()
	if b.pace.value > 0 {
		u.Pace = &loadexchange.Pace{Percent: int(math.Round(percent * b.pace.value)), Heard: b.pace.heard}
		u.Started = b.server.Load().Started
	}
}

const percent = 100

// observeCall records the time of a plain call that did not wait for a slot.
func (r *Router) observeCall(b *backend, took time.Duration) {
	now := time.Now()
	b.speeds.AddCall(r.dispatch.FromWallClock(now), predict.Milliseconds(took)/r.paceOf(b, now))
	r.shareServerSpeeds(b)
}

// callTolerance is the relative difference in the time of calls below which plain servers are
// taken to be equal: the measured time includes the network, which is some milliseconds of 15
// for servers of other data centres.
const callTolerance = 0.2

// slowness returns the expected time of a plain call at a server in multiples of that at a
// usual one, without the wait for a slot.
func (r *Router) slowness(b *backend, now time.Time) float64 {
	_, factor := b.speeds.Call()
	off := math.Abs(factor - 1)
	counted := max(0, min(off, 2*(off-callTolerance))) // in full from twice the tolerance on
	return (1 + math.Copysign(counted, factor-1)) * r.paceOf(b, now)
}

// callTime returns the expected time of a plain call at a server without the wait for a slot;
// 0 if it is unknown.
func (r *Router) callTime(b *backend, now time.Time) time.Duration {
	millis, _ := b.speeds.Call()
	return time.Duration(millis * r.paceOf(b, now) * float64(time.Millisecond))
}

// speedsGrowth is the growth of the weight of this entry's observations of a server from which
// they are shared at once: the first ones replace assumptions.
const speedsGrowth = 2

// shareServerSpeeds reports to the other entries what this entry observed of the speed of a
// server if they have grown much.
func (r *Router) shareServerSpeeds(b *backend) {
	if r.options.Peers == nil {
		return
	}
	local, _ := b.speeds.Weight()
	if sent := b.sharedSpeeds.Load(); int64(local) >= max(1, speedsGrowth*sent) && b.sharedSpeeds.CompareAndSwap(sent, int64(local)) {
		r.options.Peers.ShareServerSpeeds(b.Name())
	}
}

// ServerSpeeds returns this entry's observations of the speeds of some servers, or of all if
// none is named.
func (r *Router) ServerSpeeds(servers []string) map[string]loadexchange.ServerSpeeds {
	now, out := r.dispatch.Now(), map[string]loadexchange.ServerSpeeds{}
	for _, b := range r.fleet.all(servers) {
		if sums := b.speeds.Local(now); sums.Shared() {
			out[b.Name()] = loadexchange.ServerSpeeds{Started: b.server.Load().Started, Sums: sums}
		}
	}
	return out
}

// SetRemoteServerSpeeds stores what the other entries have observed of the speed of a server.
// What they observed of another boot says nothing of the present one.
func (r *Router) SetRemoteServerSpeeds(server string, others []loadexchange.ServerSpeeds) {
	r.fleet.sync()
	b := r.fleet.get(server)
	if b == nil {
		return
	}
	var sums []predict.ServerSums
	for _, o := range others {
		if o.Started == b.server.Load().Started {
			sums = append(sums, o.Sums)
		}
	}
	b.speeds.SetRemote(sums)
}

// all returns the backends of some servers, or all if none is named.
func (f *fleet) all(servers []string) []*backend {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []*backend
	if len(servers) == 0 {
		for _, b := range f.backends {
			out = append(out, b)
		}
	}
	for _, id := range servers {
		if b := f.backends[id]; b != nil {
			out = append(out, b)
		}
	}
	return out
}
