package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// Bounds of the wait before a pool is looked at again.
const (
	minPumpWait = time.Millisecond
	maxPumpWait = 20 * time.Millisecond
)

// pool is the queue of one model with the views of its servers. The lock of
// the dispatcher guards it.
type pool[S Server] struct {
	d       *Dispatcher[S]
	model   string
	sched   *schedule.Schedule
	planner *placement.Planner
	index   *placement.PrefixIndex
	lengths *predict.Lengths
	// down is set while no prefill or no decode server takes work.
	down  bool
	timer *time.Timer
	mark  uint64

	// waiting are the jobs in the queue, and queueChanged is set when the others
	// are to be told of them.
	waiting      map[*Waiter[S]]struct{}
	queueChanged bool
	// announced is the number of jobs that the others were told last.
	announced int
	// ahead are the arrivals of the jobs that wait at other processes, in order.
	ahead []time.Duration

	prefills, decodes         []S
	prefillViews, decodeViews []*placement.Server
	hits                      []placement.Hit
}

// Waiter is a job that waits for its servers.
type Waiter[S Server] struct {
	pool    *pool[S]
	job     schedule.Job
	request *Job
	need    placement.Request
	use     Use
	result  chan Assignment[S]
}

// Lagging reports whether the job belongs to a provider that used less than its
// share while others waited. Engines serve it before those.
func (w *Waiter[S]) Lagging() bool { return w.job.Lagging() }

func newPool[S Server](d *Dispatcher[S], model string) *pool[S] {
	return &pool[S]{
		d: d, model: model, planner: d.options.NewPlanner(),
		sched: schedule.New(d.options.Policy, d.options.Order),
		index: placement.NewPrefixIndex(), lengths: predict.NewLengths(),
		waiting: map[*Waiter[S]]struct{}{},
	}
}

// newWaiter describes a job to the decisions.
func (p *pool[S]) newWaiter(j *Job) *Waiter[S] {
	w := &Waiter[S]{pool: p, request: j, result: make(chan Assignment[S], 1)}
	w.need = placement.Request{
		PromptTokens: j.PromptTokens, Pieces: j.Pieces,
		AnswerTokens:  p.answerTokens(j),
		BetweenTokens: j.Goal.BetweenTokens, Caution: j.Goal.Caution, Reserve: j.Reserve,
	}
	w.use = Use{
		Prefill: placement.Use{Tokens: j.PromptTokens},
		Decode:  placement.Use{Slots: 1, Pieces: j.Pieces, Run: &placement.Run{Prompt: j.PromptTokens, Answer: w.need.AnswerTokens}},
	}
	w.job = schedule.Job{
		Provider: j.Provider, Weight: j.Weight, Goal: j.Goal, Arrived: p.d.Now() - j.Waited,
		Path: p.planner.BestPath(j.PromptTokens), Work: p.planner.Work(j.PromptTokens), Urgent: j.Urgent, Owner: w,
	}
	return w
}

// answerTokens is the expected length of an answer. Callers' estimates are far
// off as often as lengths differ from their mean, so that the best estimate lies
// between the two: the geometric mean, as lengths and errors are about
// log-normal.
func (p *pool[S]) answerTokens(j *Job) float64 {
	mean := p.lengths.Predict(j.lengthKey())
	switch {
	case j.Expected <= 0:
	case !p.lengths.Learnt():
		mean = float64(j.Expected)
	default:
		mean = math.Sqrt(mean * float64(j.Expected))
	}
	return min(mean, float64(j.MaxTokens))
}

// offer asks to admit a job; a refusal is returned. While no server takes work
// it is not known when the first token would come, so that jobs wait.
func (p *pool[S]) offer(w *Waiter[S]) *Refusal {
	p.refresh()
	path, wait := time.Duration(0), p.sched.Wait(&w.job)
	if !p.down {
		p.describe(w)
		if c, ok := p.planner.ChoosePrefill(p.d.rnd, &w.need, p.prefillViews); ok {
			path = time.Duration(c.Cost*float64(time.Millisecond)) + placement.StartOverhead
		}
	}
	if !p.down && p.d.options.MemoryShare > 0 {
		ahead := p.rank(w.job.Arrived) + p.before(w.job.Arrived)
		if predicted, ok := p.planner.Wait(&w.need, p.decodeViews, p.d.options.MemoryShare, ahead); ok {
			wait = time.Duration(p.d.options.WaitTrust * float64(predicted))
		}
	}
	verdict := p.sched.Offer(p.d.Now(), &w.job, wait, path)
	if verdict.Admitted {
		return nil
	}
	belief := p.belief()
	belief.Wait, belief.Path = wait, path
	return &Refusal{Reason: lateReason, RetryAfter: verdict.RetryAfter, Belief: belief}
}

// belief is what is known of the pool.
func (p *pool[S]) belief() Belief {
	return Belief{Here: p.sched.Len(), Elsewhere: len(p.ahead), Prefills: countUp(p.prefillViews), Decodes: countUp(p.decodeViews)}
}

// before returns the number of jobs in the queue that arrived before a time.
func (p *pool[S]) before(arrived time.Duration) int {
	n := 0
	for w := range p.waiting {
		if w.job.Arrived < arrived {
			n++
		}
	}
	return n
}

// refresh brings the views up to date with what is known of the fleet.
func (p *pool[S]) refresh() {
	p.prefills = p.d.fleet.Prefills(p.model, p.prefills[:0])
	p.decodes = p.d.fleet.Decodes(p.model, p.decodes[:0])
	p.prefillViews = views(p.prefills, p.prefillViews)
	p.decodeViews = views(p.decodes, p.decodeViews)
	down := countUp(p.prefillViews) == 0 || countUp(p.decodeViews) == 0
	if p.down && !down && !p.d.options.GiveUpWhileDown {
		p.sched.Renew(p.d.Now())
	}
	p.down = down
}

func views[S Server](servers []S, out []*placement.Server) []*placement.Server {
	out = out[:0]
	for _, s := range servers {
		out = append(out, s.View())
	}
	return out
}

// countUp returns the number of servers that take work.
func countUp(list []*placement.Server) int {
	n := 0
	for _, s := range list {
		if !s.Down {
			n++
		}
	}
	return n
}

// describe brings the request up to the time of a decision.
func (p *pool[S]) describe(w *Waiter[S]) {
	w.need.Now = p.d.Now()
	p.hits = p.index.Lookup(w.request.Prefixes, p.hits[:0])
	w.need.Hits = p.hits
	p.avoid(w)
}

// avoid marks the servers where the job failed before.
func (p *pool[S]) avoid(w *Waiter[S]) {
	w.need.Avoid = 0
	if len(w.request.Failed) == 0 {
		return
	}
	p.mark++
	w.need.Avoid = p.mark
	for _, list := range [][]S{p.prefills, p.decodes} {
		for _, s := range list {
			if w.request.Failed[s.Name()] {
				s.View().Mark = p.mark
			}
		}
	}
}

// enter and leave keep account of the jobs in the queue.
func (p *pool[S]) enter(w *Waiter[S]) {
	p.waiting[w] = struct{}{}
	p.queueChanged = true
}

func (p *pool[S]) leave(w *Waiter[S]) {
	delete(p.waiting, w)
	p.queueChanged = true
}

// announce tells the other processes which jobs wait, once a decision is over.
func (p *pool[S]) announce() {
	if !p.queueChanged || p.d.options.Announce == nil || len(p.waiting)+p.announced == 0 {
		return
	}
	p.queueChanged, p.announced = false, len(p.waiting)
	arrivals := make([]time.Duration, 0, len(p.waiting))
	for w := range p.waiting {
		arrivals = append(arrivals, w.job.Arrived)
	}
	slices.Sort(arrivals)
	p.d.options.Announce(p.model, arrivals)
}

// rank returns the number of jobs at other processes that are to be placed
// before one that arrived at a time.
func (p *pool[S]) rank(arrived time.Duration) int {
	n, _ := slices.BinarySearch(p.ahead, arrived)
	return n
}

// pump gives up what is doomed and dispatches what has room. The caller holds
// the lock of the dispatcher.
func (p *pool[S]) pump() {
	defer p.announce()
	p.refresh()
	if !p.down || p.d.options.GiveUpWhileDown {
		p.giveUp()
	}
	if p.down {
		p.wake(maxPumpWait)
		return
	}
	for d := p.sched.Head(); d != nil; d = p.sched.Head() {
		w := d.Owner.(*Waiter[S])
		plan, ok := p.plan(w)
		if !ok {
			p.wake(maxPumpWait)
			return
		}
		if plan.Wait > schedule.HoldWait && !d.Urgent {
			p.wake(plan.Wait - schedule.HoldWait)
			return
		}
		p.sched.Pop(p.d.Now())
		w.assign(plan)
	}
}

// giveUp refuses the jobs that can not meet their targets any more.
func (p *pool[S]) giveUp() {
	for d := p.sched.Doomed(p.d.Now()); d != nil; d = p.sched.Doomed(p.d.Now()) {
		d.Owner.(*Waiter[S]).refuse()
	}
}

// plan chooses servers. Servers where the job failed are the last resort.
//
// While jobs wait at several processes, all of them would take the same room as
// soon as it comes free. The one that arrived first takes the first server with
// room in the order of the fleet, the next one the second, and so on; a job for
// which there is none left waits.
func (p *pool[S]) plan(w *Waiter[S]) (placement.Plan, bool) {
	p.describe(w)
	turn := placement.AnyTurn
	if len(p.ahead) > 0 {
		turn = p.rank(w.job.Arrived)
	}
	plan, ok := p.planner.PlanTurn(p.d.rnd, &w.need, p.prefillViews, p.decodeViews, turn)
	if !ok && w.need.Avoid != 0 {
		w.need.Avoid = 0
		plan, ok = p.planner.PlanTurn(p.d.rnd, &w.need, p.prefillViews, p.decodeViews, turn)
	}
	return plan, ok
}

// wake looks at the pool again after a while.
func (p *pool[S]) wake(d time.Duration) {
	if p.timer != nil {
		return
	}
	p.timer = time.AfterFunc(min(max(d, minPumpWait), maxPumpWait), func() {
		p.d.mu.Lock()
		defer p.d.mu.Unlock()
		p.timer = nil
		if p.sched.Len() > 0 {
			p.pump()
		}
	})
}

// assign gives a job its servers and counts it there.
func (w *Waiter[S]) assign(plan placement.Plan) {
	p := w.pool
	a := Assignment[S]{
		Prefill: p.prefills[plan.Prefill], Decode: p.decodes[plan.Decode], Use: w.use,
		PrefillIn: w.need.PrefillIn, MaxWait: plan.Wait + placement.WaitTolerance,
	}
	now := p.d.Now()
	a.Use.Decode.Run.Began = now + w.need.PrefillIn
	a.OwnRuns, a.OtherRuns, a.Memory = a.Decode.View().ForeseenMemory(now, a.Use.Decode.Run)
	a.Decode.View().Sent(now, w.use.Decode)
	a.Prefill.View().Sent(now, w.use.Prefill)
	p.leave(w)
	w.result <- a
}

// refuse gives a job up.
func (w *Waiter[S]) refuse() {
	w.pool.leave(w)
	w.result <- Assignment[S]{refusal: &Refusal{Reason: lateReason, RetryAfter: w.pool.sched.RetryAfter(&w.job), Belief: w.pool.belief()}}
}
