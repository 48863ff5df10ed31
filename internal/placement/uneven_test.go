package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// newCounted returns counted servers of one service.
func newCounted(n int) []*Server {
	speeds, all := predict.NewSpeeds(predict.Prior{PrefillRate: 50, StepMillis: 4}), predict.NewServers()
	var out []*Server
	for i := range n {
		s := &Server{ID: int32(i)}
		s.SetSpeeds(speeds, all.Add("dc"))
		s.SetCounted(12, 100_000)
		out = append(out, s)
	}
	return out
}

// TestObservationsAreNormalisedByThePace guards against a server that is taken to be slow for
// minutes because its machine was busy for some 100 ms.
func TestObservationsAreNormalisedByThePace(t *testing.T) {
	is := is.New(t)
	list := newCounted(2)
	busy, other := list[0], list[1]
	for i := range 50 {
		now := time.Duration(i) * second
		other.ObservePrefill(now, 5000, 100*time.Millisecond)
		other.ObserveStep(now, 4*time.Millisecond, 0)
		busy.ObservePace(now, 2.5)
		busy.ObservePrefill(now, 5000, 250*time.Millisecond)
		busy.ObserveStep(now, 10*time.Millisecond, 0)
	}
	is.True(math.Abs(busy.PrefillSpeed()-1) < 1e-9)
	is.True(math.Abs(busy.DecodeSpeed()-1) < 1e-9)
	is.True(math.Abs(busy.PrefillRate()-50) < 1e-9)
}

// TestPaceCountsInWaitAndMemory guards against requests that wait for a server that is slow for
// the moment, and against a pace that counts after its validity.
func TestPaceCountsInWaitAndMemory(t *testing.T) {
	is := is.New(t)
	list := newCounted(2)
	busy, other := list[0], list[1]
	request := &Request{Now: second, PromptTokens: 5000}
	for _, s := range list {
		s.SetRemoteUse(Use{Tokens: 2500}, []*Run{{Prompt: 1000, Answer: 500}})
	}
	is.Equal(busy.WaitMillis(second), 50.0)
	is.Equal(PrefillCost{}.Cost(request, busy), 100.0)
	usualEnd := busy.Project(second).Earliest(&Run{Prompt: 99_000, Answer: 1, Began: second}, 99_500)
	busy.ObservePace(second, 2.5)
	is.True(busy.WaitMillis(second) > 115 && busy.WaitMillis(second) < 125) // 2.5 falls to 2.4 meanwhile
	is.True(PrefillCost{}.Cost(request, busy) > 180)
	is.True(busy.Project(second).Earliest(&Run{Prompt: 99_000, Answer: 1, Began: second}, 99_500) > usualEnd)
	for range 20 {
		c, ok := NewPlanner().Prefill.Choose(rand.New(rand.NewPCG(1, 1)), request, list)
		is.True(ok)
		is.Equal(list[c.Index], other)
	}
	is.Equal(busy.WaitMillis(2*second), 50.0)
	is.Equal(busy.Pace(2*second), 1.0)
	is.Equal(other.Pace(second), 1.0)
}

// TestServerThatSlowsWhenFull guards against a factor that takes a full server to be slow, when
// all servers of its service slow with their load.
func TestServerThatSlowsWhenFull(t *testing.T) {
	is := is.New(t)
	list := newCounted(4)
	steep := list[3]
	for i := range 400 {
		s, running := list[i%4], 1+i/4%10
		runs := make([]*Run, running)
		for n := range runs {
			runs[n] = &Run{Prompt: 1, Answer: 1}
		}
		s.SetRemoteUse(Use{}, runs)
		millis := 4 + 0.4*float64(running)
		if s == steep && running == 10 {
			millis *= 2
		}
		s.ObserveStep(time.Duration(i)*100*time.Millisecond, time.Duration(millis*float64(time.Millisecond)), 0)
	}
	is.True(math.Abs(list[0].DecodeSpeed()-1) < 0.08)
	is.True(steep.DecodeSpeed() < 0.92*list[0].DecodeSpeed())
}
