package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// Capacity of the servers in the benchmark, and the runs that use most of it.
const (
	decideSlots        = 32
	decideRuns         = 27
	decideMemoryTokens = 160_000
	decideStep         = 650 * time.Microsecond
)

// decider runs the placement of one request on servers whose load is counted.
type decider struct {
	planner           *placement.Planner
	rnd               *rand.Rand
	prefills, decodes []*placement.Server
	now               time.Duration
}

// newDecider returns a decider for a number of servers, half of each stage. Each
// server has local and remote runs; fill is the minimum length of their answers.
func newDecider(servers, fill int) *decider {
	speeds, all := predict.NewSpeeds(defaultPrior), predict.NewServers()
	d := &decider{planner: newPlanner(speeds), rnd: rand.New(rand.NewPCG(1, 2))}
	for i := range servers / 2 {
		p, q := &placement.Server{ID: int32(i)}, &placement.Server{ID: int32(servers + i)}
		p.SetSpeeds(speeds, all.Add("dc"))
		q.SetSpeeds(speeds, all.Add("dc"))
		p.SetCounted(decideSlots, decideMemoryTokens)
		q.SetCounted(decideSlots, decideMemoryTokens)
		q.ObserveStep(0, decideStep, 0)
		p.RecordSend(0, placement.Use{Tokens: d.rnd.IntN(4000)})
		var remote []*placement.Run
		for n := range decideRuns {
			run := &placement.Run{Prompt: 1000 + d.rnd.IntN(3000), Answer: float64(fill + d.rnd.IntN(fill)), Began: -time.Duration(d.rnd.IntN(1000)) * time.Millisecond}
			if n%4 == 0 {
				q.RecordSend(0, placement.Use{Slots: 1, Run: run})
				continue
			}
			remote = append(remote, run)
		}
		q.SetRemoteUse(placement.Use{Slots: len(remote)}, remote)
		d.prefills, d.decodes = append(d.prefills, p), append(d.decodes, q)
	}
	return d
}

// decide predicts the wait of a request and places it, after changing one server.
func (d *decider) decide() (placement.Plan, time.Duration, bool) {
	d.now += 10 * time.Microsecond
	changed := d.decodes[d.rnd.IntN(len(d.decodes))]
	changed.ObserveStep(d.now, decideStep, 0)
	r := placement.Request{Now: d.now, PromptTokens: 4000, Pieces: 8000, AnswerTokens: 3000}
	wait, _ := d.planner.Wait(&r, d.decodes, projectedShare, 2)
	plan, ok := d.planner.Plan(d.rnd, &r, d.prefills, d.decodes)
	return plan, wait, ok
}

// BenchmarkDecide measures one decision about servers with free memory ("room") and
// without ("full").
func BenchmarkDecide(b *testing.B) {
	for name, fill := range map[string]int{"room": 1000, "full": 4000} {
		for _, servers := range []int{16, 128} {
			b.Run(fmt.Sprintf("%s/servers=%d", name, servers), func(b *testing.B) {
				d := newDecider(servers, fill)
				b.ReportAllocs()
				for b.Loop() {
					d.decide()
				}
			})
		}
	}
}

// TestDecisionsOfTheBenchmark checks that the servers of BenchmarkDecide have free
// memory or none, as its cases are named.
func TestDecisionsOfTheBenchmark(t *testing.T) {
	is := is.New(t)
	_, wait, ok := newDecider(128, 1000).decide()
	is.True(ok)
	is.Equal(wait, time.Duration(0))
	_, wait, ok = newDecider(128, 4000).decide()
	is.True(!ok)
	is.True(wait > 0)
}
