package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

const decideQueued = 1000 // requests in the queue

// decisionFixture holds a queue and the records of servers, for one decision after
// another.
type decisionFixture struct {
	sched    *schedule.Schedule
	planner  *placement.Planner
	index    *placement.PrefixIndex
	rnd      *rand.Rand
	prefills []*placement.Server
	decodes  []*placement.Server
	jobs     []*schedule.Job
	hits     []placement.Hit
	prefixes []uint64
	demand   placement.Request
	now      time.Duration
	next     int
}

// newDecisionFixture returns a fixture with a number of servers, half of each kind,
// and decideQueued jobs in the queue.
func newDecisionFixture(servers int) *decisionFixture {
	d := &decisionFixture{
		sched:    schedule.New(admission.Default(), schedule.DefaultOrder()),
		planner:  placement.NewPlanner(),
		index:    placement.NewPrefixIndex(),
		rnd:      rand.New(rand.NewPCG(1, 2)),
		prefixes: []uint64{1, 2, 3},
	}
	for i := range servers / 2 {
		p, q := &placement.Server{ID: int32(i)}, &placement.Server{ID: int32(i)}
		p.RecordReport(0, placement.Report{QueuedTokens: d.rnd.IntN(4000)})
		q.RecordReport(0, placement.Report{SlotsUsed: 10 + d.rnd.IntN(9), SlotsTotal: 20, PiecesUsed: 40, PiecesTotal: 100})
		d.prefills, d.decodes = append(d.prefills, p), append(d.decodes, q)
	}
	d.index.Add(d.prefixes, 1)
	goal := admission.NewGoal(0, 0, 1, 1)
	for i := range decideQueued + 1 {
		j := &schedule.Job{Provider: fmt.Sprint("provider-", i%20), Weight: 1, Goal: goal, PrefillMillis: 100 + float64(i%37), Owner: i}
		d.jobs = append(d.jobs, j)
		if i > 0 {
			d.sched.Offer(0, j, 0, 0)
		}
	}
	return d
}

// decide admits one request, takes the head of the queue and places it.
func (d *decisionFixture) decide() placement.Plan {
	d.now += time.Microsecond
	d.hits = d.index.Lookup(d.prefixes, d.hits[:0])
	d.sched.Offer(d.now, d.jobs[d.next], d.sched.Wait(d.jobs[d.next]), 0)
	d.sched.PopLate(0)
	head := d.sched.Pop(d.now)
	d.next = head.Owner.(int)
	d.demand = placement.Request{Now: d.now, PromptTokens: 4000, Pieces: 3, AnswerTokens: 80, Hits: d.hits}
	plan, _ := d.planner.Plan(d.rnd, &d.demand, d.prefills, d.decodes)
	return plan
}

// BenchmarkDecide measures one decision, from admission to the choice of both
// servers, with 1,000 requests in the queue.
func BenchmarkDecide(b *testing.B) {
	for _, servers := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			d := newDecisionFixture(servers)
			b.ReportAllocs()
			for b.Loop() {
				d.decide()
			}
		})
	}
}

// TestDecideAllocations checks that a decision allocates nothing.
func TestDecideAllocations(t *testing.T) {
	is := is.New(t)
	d := newDecisionFixture(128)
	d.decide() // grows the buffers
	is.Equal(testing.AllocsPerRun(200, func() { d.decide() }), 0.0)
}
