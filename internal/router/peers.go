package router

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// Peers shares the state of this entry with the other entries.
type Peers interface {
	// PublishUsage publishes what this entry has in use at a server: at once if it is
	// urgent, else within about a second.
	PublishUsage(server string, u loadexchange.Usage, urgent bool)
	// PublishWaiting publishes the requests that wait at this entry for servers of a
	// service.
	PublishWaiting(service string, waiting []loadexchange.Waiting)
	// PublishSpeeds publishes what this entry has observed of the speeds of a service.
	PublishSpeeds(service string, s predict.SpeedSums)
	// ShareServerSpeeds has this entry's observations of the speed of a server published at
	// once. All are published some seconds apart in any case.
	ShareServerSpeeds(server string)
	// TellOrigin reports to some peers and to keepers what began a stream. It returns when that
	// was sent.
	TellOrigin(s origin.Stream, o origin.Origin, keepers []string)
	// TellKeeper reports to one keeper what began streams.
	TellKeeper(addr string, streams map[origin.Origin][]origin.Key)
	// TellPeer reports to one peer, and TellPeers to all, what began streams.
	TellPeer(addr string, streams map[origin.Origin][]origin.Key)
	TellPeers(streams map[origin.Origin][]origin.Key)
	// KeeperHeard returns the time of the last message of a keeper; zero if there is none.
	KeeperHeard(addr string) time.Time
	// AskOrigin asks some peers and keepers what began the stream with one of the keys of s. It
	// reports whether there are any.
	AskOrigin(k origin.Key, s origin.Stream, keepers []string) bool
	// SetEvidenceKeepers sets the keepers that remember the evidence.
	SetEvidenceKeepers(addrs []string)
	// Keepers returns the number of keepers that answered lately.
	Keepers() int
	// ReportEnd reports to all peers that a server ended without a plan, and ReportSurvived when
	// servers last survived requests with some causes.
	ReportEnd(e blame.End)
	ReportSurvived(causes map[blame.Key]time.Time)
	// Alive returns the number of other entries that are alive.
	Alive() int
	// PublishQuotas publishes what was charged to quotas and not published yet, at once.
	PublishQuotas()
	// UsageAge returns the mean age of what is known of uses that the other entries do not
	// publish at once; 0 without other entries.
	UsageAge() time.Duration
	// Entries returns the number of entries, this one included.
	Entries() int
	// Leads reports whether this entry comes first of all that are alive.
	Leads() bool
	// Rank returns the position of this entry among all in an order that depends on key,
	// and the number of entries.
	Rank(key string) (rank, entries int)
}

// entries returns the number of entries, this one included.
func (r *Router) entries() int {
	if r.options.Peers == nil {
		return 1
	}
	return r.options.Peers.Entries()
}

// announce publishes the requests that wait at this entry.
func (r *Router) announce(service string, waiting []dispatch.Waiting) {
	if r.options.Peers == nil {
		return
	}
	out := make([]loadexchange.Waiting, len(waiting))
	for i, w := range waiting {
		out[i] = loadexchange.Waiting{Prompt: w.Prompt, Arrived: r.dispatch.ToWallClock(w.Arrived), Priority: w.Priority}
	}
	r.options.Peers.PublishWaiting(service, out)
}

// SetRemoteWaiting stores the requests that wait at other entries.
func (r *Router) SetRemoteWaiting(service string, waiting []loadexchange.Waiting) {
	out := make([]dispatch.Waiting, len(waiting))
	for i, w := range waiting {
		out[i] = dispatch.Waiting{Prompt: w.Prompt, Arrived: r.dispatch.FromWallClock(w.Arrived), Priority: w.Priority}
	}
	r.dispatch.SetRemoteWaiting(service, out)
}

// shareSpeeds publishes what this entry has observed of the speeds of a service.
func (r *Router) shareSpeeds(service string) {
	if r.options.Peers == nil {
		return
	}
	var local predict.SpeedSums
	r.updateSpeeds(service, func(s *predict.Speeds) { local = s.Local() })
	r.options.Peers.PublishSpeeds(service, local)
}

// SetRemoteSpeeds stores what the other entries have observed of the speeds of a
// service.
func (r *Router) SetRemoteSpeeds(service string, others []predict.SpeedSums) {
	r.updateSpeeds(service, func(s *predict.Speeds) { s.SetRemote(others) })
}

// updateSpeeds changes or reads the speeds of a service with the lock held that guards
// them.
func (r *Router) updateSpeeds(service string, change func(*predict.Speeds)) {
	speeds := r.fleet.speedsOf(service)
	r.dispatch.Locked(func() { change(speeds) })
}

// observeStart records the time from the end of a prefill to the first event.
func (r *Router) observeStart(service string, took time.Duration) {
	r.updateSpeeds(service, func(s *predict.Speeds) { s.AddStart(predict.Milliseconds(took)) })
}

// SetRemoteUsage stores what the other entries have in use at a server, and what
// they report of its failures.
func (r *Router) SetRemoteUsage(server string, others []loadexchange.Usage) {
	r.fleet.sync()
	b := r.fleet.get(server)
	if b == nil {
		return
	}
	var u placement.Use
	var runs []*placement.Run
	calls, unreachable := 0, false
	var brokenCallTimes []time.Time
	for _, o := range others {
		calls += o.Calls
		unreachable = unreachable || o.Unreachable
		brokenCallTimes = append(brokenCallTimes, o.BrokenCallTimes...)
		if !o.StageChangeUntil.IsZero() && o.StageChangeTo != b.server.Load().Stage {
			b.stageChangeUntil.Store(o.StageChangeUntil.UnixNano())
		}
		if !o.ReplacedUntil.IsZero() && o.Started == b.server.Load().Started {
			b.replacedRemotely.Store(max(b.replacedRemotely.Load(), o.ReplacedUntil.UnixNano()))
		}
		if o.Started == b.server.Load().Started {
			r.recordRemoteAdvice(b.server.Load(), o)
			if o.Pace != nil {
				r.recordPace(b, float64(o.Pace.Percent)/percent, o.Pace.Heard, true)
			}
		}
		u.Tokens += o.PrefillTokens
		u.Slots += len(o.Runs)
		for _, run := range o.Runs {
			runs = append(runs, &placement.Run{
				Prompt: run.Prompt, Answer: float64(run.Answer), Began: r.dispatch.FromWallClock(run.Began), Priority: run.Priority,
			})
		}
	}
	b.remoteCalls.Store(int64(calls))
	r.observeRemoteSuspicion(b, unreachable)
	if b.server.Load().Stage == directory.Plain {
		return
	}
	r.dispatch.Update(b, func(_ time.Duration, v *placement.Server) { v.SetRemoteUse(u, runs) })
	if b.broken.setRemote(brokenCallTimes); len(brokenCallTimes) > 0 {
		r.pauseIfBreaking(b)
	}
	r.dispatch.Pump()
}

// shareUsage publishes what this entry has in use at a server to the other entries. For
// a registration that is no longer the present one it publishes that of the present one:
// a server that has changed its stage may still serve calls of the stage before.
func (r *Router) shareUsage(b *backend) { r.publishUsage(b, true) }

// busyShare is the fraction of the slots of a plain server in use from which the entries
// report each call to each other at once. Below it calls wait for no slot, and it is enough to
// know about how many there are.
const busyShare = 0.5

// beginCall begins a call of this entry at a plain server. It returns the number of calls
// that the server has then.
func (r *Router) beginCall(b *backend) int64 {
	calls := b.localCalls.Add(1) + b.remoteCalls.Load()
	r.publishUsage(b, busy(b, calls))
	return calls
}

// endCall ends a call of this entry at a plain server.
func (r *Router) endCall(b *backend) {
	calls := b.localCalls.Add(-1) + b.remoteCalls.Load()
	r.publishUsage(b, busy(b, calls+1)) // the other entries know of the ended call
}

func busy(b *backend, calls int64) bool {
	return float64(calls) >= busyShare*float64(b.server.Load().Slots)
}

func (r *Router) publishUsage(b *backend, urgent bool) {
	if r.options.Peers == nil {
		return
	}
	current := r.fleet.get(b.Name())
	if current != nil {
		b = current
	}
	out := loadexchange.Usage{Calls: int(b.localCalls.Load()), Unreachable: current != nil && !b.health.usable(), BrokenCallTimes: b.broken.recentLocal(time.Now())}
	if until := b.replacedUntil.Load(); until > time.Now().UnixNano() {
		out.ReplacedUntil, out.Started = time.Unix(0, until), b.server.Load().Started
	}
	addAdvice(&out, b)
	addPace(&out, b)
	if b.orderedLocally.Load() {
		out.StageChangeUntil, out.StageChangeTo = time.Unix(0, b.stageChangeUntil.Load()), b.server.Load().Stage.Other()
	}
	if b.server.Load().Stage != directory.Plain {
		r.dispatch.Update(b, func(_ time.Duration, v *placement.Server) {
			use, runs := v.LocalUse()
			out.PrefillTokens = use.Tokens
			for _, run := range runs {
				out.Runs = append(out.Runs, loadexchange.Run{Prompt: run.Prompt, Answer: int(run.Answer), Began: r.dispatch.ToWallClock(run.Began), Priority: run.Priority})
			}
		})
	}
	r.options.Peers.PublishUsage(b.Name(), out, urgent)
}
