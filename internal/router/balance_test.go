package router

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// usual returns the speeds of n servers of the usual speed.
func usual(n int) []float64 { return slices.Repeat([]float64{1}, n) }

// TestBestSplit checks the number of prefill servers for demands of prefill and decode
// servers.
func TestBestSplit(t *testing.T) {
	for name, tc := range map[string]struct {
		prefills, decodes int
		demand            stageDemand
		want              int
	}{
		"decode memory full, prefill idle":   {16, 31, stageDemand{4.7, 26, 6, 5, 1600}, 8},
		"prefill full, decode idle":          {10, 28, stageDemand{9, 8, 12, 5, 1600}, 20},
		"balanced":                           {8, 39, stageDemand{4.7, 26, 6, 5, 1600}, 8},
		"little load, same shares":           {16, 31, stageDemand{0.47, 2.6, 6, 5, 1600}, 8},
		"no demand is known":                 {16, 28, stageDemand{}, 16},
		"the minimum number is kept":         {4, 3, stageDemand{0.01, 3, 6, 5, 1600}, 2},
		"a lost stage gets servers":          {5, 0, stageDemand{0.5, 1, 6, 5, 1600}, 2},
		"too few servers for two stages":     {2, 1, stageDemand{0.01, 3, 6, 5, 1600}, 2},
		"few runs, a small error":            {10, 37, stageDemand{4.0, 28, 6, 5, 60}, 10},
		"few runs, a large error":            {24, 23, stageDemand{4.7, 26, 6, 5, 60}, 8},
		"queued prefills need fewer servers": {10, 37, stageDemand{4.7, 26, 6, 1, 1600}, 10},
		"a small gain is not worth a switch": {5, 42, stageDemand{2.5, 26, 6, 5, 1600}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.demand.bestSplit(usual(tc.prefills), usual(tc.decodes)), tc.want)
		})
	}
}

// TestSplitCountsServersBySpeed guards against a split of equal numbers of servers that are
// not equally fast: 10 slow prefill servers do half of what 10 usual ones do.
func TestSplitCountsServersBySpeed(t *testing.T) {
	is := is.New(t)
	d := stageDemand{4.7, 26, 6, 5, 1600}
	best := d.bestSplit(usual(8), usual(39))
	is.Equal(best, 8)
	slow := slices.Repeat([]float64{0.55}, 8)
	is.True(d.bestSplit(slow, usual(39)) > best)
	is.True(d.bestSplit(usual(8), slices.Repeat([]float64{0.55}, 39)) < best)
	var speeds []float64 // estimates of equal servers
	for i := range 47 {
		speeds = append(speeds, 1+0.04*float64(i%5-2))
	}
	is.Equal(d.bestSplit(speeds[:8], speeds[8:]), best)
}

// TestSlowServersDecode guards against orders that leave the slowest servers in the prefill
// stage, where each first token waits for them.
func TestSlowServersDecode(t *testing.T) {
	is := is.New(t)
	list := func() []candidate {
		return []candidate{{speed: 1.2, use: 1}, {speed: 0.52, use: 9}, {speed: 1.16, use: 0}, {speed: 0.5, use: 3}, {speed: 1, use: 5}}
	}
	prefills, decodes := list(), list()
	sortCandidates(prefills, directory.Prefill)
	sortCandidates(decodes, directory.Decode)
	is.Equal(speedsOf(prefills), []float64{0.5, 0.52, 1.16, 1.2, 1})
	is.Equal(speedsOf(decodes), []float64{1.16, 1.2, 1, 0.5, 0.52})
}

// TestFirstRunsDoNotMoveServers has the first runs of a service be long prompts with short
// answers, from which its split looks far from best.
func TestFirstRunsDoNotMoveServers(t *testing.T) {
	is := is.New(t)
	for runs := 1.0; runs <= 10; runs++ {
		d := stageDemand{0.05 * runs, 0.01 * runs, 6, 5, runs}
		n := 6 - d.bestSplit(usual(6), usual(19))
		is.Equal(n, 0)
		is.True(!(&balance{}).lasting(n, 6*time.Second))
		is.True(d.bestSplit(usual(25), nil) <= 25-minStageServers) // a lost stage gets servers
	}
	is.True(stageDemand{5, 1, 6, 5, 100}.bestSplit(usual(6), usual(19)) > 6)
}

// TestSplitIsStable checks that the split that a demand leads to is kept for demands
// that differ by a standard error of the estimate.
func TestSplitIsStable(t *testing.T) {
	is := is.New(t)
	d := stageDemand{4.7, 26, 6, 5, 1600}
	best := d.bestSplit(usual(16), usual(31))
	for _, off := range []float64{1 - 1/math.Sqrt(300), 1 + 1/math.Sqrt(300)} {
		moved := stageDemand{d.prefill * off, d.decode, d.runsPerServer, d.prefillsPerServer, 300}
		is.Equal(moved.bestSplit(usual(best), usual(47-best)), best)
	}
}

// TestShortImbalancesAreNotFollowed has the best split change for less time than a change
// of stage takes, after the first order.
func TestShortImbalancesAreNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const change = 6 * time.Second
		b := &balance{}
		is.True(b.lasting(3, change)) // the first is followed at once
		b.ordered = true
		is.True(!b.lasting(0, change))
		for range 5 {
			time.Sleep(change / 6)
			is.True(!b.lasting(-2, change))
		}
		is.True(!b.lasting(1, change)) // the other way
		time.Sleep(change - time.Millisecond)
		is.True(!b.lasting(2, change))
		time.Sleep(time.Millisecond)
		is.True(b.lasting(1, change))
	})
}

// TestServicesOutsideTheConfigurationAreForgotten replaces the services of the configuration
// many times.
func TestServicesOutsideTheConfigurationAreForgotten(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	r := New(d, nil, Options{Budget: BudgetOptions{Window: time.Second}}, log.NewNopLogger())
	for i := range 20 {
		name := fmt.Sprint("service-", i)
		d.SetConfig(&directory.Config{Version: uint64(i + 1), Routes: []directory.Route{{Name: name}}, Services: map[string]*directory.Service{name: {Name: name}}})
		r.budget(name)
		r.dispatch.VisitServers(name, func(time.Duration, []*backend, []*backend) {})
	}
	is.True(len(r.budgets) <= 2)
}

// rankedPeers are the peers of an entry with a rank.
type rankedPeers struct {
	Peers
	rank, entries int
}

func (p rankedPeers) Rank(string) (rank, entries int) { return p.rank, p.entries }

// TestRefusedTrialsComeBackInTheirTurn guards callers whose request could not have its trial
// against coming back while another entry has its turn.
func TestRefusedTrialsComeBackInTheirTurn(t *testing.T) {
	is := is.New(t)
	for entries := 1; entries <= maxTrialEntries; entries++ {
		for rank := range entries {
			r := &Router{options: Options{Peers: rankedPeers{rank: rank, entries: entries}}}
			for since := time.Duration(0); since < 4*time.Second; since += 70 * time.Millisecond {
				next := r.nextTrialTurn("s", since)
				is.True(next > 0 && next <= time.Duration(entries+1)*trialTurn)
				is.True(r.hasTrialTurn("s", since+next))
			}
		}
	}
}
