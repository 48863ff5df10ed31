package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Parameters of the balance between prefill and decode servers.
const (
	// sampleInterval is the interval at which new runs are counted.
	sampleInterval = 50 * time.Millisecond
	// sampleDelay is the time after its begin at which a run is counted, so that the
	// messages of all entries have arrived.
	sampleDelay = 200 * time.Millisecond
	// averagingTime is the time over which demand is averaged.
	averagingTime = 20 * time.Second
	// orderInterval is the minimum time between two rounds of orders for a service.
	orderInterval = 1500 * time.Millisecond
	// switchMargin is added to the time that a server needs to change its stage: its
	// registration follows with the next heartbeat, up to two seconds later.
	switchMargin = 2500 * time.Millisecond
	// orderNotice is the delay between the notice to the other entries that a server
	// changes its stage and the order to the server. Meanwhile they stop sending to it.
	orderNotice = 100 * time.Millisecond
	// orderTimeout bounds the call that gives one order.
	orderTimeout = time.Second
)

const millisPerSecond = 1000

// balance is what the holder of orders has recorded of the demand of one service.
type balance struct {
	// sampledAt is the time until which runs were counted, on the dispatcher's clock.
	sampledAt time.Duration
	// wish is the number of servers by which the prefill stage should shrink, or grow if
	// negative, and wishedSince the time since when its sign is the same.
	wish        int
	wishedSince time.Time
	// ordered is set once an order was given.
	ordered    bool
	lastOrders time.Time
	// floorWaivedUntil is the time until which the prefill stage may have fewer servers than
	// minStageServers, for the streams of a version that one of them was ordered to decode.
	floorWaivedUntil time.Time

	prefillWork float64 // seconds of prefill servers, decayed
	decodeWork  float64 // seconds of decode servers filled with runs, decayed
	runMemory   float64 // sum of the mean memory of runs in tokens, decayed
	runs        float64 // number of runs, decayed
}

// Balance moves servers of model services between the stages until ctx ends. Only one
// process of the fleet may run it, since a server accepts orders of one holder only.
// It answers loads whose shares of prefill and decode differ from the split with which
// the servers were started: the requests are counted as they arrive, at all entries, so
// that the split is known before a stage is full.
func (r *Router) Balance(ctx context.Context, holder string) {
	services := map[string]*balance{}
	var orders sync.WaitGroup
	defer orders.Wait()
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
			b, ok := services[name]
			if !ok {
				b = &balance{lastOrders: time.Now()}
				services[name] = b
			}
			prefills, decodes := r.sampleDemand(name, b)
			if time.Since(b.lastOrders) < orderInterval {
				continue
			}
			longest := streamTime(snap.Config, svc)
			if server := r.uncovered(name, longest); server != nil {
				b.lastOrders = time.Now()
				b.floorWaivedUntil = b.lastOrders.Add(svc.Engine.StageChangeTime + switchMargin + longest)
				_ = level.Info(r.log).Log("msg", "no decode server has a version of software", "service", name, "software", server.server.Load().Software, "server", server.Name())
				orders.Go(func() { r.reassign(ctx, holder, server, directory.Prefill, svc.Engine.StageChangeTime) })
				continue
			}
			if len(prefills) < minStageServers && time.Now().Before(b.floorWaivedUntil) {
				continue
			}
			d := b.demand(svc.Engine, r.prefillTime(snap.Config, svc))
			n := len(prefills) - d.bestSplit(prefills, decodes)
			if !b.lasting(n, svc.Engine.StageChangeTime) {
				continue
			}
			from := directory.Prefill
			if n < 0 {
				from, n = directory.Decode, -n
			}
			b.ordered, b.lastOrders = true, time.Now()
			_ = level.Info(r.log).Log("msg", "split changes", "service", name, "prefill_servers", len(prefills), "decode_servers", len(decodes), "prefill_speed", sum(prefills), "decode_speed", sum(decodes),
				"from", from, "servers", n, "prefill_demand", d.prefill, "decode_demand", d.decode, "runs", int(d.runs))
			for _, server := range r.toMove(name, from, n) {
				orders.Go(func() { r.reassign(ctx, holder, server.backend, from, svc.Engine.StageChangeTime) })
			}
		}
	}
}

// lasting records by how many servers the prefill stage should shrink. It reports whether
// to order that now: the first time at once, and then only if it should have shrunk, or
// grown, for as long as a change of stage takes. A shorter imbalance, as after a crash of
// servers that come back, is over before the change would help.
func (b *balance) lasting(wish int, stageChangeTime time.Duration) bool {
	if wish > 0 != (b.wish > 0) || wish < 0 != (b.wish < 0) {
		b.wishedSince = time.Now()
	}
	b.wish = wish
	return wish != 0 && (!b.ordered || time.Since(b.wishedSince) >= stageChangeTime)
}

// firstTokenTarget returns the shortest target for the first token of the routes that a
// service serves; 0 if none has one.
func firstTokenTarget(c *directory.Config, service *directory.Service) time.Duration {
	return shortest(c, service, func(r *directory.Route) time.Duration { return r.LatencyTarget })
}

// prefillTime returns the time that a request may spend at its prefill server: the target for the
// first token less the time that the decode takes to start.
func (r *Router) prefillTime(c *directory.Config, service *directory.Service) time.Duration {
	start := time.Duration(0)
	r.dispatch.Locked(func() {
		start = time.Duration(r.fleet.speedsOf(service.Name).StartMillis() * float64(time.Millisecond))
	})
	return max(firstTokenTarget(c, service)-start, 0)
}

// demand returns the demand of a service, up to a factor: the work in the time that the
// decayed sums cover, relative to that time. prefillTime is the time that a request may spend at
// its prefill server.
func (b *balance) demand(e *directory.Engine, prefillTime time.Duration) stageDemand {
	seconds := averagingTime.Seconds()
	d := stageDemand{prefill: b.prefillWork / seconds, decode: b.decodeWork / seconds, runs: b.runs}
	if b.runMemory > 0 {
		d.prefillsPerServer = max(1, prefillTime.Seconds()*b.runs/b.prefillWork)
		d.runsPerServer = min(float64(e.Slots), projectedShare*float64(e.MemoryTokens)*b.runs/b.runMemory)
	}
	return d
}

// sampleDemand adds the runs that began since the last sample, at all entries, to the
// demand of a service, in the time of usual servers. It returns the speeds of the servers of
// each stage, in the order in which they would change it; those that change their stage now
// count in the new one, last.
func (r *Router) sampleDemand(service string, b *balance) (prefills, decodes []float64) {
	wall := time.Now()
	r.dispatch.VisitServers(service, func(now time.Duration, prefillServers, decodeServers []*backend) {
		until := now - sampleDelay
		since := max(b.sampledAt, until-averagingTime)
		b.decay(until - since)
		rate := r.fleet.speedsOf(service).PrefillRate()
		for _, s := range decodeServers {
			s.view.VisitRuns(func(run *placement.Run) {
				if run.Began > since && run.Began <= until {
					b.add(run, rate, s.view.ServiceStepMillis(), projectedShare*float64(s.view.Pieces()))
				}
			})
		}
		prefilling, toDecode := stageSpeeds(prefillServers, directory.Prefill, wall)
		decoding, toPrefill := stageSpeeds(decodeServers, directory.Decode, wall)
		prefills, decodes = append(prefilling, toPrefill...), append(decoding, toDecode...)
		b.sampledAt = until
	})
	return prefills, decodes
}

// decay lowers the weight of what was counted before.
func (b *balance) decay(elapsed time.Duration) {
	keep := 1 - min(1, elapsed.Seconds()/averagingTime.Seconds())
	b.prefillWork, b.decodeWork, b.runMemory, b.runs = keep*b.prefillWork, keep*b.decodeWork, keep*b.runMemory, keep*b.runs
}

// add counts one run: the time of its prefill, and its mean memory for the time of its
// decode. A run holds its memory from the assignment on, so that the time of the prefill
// counts in both.
func (b *balance) add(run *placement.Run, prefillRate, stepMillis, memory float64) {
	prefillMillis := float64(run.Prompt) / prefillRate
	tokens := float64(run.Prompt) + run.Answer/2
	b.prefillWork += prefillMillis / millisPerSecond
	b.decodeWork += (prefillMillis + run.Answer*stepMillis) / millisPerSecond * tokens / memory
	b.runMemory += tokens
	b.runs++
}

// reassign orders a server of a stage to the other one. switchTime is the time that the
// change takes.
func (r *Router) reassign(ctx context.Context, holder string, b *backend, from directory.Stage, switchTime time.Duration) {
	to := from.Other()
	b.stageChangeUntil.Store(time.Now().Add(switchTime + switchMargin).UnixNano())
	b.orderedLocally.Store(true)
	r.shareUsage(b)
	sleep.WithContext(ctx, orderNotice)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.servers.Order(ctx, &Order{Server: b.server.Load(), Stage: to, Holder: holder, Fence: r.nextFence(time.Now())})
	_ = level.Info(r.log).Log("msg", "stage ordered", "server", b.Name(), "from", from, "to", to, "err", err)
	ended := func() { b.orderedLocally.Store(false); r.shareUsage(b) }
	if err != nil {
		b.stageChangeUntil.Store(0)
		ended()
		return
	}
	time.AfterFunc(switchTime+switchMargin, ended)
}

// nextFence returns a fence above those that this process has used. It is the time of day in
// milliseconds, so that it is above those of earlier holders too, unless the clock went back.
func (r *Router) nextFence(now time.Time) int64 {
	for {
		last := r.lastFence.Load()
		next := max(now.UnixMilli(), last+1)
		if r.lastFence.CompareAndSwap(last, next) {
			return next
		}
	}
}

// minVersionServers is the number of servers of one version of software from which one of
// them decodes while other versions serve too: the streams that the version began may go on
// nowhere else.
const minVersionServers = 2

// coverage returns the number of decode servers that stay, by version of software.
func coverage(decodes []*backend) map[string]int {
	out, now := map[string]int{}, time.Now()
	for _, b := range decodes {
		if !b.leaving() && b.switchTimeLeft(now) == 0 {
			out[b.server.Load().Software]++
		}
	}
	return out
}

// streamTime returns the time for which streams of a service last at most.
func streamTime(c *directory.Config, service *directory.Service) time.Duration {
	longest := time.Duration(0)
	for i := range c.Routes {
		if c.Routes[i].Serves(service.Name) {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	return longest
}

// uncovered returns the least used prefill server of a version of software that began
// streams within a time and that no decode server has any longer; nil if there is no such
// version, or no other prefill server takes work. This goes before minStageServers: without
// it the streams of the version end for certain, while a stage of one server ends
// requests only if that one fails, too.
func (r *Router) uncovered(service string, within time.Duration) *backend {
	began := r.fleet.softwareWithin(service, within)
	if len(began) <= 1 {
		return nil
	}
	var found *backend
	r.dispatch.VisitServers(service, func(_ time.Duration, prefills, decodes []*backend) {
		now, covering, all, available := time.Now(), coverage(decodes), map[string]int{}, 0
		for _, b := range prefills {
			switch {
			case b.leaving():
			case b.switchTimeLeft(now) > 0:
				covering[b.server.Load().Software]++ // it will decode
			default:
				if !b.view.Unavailable {
					available++
				}
				all[b.server.Load().Software]++
			}
		}
		if available < 2 {
			return
		}
		for _, b := range prefills {
			software := b.server.Load().Software
			if b.view.Unavailable || covering[software] > 0 || all[software] < minVersionServers || !slices.Contains(began, software) {
				continue
			}
			if found == nil || b.view.PrefillTokens() < found.view.PrefillTokens() {
				found = b
			}
		}
	})
	return found
}

// toMove returns up to n servers of a stage that take work, in the order in which servers
// change it, but not the last decode server of a version of software
// beside others.
func (r *Router) toMove(service string, stage directory.Stage, n int) []candidate {
	var found []candidate
	r.dispatch.VisitServers(service, func(_ time.Duration, prefills, decodes []*backend) {
		servers := prefills
		if stage == directory.Decode {
			servers = decodes
		}
		covering := coverage(decodes)
		for _, b := range servers {
			last := stage == directory.Decode && len(covering) > 1 && covering[b.server.Load().Software] == 1
			if !b.view.Unavailable && !last {
				found = append(found, newCandidate(b, stage))
			}
		}
	})
	sortCandidates(found, stage)
	return found[:min(n, len(found))]
}
