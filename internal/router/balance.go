package router

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Parameters of the balance between prefill and decode servers.
const (
	// sampleInterval is the interval at which loads are sampled.
	sampleInterval = 50 * time.Millisecond
	// sampleGain is the weight of one sample in the moving average: loads are averaged
	// over about 2 s.
	sampleGain = 0.025
	// averagingTime is the time after the start, and after an order, in which loads
	// are averaged before the next order.
	averagingTime = 1500 * time.Millisecond
	// maxIdleRatio is the load of one stage, as a fraction of the other's, below which
	// it yields a server to the other.
	maxIdleRatio = 0.55
	// maxRatioAfterShift is the load that the yielding stage may have after a shift,
	// as a fraction of the other's: work arrives in bursts, which queue at few servers
	// long before their mean load is high.
	maxRatioAfterShift = 0.6
	// minBusyLoad is the load of the busier stage below which no server is shifted.
	minBusyLoad = 0.3
	// minStageShare is the minimum fraction of a service's servers in each stage.
	minStageShare = 0.25
	// minStageServers is the minimum number of servers in each stage, so that a stage
	// survives the loss of one.
	minStageServers = 2
	// switchMargin is added to the time that a server needs to change its stage: its
	// registration follows with the next heartbeat, up to two seconds later.
	switchMargin = 2500 * time.Millisecond
	// orderNotice is the delay between the notice to the other entries that a server
	// changes its stage and the order to the server. Meanwhile they stop sending to it.
	orderNotice = 100 * time.Millisecond
	// orderTimeout bounds the call that gives one order.
	orderTimeout = time.Second
)

// stageLoad is the mean load of the servers of one stage, from 0 to 1.
type stageLoad struct {
	servers int
	load    float64
}

// shift returns the stage that should yield a server to the other, if any. The load
// of the yielding stage stays well below that of the other one, so that shifts do not
// oscillate.
func shift(prefill, decode stageLoad) (from directory.Stage, ok bool) {
	minServers := max(minStageServers, int(minStageShare*float64(prefill.servers+decode.servers)+0.5))
	canYield := func(idle, busy stageLoad) bool {
		if idle.servers <= minServers || busy.servers == 0 || busy.load < minBusyLoad || idle.load >= maxIdleRatio*busy.load {
			return false
		}
		n, m := float64(idle.servers), float64(busy.servers)
		return idle.load*n/(n-1) < maxRatioAfterShift*busy.load*m/(m+1)
	}
	switch {
	case canYield(prefill, decode):
		return directory.Prefill, true
	case canYield(decode, prefill):
		return directory.Decode, true
	default:
		return directory.Plain, false
	}
}

// Balance moves servers of model services between the stages until ctx ends. Only one
// process of the fleet may run it, since a server accepts orders of one holder only.
// It corrects loads under which prefill servers are idle while decode memory is full,
// or the reverse.
func (r *Router) Balance(ctx context.Context, holder string) {
	loads := map[string]*[2]stageLoad{} // of the prefill and the decode stage, by service
	lastShift := time.Now()
	for ctx.Err() == nil {
		sleep.WithContext(ctx, sampleInterval)
		snap := r.directory.Current()
		if snap.Config == nil {
			continue
		}
		for name, svc := range snap.Config.Services {
			if svc.Engine == nil || svc.Engine.StageChangeTime <= 0 {
				continue
			}
			l, ok := loads[name]
			if !ok {
				l = &[2]stageLoad{}
				loads[name] = l
			}
			r.sampleLoads(name, l)
			if time.Since(lastShift) < averagingTime {
				continue
			}
			if from, ok := shift(l[0], l[1]); ok && r.reassign(ctx, holder, name, from, svc.Engine.StageChangeTime) {
				lastShift = time.Now()
			}
		}
	}
}

// sampleLoads adds a sample to the average loads of a service: the fraction of its
// prefill servers that are busy, and the fraction of the decode memory that is in use.
func (r *Router) sampleLoads(service string, l *[2]stageLoad) {
	busy, used, total := 0, 0.0, 0.0
	l[0].servers, l[1].servers = 0, 0
	prefills, decodes := 0, 0
	wall := time.Now()
	r.dispatch.VisitServers(service, func(now time.Duration, prefillServers, decodeServers []*backend) {
		for _, b := range prefillServers {
			if b.switchTimeLeft(wall) > 0 {
				l[1].servers++ // it becomes a decode server
				continue
			}
			l[0].servers++
			prefills++
			if b.view.PrefillTokens() > 0 {
				busy++
			}
		}
		for _, b := range decodeServers {
			if b.switchTimeLeft(wall) > 0 {
				l[0].servers++
				continue
			}
			l[1].servers++
			decodes++
			used += b.view.Project(now).Now()
			total += float64(b.view.Pieces())
		}
	})
	// A server that changes its stage is counted in its new stage but has no load there
	// yet: the load of the others is averaged over all servers of the stage.
	if prefills > 0 {
		l[0].load += sampleGain * (float64(busy)/float64(l[0].servers) - l[0].load)
	}
	if total > 0 {
		share := float64(decodes) / float64(l[1].servers)
		l[1].load += sampleGain * (share*used/(projectedShare*total) - l[1].load)
	}
}

// reassign orders the least used server of a stage to the other one. switchTime is
// the time that the change takes. It reports whether the server accepted the order.
func (r *Router) reassign(ctx context.Context, holder, service string, from directory.Stage, switchTime time.Duration) bool {
	b := r.leastUsed(service, from)
	if b == nil {
		return false
	}
	to := directory.Prefill
	if from == directory.Prefill {
		to = directory.Decode
	}
	b.stageChangeUntil.Store(time.Now().Add(switchTime + switchMargin).UnixNano())
	b.orderedLocally.Store(true)
	r.shareUsage(b)
	sleep.WithContext(ctx, orderNotice)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.servers.Order(ctx, &Order{Server: b.server.Load(), Stage: to, Holder: holder, Fence: time.Now().UnixMilli()})
	_ = level.Info(r.log).Log("msg", "stage ordered", "server", b.Name(), "from", from, "to", to, "err", err)
	if err != nil {
		b.stageChangeUntil.Store(0)
	}
	time.AfterFunc(switchTime+switchMargin, func() { b.orderedLocally.Store(false); r.shareUsage(b) })
	return err == nil
}

// leastUsed returns the server of a stage that takes work and has the fewest prefill
// tokens and slots in use; nil if there is none.
func (r *Router) leastUsed(service string, stage directory.Stage) *backend {
	var best *backend
	minUse := 0
	r.dispatch.VisitServers(service, func(_ time.Duration, prefills, decodes []*backend) {
		servers := prefills
		if stage == directory.Decode {
			servers = decodes
		}
		for _, b := range servers {
			use := b.view.PrefillTokens() + b.view.SlotsUsed()
			if !b.view.Unavailable && (best == nil || use < minUse) {
				best, minUse = b, use
			}
		}
	})
	return best
}
