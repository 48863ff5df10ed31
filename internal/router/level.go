package router

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// Parameters of the choice of a plain server.
const (
	// rateTime is the time over which the rate of calls is averaged. An entry of 30 in front
	// of a service with 200 calls a second sees 13 in that time.
	rateTime = 2 * time.Second
	// maxServiceTimes bounds the age of knowledge in service times. After 4 of them nearly all
	// calls that were known have ended; counting more arrivals would only let the penalties of
	// plainCost, for failures and distance, count for nothing.
	maxServiceTimes = 4
	// An entry has measured few calls of each server, so that the speed of a server relative to
	// its service is bounded.
	minSpeed, maxSpeed = 0.25, 4
)

// levels chooses the servers of plain services. It is safe for concurrent use.
type levels struct {
	mu      sync.Mutex       // guards the fields below
	own     map[string]*rate // of this entry's attempts, by service
	servers []placement.LevelServer
	times   []time.Duration // of a call, by server
}

// levelChoice is what a choice of a plain server was based on, for the log.
type levelChoice struct {
	// age is the age of what is known of the chosen server, and unseen the number of calls
	// that the other entries are expected to have sent to all servers meanwhile.
	age    time.Duration
	unseen float64
}

// fields returns the choice as log fields.
func (c levelChoice) fields() []any {
	const tenths = 10
	return []any{"known_ms", c.age.Milliseconds(), "unseen", math.Round(c.unseen*tenths) / tenths}
}

// sharedSource draws from the source of package rand, which is safe for concurrent use.
type sharedSource struct{}

// Uint64 implements rand.Source.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

var sharedRand = rand.New(sharedSource{})

// choose returns one of the servers of a plain service for a call; nil if there are none.
// placement.Leveler considers what the other entries are expected to have sent since they last
// reported. Without other entries the server of the least cost is chosen.
func (l *levels) choose(r *Router, service string, list []*backend, now time.Time) (*backend, levelChoice) {
	if len(list) == 0 {
		return nil, levelChoice{}
	}
	age, others := time.Duration(0), 0
	if r.options.Peers != nil && r.options.SpreadCalls {
		age, others = r.options.Peers.UsageAge(), r.entries()-1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.measureLocked(r, list, now)
	perServer := l.observeLocked(service, now) * float64(others) / float64(len(list))
	l.servers = l.servers[:0]
	unseen := 0.0
	for i, b := range list {
		s := r.levelServer(b, now, knownFor(b, age), l.times[i], mean, perServer)
		unseen += s.Unseen
		l.servers = append(l.servers, s)
	}
	chosen := list[placement.Leveler{}.Choose(sharedRand, l.servers)]
	return chosen, levelChoice{age: knownFor(chosen, age), unseen: unseen}
}

// observeLocked records an attempt of this entry at a service and returns the rate of its
// attempts. The caller holds l.mu.
func (l *levels) observeLocked(service string, now time.Time) float64 {
	if l.own == nil {
		l.own = map[string]*rate{}
	}
	own, ok := l.own[service]
	if !ok {
		own = &rate{began: now, last: now}
		l.own[service] = own
	}
	return own.add(now)
}

// levelServer returns what is known of the load of a plain server for some time. took is its
// service time, 0 before the first answer, mean that of all servers, and perServer the number of calls a second that the other
// entries send to each.
func (r *Router) levelServer(b *backend, now time.Time, known, took, mean time.Duration, perServer float64) placement.LevelServer {
	speed := 1.0
	if took > 0 {
		speed = min(max(float64(mean)/float64(took), minSpeed), maxSpeed)
	} else {
		took = mean
	}
	known = min(known, maxServiceTimes*took) // 0 before the first answer
	return placement.LevelServer{
		Load: r.plainCost(b, now), Capacity: speed * float64(max(1, b.server.Load().Slots)),
		Unseen: perServer * known.Seconds(),
	}
}

// knownFor returns the age of what is known of the calls of the other entries at a server. age
// is that for servers of which they do not report each call at once. For the others, the lack
// of a report says that nothing has changed.
func knownFor(b *backend, age time.Duration) time.Duration {
	if busy(b, b.localCalls.Load()+b.remoteCalls.Load()) {
		return min(age, loadexchange.ReportDelay)
	}
	return age
}

// measureLocked sets times to the service times of some servers and returns the mean of those
// that are known; 0 if there are none. The caller holds l.mu.
func (l *levels) measureLocked(r *Router, list []*backend, now time.Time) time.Duration {
	l.times = l.times[:0]
	sum, count := time.Duration(0), time.Duration(0)
	for _, b := range list {
		took := r.callTime(b, now)
		l.times = append(l.times, took)
		if took > 0 {
			sum += took
			count++
		}
	}
	return sum / max(1, count)
}

// rate is an exponentially weighted mean of the number of events a second.
type rate struct {
	began, last time.Time
	weight      float64 // of the events
}

// add records an event and returns the rate of those before it; 0 for the first.
func (r *rate) add(now time.Time) float64 {
	before := r.weight * math.Exp(-now.Sub(r.last).Seconds()/rateTime.Seconds())
	r.weight, r.last = before+1, now
	// The weights of a full history add up to rateTime, those of a shorter one to less.
	observed := -rateTime.Seconds() * math.Expm1(-now.Sub(r.began).Seconds()/rateTime.Seconds())
	if observed <= 0 {
		return 0
	}
	return before / observed
}

// stageNames are the names of stages in metrics.
var stageNames = map[directory.Stage]string{directory.Plain: stagePlain, directory.Prefill: stagePrefill, directory.Decode: "decode"}

// loadSpread returns the largest load of a server over the mean, by service and stage, of the
// load that this entry knows: calls per slot of plain servers, milliseconds of wait of prefill
// servers, and slots in use of decode servers. Services without load are left out.
func (r *Router) loadSpread() map[string]float64 {
	type sums struct{ sum, largest, servers float64 }
	all := map[string]*sums{}
	for id, s := range r.directory.Current().Servers {
		b := r.fleet.get(id)
		if b == nil || b.leaving() {
			continue
		}
		stage, load := stageNames[s.Stage], 0.0
		if s.Stage == directory.Plain {
			load = float64(b.localCalls.Load()+b.remoteCalls.Load()) / float64(max(1, s.Slots))
		} else {
			r.dispatch.Update(b, func(now time.Duration, v *placement.Server) {
				load = float64(v.SlotsUsed())
				if s.Stage == directory.Prefill {
					load = v.WaitMillis(now)
				}
			})
		}
		key := s.Service + "." + stage
		if all[key] == nil {
			all[key] = &sums{}
		}
		all[key].sum += load
		all[key].largest = max(all[key].largest, load)
		all[key].servers++
	}
	out := map[string]float64{}
	for key, s := range all {
		if s.sum > 0 {
			out[key] = s.largest * s.servers / s.sum
		}
	}
	return out
}
