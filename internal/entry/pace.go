package entry

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// paceTokens is the number of tokens between two looks at the time between
// tokens.
const paceTokens = 8

// pace measures the time between the tokens of one attempt, so that decisions
// learn which decode servers are slow.
type pace struct {
	sched  *scheduler
	server *agentConn
	target time.Duration
	since  time.Time
	count  int
}

func newPace(s *scheduler, c *agentConn, target time.Duration) *pace {
	return &pace{sched: s, server: c, target: target}
}

// tokens counts tokens that arrived together.
func (p *pace) tokens(n int) {
	now := time.Now()
	if p.since.IsZero() {
		p.since = now
		return
	}
	p.count += n
	if p.count < paceTokens {
		return
	}
	step := now.Sub(p.since) / time.Duration(p.count)
	p.since, p.count = now, 0
	p.sched.Update(p.server, func(at time.Duration, v *placement.Server) { v.ObserveStep(at, step, p.target) })
}

// betweenTokens is the target between tokens of a job.
func (j *job) betweenTokens() time.Duration {
	if t := j.provider.Targets.BetweenTokens; t > 0 {
		return t
	}
	return admission.DefaultBetweenTokens
}
