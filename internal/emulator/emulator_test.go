package emulator_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/emulator"
)

// budget is the retry budget of the known deployments.
var budget = emulator.Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}

// play runs a fleet in virtual time.
func play(t *testing.T, o emulator.Options) (r emulator.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r = emulator.New(o).Run(context.Background())
		time.Sleep(10 * time.Second) // timers of the entries end
	})
	t.Logf("%+v", r)
	is.New(t).Equal(r.Slowdown, 1.0)
	return r
}

// atLoad returns options with the rate at which the service needs a fraction of its
// servers, in prefill and decode servers together.
func atLoad(e emulator.Engine, l emulator.Load, fraction float64) emulator.Options {
	l.PerSecond = emulator.RateAt(&e, &l, fraction)
	return emulator.Options{Entries: 6, Engine: e, Load: l, Seed: 1, Budget: budget}
}

// slowStep is an engine whose tokens take seven times as long as those of the engines
// that the router was first written for, with less memory and a longer batch.
var slowStep = emulator.Engine{
	Servers: 16, PrefillServers: 5, Slots: 64, MemoryTokens: 40_120, Step: 3790 * time.Microsecond, StepPerSlot: 89 * time.Microsecond, EventTokens: 11,
	PrefillRate: 55.6, PrefillSetup: 16 * time.Millisecond, HandleTTL: 500 * time.Millisecond, StageChangeTime: 6 * time.Second, Latency: time.Millisecond,
}

var longPrompts = emulator.Load{
	PromptTokens: 5000, PromptSigma: 0.5, AnswerEvents: 67, AnswerSigma: 0.7, HintSigma: 0.5, FirstToken: 900 * time.Millisecond,
	BetweenEvents: 300 * time.Millisecond, Deadline: 14 * time.Second, WarmUp: 14 * time.Second, Duration: 24 * time.Second,
}

// Bounds of the outcomes at loads that the servers can carry.
const (
	moderate, high = 0.6, 0.85 // of the servers are needed

	// The least numbers of requests answered on time, relative to emulator.Bound.
	minOnTimeModerate, minOnTimeHigh = 0.95, 0.9

	maxRefusedDecodes = 0.02 // of the offers to decode servers
	maxWastedPrefills = 0.02 // of the prefills
)

// outcome adds up the results of several fleets.
type outcome struct {
	mu                                                sync.Mutex
	onTime, bound, decodes, refused, prefills, wasted int
}

func (o *outcome) add(options emulator.Options, r emulator.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onTime += r.OnTime
	o.bound += emulator.Bound(options)
	o.decodes += r.Decodes
	o.refused += r.RefusedDecodes
	o.prefills += r.Prefills
	o.wasted += r.WastedPrefills
}

func (o *outcome) check(t *testing.T, minOnTime float64) {
	t.Helper()
	is := is.NewRelaxed(t)
	t.Logf("on time %.3f of the bound, refused decodes %.3f, wasted prefills %.3f", float64(o.onTime)/float64(o.bound), float64(o.refused)/float64(o.decodes), float64(o.wasted)/float64(o.prefills))
	is.True(float64(o.onTime) >= minOnTime*float64(o.bound))
	is.True(float64(o.refused) <= maxRefusedDecodes*float64(o.decodes))
	is.True(float64(o.wasted) <= maxWastedPrefills*float64(o.prefills))
}

func TestEnginesNotSeenBeforeAtModerateLoad(t *testing.T) { playDraws(t, moderate, minOnTimeModerate) }

func TestEnginesNotSeenBeforeAtHighLoad(t *testing.T) { playDraws(t, high, minOnTimeHigh) }

// playDraws draws engines and routes at random, each figure within a factor of 8 of those
// of the known deployments, and plays a load on each. Bounds hold for all together.
func playDraws(t *testing.T, load, minOnTime float64) {
	const draws = 40
	rnd := rand.New(rand.NewPCG(40, 1))
	factor := func() float64 { return math.Exp((2*rnd.Float64() - 1) * math.Log(8)) }
	var all outcome
	t.Run("draws", func(t *testing.T) {
		for i := range draws {
			e, l := slowStep, longPrompts
			e.Step = time.Duration(float64(1500*time.Microsecond) * factor())
			e.StepPerSlot = time.Duration(float64(e.Step) * 0.02 * rnd.Float64())
			e.EventTokens = max(1, int(float64(50*time.Millisecond)/float64(e.Step)))
			e.PrefillRate *= factor()
			l.PromptTokens *= factor()
			e.Slots = 12 << rnd.IntN(4)
			e.PrefillServers = 2 + rnd.IntN(10)
			l.AnswerEvents = 20 + 80*rnd.Float64()
			e.MemoryTokens = int((l.PromptTokens + l.AnswerEvents*float64(e.EventTokens)) * (4 + 12*rnd.Float64()))
			// Targets that an idle fleet meets, as operators set them.
			l.FirstToken = max(l.FirstToken, 5*time.Duration(l.PromptTokens/e.PrefillRate*float64(time.Millisecond)))
			l.Deadline = max(l.Deadline, 4*l.FirstToken)
			o := atLoad(e, l, load)
			o.Seed = uint64(i)
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				t.Logf("%.1f requests a second, %+v", o.Load.PerSecond, e)
				all.add(o, play(t, o))
			})
		}
	})
	all.check(t, minOnTime)
}
