package router

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/origin"
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
	// orderBackoff is the time for which a server gets no further order after one failed: the
	// process beside it may be gone.
	orderBackoff = 5 * time.Second
	// leadInterval is the interval at which an entry checks whether it leads.
	leadInterval = time.Second
	// confirmedFor is the time for which orders may rely on a view that the registry has confirmed.
	confirmedFor = 500 * time.Millisecond
)

const millisPerSecond = 1000

// balance is what the entry that leads has recorded of the demand of one service.
type balance struct {
	// since is the time from which it was recorded, and confirmedAt that at which the registry last
	// confirmed the view of the servers.
	since, confirmedAt time.Time
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

// Balance moves servers of model services between the stages until ctx ends, whenever this entry
// leads. Another entry may take itself to lead at the same time, if the two don't see each other:
// the process beside a server gives the orders, and decides which of the two counts. It answers
// loads whose shares of prefill and decode differ from the split with which the servers were
// started: the requests are counted as they arrive, at all entries, so that the split is known
// before a stage is full.
func (r *Router) Balance(ctx context.Context) {
	services := map[string]*balance{}
	var orders sync.WaitGroup
	defer orders.Wait()
	for ctx.Err() == nil {
		if !r.leads() {
			clear(services) // what was counted is old when it leads again
			sleep.WithContext(ctx, leadInterval)
			continue
		}
		for until := time.Now().Add(leadInterval); ctx.Err() == nil && time.Now().Before(until); {
			sleep.WithContext(ctx, sampleInterval)
			r.balanceAll(ctx, services, &orders)
		}
	}
}

// leads reports whether this entry has servers ordered to other stages.
func (r *Router) leads() bool { return r.options.Peers == nil || r.options.Peers.Leads() }

// balanceAll samples the demand of all services, and has servers ordered where that is due.
func (r *Router) balanceAll(ctx context.Context, services map[string]*balance, orders *sync.WaitGroup) {
	snap := r.directory.Current()
	if snap.Config == nil {
		return
	}
	for name, svc := range snap.Config.Services {
		if svc.Engine == nil || svc.Engine.StageChangeTime <= 0 {
			continue
		}
		b, ok := services[name]
		if !ok {
			b = &balance{lastOrders: time.Now(), since: time.Now()}
			services[name] = b
		}
		prefills, decodes := r.sampleDemand(name, b)
		if time.Since(b.lastOrders) < orderInterval {
			continue
		}
		due := r.dueOrders(snap.Config, svc, b, prefills, decodes)
		if len(due.servers) == 0 || !r.viewConfirmed(ctx, b) {
			continue
		}
		_ = level.Info(r.log).Log(append([]any{"msg", due.cause, "service", name, "from", due.from, "servers", len(due.servers)}, due.log...)...)
		now := time.Now()
		if b.lastOrders = now; due.cause == causeSplit {
			b.ordered = true
		} else {
			b.floorWaivedUntil = now.Add(svc.Engine.StageChangeTime + switchMargin + streamTime(snap.Config, svc))
		}
		for _, server := range due.servers {
			orders.Go(func() { r.reassign(ctx, server, due.from, svc.Engine.StageChangeTime) })
		}
	}
}

// viewConfirmed reports whether the registry has just confirmed the view on which orders are based.
// It asks the registry first if it has not; the orders are due again if they still hold then.
func (r *Router) viewConfirmed(ctx context.Context, b *balance) bool {
	if r.options.Registry == nil || time.Since(b.confirmedAt) < confirmedFor {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, coverTimeout)
	defer cancel()
	if err := r.options.Registry.Cover(ctx, 0); err != nil {
		b.lastOrders = time.Now()
		_ = level.Warn(r.log).Log("msg", "no orders without the registry", "err", err)
		return false
	}
	b.confirmedAt = time.Now()
	return false
}

// Causes of orders.
const (
	causeSplit   = "split changes"
	causeVersion = "too few decode servers for the streams of a version of software"
)

// dueOrders are the servers of a service that are to leave a stage now.
type dueOrders struct {
	from    directory.Stage
	servers []*backend
	cause   string
	log     []any // further fields of the log line
}

// dueOrders returns the orders of a service that are due; none if it has no servers.
func (r *Router) dueOrders(c *directory.Config, svc *directory.Service, b *balance, prefills, decodes []float64) dueOrders {
	d := b.demand(svc.Engine, r.prefillTime(c, svc))
	if server := r.uncovered(svc.Name, streamTime(c, svc), d.runsPerServer); server != nil {
		return dueOrders{from: directory.Prefill, servers: []*backend{server}, cause: causeVersion, log: []any{"software", server.server.Load().Software, "server", server.Name()}}
	}
	if len(prefills) < minStageServers && time.Now().Before(b.floorWaivedUntil) || !r.demandKnown(b) {
		return dueOrders{}
	}
	n := len(prefills) - d.bestSplit(prefills, decodes)
	if !b.lasting(n, svc.Engine.StageChangeTime) {
		return dueOrders{}
	}
	due := dueOrders{from: directory.Prefill, cause: causeSplit, log: []any{
		"prefill_servers", len(prefills), "decode_servers", len(decodes), "prefill_speed", sum(prefills), "decode_speed", sum(decodes),
		"prefill_demand", d.prefill, "decode_demand", d.decode, "runs", int(d.runs),
	}}
	if n < 0 {
		due.from, n = directory.Decode, -n
	}
	for _, c := range r.toMove(svc.Name, due.from, n) {
		due.servers = append(due.servers, c.backend)
	}
	return due
}

// demandKnown reports whether this entry has counted the demand for long enough to change the
// split: at the first start of the system from the first requests on, and later for the averaging
// time.
func (r *Router) demandKnown(b *balance) bool {
	first := r.options.FirstStart && b.since.Sub(r.started) < averagingTime
	return first || time.Since(b.since) >= averagingTime
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

// reassign has a server of a stage ordered to the other one. switchTime is the time that the
// change takes.
func (r *Router) reassign(ctx context.Context, b *backend, from directory.Stage, switchTime time.Duration) {
	to := from.Other()
	b.stageChangeUntil.Store(time.Now().Add(switchTime + switchMargin).UnixNano())
	b.orderedLocally.Store(true)
	r.shareUsage(b)
	sleep.WithContext(ctx, orderNotice)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.servers.Order(ctx, &Order{Server: b.server.Load(), To: to, Duration: switchTime + switchMargin})
	_ = level.Info(r.log).Log("msg", "stage ordered", "server", b.Name(), "from", from, "to", to, "err", err)
	ended := func() { b.orderedLocally.Store(false); r.shareUsage(b) }
	if err != nil {
		b.noOrdersUntil.Store(time.Now().Add(orderBackoff).UnixNano())
		b.stageChangeUntil.Store(0)
		ended()
		return
	}
	time.AfterFunc(switchTime+switchMargin, ended)
}

// takesOrders reports whether a server may be ordered to another stage.
func (b *backend) takesOrders(now time.Time) bool {
	return !b.view.Unavailable && now.UnixNano() >= b.noOrdersUntil.Load()
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

// uncovered returns the least used prefill server of a version of software that began streams
// within a time and has too few decode servers left for them; nil if there is none. perServer is
// the number of runs for which one server has room; 0 if that is not known.
//
// The first decode server of a version goes before minStageServers, as long as another prefill
// server takes work: without it the streams of the version end for certain, while a stage of one
// server ends requests only if that one fails, too. Further ones don't.
func (r *Router) uncovered(service string, within time.Duration, perServer float64) *backend {
	began := r.fleet.softwareWithin(service, within)
	if len(began) <= 1 {
		return nil
	}
	var found *backend
	r.dispatch.VisitServers(service, func(_ time.Duration, prefills, decodes []*backend) {
		now, covering, all, leaving, available := time.Now(), coverage(decodes), map[string]int{}, map[string]bool{}, 0
		for _, b := range decodes {
			if b.leaving() {
				leaving[b.server.Load().Software] = true
			}
		}
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
		needs := func(software string) bool {
			n := covering[software]
			if n == 0 {
				return available >= 2 && all[software] >= minVersionServers
			}
			return leaving[software] && available > minStageServers && n < r.decodeServersFor(origin.Origin{Service: service, Software: software}, perServer)
		}
		for _, b := range prefills {
			software := b.server.Load().Software
			if !b.takesOrders(now) || !slices.Contains(began, software) || !needs(software) {
				continue
			}
			if found == nil || b.view.PrefillTokens() < found.view.PrefillTokens() {
				found = b
			}
		}
	})
	return found
}

// decodeServersFor returns the number of decode servers that have room for the streams that
// something began and that may be taken up. The other entries are taken to relay as many as this
// one.
func (r *Router) decodeServersFor(o origin.Origin, perServer float64) int {
	if perServer <= 0 {
		return 1
	}
	entries := 1
	if r.options.Peers != nil {
		entries += r.options.Peers.Alive()
	}
	return int(math.Ceil(float64(r.relayed.count(o)*entries) / perServer))
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
		now, covering := time.Now(), coverage(decodes)
		for _, b := range servers {
			last := stage == directory.Decode && len(covering) > 1 && covering[b.server.Load().Software] == 1
			if b.takesOrders(now) && !last {
				found = append(found, newCandidate(b, stage))
			}
		}
	})
	sortCandidates(found, stage)
	return found[:min(n, len(found))]
}
