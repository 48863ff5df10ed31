package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// compare orders the waiting jobs of all processes: the more urgent first, and those that
// are as urgent by arrival.
func (w Waiting) compare(o Waiting) int {
	return cmp.Or(cmp.Compare(w.Priority, o.Priority), cmp.Compare(w.Arrived, o.Arrived))
}

func waitingOf(j *schedule.Job) Waiting {
	return Waiting{Priority: j.Priority, Arrived: j.Arrived - j.Ahead}
}

// place returns the place of a job in the order among processes. Jobs of a priority have
// the places of the earliest arrivals of it that wait here, in the order of the queue here,
// which may prefer an organisation to one that came before. Otherwise other processes would
// leave room to a job that is not the next one here.
func (p *pool[S]) place(w *Waiter[S]) Waiting {
	out := waitingOf(&w.job)
	if p.sched.Head() != &w.job {
		return out
	}
	for o := range p.waiting {
		if o.job.Priority == w.job.Priority {
			out.Arrived = min(out.Arrived, waitingOf(&o.job).Arrived)
		}
	}
	return out
}

// places returns the jobs that wait here, with their places among processes. Only the next
// job of the queue takes another place than that of its arrival; the others of its priority
// that arrived before it move back by one.
func (p *pool[S]) places() []Waiting {
	waiting := make([]*Waiter[S], 0, len(p.waiting))
	for w := range p.waiting {
		waiting = append(waiting, w)
	}
	slices.SortFunc(waiting, func(a, b *Waiter[S]) int { return waitingOf(&a.job).compare(waitingOf(&b.job)) })
	out := make([]Waiting, len(waiting))
	for i, w := range waiting {
		out[i] = waitingOf(&w.job)
	}
	if next := p.sched.Head(); next != nil {
		at := slices.IndexFunc(waiting, func(w *Waiter[S]) bool { return &w.job == next })
		first := slices.IndexFunc(waiting, func(w *Waiter[S]) bool { return w.job.Priority == next.Priority })
		if at >= 0 {
			w := waiting[at]
			copy(waiting[first+1:at+1], waiting[first:at])
			waiting[first] = w
		}
	}
	for i, w := range waiting {
		out[i].Prompt = w.request.PromptTokens
	}
	moving := make([]Waiting, len(p.moving), len(p.moving)+len(out))
	for i, w := range p.moving {
		moving[i] = Waiting{Priority: movingRank, Arrived: w.job.Arrived, Prompt: w.request.PromptTokens}
	}
	return append(moving, out...)
}

// movingRank is the rank of jobs with a prefill result: work that has begun goes before all
// that has not.
const movingRank = -1

// move assigns a job with a prefill result to another decode server that has room.
func (p *pool[S]) move(w *Waiter[S]) (s S, ok bool) {
	p.prepare(w)
	w.need.ReservedShare = 0
	c, ok := p.planner.Decode.Choose(p.d.rnd, &w.need, p.decodeViews)
	if !ok {
		return s, false
	}
	s = p.decodes[c.Index]
	w.from.View().RecordEnd(p.d.Now(), w.use.Decode)
	p.d.recordSend(s, w.use.Decode)
	return s, true
}

// pumpMoving moves the jobs for which there is room now.
func (p *pool[S]) pumpMoving() {
	for _, w := range slices.Clone(p.moving) {
		if s, ok := p.move(w); ok {
			p.removeMoving(w)
			w.result <- Assignment[S]{Decode: s}
		}
	}
	if len(p.moving) > 0 {
		p.pumpAfter(maxPumpWait)
	}
}

func (p *pool[S]) removeMoving(w *Waiter[S]) {
	p.moving = slices.DeleteFunc(p.moving, func(o *Waiter[S]) bool { return o == w })
	p.queueChanged = true
}

// aging is the number of less urgent jobs of which one counts as the most urgent, in the
// queue, among processes and for the reserve of memory. Under a lasting overload by more
// urgent jobs the less urgent ones are thus served at least a quarter as often as these,
// which is the least share that an organisation gets of what all get. A rule by waiting
// time gives no such bound: after a while all that wait are old, and the order is that of
// arrival again.
const aging = 4

// agingLarge is aging for large jobs, which are served at least half as often as others of
// their class.
const agingLarge = 2

// rank returns the rank of the job in the queue.
func (j *Job) rank() int { return max(j.Priority, 0) }

// Large jobs find room less often than others, since the memory that is freed is soon too
// small for them again. A prompt above largePrompt times the mean goes ahead of its arrival
// by a part of its target that rises to largeAhead. At twice the load, the largest tenth is
// then served at least half as often as all, in place of a tenth to a half; see 067.
const (
	largePrompt = 1.25
	largeAhead  = 1.5
)

// aheadOf returns the time by which a competing job goes ahead of its arrival.
func (p *pool[S]) aheadOf(j *Job) time.Duration {
	prompt := float64(j.PromptTokens)
	usual := largePrompt * p.sizes.Value(prompt)
	if !j.Competing || prompt <= usual {
		return 0
	}
	return time.Duration(largeAhead * (1 - usual/prompt) * float64(j.Goal.FirstToken))
}

// setRank counts a competing job that is offered and sets its place in the order.
func (p *pool[S]) setRank(w *Waiter[S]) {
	j := w.request
	if !j.Competing {
		return
	}
	p.sizes.Add(float64(j.PromptTokens))
	w.job.Ahead = p.aheadOf(j)
	if !p.down {
		p.competing.runTime.Add(p.runTime(w).Seconds())
	}
	if j.Priority <= j.MostUrgent {
		return
	}
	p.competing.enabled = true
	count, every := &p.lessUrgent, aging
	if w.job.Ahead > 0 {
		count, every = &p.lessUrgentLarge, agingLarge
	}
	if *count++; *count%every == 0 {
		w.job.Priority = max(j.MostUrgent, 0)
	}
}

// competitionInterval bounds how often the runs of all servers are added up.
const competitionInterval = 20 * time.Millisecond

// competition measures the share of the decode memory that jobs of each priority use.
type competition struct {
	// enabled is set once jobs of different priorities were offered.
	enabled    bool
	observedAt time.Duration
	// runTime is the mean time in seconds for which runs hold their memory. For so long memory
	// counts as short after a job last waited or was refused, and it is the time constant with
	// which the memory that more urgent jobs lately used is forgotten.
	runTime predict.Mean
	// shortUntil is the time until which memory counts as short.
	shortUntil time.Duration
	// levels are in ascending order of priority.
	levels []levelUse
}

// levelUse is the share of the decode memory that the runs up to a priority use now, and
// the most of it that they lately used.
type levelUse struct {
	priority       int
	used, recently float64
	// missed is the mean share of a server's memory that refused jobs needed, and missedAt
	// the time of the last refusal.
	missed   predict.Mean
	missedAt time.Duration
	// missedTarget is the target of the last of them.
	missedTarget time.Duration
}

// holdTime returns the time for which a run holds its memory.
func (c *competition) holdTime() time.Duration {
	return time.Duration(c.runTime.Value(0) * float64(time.Second))
}

// recordShortage records that a job waits or was refused.
func (c *competition) recordShortage(now time.Duration) { c.shortUntil = now + c.holdTime() }

// observe adds up the runs of the decode servers.
func (c *competition) observe(now time.Duration, decodes []*placement.Server) {
	keep := math.Exp(-float64(now-c.observedAt) / float64(max(c.holdTime(), 1)))
	c.observedAt = now
	for i := range c.levels {
		c.levels[i].used = 0
	}
	total := 0
	for _, s := range decodes {
		if s.Unavailable {
			continue
		}
		total += s.Pieces()
		s.VisitRuns(func(r *placement.Run) { c.level(r.Priority).used += float64(r.Prompt) + r.Answer/2 })
	}
	sum := 0.0
	for i := range c.levels {
		l := &c.levels[i]
		sum += l.used / float64(max(total, 1))
		l.used = sum
		l.recently = max(sum, keep*l.recently)
	}
	c.levels = slices.DeleteFunc(c.levels, func(l levelUse) bool { return l.recently < 0.001 && now > l.missedAt+c.holdTime() })
}

func (c *competition) level(priority int) *levelUse {
	i, ok := slices.BinarySearchFunc(c.levels, priority, func(l levelUse, p int) int { return cmp.Compare(l.priority, p) })
	if !ok {
		c.levels = slices.Insert(c.levels, i, levelUse{priority: priority})
	}
	return &c.levels[i]
}

// reserve returns the share of the decode memory that a job leaves free for more urgent
// ones: what these lately used and do not use now, since a run holds its memory for seconds,
// during which they would find none; and room for one of them, if some with a shorter target
// were refused lately. A job with a longer target waits until none of those waits, and would
// be served more often than they. While memory is not short it is 0.
func (c *competition) reserve(now time.Duration, priority int, target time.Duration) float64 {
	if now >= c.shortUntil {
		return 0
	}
	unused, missed := 0.0, 0.0
	for _, l := range c.levels {
		if l.priority >= priority {
			break
		}
		unused = max(0, l.recently-l.used)
		if now < l.missedAt+c.holdTime() && target > l.missedTarget {
			missed = max(missed, l.missed.Value(0))
		}
	}
	return max(unused, missed)
}

// recordRefusal records that a job was refused for lack of memory.
func (p *pool[S]) recordRefusal(w *Waiter[S]) {
	c, now := &p.competing, p.d.Now()
	c.recordShortage(now)
	if !c.enabled || len(p.decodeViews) == 0 {
		return
	}
	l := c.level(w.request.rank())
	l.missed.Add((float64(w.request.PromptTokens) + w.need.AnswerTokens) / float64(max(p.decodeViews[0].Pieces(), 1)))
	l.missedAt, l.missedTarget = now, w.request.Goal.FirstToken
}

// observeCompetition measures the use of memory by priority, in pools that have jobs of
// different ones.
func (p *pool[S]) observeCompetition() {
	now, c := p.d.Now(), &p.competing
	if !c.enabled {
		return
	}
	if len(p.remoteWaiting) > 0 {
		c.recordShortage(now)
	}
	if len(c.levels) == 0 || now-c.observedAt >= competitionInterval {
		c.observe(now, p.decodeViews)
	}
}

// reserve returns the share of the decode memory that a job leaves to more urgent ones.
func (p *pool[S]) reserve(w *Waiter[S]) float64 {
	if !p.competing.enabled {
		return 0
	}
	return p.competing.reserve(p.d.Now(), w.job.Priority, w.request.Goal.FirstToken)
}
