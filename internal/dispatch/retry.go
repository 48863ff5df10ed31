package dispatch

import "time"

// limitRetry bounds an advised delay by what the caller follows.
func (j *Job) limitRetry(d time.Duration) time.Duration {
	if j.MaxRetryAfter > 0 {
		return min(d, j.MaxRetryAfter)
	}
	return d
}

// retryAfter returns the delay that a refused caller is advised, and records that it will come
// back then.
func (p *pool[S]) retryAfter(w *Waiter[S]) time.Duration {
	delay := p.timeToRoom(w)
	p.returning.Add(p.d.Now()+delay, p.work(w))
	return delay
}

// timeToRoom returns the time until there is probably room for a refused job: until its predicted
// wait is over and it would be on time, and until the servers have done its work and that of the
// callers that were told to come back before. Other processes refuse as many callers. If nothing
// can be predicted, since no server takes work, it is the longest delay that the caller follows.
func (p *pool[S]) timeToRoom(w *Waiter[S]) time.Duration {
	timeToFirstToken, wait := p.predict(w)
	projected, _ := p.projectWait(w)
	delay := max(wait, projected, p.sched.Admits(&w.job, wait, timeToFirstToken).Excess)
	ahead := p.returning.Work(p.d.Now()) + p.work(w)
	if p.d.options.Processes != nil {
		ahead *= time.Duration(max(1, p.d.options.Processes()))
	}
	delay += ahead
	if p.down {
		delay = max(delay, w.request.MaxRetryAfter)
	}
	return w.request.limitRetry(delay)
}

// work returns the time for which a job would take up all decode servers: that of its run, by its
// share of their memory; 0 while no server takes work.
func (p *pool[S]) work(w *Waiter[S]) time.Duration {
	total := 0
	for _, s := range p.decodeViews {
		if !s.Unavailable {
			total += s.Pieces()
		}
	}
	if p.down || total == 0 {
		return 0
	}
	size, usable := float64(w.request.Pieces), float64(total)
	if share := p.d.options.MemoryShare; share > 0 {
		size, usable = float64(w.request.PromptTokens)+w.need.AnswerTokens/2, share*usable
	}
	return time.Duration(size / usable * float64(p.runTime(w)))
}

// runTime returns the expected time for which a run of the job holds its memory. A server must
// take work.
func (p *pool[S]) runTime(w *Waiter[S]) time.Duration {
	return w.job.MinTimeToFirstToken + p.answerTime(w)
}
