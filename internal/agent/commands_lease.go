package agent

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// LeaseCommands is the RPC service that renews the leases of entries.
type LeaseCommands struct{ a *Agent }

// Renew renews the lease that covers all attempts of an entry. A new incarnation
// of an entry ends the leases of its earlier incarnations.
func (s *LeaseCommands) Renew(args protocol.RenewArgs, reply *protocol.RenewReply) error {
	s.a.renew(args)
	if s.a.cfg.OnNoteReported != nil {
		s.a.cfg.OnNoteReported(args.Header.Note)
	}
	reply.Load = s.a.load()
	reply.Agent = s.a.cfg.Self
	reply.Backend = s.a.cfg.Backend
	reply.Lease = s.a.cfg.LeaseDuration
	reply.Uptime = s.a.uptime()
	return nil
}

// renew expires leases before it renews one, since the heartbeat may have waited
// in a buffer while this process was paused. It also ends the attempts that the
// entry does not list, in case a Cancel or the last acknowledgement was lost. A
// heartbeat that is late or of an earlier incarnation has no effect.
func (a *Agent) renew(args protocol.RenewArgs) {
	from := args.Header.From
	now := time.Now()
	a.mu.Lock()
	if a.superseded(from) || a.timeLeft(args.Header) <= 0 {
		a.mu.Unlock()
		return
	}
	for owner := range a.leases {
		if owner.Node == from.Node && owner.Incarnation < from.Incarnation {
			delete(a.leases, owner)
		}
	}
	ended := a.expireLeasesLocked(now)
	a.leases[from] = now.Add(a.cfg.LeaseDuration)
	ended = append(ended, a.unlistedLocked(args, now)...)
	a.mu.Unlock()
	a.abortAll(ended, "its entry does not want it any more")
}

// unlistedLocked returns the attempts to end that an entry opened before it made
// the heartbeat and does not list in it. Resumable ones are parked instead.
func (a *Agent) unlistedLocked(args protocol.RenewArgs, now time.Time) []*attempt {
	listed := make(map[string]bool, len(args.Attempts))
	for _, id := range args.Attempts {
		listed[id] = true
	}
	var out []*attempt
	for _, t := range a.attempts {
		if t.owner == args.Header.From && t.seq < args.Header.Seq && !listed[t.id] && a.parkLocked(t, now) {
			out = append(out, t)
		}
	}
	return out
}
