package entry

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// paceWindowTokens is the number of tokens over which the time per token is
// averaged.
const paceWindowTokens = 8

// pace measures the time between the tokens of one attempt. The scheduler uses
// it to detect slow decode servers.
type pace struct {
	sched        *scheduler
	server       *agentConn
	target       time.Duration
	windowStart  time.Time
	windowTokens int
}

func newPace(s *scheduler, c *agentConn, target time.Duration) *pace {
	return &pace{sched: s, server: c, target: target}
}

// observe records the arrival of n tokens and reports the average of each
// window to the scheduler.
func (p *pace) observe(n int) {
	now := time.Now()
	if p.windowStart.IsZero() {
		p.windowStart = now
		return
	}
	p.windowTokens += n
	if p.windowTokens < paceWindowTokens {
		return
	}
	step := now.Sub(p.windowStart) / time.Duration(p.windowTokens)
	p.windowStart, p.windowTokens = now, 0
	p.sched.Update(p.server, func(at time.Duration, v *placement.Server) { v.ObserveStep(at, step, p.target) })
}

// targetBetweenTokens returns the target for the time between tokens of a job.
func (j *job) targetBetweenTokens() time.Duration {
	if t := j.provider.Targets.BetweenTokens; t > 0 {
		return t
	}
	return admission.DefaultBetweenTokens
}
