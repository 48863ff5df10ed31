package dispatch

import (
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
)

// takeUpAhead is the time by which jobs that take up a stream go ahead of their arrival. It is
// longer than any target for a first token, so that they go before all that has not begun, and
// more than twice as long as jobs wait, so that other processes can tell them by their place.
const takeUpAhead = time.Minute

// setTakeUpRank moves a job that takes up a stream before all jobs of its rank that have not
// begun. Organisations keep their shares, and take-ups the order of their arrival.
func (p *pool[S]) setTakeUpRank(w *Waiter[S]) {
	if w.request.TakesUp {
		w.job.Ahead += takeUpAhead
	}
}

// waitWithTakeUps returns the predicted wait of a job that waits as long for memory, and for
// the take-ups before it, here and at other processes, whose prompts are prefilled first.
func (p *pool[S]) waitWithTakeUps(w *Waiter[S], memory time.Duration) time.Duration {
	place := waitingOf(&w.job)
	if !w.request.TakesUp {
		place.Arrived -= takeUpAhead / 2
	}
	prompts, count := 0, 0
	for o := range p.waiting {
		if waitingOf(&o.job).compare(place) < 0 {
			prompts, count = prompts+o.request.PromptTokens+o.request.HeldTokens, count+1
		}
	}
	for _, o := range p.remoteWaiting[:p.remoteBefore(place)] {
		prompts, count = prompts+o.Prompt, count+1
	}
	return p.waitBehind(w, memory, prompts, count)
}

// waitBehind returns the predicted wait of a job behind some others, of which the sum of the
// prompts and held parts is known. Their answers are taken to be as long as that of the job, and to use half
// of their memory on average. The runs that hold the memory now have whole answers.
func (p *pool[S]) waitBehind(w *Waiter[S], memory time.Duration, prompts, count int) time.Duration {
	if count == 0 || p.down {
		return memory
	}
	free, total := p.planner.Memory(&w.need, p.decodeViews, p.d.options.MemoryShare)
	return admission.TakeUpLoad{
		PrefillAhead:   time.Duration(p.planner.PrefillMillis(prompts) * float64(time.Millisecond)),
		PrefillServers: countAvailable(p.prefillViews),
		MemoryAhead:    float64(prompts) + float64(count)*w.need.AnswerTokens/2,
		MemoryFree:     free, MemoryTotal: total,
		Answer:     p.decodeTime(p.answerTokens(w.request)),
		MemoryWait: memory,
	}.Wait()
}

// pinnedAhead returns the number of jobs that wait apart from the queue and may take one of
// the decode servers that a job may take, and the sum of their prompts and held parts.
func (p *pool[S]) pinnedAhead(w *Waiter[S]) (prompts, count int) {
	at := slices.IndexFunc(p.decodes, func(s S) bool { return !s.View().Unavailable && w.request.MayDecode(s.Name()) })
	if at < 0 {
		return 0, 0
	}
	for _, o := range p.pinned {
		if o.request.MayDecode(p.decodes[at].Name()) {
			prompts, count = prompts+o.request.PromptTokens+o.request.HeldTokens, count+1
		}
	}
	return prompts, count
}

// offerPinned returns a refusal for a job that takes up a stream of one version of software
// and whose first token is predicted too late. Others wait.
func (p *pool[S]) offerPinned(w *Waiter[S]) *Refusal {
	p.refresh()
	if !w.expires() || p.down {
		return nil
	}
	p.setTakeUpRank(w)
	p.prepare(w)
	timeToFirstToken, wait := p.predict(w)
	prompts, count := p.pinnedAhead(w)
	wait = p.waitBehind(w, wait, prompts, count)
	verdict := p.sched.Admits(&w.job, wait, timeToFirstToken)
	excess := w.request.Waited + wait - w.maxPinnedWait()
	if verdict.Admitted && excess <= 0 {
		return nil
	}
	state := p.state()
	state.Wait, state.TimeToFirstToken = wait, timeToFirstToken
	return &Refusal{Reason: lateReason, RetryAfter: max(verdict.RetryAfter, admission.RetryAfter(excess)), State: state}
}

// expires reports whether a job that waits apart from the queue is refused when it would miss
// its target.
func (w *Waiter[S]) expires() bool { return w.request.TakesUp && !w.request.Urgent }

// maxPinnedWait returns the longest time in which a job that waits apart from the queue may
// still be dispatched.
func (w *Waiter[S]) maxPinnedWait() time.Duration {
	limit := w.pool.d.options.Policy.MaxQueueTime(w.job.Goal, w.job.MinTimeToFirstToken)
	if w.request.MaxWait > 0 {
		limit = min(limit, w.request.MaxWait)
	}
	return limit
}

// refuseLatePinned refuses the jobs that wait apart from the queue and can no longer show an
// event in time.
func (p *pool[S]) refuseLatePinned() {
	now := p.d.Now()
	p.pinned = slices.DeleteFunc(p.pinned, func(w *Waiter[S]) bool {
		late := w.expires() && now > w.job.Arrived+w.maxPinnedWait()
		if late {
			w.refuse()
		}
		return late
	})
}
