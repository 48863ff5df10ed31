package emulator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/emulator"
)

// fastStep is an engine like those of the deployments with organisations, in a smaller fleet.
var fastStep = emulator.Engine{
	Servers: 14, PrefillServers: 3, Slots: 16, MemoryTokens: 68_251, Step: 600 * time.Microsecond, EventTokens: 72,
	PrefillRate: 50, PrefillSetup: 10 * time.Millisecond, HandleTTL: 500 * time.Millisecond, Latency: time.Millisecond,
}

// Bounds of what callers get in bursts.
const (
	// A class is served less often than a less urgent one by at most moreServed, and earns a
	// smaller share of its value by at most moreEarned.
	moreServed, moreEarned = 0.05, 0.15
	// The largest tenth of a class and the fifth below it are served at least largeServed as
	// often as the class, and an organisation at least organisationServed as often as all.
	largeServed, organisationServed = 0.5, 0.25
	// lateValue is the value of a late answer relative to one in time.
	lateValue = 0.1
)

// tally sums what the callers of a class got.
type tally struct{ requests, whole, onTime int }

func (c tally) plus(list []emulator.Served) tally {
	for _, s := range list {
		c.requests++
		if s.Whole {
			c.whole++
		}
		if s.OnTime {
			c.onTime++
		}
	}
	return c
}

func (c tally) served() float64 { return float64(c.whole) / float64(max(c.requests, 1)) }

func (c tally) earned() float64 {
	return (float64(c.onTime) + lateValue*float64(c.whole-c.onTime)) / float64(max(c.requests, 1))
}

// competing returns a load of classes in bursts of the whole load.
func competing(classes ...emulator.Class) emulator.Load {
	l := emulator.Load{
		PromptTokens: 5200, PromptSigma: 0.5, AnswerEvents: 70, AnswerSigma: 0.5, HintSigma: 0.4, FirstToken: 900 * time.Millisecond,
		BetweenEvents: 300 * time.Millisecond, Deadline: 14 * time.Second, WarmUp: 4 * time.Second, Duration: 34 * time.Second,
		Return: true, Classes: classes,
	}
	for at := 6 * time.Second; at < l.Duration; at += 10 * time.Second {
		l.Bursts = append(l.Bursts, emulator.Burst{At: at, For: 4 * time.Second, Factor: 2})
	}
	return l
}

func burstsOf(factor float64) []emulator.Burst {
	return []emulator.Burst{{At: 7 * time.Second, For: 5 * time.Second, Factor: factor}, {At: 22 * time.Second, For: 5 * time.Second, Factor: factor}}
}

// TestCompetingCallersGetTheirShares plays bursts of the load, of a class and of an
// organisation, and guards against classes, sizes and organisations that get too little.
func TestCompetingCallersGetTheirShares(t *testing.T) {
	for name, classes := range map[string][]emulator.Class{
		"alike":            {{Name: "a", Share: 1}, {Name: "b", Share: 1}, {Name: "c", Share: 1}},
		"priorities":       {{Name: "a", Share: 1}, {Name: "b", Share: 2, Priority: 1}, {Name: "c", Share: 1, Priority: 2}},
		"patient":          {{Name: "a", Share: 3}, {Name: "b", Share: 1, Priority: 1, FirstToken: 2 * time.Second}},
		"class burst":      {{Name: "a", Share: 1, Bursts: burstsOf(2.5)}, {Name: "b", Share: 2, Priority: 1}},
		"low class burst":  {{Name: "a", Share: 1}, {Name: "b", Share: 2, Priority: 1, Bursts: burstsOf(2.5)}},
		"organisation":     {{Name: "a", Share: 5}, {Name: "b", Share: 1, Bursts: burstsOf(7)}, {Name: "c", Share: 1}},
		"low organisation": {{Name: "a", Share: 5}, {Name: "b", Share: 1, Priority: 3, Bursts: burstsOf(7)}, {Name: "c", Share: 1, Priority: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			tallies, large, next := map[string]tally{}, map[string]tally{}, map[string]tally{}
			var all tally
			var prefills, wasted int
			for seed := range uint64(seeds) {
				o := atLoad(fastStep, competing(classes...), 0.75)
				o.Seed = seed
				r := play(t, o)
				prefills, wasted = prefills+r.Prefills, wasted+r.WastedPrefills
				for class, list := range r.Served {
					slices.SortFunc(list, func(a, b emulator.Served) int { return b.Prompt - a.Prompt })
					tenth := len(list) / 10
					all = all.plus(list)
					tallies[class], large[class], next[class] = tallies[class].plus(list), large[class].plus(list[:tenth]), next[class].plus(list[tenth:3*tenth])
				}
			}
			t.Logf("%s: all: %d requests, served %.3f, earned %.3f, wasted prefills %d of %d", name, all.requests, all.served(), all.earned(), wasted, prefills)
			for i, c := range classes {
				got := tallies[c.Name]
				t.Logf("%s: %s, priority %d: %d requests, served %.3f, on time %.3f, earned %.3f; largest tenth served %.3f, fifth below it %.3f", name, c.Name, c.Priority, got.requests,
					got.served(), float64(got.onTime)/float64(got.requests), got.earned(), large[c.Name].served(), next[c.Name].served())
				is.True(large[c.Name].served() >= largeServed*got.served())
				is.True(next[c.Name].served() >= largeServed*got.served())
				is.True(got.served() >= organisationServed*all.served())
				for _, o := range classes[i+1:] {
					less := tallies[o.Name]
					is.True(o.Priority <= c.Priority || got.served() >= less.served()-moreServed)
					is.True(o.Priority <= c.Priority || got.earned() >= less.earned()-moreEarned)
				}
			}
			is.True(float64(wasted) <= maxWastedPrefills*float64(prefills))
		})
	}
}

const seeds = 3
