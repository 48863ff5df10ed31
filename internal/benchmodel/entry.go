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
	maxAttempts = 6
	// maxWake is the longest time before a held job is looked at again.
	maxWake = 20 * time.Millisecond
	minWake = time.Millisecond
	// stepSample is the number of tokens between two looks at a step time.
	stepSample = 8
	modelName  = "model"
)

// entryModel is one entry with its own lagging view of the servers.
type entryModel struct {
	w        *world
	centre   int
	dead     bool
	sched    *schedule.Schedule
	planner  *placement.Planner
	prefills []*placement.Server
	decodes  []*placement.Server
	index    *placement.PrefixIndex
	lengths  *predict.Lengths
	rnd      *rand.Rand
	hits     []placement.Hit
	mark     uint64
	waking   bool
}

// flight is one request on its way.
type flight struct {
	e       *entryModel
	req     *request
	job     *schedule.Job
	need    placement.Request
	refused int // refusals in a row

	prefill, decode int // servers of the attempt
	task            *decodeTask
	kv              *kvResult
	tokens          int
	sample          time.Duration // time of the last look at the step
}

func newEntry(w *world, id int) *entryModel {
	e := &entryModel{
		w: w, centre: id % w.fleet.DataCentres,
		sched:   schedule.New(w.policy.Admission, w.policy.Order),
		planner: w.policy.Planner(), index: placement.NewPrefixIndex(),
		lengths: predict.NewLengths(),
		rnd:     rand.New(rand.NewPCG(w.fleet.Seed, uint64(1000+id))),
	}
	for i, s := range w.prefills {
		e.prefills = append(e.prefills, &placement.Server{ID: int32(i), Distance: w.delay(e.centre, s.centre)})
	}
	for i, s := range w.decodes {
		v := &placement.Server{ID: int32(i), Distance: w.delay(e.centre, s.centre)}
		v.Learn(0, s.report())
		e.decodes = append(e.decodes, v)
	}
	return e
}

// arrive takes a request from the balancer.
func (e *entryModel) arrive(r *request) {
	p := e.w.fleet.Providers[r.provider]
	goal := admission.NewGoal(firstTokenTarget, betweenTarget, p.Goodput, p.WastedPrefill)
	if e.w.policy.Caution >= 0 {
		goal.Caution = e.w.policy.Caution
	}
	f := &flight{e: e, req: r}
	f.job = &schedule.Job{Provider: p.Name, Weight: p.Weight, Goal: goal, Arrived: e.w.clock.now, Owner: f}
	e.prepare(f)
	if !e.sched.Offer(e.w.clock.now, f.job, e.sched.Wait(f.job), e.predict(f)).Admitted {
		r.refused = true
		return
	}
	e.pump()
}

// prepare fills in what decisions need to know.
func (e *entryModel) prepare(f *flight) {
	r := f.req
	tokens := r.prompt + r.given
	key := predict.LengthKey{Model: modelName, Provider: f.job.Provider}
	f.need = placement.Request{
		PromptTokens: tokens, Pieces: piecesOf(r.prompt + maxAnswer), AnswerTokens: e.lengths.Predict(key),
		BetweenTokens: betweenTarget, Caution: f.job.Goal.Caution,
	}
	if e.w.policy.Promise == PromiseReserved {
		f.need.Caution = 1
	}
	f.job.Work = e.planner.Work(tokens)
	f.job.Path = e.planner.BestPath(tokens)
}

// predict returns the predicted time from dispatch to the first token.
func (e *entryModel) predict(f *flight) time.Duration {
	e.refresh(f)
	c, ok := e.planner.ChoosePrefill(e.rnd, &f.need, e.prefills)
	if !ok {
		return f.job.Path
	}
	return time.Duration(c.Cost*float64(time.Millisecond)) + placement.StartOverhead
}

// refresh brings the request up to the time of a decision.
func (e *entryModel) refresh(f *flight) {
	f.need.Now = e.w.clock.now
	e.hits = e.hits[:0]
	if e.w.policy.Prefixes {
		e.hits = e.index.Lookup(f.req.prefixes, e.hits)
	}
	f.need.Hits = e.hits
}

// pump gives up what is doomed and dispatches what can be.
func (e *entryModel) pump() {
	if e.dead {
		return
	}
	for j := e.sched.Doomed(e.w.clock.now); j != nil; j = e.sched.Doomed(e.w.clock.now) {
		j.Owner.(*flight).req.refused = true
	}
	for j := e.sched.Head(); j != nil; j = e.sched.Head() {
		f := j.Owner.(*flight)
		plan, ok := e.plan(f)
		if !ok {
			e.wake(maxWake)
			return
		}
		if hold := e.w.policy.Hold; hold > 0 && plan.Wait > hold && !j.Urgent {
			e.wake(plan.Wait - hold)
			return
		}
		e.sched.Pop(e.w.clock.now)
		e.dispatch(f, plan)
	}
}

func (e *entryModel) plan(f *flight) (placement.Plan, bool) {
	e.refresh(f)
	if e.w.policy.Promise != PromiseNone {
		return e.planner.Plan(e.rnd, &f.need, e.prefills, e.decodes)
	}
	c, ok := e.planner.ChoosePrefill(e.rnd, &f.need, e.prefills)
	if !ok {
		return placement.Plan{}, false
	}
	wait := e.prefills[c.Index].Wait(e.w.clock.now)
	return placement.Plan{Prefill: c.Index, Decode: -1, Wait: time.Duration(wait * float64(time.Millisecond))}, true
}

func (e *entryModel) wake(d time.Duration) {
	if e.waking {
		return
	}
	e.waking = true
	e.w.clock.after(min(max(d, minWake), maxWake), func() {
		e.waking = false
		e.pump()
	})
}

// dispatch begins an attempt.
func (e *entryModel) dispatch(f *flight, plan placement.Plan) {
	f.tokens, f.kv, f.task = 0, nil, nil
	f.prefill, f.decode = plan.Prefill, plan.Decode
	if e.w.policy.Promise == PromiseNone {
		e.runPrefill(f)
		return
	}
	e.reserve(f, func() { e.runPrefill(f) })
}

// reserve asks the chosen decode server for a promise.
func (e *entryModel) reserve(f *flight, accepted func()) {
	server, view := e.w.decodes[f.decode], e.decodes[f.decode]
	use := placement.Use{Slots: 1, Pieces: f.need.Pieces}
	view.Sent(e.w.clock.now, use)
	prefillIn := f.need.PrefillIn
	e.call(server.centre, &server.dead, func() func() {
		t := &decodeTask{req: f.req, pieces: f.need.Pieces, priority: f.priority(), owner: e}
		ok := server.reserve(t, prefillIn)
		report := e.w.decodeReport(server)
		return func() {
			view.Answered(use)
			view.Learn(e.w.clock.now, report)
			if !ok {
				view.Ended(e.w.clock.now, use)
				view.Refused(e.w.clock.now)
				e.again(f)
				return
			}
			f.bind(t, use)
			accepted()
		}
	}, func() {
		view.Ended(e.w.clock.now, use)
		e.again(f)
	})
}

// bind connects a decode task to its flight.
func (f *flight) bind(t *decodeTask, use placement.Use) {
	view := f.e.decodes[f.decode]
	f.task = t
	delay := view.Distance
	t.token = func() { f.token(t, view, use, delay) }
	t.failed = func(reason failure) {
		f.e.w.clock.after(delay, func() {
			view.Ended(f.e.w.clock.now, use)
			if f.task == t {
				f.e.lost(f, reason)
			}
		})
	}
}

func (f *flight) priority() int {
	switch {
	case f.job.Urgent:
		return 2
	case f.job.Lagging() && !f.e.w.policy.EqualLagging:
		return 1
	default:
		return 0
	}
}

// again returns a refused request to its place in the queue.
func (e *entryModel) again(f *flight) {
	if e.dead {
		return
	}
	if f.kv != nil {
		e.salvage(f)
		return
	}
	e.sched.Return(e.w.clock.now, f.job)
	e.pump()
}

// requeue puts a request back; urgent ones go first.
func (e *entryModel) requeue(f *flight, urgent bool) {
	e.prepare(f)
	f.job.Urgent = urgent
	if !e.sched.Offer(e.w.clock.now, f.job, e.sched.Wait(f.job), 0).Admitted {
		f.req.refused = true
	}
	e.pump()
}

// runPrefill asks the chosen prefill server, which refuses when its queue is
// much longer than foreseen.
func (e *entryModel) runPrefill(f *flight) {
	if f.refused == 0 {
		f.req.attempts++
	}
	if e.w.policy.Bids {
		e.bid(f)
		return
	}
	server, view := e.w.prefills[f.prefill], e.prefills[f.prefill]
	use := placement.Use{Tokens: f.need.PromptTokens}
	view.Sent(e.w.clock.now, use)
	var tolerated time.Duration
	if e.w.policy.Hold > 0 && f.refused < placement.MaxRefusals {
		tolerated = time.Duration(view.WaitBefore(e.w.clock.now, use)*float64(time.Millisecond)) + placement.WaitTolerance
	}
	e.call(server.centre, &server.dead, func() func() {
		t := &prefillTask{req: f.req, tokens: f.need.PromptTokens, priority: f.priority()}
		t.done = func(kv *kvResult, ok bool) {
			report := e.w.prefillReport(server)
			e.w.clock.after(view.Distance, func() {
				view.Ended(e.w.clock.now, use)
				view.Learn(e.w.clock.now, report)
				e.prefilled(f, kv, ok)
			})
		}
		if server.accept(t, tolerated) {
			report := e.w.prefillReport(server)
			return func() {
				f.refused = 0
				view.Learn(e.w.clock.now, report)
			}
		}
		report := e.w.prefillReport(server)
		return func() {
			f.refused++
			view.Answered(use)
			view.Ended(e.w.clock.now, use)
			view.Learn(e.w.clock.now, report)
			view.Refused(e.w.clock.now)
			e.prefillElsewhere(f)
		}
	}, func() {
		view.Ended(e.w.clock.now, use)
		e.prefillElsewhere(f)
	})
}

// prefillElsewhere chooses a prefill server again for a promised attempt.
func (e *entryModel) prefillElsewhere(f *flight) {
	if e.dead {
		return
	}
	e.refresh(f)
	c, ok := e.planner.ChoosePrefill(e.rnd, &f.need, e.prefills)
	if !ok {
		e.abandon(f)
		return
	}
	f.prefill = c.Index
	e.runPrefill(f)
}

// bid queues a prefill at two servers; the first with room claims it.
func (e *entryModel) bid(f *flight) {
	claimed := false
	for n := range 2 {
		e.refresh(f)
		if n > 0 {
			e.mark++
			e.prefills[f.prefill].Mark, f.need.Avoid = e.mark, e.mark
		}
		c, ok := e.planner.ChoosePrefill(e.rnd, &f.need, e.prefills)
		f.need.Avoid = 0
		if !ok {
			break
		}
		f.prefill = c.Index
		server, view := e.w.prefills[c.Index], e.prefills[c.Index]
		mine := false
		t := &prefillTask{req: f.req, tokens: f.need.PromptTokens, priority: f.priority()}
		t.ask = func() bool {
			mine = !claimed
			claimed = true
			return mine
		}
		t.done = func(kv *kvResult, ok bool) {
			report := e.w.prefillReport(server)
			e.w.clock.after(view.Distance, func() {
				view.Learn(e.w.clock.now, report)
				if mine || !ok && !claimed {
					claimed = true
					e.prefilled(f, kv, ok)
				}
			})
		}
		e.call(server.centre, &server.dead, func() func() {
			server.enqueue(t)
			report := e.w.prefillReport(server)
			return func() { view.Learn(e.w.clock.now, report) }
		}, func() { t.done(nil, false) })
	}
}

// prefilled goes on with the result of a prefill.
func (e *entryModel) prefilled(f *flight, kv *kvResult, ok bool) {
	if e.dead {
		if ok {
			e.w.result.wasted += kv.work
		}
		return
	}
	e.pump()
	if !ok {
		e.abandon(f)
		return
	}
	if e.w.policy.Prefixes {
		e.index.Learn(f.req.prefixes, int32(kv.source.id))
	}
	f.kv = kv
	if f.task == nil || f.task.phase == decodeEnded {
		e.salvage(f)
		return
	}
	e.startDecode(f)
}

// abandon ends an attempt whose prefill failed.
func (e *entryModel) abandon(f *flight) {
	if t := f.task; t != nil && t.phase != decodeEnded {
		server, view := e.w.decodes[f.decode], e.decodes[f.decode]
		view.Ended(e.w.clock.now, placement.Use{Slots: 1, Pieces: t.pieces})
		e.call(server.centre, &server.dead, func() func() {
			server.end(t)
			return func() {}
		}, func() {})
	}
	e.retry(f)
}

// salvage looks for another decode server while the result lives.
func (e *entryModel) salvage(f *flight) {
	f.task = nil // a late failure of the former decode server does not count
	e.refresh(f)
	f.need.PrefillIn = 0
	if c, ok := e.planner.Decode.Choose(e.rnd, &f.need, e.decodes); ok {
		f.decode = c.Index
		e.reserve(f, func() { e.startDecode(f) })
		return
	}
	if e.w.clock.now+maxWake < f.kv.life {
		e.w.clock.after(maxWake/2, func() { e.salvage(f) })
		return
	}
	e.waste(f)
	e.retry(f)
}

func (e *entryModel) startDecode(f *flight) {
	server, t, kv := e.w.decodes[f.decode], f.task, f.kv
	e.call(server.centre, &server.dead, func() func() {
		server.start(t, kv)
		report := e.w.decodeReport(server)
		view := e.decodes[f.decode]
		return func() { view.Learn(e.w.clock.now, report) }
	}, func() { t.failed(failedServer) })
}

// token takes one token of an attempt.
func (f *flight) token(t *decodeTask, view *placement.Server, use placement.Use, delay time.Duration) {
	now := f.e.w.clock.now + delay
	r := f.req
	if f.e.dead {
		return
	}
	r.given++
	f.tokens++
	if r.first == 0 {
		r.first = now
	}
	r.last = now
	if f.tokens == 1 {
		f.sample = now
	}
	if f.tokens > 1 && (f.tokens-1)%stepSample == 0 {
		view.ObserveStep(now, (now-f.sample)/stepSample, betweenTarget)
		f.sample = now
	}
	if r.given < r.answer {
		return
	}
	r.completed = true
	report := f.e.w.decodeReport(f.e.w.decodes[f.decode])
	f.e.w.clock.after(delay, func() {
		view.Ended(f.e.w.clock.now, use)
		view.Learn(f.e.w.clock.now, report)
		f.e.lengths.Add(predict.LengthKey{Model: modelName, Provider: f.job.Provider}, r.answer)
		f.e.pump()
	})
}

// lost handles the end of an attempt before its answer was whole.
func (e *entryModel) lost(f *flight, reason failure) {
	if e.dead {
		return
	}
	if reason == failedServer && f.tokens == 0 && f.kv != nil && f.kv.life > e.w.clock.now && !f.kv.source.dead {
		f.task = nil
		e.salvage(f)
		return
	}
	if reason == failedServer && f.kv == nil && f.tokens == 0 {
		f.task = nil // the prefill still runs; its result looks for another server
		return
	}
	if reason == failedTransfer {
		e.prefills[f.prefill].Stalled(e.w.clock.now)
	}
	if f.tokens == 0 {
		e.waste(f)
	}
	e.retry(f)
}

// waste counts the prefill of an attempt that was never decoded.
func (e *entryModel) waste(f *flight) {
	if f.kv != nil {
		e.w.result.wasted += f.kv.work
		if e.w.policy.Refund {
			e.sched.Refund(f.job, float64(f.kv.work)/float64(time.Millisecond))
		}
		f.kv = nil
	}
}

// retry makes another attempt, ahead of what waits.
func (e *entryModel) retry(f *flight) {
	if f.req.attempts >= maxAttempts {
		f.req.refused = true
		return
	}
	e.requeue(f, !e.w.policy.EqualRetries)
}

// call carries a command to a server. The command returns what the reply does
// at the entry. A dead server is noticed after a while.
func (e *entryModel) call(centre int, dead *bool, command func() func(), failed func()) {
	delay := e.w.delay(e.centre, centre)
	e.w.clock.after(delay, func() {
		if *dead {
			e.w.clock.after(detection, failed)
			return
		}
		reply := command()
		e.w.clock.after(delay, func() {
			reply()
			e.pump()
		})
	})
}
