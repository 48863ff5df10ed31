package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// compare orders the waiting jobs of all processes: the more urgent first, and those that
// are as urgent by arrival.
func (w Waiting) compare(o Waiting) int {
	return cmp.Or(cmp.Compare(w.Priority, o.Priority), cmp.Compare(w.Arrived, o.Arrived))
}

func waitingOf(j *schedule.Job) Waiting { return Waiting{Priority: j.Priority, Arrived: j.Arrived} }

// aging is the number of less urgent jobs of which one counts as the most urgent, in the
// queue, among processes and for the reserve of memory. Under a lasting overload by more
// urgent jobs the less urgent ones are thus served at least a quarter as often as these,
// which is the least share that an organisation gets of what all get. A rule by waiting
// time gives no such bound: after a while all that wait are old, and the order is that of
// arrival again.
const aging = 4

// rank sets the priority of a job that is offered. Continued and begun jobs keep theirs.
func (p *pool[S]) rank(w *Waiter[S]) {
	j := w.request
	if j.Priority <= j.MostUrgent {
		return
	}
	p.competing.enabled = true
	if p.lessUrgent++; p.lessUrgent%aging == 0 {
		w.job.Priority = j.MostUrgent
	}
}

const (
	// competitionWindow is the time constant with which the memory that more urgent jobs
	// lately used is forgotten. Bursts last 3 to 5 s, and between two of them the reserve
	// shall remain.
	competitionWindow = 5 * time.Second
	// shortageMemory is the time for which memory counts as short after a job last waited
	// or was refused: a run that is admitted then holds its memory for about 3 s.
	shortageMemory = 3 * time.Second
	// competitionInterval bounds how often the runs of all servers are added up.
	competitionInterval = 20 * time.Millisecond
)

// competition measures the share of the decode memory that jobs of each priority use.
type competition struct {
	// enabled is set once jobs of different priorities were offered.
	enabled    bool
	observedAt time.Duration
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
}

// recordShortage records that a job waits or was refused.
func (c *competition) recordShortage(now time.Duration) { c.shortUntil = now + shortageMemory }

// observe adds up the runs of the decode servers.
func (c *competition) observe(now time.Duration, decodes []*placement.Server) {
	keep := math.Exp(-float64(now-c.observedAt) / float64(competitionWindow))
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
	c.levels = slices.DeleteFunc(c.levels, func(l levelUse) bool { return l.recently < 0.001 })
}

func (c *competition) level(priority int) *levelUse {
	i, ok := slices.BinarySearchFunc(c.levels, priority, func(l levelUse, p int) int { return cmp.Compare(l.priority, p) })
	if !ok {
		c.levels = slices.Insert(c.levels, i, levelUse{priority: priority})
	}
	return &c.levels[i]
}

// reserve returns the share of the decode memory that a job of a priority leaves free: what
// the more urgent jobs lately used and do not use now. A run holds its memory for seconds,
// so that those would find none when they come back. While memory is not short it is 0.
func (c *competition) reserve(now time.Duration, priority int) float64 {
	if now >= c.shortUntil {
		return 0
	}
	reserve := 0.0
	for _, l := range c.levels {
		if l.priority < priority {
			reserve = max(0, l.recently-l.used)
		}
	}
	return reserve
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
	return p.competing.reserve(p.d.Now(), w.job.Priority)
}
