package benchmodel

import (
	"math/rand/v2"
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// Bounds of an entry.
const (
	// maxAttempts is the max number of attempts of a request.
	maxAttempts = 6
	// maxRecheckDelay and minRecheckDelay bound the time until a queue whose head
	// cannot be dispatched is checked again.
	maxRecheckDelay = 20 * time.Millisecond
	minRecheckDelay = time.Millisecond
	// stepSampleTokens is the number of tokens over which a step time is averaged.
	stepSampleTokens = 8
	modelName        = "model"
)

// entryModel is one entry. Its records of the servers lag behind their state.
type entryModel struct {
	sim            *simulation
	centre         int
	dead           bool
	sched          *schedule.Schedule
	planner        *placement.Planner
	prefills       []*placement.Server // the entry's records of the servers
	decodes        []*placement.Server
	index          *placement.PrefixIndex
	lengths        *predict.Lengths
	rnd            *rand.Rand
	hits           []placement.Hit // buffer of refreshDemand
	lastMark       uint64          // latest Server.Mark that queueBids has set
	recheckPending bool
}

// activeRequest is a request that its entry has admitted, with its present
// attempt.
type activeRequest struct {
	e        *entryModel
	req      *request
	job      *schedule.Job
	demand   placement.Request
	refusals int // consecutive refusals by prefill servers

	// Fields of the attempt.
	prefill, decode int // indices of its servers; decode is -1 until chosen
	task            *decodeTask
	kv              *kvResult
	counted         bool          // as one of req.attempts
	tokens          int           // tokens received in the attempt
	sampleStart     time.Duration // start of the present sample of the step time
}

func newEntry(sim *simulation, id int) *entryModel {
	e := &entryModel{
		sim: sim, centre: id % sim.fleet.DataCentres,
		sched:   schedule.New(sim.policy.Admission, sim.policy.Order),
		planner: sim.policy.Planner(), index: placement.NewPrefixIndex(),
		lengths: predict.NewLengths(),
		rnd:     rand.New(rand.NewPCG(sim.fleet.Seed, uint64(1000+id))),
	}
	for i, s := range sim.prefills {
		e.prefills = append(e.prefills, &placement.Server{ID: int32(i), Distance: sim.delay(e.centre, s.centre)})
	}
	for i, s := range sim.decodes {
		v := &placement.Server{ID: int32(i), Distance: sim.delay(e.centre, s.centre)}
		v.RecordReport(0, s.report())
		e.decodes = append(e.decodes, v)
	}
	return e
}

// arrive receives a request from the load balancer and admits or refuses it.
func (e *entryModel) arrive(r *request) {
	p := e.sim.fleet.Providers[r.provider]
	goal := admission.NewGoal(firstTokenTarget, tokenIntervalTarget, p.GoodputWeight, p.WastedPrefillWeight)
	if e.sim.policy.Caution >= 0 {
		goal.Caution = e.sim.policy.Caution
	}
	a := &activeRequest{e: e, req: r}
	a.job = &schedule.Job{Provider: p.Name, Weight: p.Weight, Goal: goal, Arrived: e.sim.clock.now, Owner: a}
	e.prepareJob(a)
	if !e.sched.Offer(e.sim.clock.now, a.job, e.sched.Wait(a.job), e.predictFirstToken(a)).Admitted {
		r.refused = true
		return
	}
	e.dispatchQueued()
}

// prepareJob sets the inputs of the decisions on a request that change with each
// attempt.
func (e *entryModel) prepareJob(a *activeRequest) {
	r := a.req
	tokens := r.prompt + r.received
	key := predict.LengthKey{Model: modelName, Provider: a.job.Provider}
	a.demand = placement.Request{
		PromptTokens: tokens, Pieces: piecesOf(r.prompt + maxAnswer), AnswerTokens: e.lengths.Predict(key),
		BetweenTokens: tokenIntervalTarget, Caution: a.job.Goal.Caution,
	}
	if e.sim.policy.Reservation == ReserveFree {
		a.demand.Caution = 1 // counts no predicted release of slots or memory
	}
	a.job.PrefillMillis = e.planner.PrefillMillis(tokens)
	a.job.MinTimeToFirstToken = e.planner.MinTimeToFirstToken(tokens)
}

// predictFirstToken returns the predicted time from dispatch to the first token.
func (e *entryModel) predictFirstToken(a *activeRequest) time.Duration {
	e.refreshDemand(a)
	c, ok := e.planner.ChoosePrefill(e.rnd, &a.demand, e.prefills)
	if !ok {
		return a.job.MinTimeToFirstToken
	}
	return time.Duration(c.Cost*float64(time.Millisecond)) + placement.StartOverhead
}

// refreshDemand sets the inputs of placement that change with time: the present
// time and the servers that hold cached prefixes of the prompt.
func (e *entryModel) refreshDemand(a *activeRequest) {
	a.demand.Now = e.sim.clock.now
	e.hits = e.hits[:0]
	if e.sim.policy.UsePrefixIndex {
		e.hits = e.index.Lookup(a.req.prefixes, e.hits)
	}
	a.demand.Hits = e.hits
}

// dispatchQueued refuses the jobs that cannot meet their deadline any more. It then
// dispatches jobs until the head of the queue has no server or must wait longer
// than the policy's MaxDispatchWait.
func (e *entryModel) dispatchQueued() {
	if e.dead {
		return
	}
	for j := e.sched.PopLate(e.sim.clock.now); j != nil; j = e.sched.PopLate(e.sim.clock.now) {
		j.Owner.(*activeRequest).req.refused = true
	}
	for j := e.sched.Head(); j != nil; j = e.sched.Head() {
		a := j.Owner.(*activeRequest)
		plan, ok := e.plan(a)
		if !ok {
			e.recheckAfter(maxRecheckDelay)
			return
		}
		if maxWait := e.sim.policy.MaxDispatchWait; maxWait > 0 && plan.Wait > maxWait && !j.Urgent {
			e.recheckAfter(plan.Wait - maxWait)
			return
		}
		e.sched.Pop(e.sim.clock.now)
		e.dispatch(a, plan)
	}
}

// plan chooses the servers of a request. With ReserveAfterPrefill it chooses only the
// prefill server.
func (e *entryModel) plan(a *activeRequest) (placement.Plan, bool) {
	e.refreshDemand(a)
	if e.sim.policy.Reservation != ReserveAfterPrefill {
		return e.planner.Plan(e.rnd, &a.demand, e.prefills, e.decodes)
	}
	c, ok := e.planner.ChoosePrefill(e.rnd, &a.demand, e.prefills)
	if !ok {
		return placement.Plan{}, false
	}
	wait := e.prefills[c.Index].WaitMillis(e.sim.clock.now)
	return placement.Plan{Prefill: c.Index, Decode: -1, Wait: time.Duration(wait * float64(time.Millisecond))}, true
}

// recheckAfter schedules a check of the queue unless one is scheduled already.
func (e *entryModel) recheckAfter(d time.Duration) {
	if e.recheckPending {
		return
	}
	e.recheckPending = true
	e.sim.clock.after(min(max(d, minRecheckDelay), maxRecheckDelay), func() {
		e.recheckPending = false
		e.dispatchQueued()
	})
}

// dispatch begins an attempt.
func (e *entryModel) dispatch(a *activeRequest, plan placement.Plan) {
	a.tokens, a.kv, a.task, a.counted = 0, nil, nil, false
	a.prefill, a.decode = plan.Prefill, plan.Decode
	if e.sim.policy.Reservation == ReserveAfterPrefill {
		e.runPrefill(a)
		return
	}
	e.reserveDecode(a, func() { e.runPrefill(a) })
}

// reserveDecode requests a reservation at the chosen decode server and calls
// accepted if the server grants it.
func (e *entryModel) reserveDecode(a *activeRequest, accepted func()) {
	server, view := e.sim.decodes[a.decode], e.decodes[a.decode]
	use := placement.Use{Slots: 1, Pieces: a.demand.Pieces}
	view.RecordSend(e.sim.clock.now, use)
	timeToPrefillEnd := a.demand.ForecastHorizon
	e.callServer(server.centre, &server.dead, func() func() {
		t := &decodeTask{req: a.req, pieces: a.demand.Pieces, priority: a.priority(), owner: e}
		ok := server.reserve(t, timeToPrefillEnd)
		report := e.sim.decodeReport(server)
		return func() {
			view.RecordReply(use)
			view.RecordReport(e.sim.clock.now, report)
			if !ok {
				view.RecordEnd(e.sim.clock.now, use)
				view.RecordRefusal(e.sim.clock.now)
				e.handleRefusal(a)
				return
			}
			a.bindDecode(t, use)
			accepted()
		}
	}, func() {
		view.RecordEnd(e.sim.clock.now, use)
		e.handleRefusal(a)
	})
}

// bindDecode sets the callbacks of a decode task that belongs to the request.
func (a *activeRequest) bindDecode(t *decodeTask, use placement.Use) {
	view := a.e.decodes[a.decode]
	a.task = t
	delay := view.Distance
	t.onToken = func() { a.receiveToken(t, view, use, delay) }
	t.onFailure = func(reason failure) {
		a.e.sim.clock.after(delay, func() {
			view.RecordEnd(a.e.sim.clock.now, use)
			if a.task == t {
				a.e.attemptFailed(a, reason)
			}
		})
	}
}

// priority returns the priority of the request at engines. Urgent requests come
// first, then those of providers below their share.
func (a *activeRequest) priority() int {
	switch {
	case a.job.Urgent:
		return 2
	case a.job.BelowShare() && !a.e.sim.policy.EqualBelowShare:
		return 1
	default:
		return 0
	}
}

// handleRefusal continues after a decode server refused a reservation or did not
// answer. A request without a finished prefill returns to its place in the queue.
func (e *entryModel) handleRefusal(a *activeRequest) {
	if e.dead {
		return
	}
	if a.kv != nil {
		e.reserveForResult(a)
		return
	}
	e.sched.Requeue(e.sim.clock.now, a.job)
	e.dispatchQueued()
}

// enqueueRetry puts a request back into the queue, or refuses it if admission does.
// Urgent requests go first.
func (e *entryModel) enqueueRetry(a *activeRequest, urgent bool) {
	e.prepareJob(a)
	a.job.Urgent = urgent
	if !e.sched.Offer(e.sim.clock.now, a.job, e.sched.Wait(a.job), 0).Admitted {
		a.req.refused = true
	}
	e.dispatchQueued()
}

// runPrefill sends the prefill to the chosen server, which refuses it when the
// wait exceeds the predicted one by more than placement.WaitTolerance. After
// placement.MaxRefusals consecutive refusals any wait is accepted.
func (e *entryModel) runPrefill(a *activeRequest) {
	if !a.counted {
		a.counted = true
		a.req.attempts++
	}
	if e.sim.policy.TwoPrefillBids {
		e.queueBids(a)
		return
	}
	server, view := e.sim.prefills[a.prefill], e.prefills[a.prefill]
	use := placement.Use{Tokens: a.demand.PromptTokens}
	view.RecordSend(e.sim.clock.now, use)
	var maxWait time.Duration
	if e.sim.policy.MaxDispatchWait > 0 && a.refusals < placement.MaxRefusals {
		maxWait = time.Duration(view.WaitBefore(e.sim.clock.now, use)*float64(time.Millisecond)) + placement.WaitTolerance
	}
	e.callServer(server.centre, &server.dead, func() func() {
		t := &prefillTask{req: a.req, tokens: a.demand.PromptTokens, priority: a.priority()}
		t.done = func(kv *kvResult, ok bool) {
			report := e.sim.prefillReport(server)
			e.sim.clock.after(view.Distance, func() {
				view.RecordEnd(e.sim.clock.now, use)
				view.RecordReport(e.sim.clock.now, report)
				e.prefillEnded(a, kv, ok)
			})
		}
		if server.accept(t, maxWait) {
			report := e.sim.prefillReport(server)
			return func() {
				a.refusals = 0
				view.RecordReport(e.sim.clock.now, report)
			}
		}
		report := e.sim.prefillReport(server)
		return func() {
			a.refusals++
			view.RecordReply(use)
			view.RecordEnd(e.sim.clock.now, use)
			view.RecordReport(e.sim.clock.now, report)
			view.RecordRefusal(e.sim.clock.now)
			e.retryPrefill(a)
		}
	}, func() {
		view.RecordEnd(e.sim.clock.now, use)
		e.retryPrefill(a)
	})
}

// retryPrefill chooses a prefill server again after a refusal or a failed call. The
// attempt keeps its reservation.
func (e *entryModel) retryPrefill(a *activeRequest) {
	if e.dead {
		return
	}
	e.refreshDemand(a)
	c, ok := e.planner.ChoosePrefill(e.rnd, &a.demand, e.prefills)
	if !ok {
		e.abandonAttempt(a)
		return
	}
	a.prefill = c.Index
	e.runPrefill(a)
}

// queueBids queues a prefill at two servers. The first one that is ready to run it
// claims it.
func (e *entryModel) queueBids(a *activeRequest) {
	claimed := false
	for n := range 2 {
		e.refreshDemand(a)
		if n > 0 { // excludes the first server
			e.lastMark++
			e.prefills[a.prefill].Mark, a.demand.ExcludedMark = e.lastMark, e.lastMark
		}
		c, ok := e.planner.ChoosePrefill(e.rnd, &a.demand, e.prefills)
		a.demand.ExcludedMark = 0
		if !ok {
			break
		}
		a.prefill = c.Index
		server, view := e.sim.prefills[c.Index], e.prefills[c.Index]
		won := false
		t := &prefillTask{req: a.req, tokens: a.demand.PromptTokens, priority: a.priority()}
		t.claim = func() bool {
			won = !claimed
			claimed = true
			return won
		}
		t.done = func(kv *kvResult, ok bool) {
			report := e.sim.prefillReport(server)
			e.sim.clock.after(view.Distance, func() {
				view.RecordReport(e.sim.clock.now, report)
				if won || !ok && !claimed {
					claimed = true
					e.prefillEnded(a, kv, ok)
				}
			})
		}
		e.callServer(server.centre, &server.dead, func() func() {
			server.enqueue(t)
			report := e.sim.prefillReport(server)
			return func() { view.RecordReport(e.sim.clock.now, report) }
		}, func() { t.done(nil, false) })
	}
}

// prefillEnded continues an attempt with the result of its prefill.
func (e *entryModel) prefillEnded(a *activeRequest, kv *kvResult, ok bool) {
	if e.dead {
		if ok {
			e.sim.totals.wasted += kv.computeTime
		}
		return
	}
	e.dispatchQueued()
	if !ok {
		e.abandonAttempt(a)
		return
	}
	if e.sim.policy.UsePrefixIndex {
		e.index.Add(a.req.prefixes, int32(kv.source.id))
	}
	a.kv = kv
	if a.task == nil || a.task.phase == decodeEnded {
		e.reserveForResult(a)
		return
	}
	e.startDecode(a)
}

// abandonAttempt releases the reservation of an attempt whose prefill failed, and
// retries the request.
func (e *entryModel) abandonAttempt(a *activeRequest) {
	if t := a.task; t != nil && t.phase != decodeEnded {
		server, view := e.sim.decodes[a.decode], e.decodes[a.decode]
		view.RecordEnd(e.sim.clock.now, placement.Use{Slots: 1, Pieces: t.pieces})
		e.callServer(server.centre, &server.dead, func() func() {
			server.release(t)
			return func() {}
		}, func() {})
	}
	e.retryOrRefuse(a)
}

// reserveForResult reserves a decode server for a finished prefill that has none,
// because its server failed or because of ReserveAfterPrefill. It tries again until
// shortly before the result expires, and then retries the whole request.
func (e *entryModel) reserveForResult(a *activeRequest) {
	a.task = nil // ignores a late failure of the former decode server
	e.refreshDemand(a)
	a.demand.ForecastHorizon = 0
	if c, ok := e.planner.Decode.Choose(e.rnd, &a.demand, e.decodes); ok {
		a.decode = c.Index
		e.reserveDecode(a, func() { e.startDecode(a) })
		return
	}
	if e.sim.clock.now+maxRecheckDelay < a.kv.expires {
		e.sim.clock.after(maxRecheckDelay/2, func() { e.reserveForResult(a) })
		return
	}
	e.countWasted(a)
	e.retryOrRefuse(a)
}

// startDecode starts the decode of a finished prefill at its reserved server.
func (e *entryModel) startDecode(a *activeRequest) {
	server, t, kv := e.sim.decodes[a.decode], a.task, a.kv
	e.callServer(server.centre, &server.dead, func() func() {
		server.start(t, kv)
		report := e.sim.decodeReport(server)
		view := e.decodes[a.decode]
		return func() { view.RecordReport(e.sim.clock.now, report) }
	}, func() { t.onFailure(failedServer) })
}

// receiveToken records one token, which arrives after delay. With the last one the
// request is complete.
func (a *activeRequest) receiveToken(t *decodeTask, view *placement.Server, use placement.Use, delay time.Duration) {
	now := a.e.sim.clock.now + delay
	r := a.req
	if a.e.dead {
		return
	}
	r.received++
	a.tokens++
	if r.firstToken == 0 {
		r.firstToken = now
	}
	r.lastToken = now
	if a.tokens == 1 {
		a.sampleStart = now
	}
	if a.tokens > 1 && (a.tokens-1)%stepSampleTokens == 0 {
		view.ObserveStep(now, (now-a.sampleStart)/stepSampleTokens, tokenIntervalTarget)
		a.sampleStart = now
	}
	if r.received < r.answer {
		return
	}
	r.completed = true
	report := a.e.sim.decodeReport(a.e.sim.decodes[a.decode])
	a.e.sim.clock.after(delay, func() {
		view.RecordEnd(a.e.sim.clock.now, use)
		view.RecordReport(a.e.sim.clock.now, report)
		a.e.lengths.Add(predict.LengthKey{Model: modelName, Provider: a.job.Provider}, r.answer)
		a.e.dispatchQueued()
	})
}

// attemptFailed handles the end of an attempt before its answer was complete.
func (e *entryModel) attemptFailed(a *activeRequest, reason failure) {
	if e.dead {
		return
	}
	if reason == failedServer && a.tokens == 0 && a.kv != nil && a.kv.expires > e.sim.clock.now && !a.kv.source.dead {
		a.task = nil
		e.reserveForResult(a)
		return
	}
	if reason == failedServer && a.kv == nil && a.tokens == 0 {
		a.task = nil // prefillEnded will reserve another decode server
		return
	}
	if reason == failedTransfer {
		e.prefills[a.prefill].RecordStall(e.sim.clock.now)
	}
	if a.tokens == 0 {
		e.countWasted(a)
	}
	e.retryOrRefuse(a)
}

// countWasted counts the prefill of an attempt that was never decoded as wasted.
func (e *entryModel) countWasted(a *activeRequest) {
	if a.kv != nil {
		e.sim.totals.wasted += a.kv.computeTime
		if e.sim.policy.Refund {
			e.sched.Refund(a.job, float64(a.kv.computeTime)/float64(time.Millisecond))
		}
		a.kv = nil
	}
}

// retryOrRefuse queues another attempt, with EqualRetries behind the waiting jobs
// and otherwise ahead of them. After maxAttempts it refuses the request.
func (e *entryModel) retryOrRefuse(a *activeRequest) {
	if a.req.attempts >= maxAttempts {
		a.req.refused = true
		return
	}
	e.enqueueRetry(a, !e.sim.policy.EqualRetries)
}

// callServer runs a command at a server after the network delay. The command
// returns a function that handles the reply at the entry. If the server is dead,
// failed is called after detectionTime.
func (e *entryModel) callServer(centre int, dead *bool, command func() func(), failed func()) {
	delay := e.sim.delay(e.centre, centre)
	e.sim.clock.after(delay, func() {
		if *dead {
			e.sim.clock.after(detectionTime, failed)
			return
		}
		reply := command()
		e.sim.clock.after(delay, func() {
			reply()
			e.dispatchQueued()
		})
	})
}
