package dispatch

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
)

// Candidate is a server with what the choice of servers makes of it now.
type Candidate struct {
	Server string
	placement.Explained
}

// Explanation is what would be done with a job now.
type Explanation struct {
	// Refusal is the reason for which the job would be refused; "" if it would be admitted.
	// RetryAfter is the delay that its caller would be advised.
	Refusal    string
	RetryAfter time.Duration
	// Waits is set if the job would wait in the queue; Prefill and Decode are then empty.
	Waits           bool
	Prefill, Decode string
	State           PoolState
	Prefills        []Candidate
	Decodes         []Candidate
}

// Explain returns what would be done with a job that arrives now. It changes nothing: the job
// is not queued, counted or announced.
func (d *Dispatcher[S]) Explain(j *Job) Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(j.Model)
	p.refresh()
	w := p.newWaiter(j)
	w.job.Ahead = p.aheadOf(j) // setRank would count the job
	p.prepare(w)
	out := Explanation{}
	timeToFirstToken, wait := p.predict(w)
	verdict := p.sched.Admits(&w.job, j.Waited+wait, timeToFirstToken)
	out.State = p.state()
	out.State.Wait, out.State.TimeToFirstToken = wait, timeToFirstToken
	switch {
	case p.cutOff(w, wait, timeToFirstToken):
		out.Refusal, out.RetryAfter = cutReason, j.limitRetry(j.TimeLeft)
	case !verdict.Admitted:
		out.Refusal, out.RetryAfter = lateReason, p.timeToRoom(w)
	case p.down || p.sched.Len() > 0:
		out.Waits = true
	default:
		plan, ok := p.plan(w)
		if out.Waits = !ok; ok {
			out.Prefill, out.Decode = p.prefills[plan.Prefill].Name(), p.decodes[plan.Decode].Name()
		}
	}
	out.Prefills = explainStage(p.planner.Prefill, &w.need, p.prefills, p.prefillViews)
	out.Decodes = explainStage(p.planner.Decode, &w.need, p.decodes, p.decodeViews)
	return out
}

func explainStage[S Server](pipeline *placement.Pipeline, need *placement.Request, servers []S, views []*placement.Server) []Candidate {
	out := make([]Candidate, 0, len(servers))
	for i, e := range pipeline.Explain(need, views) {
		out = append(out, Candidate{Server: servers[i].Name(), Explained: e})
	}
	return out
}
