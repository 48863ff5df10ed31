package router

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/pause"
)

// Bounds of the balance between prefill and decode servers.
const (
	// sampleEvery is the interval at which loads are looked at.
	sampleEvery = 50 * time.Millisecond
	// sampleGain is the weight of one sample: loads are averaged over about 2 s.
	sampleGain = 0.025
	// settle is the time after the start, and after an order, in which loads are
	// only averaged.
	settle = 1500 * time.Millisecond
	// idleShare is the load of one stage, as a part of the other's, below which a
	// server of it is given to the other.
	idleShare = 0.55
	// afterShare is the load that the giving stage may have after a shift, as a part
	// of the other's: work comes in bursts, which queue at few servers long before
	// their mean load is high.
	afterShare = 0.6
	// leastLoad is the load of the busier stage below which nothing is worth an
	// order.
	leastLoad = 0.3
	// leastStageShare is the part of a service's servers that each stage keeps.
	leastStageShare = 0.25
	// leastStage is the number of servers that each stage keeps, so that the loss
	// of one leaves some.
	leastStage = 2
	// switchMargin is added to the time that a server needs to change its stage: its
	// registration follows with the next heartbeat, after up to two seconds.
	switchMargin = 2500 * time.Millisecond
	// orderNotice is the time in which the other entries stop sending to a server
	// that is about to change its stage.
	orderNotice = 100 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = time.Second
)

// stageLoad is the mean load of the servers of one stage, from 0 to 1.
type stageLoad struct {
	servers int
	load    float64
}

// shift returns the stage that should give a server to the other, if any. The
// giving stage stays well below the other one.
func shift(prefill, decode stageLoad) (from directory.Stage, ok bool) {
	least := max(leastStage, int(leastStageShare*float64(prefill.servers+decode.servers)+0.5))
	gives := func(idle, busy stageLoad) bool {
		if idle.servers <= least || busy.servers == 0 || busy.load < leastLoad || idle.load >= idleShare*busy.load {
			return false
		}
		n, m := float64(idle.servers), float64(busy.servers)
		return idle.load*n/(n-1) < afterShare*busy.load*m/(m+1)
	}
	switch {
	case gives(prefill, decode):
		return directory.Prefill, true
	case gives(decode, prefill):
		return directory.Decode, true
	default:
		return directory.Plain, false
	}
}

// Balance moves servers of model services between the stages until ctx ends. One
// process of the fleet may run it, since a server takes orders of one holder.
// It answers a load whose prefills leave their servers idle while decode memory
// is full, or the reverse.
func (r *Router) Balance(ctx context.Context, holder string) {
	loads := map[string]*[2]stageLoad{}
	last := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, sampleEvery)
		snap := r.directory.Current()
		if snap.Config == nil {
			continue
		}
		for name, svc := range snap.Config.Services {
			if svc.Engine == nil || svc.Engine.Switch <= 0 {
				continue
			}
			l, ok := loads[name]
			if !ok {
				l = &[2]stageLoad{}
				loads[name] = l
			}
			r.sample(name, l)
			if time.Since(last) < settle {
				continue
			}
			if from, ok := shift(l[0], l[1]); ok && r.reassign(ctx, holder, name, from, svc.Engine.Switch) {
				last = time.Now()
			}
		}
	}
}

// sample averages the loads of a service: the part of its prefill servers that
// read a prompt, and the part of the decode memory that is in use.
func (r *Router) sample(service string, l *[2]stageLoad) {
	busy, used, total := 0, 0.0, 0.0
	l[0].servers, l[1].servers = 0, 0
	prefills, decodes := 0, 0
	wall := time.Now()
	r.dispatch.Look(service, func(now time.Duration, prefillServers, decodeServers []*backend) {
		for _, b := range prefillServers {
			if b.away(wall) > 0 {
				l[1].servers++ // it will be one of the others
				continue
			}
			l[0].servers++
			prefills++
			if b.view.PrefillTokens() > 0 {
				busy++
			}
		}
		for _, b := range decodeServers {
			if b.away(wall) > 0 {
				l[0].servers++
				continue
			}
			l[1].servers++
			decodes++
			used += b.view.Project(now).Now()
			total += float64(b.view.Pieces())
		}
	})
	// The load of a stage is spread over the servers that it will have.
	if prefills > 0 {
		l[0].load += sampleGain * (float64(busy)/float64(l[0].servers) - l[0].load)
	}
	if total > 0 {
		share := float64(decodes) / float64(l[1].servers)
		l[1].load += sampleGain * (share*used/(projectedShare*total) - l[1].load)
	}
}

// reassign gives the least loaded server of a stage to the other one.
func (r *Router) reassign(ctx context.Context, holder, service string, from directory.Stage, takes time.Duration) bool {
	b := r.idlest(service, from)
	if b == nil {
		return false
	}
	to := directory.Prefill
	if from == directory.Prefill {
		to = directory.Decode
	}
	b.awayUntil.Store(time.Now().Add(takes + switchMargin).UnixNano())
	b.orderedHere.Store(true)
	r.tell(b)
	pause.For(ctx, orderNotice)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.servers.Order(ctx, &Order{Server: b.server.Load(), Stage: to, Holder: holder, Fence: time.Now().UnixMilli()})
	_ = level.Info(r.log).Log("msg", "stage ordered", "server", b.Name(), "from", from, "to", to, "err", err)
	if err != nil {
		b.awayUntil.Store(0)
	}
	time.AfterFunc(takes+switchMargin, func() { b.orderedHere.Store(false); r.tell(b) })
	return err == nil
}

// idlest returns the usable server of a stage with the least in use.
func (r *Router) idlest(service string, stage directory.Stage) *backend {
	var best *backend
	least := 0
	r.dispatch.Look(service, func(_ time.Duration, prefills, decodes []*backend) {
		servers := prefills
		if stage == directory.Decode {
			servers = decodes
		}
		for _, b := range servers {
			use := b.view.PrefillTokens() + b.view.SlotsUsed()
			if !b.view.Down && (best == nil || use < least) {
				best, least = b, use
			}
		}
	})
	return best
}
