package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/quota"
)

// Snapshot is the state of a router, for operators.
type Snapshot struct {
	// Version is that of the current configuration; 0 without one.
	Version uint64
	// ReadAgo is the time in milliseconds since the registry was last read.
	ReadAgo int64
	// Waiting is the number of requests in the queue of this entry.
	Waiting int
	// Entries is the number of entries, this one included.
	Entries int
	Servers []ServerSnapshot
	// Speeds are those of the services with engines.
	Speeds map[string]SpeedSnapshot
	// Blames are why requests are refused under which servers have ended, the latest first.
	Blames []BlameSnapshot
	// Quotas are the organisations with a limit; nil if there are none.
	Quotas *quota.State `json:",omitempty"`
}

// BlameSnapshot is why requests with certain causes are refused.
type BlameSnapshot struct {
	// Causes are hexadecimal keys (see package blame), as in the log.
	Causes []string
	// Ends is the number of servers that ended, and Requests that of different requests
	// under which they did.
	Ends, Requests int
	// Servers are the latest of the servers that ended.
	Servers []string
	// LastAge is the time in milliseconds since the last end, and For that for which requests
	// are still refused.
	LastAge, For int64
}

func newBlameSnapshots(list []*blame.Blame, now time.Time) []BlameSnapshot {
	out := make([]BlameSnapshot, 0, len(list))
	for _, b := range list {
		row := BlameSnapshot{Ends: b.Ends, Requests: b.Requests, Servers: b.Servers, LastAge: now.Sub(b.Last).Milliseconds(), For: b.Until.Sub(now).Milliseconds()}
		for _, c := range b.Causes {
			row.Causes = append(row.Causes, c.String())
		}
		out = append(out, row)
	}
	return out
}

// ServerSnapshot is the router's state of one server.
type ServerSnapshot struct {
	ID, Service, Addr, DataCentre string
	Software                      string
	Stage                         directory.Stage
	Draining, Suspected           bool
	// Advice is what the server has said of itself in its answers.
	Advice AdviceSnapshot
	// Calls are the plain calls of this entry in progress, and OtherCalls those of the
	// other entries.
	Calls, OtherCalls int64
	// Slots is the number of slots in use of a model server, and FreeTokens its memory
	// in tokens less the maximum that the requests of this entry can use and what those of
	// the other entries are expected to use.
	Slots, FreeTokens int
	FailureRate       float64
	// WorkMillis is the expected time of a plain call in milliseconds, without the wait for a
	// slot.
	WorkMillis int64
	Speed      ServerSpeedSnapshot
}

// ServerSpeedSnapshot is what a router assumes of the speed of one server.
type ServerSpeedSnapshot struct {
	// PacePercent is the pace that the server stated last, PaceAge milliseconds ago; 0 if it
	// stated none. ExpectedPacePercent is the one that is expected now.
	PacePercent, ExpectedPacePercent float64
	PaceAge                          int64
	// Prefill and Decode are the speeds of the server's prefills and decodes at the usual
	// pace in multiples of those of its service, and Call the time of a plain call in
	// multiples of the usual one.
	Prefill, Decode, Call float64
	// Observations and OtherObservations are the weights of what this entry and the others
	// have observed of the speed of this boot of the server.
	Observations, OtherObservations float64
}

func (r *Router) newServerSpeedSnapshot(b *backend, now time.Time) ServerSpeedSnapshot {
	out := ServerSpeedSnapshot{ExpectedPacePercent: percent * r.paceOf(b, now)}
	b.pace.mu.Lock()
	value, at := b.pace.newest.Last()
	b.pace.mu.Unlock()
	if value > 0 {
		out.PacePercent, out.PaceAge = percent*value, (r.dispatch.FromWallClock(now) - at).Milliseconds()
	}
	out.Observations, out.OtherObservations = b.speeds.Weight()
	_, out.Call = b.speeds.Call()
	r.dispatch.Update(b, func(_ time.Duration, v *placement.Server) {
		out.Prefill, out.Decode = v.PrefillSpeed(), v.DecodeSpeed()
	})
	return out
}

// AdviceSnapshot is what a server has said of itself, with ages.
type AdviceSnapshot struct {
	// Boot is the start, in Unix milliseconds, of the life of the server that said so.
	Boot int64
	// Limit is the number of requests a second that the server takes from all entries; nil
	// if it names none. It was first named LimitAge and last LimitHeard milliseconds ago.
	Limit                *float64
	LimitAge, LimitHeard int64
	// LeavingFor is the time in milliseconds since the server said that it leaves, and
	// ClosedFor that for which it wants nothing more; 0 if it did not.
	LeavingFor, ClosedFor int64
}

func newAdviceSnapshot(b *backend, now time.Time) AdviceSnapshot {
	a := b.advice.Advice()
	out := AdviceSnapshot{Boot: b.server.Load().Started, ClosedFor: a.ClosedFor(now).Milliseconds()}
	if a.Leaving() {
		out.LeavingFor = now.Sub(a.LeavingSince).Milliseconds()
	}
	if a.Limited {
		out.Limit, out.LimitAge, out.LimitHeard = &a.Limit, now.Sub(a.LimitSince).Milliseconds(), now.Sub(a.LimitHeard).Milliseconds()
	}
	return out
}

// Snapshot returns the current state.
func (r *Router) Snapshot() Snapshot {
	snap := r.directory.Current()
	out := Snapshot{ReadAgo: snap.ServersKnown.Age(time.Now()).Milliseconds(), Waiting: r.dispatch.QueueLength(), Entries: r.entries(), Speeds: r.speeds()}
	out.Blames = newBlameSnapshots(r.blame.Blames(time.Now()), time.Now())
	if r.quotas.Limited() {
		state := r.quotas.State(time.Now())
		out.Quotas = &state
	}
	if snap.Config != nil {
		out.Version = snap.Config.Version
	}
	for id, s := range snap.Servers {
		b := r.fleet.get(id)
		if b == nil {
			continue
		}
		row := ServerSnapshot{
			ID: id, Service: s.Service, Software: s.Software, Addr: s.Addr, DataCentre: s.DataCentre, Stage: s.Stage, Draining: b.leaving(),
			Suspected: !b.usable(time.Now()), Calls: b.localCalls.Load(), OtherCalls: b.remoteCalls.Load(),
			FailureRate: b.health.failureRate(), WorkMillis: r.callTime(b, time.Now()).Milliseconds(),
			Speed:  r.newServerSpeedSnapshot(b, time.Now()),
			Advice: newAdviceSnapshot(b, time.Now()),
		}
		r.dispatch.Update(b, func(_ time.Duration, v *placement.Server) {
			row.Slots, row.FreeTokens = v.SlotsUsed(), v.PiecesFree()-v.RemoteTokens()
		})
		out.Servers = append(out.Servers, row)
	}
	slices.SortFunc(out.Servers, func(a, b ServerSnapshot) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// SpeedSnapshot is what a router assumes of the engines of a service.
type SpeedSnapshot struct {
	// StepMillis is the time between the tokens of an answer that runs alone, in
	// milliseconds, and StepErrorPercent the mean relative error of that prediction.
	StepMillis, StepErrorPercent float64
	// PrefillRate is in tokens a millisecond, and StartMillis the time from the end of a
	// prefill to the first event.
	PrefillRate, StartMillis float64
}

// speeds returns what is assumed of the engines of each service.
func (r *Router) speeds() map[string]SpeedSnapshot {
	out := map[string]SpeedSnapshot{}
	snap := r.directory.Current()
	if snap.Config == nil {
		return out
	}
	for name, svc := range snap.Config.Services {
		if svc.Engine == nil {
			continue
		}
		r.updateSpeeds(name, func(s *predict.Speeds) {
			out[name] = SpeedSnapshot{StepMillis: s.StepMillis(1), StepErrorPercent: percent * s.StepError(), PrefillRate: s.PrefillRate(), StartMillis: s.StartMillis()}
		})
	}
	return out
}

// publishGauges publishes the router's state as gauges.
func (r *Router) publishGauges() {
	set := r.count.set
	set.Gauge("config_version", func() any {
		if c := r.directory.Current().Config; c != nil {
			return c.Version
		}
		return 0
	})
	set.Gauge("registry_read_ago_ms", func() any { return r.directory.Current().ServersKnown.Age(time.Now()).Milliseconds() })
	set.Gauge("entries", func() any { return r.entries() })
	set.Gauge("keepers", func() any { return r.keepers() })
	set.Gauge("streams_relayed", func() any { return r.relayed.len() })
	set.Gauge("speeds", func() any { return r.speeds() })
	set.Gauge("step_error_percent", func() any {
		worst := 0.0
		for _, s := range r.speeds() {
			worst = max(worst, s.StepErrorPercent)
		}
		return worst
	})
	set.Gauge("load_spread", func() any { return r.loadSpread() })
	set.Gauge("load_spread_worst", func() any {
		worst := 0.0
		for _, spread := range r.loadSpread() {
			worst = max(worst, spread)
		}
		return worst
	})
	set.Gauge("blames", func() any { return len(r.blame.Blames(time.Now())) })
	set.Gauge("quota_entries_heard", func() any { return r.quotas.Fleet().Heard })
	set.Gauge("quota_entries_known", func() any { return r.quotas.Fleet().Known })
	set.Gauge("waiting_by", func() any { return r.waitingBy() })
	set.Gauge("refused_by", func() any { return r.refusedBy.labelled() })
	set.Gauge("waiting", func() any { return r.dispatch.QueueLength() })
	for name, counts := range map[string]func(ServerSnapshot) int{
		"servers":           func(ServerSnapshot) int { return 1 },
		"servers_draining":  func(s ServerSnapshot) int { return one(s.Draining) },
		"servers_suspected": func(s ServerSnapshot) int { return one(s.Suspected) },
		"servers_slowed":    func(s ServerSnapshot) int { return one(s.Speed.ExpectedPacePercent > percent*(1+paceSurprise)) },
		"model_slots_used":  func(s ServerSnapshot) int { return s.Slots },
		"model_tokens_free": func(s ServerSnapshot) int { return s.FreeTokens },
	} {
		set.Gauge(name, func() any {
			n := 0
			for _, s := range r.Snapshot().Servers {
				n += counts(s)
			}
			return n
		})
	}
}

// one returns 1 for true and 0 for false.
func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
