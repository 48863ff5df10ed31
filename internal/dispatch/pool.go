package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/returning"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// Limits of the delay until a pool with waiting jobs is pumped again.
const (
	minPumpWait = time.Millisecond
	maxPumpWait = 20 * time.Millisecond
)

// usualWait is the wait for memory that is expected, as a fraction of the projected one. The
// projection has each run end at its expected time, but of many runs some end earlier, so that
// the first room comes earlier: see TestMostWaitsAreAsLongAsPredicted.
const usualWait = 0.7

// pool is the queue of one model and the views of its servers. The dispatcher's lock
// guards it.
type pool[S Server] struct {
	d       *Dispatcher[S]
	model   string
	sched   *schedule.Schedule
	planner *placement.Planner
	index   *placement.PrefixIndex
	lengths *predict.Lengths
	// down is set while no prefill or no decode server takes work.
	down  bool
	timer *time.Timer // of the next pump, or nil
	// lastMark is the last value with which markFailed marked servers.
	lastMark uint64

	// pinned are the waiting jobs that only some decode servers may take, in the order of
	// their arrival.
	pinned []*Waiter[S]
	// moving are the jobs with a prefill result that wait for another decode server.
	moving []*Waiter[S]
	// waiting are the jobs in the queue. queueChanged is set until a change of them has
	// been announced to the other processes.
	waiting      map[*Waiter[S]]struct{}
	queueChanged bool
	// announced is the number of jobs in the last announcement.
	announced int
	// remoteWaiting are the jobs that wait at the other processes, in the order in which
	// they go, and ahead is a buffer for the prompts of those that go before a job.
	remoteWaiting []Waiting
	ahead         []int

	// lessUrgent and lessUrgentLarge count the less urgent jobs that were offered; see aging.
	lessUrgent, lessUrgentLarge int
	returning                   returning.Callers
	// observedAt is the time of the last observation of a prefill or an answer, or of the last
	// job that was run without one; see stale.
	observedAt time.Duration
	competing  competition
	// sizes is the mean length of prompts of competing jobs.
	sizes predict.Mean

	prefills, decodes         []S
	prefillViews, decodeViews []*placement.Server
	hits                      []placement.Hit
}

// Waiter is a job that waits for an assignment.
type Waiter[S Server] struct {
	pool    *pool[S]
	job     schedule.Job      // for the queue
	request *Job              // as offered
	need    placement.Request // for placement
	use     Use
	from    S // the decode server that counts a job in pool.moving
	result  chan Assignment[S]
}

// BelowShare reports whether the job's provider used less than its share while others
// waited. Engines serve such jobs before those of the others.
func (w *Waiter[S]) BelowShare() bool { return w.job.BelowShare() }

func newPool[S Server](d *Dispatcher[S], model string) *pool[S] {
	return &pool[S]{
		d: d, model: model, planner: d.options.NewPlanner(model),
		sched: schedule.New(d.options.Policy, d.options.Order),
		index: placement.NewPrefixIndex(), lengths: predict.NewLengths(),
		waiting: map[*Waiter[S]]struct{}{},
	}
}

// newWaiter returns a waiter for a job. It is not queued yet.
func (p *pool[S]) newWaiter(j *Job) *Waiter[S] {
	w := &Waiter[S]{pool: p, request: j, result: make(chan Assignment[S], 1)}
	w.need = placement.Request{
		PromptTokens: j.PromptTokens, Pieces: j.Pieces,
		AnswerTokens:  p.answerTokens(j),
		BetweenTokens: j.Goal.BetweenTokens, Caution: j.Goal.Caution,
	}
	w.use = Use{
		Prefill: placement.Use{Tokens: j.PromptTokens},
		Decode:  placement.Use{Slots: 1, Pieces: j.Pieces, Run: &placement.Run{Prompt: j.PromptTokens, Answer: w.need.AnswerTokens, Priority: j.rank()}},
	}
	w.job = schedule.Job{
		Provider: j.Provider, Priority: j.rank(), Weight: j.Weight, Goal: j.Goal, Arrived: p.d.Now() - j.Waited,
		MinTimeToFirstToken: p.planner.MinTimeToFirstToken(j.PromptTokens), PrefillMillis: p.planner.PrefillMillis(j.PromptTokens), Urgent: j.Urgent, Owner: w,
	}
	return w
}

// answerTokens returns the expected length of an answer. Callers' estimates are about
// as inaccurate as the mean of past lengths, so the best estimate lies between the two:
// their geometric mean, since lengths and errors are roughly log-normal.
func (p *pool[S]) answerTokens(j *Job) float64 {
	mean := p.lengths.Predict(p.d.lengthKey(j))
	switch {
	case j.ExpectedTokens <= 0:
	case !p.lengths.HasSamples():
		mean = float64(j.ExpectedTokens)
	default:
		mean = math.Sqrt(mean * float64(j.ExpectedTokens))
	}
	return min(mean, float64(j.MaxTokens))
}

// offer admits a job to the queue, or returns a refusal. While no server takes work,
// the time from dispatch to the first token can not be predicted and is taken as zero,
// so that jobs wait.
func (p *pool[S]) offer(w *Waiter[S]) *Refusal {
	p.refresh()
	p.setRank(w)
	p.observeCompetition()
	if !p.down {
		p.prepare(w)
	}
	timeToFirstToken, wait := p.predict(w)
	if least := w.job.MinTimeToFirstToken; !p.down && least > w.request.Goal.FirstToken {
		// A server may be faster than the service is on average.
		w.job.MinTimeToFirstToken = min(least, timeToFirstToken)
	}
	w.setLatestStart(timeToFirstToken)
	cut := p.cutOff(w, wait, timeToFirstToken)
	if (cut || !p.sched.Admits(&w.job, w.request.Waited+wait, timeToFirstToken).Admitted) && p.stale(w) {
		p.observedAt = p.d.Now()
		w.job.Urgent, cut = true, false
	}
	if cut {
		return &Refusal{Reason: cutReason, RetryAfter: w.request.limitRetry(w.request.TimeLeft), State: p.state()}
	}
	verdict := p.sched.Offer(p.d.Now(), &w.job, w.request.Waited+wait, timeToFirstToken)
	if verdict.Admitted {
		return nil
	}
	p.recordRefusal(w)
	state := p.state()
	state.Wait, state.TimeToFirstToken = wait, timeToFirstToken
	return &Refusal{Reason: lateReason, RetryAfter: p.retryAfter(w), State: state}
}

// predict returns the predicted time of a prepared job from dispatch to the first token, and
// its wait for servers; 0 for the former while no server takes work.
func (p *pool[S]) predict(w *Waiter[S]) (timeToFirstToken, wait time.Duration) {
	wait = p.sched.Wait(&w.job)
	if !p.down {
		if c, ok := p.planner.ChoosePrefill(p.d.rnd, &w.need, p.prefillViews); ok {
			timeToFirstToken = time.Duration(c.Cost*float64(time.Millisecond)) + p.planner.StartTime()
		}
	}
	if projected, ok := p.projectWait(w); ok {
		wait = time.Duration(usualWait * float64(projected))
	}
	return timeToFirstToken, wait
}

// projectWait returns the projected wait of a prepared job for the memory of servers whose load
// is counted by this process. It reports false for others, or while no server takes work.
func (p *pool[S]) projectWait(w *Waiter[S]) (time.Duration, bool) {
	if p.down || p.d.options.MemoryShare <= 0 {
		return 0, false
	}
	ahead := p.remoteBefore(waitingOf(&w.job)) + p.localBefore(&w.job)
	return p.planner.Wait(&w.need, p.decodeViews, p.d.options.MemoryShare, ahead)
}

// cutOff reports whether the caller would probably cut off the answer at its time limit.
func (p *pool[S]) cutOff(w *Waiter[S], wait, timeToFirstToken time.Duration) bool {
	left := w.request.TimeLeft
	return left > 0 && !p.down && wait+timeToFirstToken+p.answerTime(w) > left
}

// setLatestStart sets the latest time at which the job may begin, if its caller's time is known.
// timeToFirstToken is predicted from then on.
func (w *Waiter[S]) setLatestStart(timeToFirstToken time.Duration) {
	p, left := w.pool, w.request.TimeLeft
	if left <= 0 {
		return
	}
	w.job.LatestStart = p.d.Now() + left - min(timeToFirstToken, w.job.MinTimeToFirstToken)
	if !p.down {
		w.job.LatestStart -= p.answerTime(w)
	}
}

// stale reports whether a refusal would be based on speeds that nothing confirms: no server runs a
// job, and the last observation is older than the job's caller waits. Then one job is run all the
// same: while all are refused, nothing shows that the servers have become faster.
func (p *pool[S]) stale(w *Waiter[S]) bool {
	left := w.request.TimeLeft
	if left <= 0 || p.d.Now()-p.observedAt <= left {
		return false
	}
	idle := true
	for _, s := range p.decodeViews {
		s.VisitRuns(func(*placement.Run) { idle = false })
	}
	return idle
}

// maxAnswerTime bounds the expected time of an answer, so that it can be added to others.
const maxAnswerTime = 24 * time.Hour

// answerTime returns the expected duration of an answer at the fastest decode server.
func (p *pool[S]) answerTime(w *Waiter[S]) time.Duration {
	step := math.Inf(1)
	for _, s := range p.decodeViews {
		if !s.Unavailable {
			step = min(step, s.StepMillis())
		}
	}
	return time.Duration(min(w.need.AnswerTokens*step*float64(time.Millisecond), float64(maxAnswerTime)))
}

// state returns the numbers of waiting jobs and of available servers.
func (p *pool[S]) state() PoolState {
	return PoolState{LocalWaiting: p.sched.Len(), RemoteWaiting: len(p.remoteWaiting), PrefillServers: countAvailable(p.prefillViews), DecodeServers: countAvailable(p.decodeViews)}
}

// localBefore returns the number of jobs in the queue that go before a job.
func (p *pool[S]) localBefore(j *schedule.Job) int {
	n, at := 0, waitingOf(j)
	for w := range p.waiting {
		if waitingOf(&w.job).compare(at) < 0 {
			n++
		}
	}
	return n
}

// refresh updates the lists of servers and views from the fleet.
func (p *pool[S]) refresh() {
	p.prefills = p.d.fleet.PrefillServers(p.model, p.prefills[:0])
	p.decodes = p.d.fleet.DecodeServers(p.model, p.decodes[:0])
	p.prefillViews = views(p.prefills, p.prefillViews)
	p.decodeViews = views(p.decodes, p.decodeViews)
	down := countAvailable(p.prefillViews) == 0 || countAvailable(p.decodeViews) == 0
	if p.down && !down && !p.d.options.RefuseWhileDown {
		p.sched.RestartTargets(p.d.Now())
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

// countAvailable returns the number of servers that take work.
func countAvailable(list []*placement.Server) int {
	n := 0
	for _, s := range list {
		if !s.Unavailable {
			n++
		}
	}
	return n
}

// prepare sets the fields of the placement request that change between decisions.
func (p *pool[S]) prepare(w *Waiter[S]) {
	w.need.Now = p.d.Now()
	w.need.ReservedShare = p.reserve(w)
	p.hits = p.index.Lookup(w.request.Prefixes, p.hits[:0])
	w.need.Hits = p.hits
	p.markFailed(w)
	p.markBarred(w)
}

// markBarred marks the decode servers that must not take the job.
func (p *pool[S]) markBarred(w *Waiter[S]) {
	w.need.BarredMark = 0
	if w.request.MayDecode == nil {
		return
	}
	p.lastMark++
	w.need.BarredMark = p.lastMark
	for _, s := range p.decodes {
		if !w.request.MayDecode(s.Name()) {
			s.View().BarredMark = p.lastMark
		}
	}
}

// markFailed marks the servers at which the job failed before, so that placement
// avoids them.
func (p *pool[S]) markFailed(w *Waiter[S]) {
	w.need.ExcludedMark = 0
	if len(w.request.FailedServers) == 0 {
		return
	}
	p.lastMark++
	w.need.ExcludedMark = p.lastMark
	for _, list := range [][]S{p.prefills, p.decodes} {
		for _, s := range list {
			if w.request.FailedServers[s.Name()] {
				s.View().Mark = p.lastMark
			}
		}
	}
}

// addWaiting records that a job is in the queue.
func (p *pool[S]) addWaiting(w *Waiter[S]) {
	p.waiting[w] = struct{}{}
	p.queueChanged = true
}

// removeWaiting records that a job has left the queue.
func (p *pool[S]) removeWaiting(w *Waiter[S]) {
	delete(p.waiting, w)
	p.queueChanged = true
}

// announce sends the waiting jobs to the other processes if they changed.
func (p *pool[S]) announce() {
	if !p.queueChanged || p.d.options.Announce == nil || len(p.waiting)+len(p.moving)+p.announced == 0 {
		return
	}
	p.queueChanged, p.announced = false, len(p.waiting)+len(p.moving)
	p.d.options.Announce(p.model, p.places())
}

// remoteBefore returns the number of jobs waiting at other processes that go before a place
// in the order.
func (p *pool[S]) remoteBefore(place Waiting) int {
	n, _ := slices.BinarySearchFunc(p.remoteWaiting, place, Waiting.compare)
	return n
}

// pump refuses the jobs that can no longer meet their targets, and assigns those that
// fit. The caller holds the dispatcher's lock.
func (p *pool[S]) pump() {
	defer p.announce()
	p.refresh()
	p.observeCompetition()
	if !p.down || p.d.options.RefuseWhileDown {
		p.refuseLate()
	}
	p.pumpMoving()
	if p.down {
		p.pumpAfter(maxPumpWait)
		return
	}
	p.pumpPinned()
	for j := p.sched.Head(); j != nil; j = p.sched.Head() {
		w := j.Owner.(*Waiter[S])
		plan, ok := p.plan(w)
		if !ok {
			p.competing.recordShortage(p.d.Now())
			p.pumpAfter(maxPumpWait)
			return
		}
		if plan.Wait > schedule.MaxPrefillWait && !j.Urgent {
			p.pumpAfter(plan.Wait - schedule.MaxPrefillWait)
			return
		}
		p.sched.Pop(p.d.Now())
		w.assign(plan)
	}
}

// pumpPinned assigns the pinned jobs that fit. None of them holds up another one.
func (p *pool[S]) pumpPinned() {
	left := p.pinned[:0]
	for _, w := range p.pinned {
		plan, ok := p.plan(w)
		if !ok {
			left = append(left, w)
			continue
		}
		w.assign(plan)
	}
	clear(p.pinned[len(left):])
	if p.pinned = left; len(left) > 0 {
		p.pumpAfter(maxPumpWait)
	}
}

// removePinned removes a job that waits apart from the queue, if it does.
func (p *pool[S]) removePinned(w *Waiter[S]) {
	p.pinned = slices.DeleteFunc(p.pinned, func(other *Waiter[S]) bool { return other == w })
}

// pumpIfWaiting pumps the pool if jobs wait.
func (p *pool[S]) pumpIfWaiting() {
	if p.sched.Len()+len(p.pinned)+len(p.moving) > 0 {
		p.pump()
	}
}

// refuseLate refuses the jobs that can no longer meet their targets.
func (p *pool[S]) refuseLate() {
	for j := p.sched.PopLate(p.d.Now()); j != nil; j = p.sched.PopLate(p.d.Now()) {
		j.Owner.(*Waiter[S]).refuse()
	}
}

// plan chooses the servers of a job. Servers at which the job failed are chosen only if
// no others fit.
//
// While jobs wait at several processes, all processes would assign the same memory as
// soon as it is free. Therefore each leaves to the jobs that go before at other
// processes the servers that these use by the same rule: see Planner.PlanAfter.
func (p *pool[S]) plan(w *Waiter[S]) (placement.Plan, bool) {
	p.prepare(w)
	plan, ok := p.planAfter(w)
	if !ok && w.need.ExcludedMark != 0 {
		w.need.ExcludedMark = 0
		plan, ok = p.planAfter(w)
	}
	return plan, ok
}

func (p *pool[S]) planAfter(w *Waiter[S]) (placement.Plan, bool) {
	if len(p.remoteWaiting)+len(p.moving) == 0 {
		return p.planner.Plan(p.d.rnd, &w.need, p.prefillViews, p.decodeViews)
	}
	p.ahead = p.ahead[:0]
	for _, m := range p.moving {
		p.ahead = append(p.ahead, m.request.PromptTokens)
	}
	for _, r := range p.remoteWaiting[:p.remoteBefore(p.place(w))] {
		p.ahead = append(p.ahead, r.Prompt)
	}
	return p.planner.PlanAfter(p.d.rnd, &w.need, p.prefillViews, p.decodeViews, p.ahead)
}

// pumpAfter pumps the pool again after d, within minPumpWait and maxPumpWait.
func (p *pool[S]) pumpAfter(d time.Duration) {
	if p.timer != nil {
		return
	}
	p.timer = time.AfterFunc(min(max(d, minPumpWait), maxPumpWait), func() {
		p.d.mu.Lock()
		defer p.d.mu.Unlock()
		p.timer = nil
		p.pumpIfWaiting()
	})
}

// assign assigns a job to its servers and counts it in their views.
func (w *Waiter[S]) assign(plan placement.Plan) {
	p := w.pool
	a := Assignment[S]{
		Prefill: p.prefills[plan.Prefill], Decode: p.decodes[plan.Decode], Use: w.use,
		TimeToPrefillEnd: w.need.ForecastHorizon, MaxWait: plan.Wait + placement.WaitTolerance,
	}
	now := p.d.Now()
	a.Use.Decode.Run.Began = now + w.need.ForecastHorizon
	a.LocalRuns, a.RemoteRuns, a.PeakMemory = a.Decode.View().ProjectionSummary(now, a.Use.Decode.Run)
	a.StepMillis = a.Decode.View().StepMillis()
	p.d.recordSend(a.Decode, w.use.Decode)
	p.d.recordSend(a.Prefill, w.use.Prefill)
	p.removeWaiting(w)
	w.result <- a
}

// refuse ends the wait of a job that left the schedule with a refusal.
func (w *Waiter[S]) refuse() {
	w.pool.removeWaiting(w)
	w.pool.recordRefusal(w)
	p := w.pool
	reason, delay := lateReason, time.Duration(0)
	if start := w.job.LatestStart; start != 0 && start <= p.d.Now() {
		reason, delay = cutReason, w.request.limitRetry(w.request.TimeLeft)
	} else {
		p.prepare(w)
		delay = p.retryAfter(w)
	}
	w.result <- Assignment[S]{refusal: &Refusal{Reason: reason, RetryAfter: delay, State: p.state()}}
}
