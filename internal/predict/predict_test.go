package predict

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func near(got, want, tolerance float64) bool {
	return math.Abs(got-want) <= tolerance*math.Abs(want)
}

// TestLineFollowsItsSamples learns y = 4 + 0.1 x from noisy samples.
func TestLineFollowsItsSamples(t *testing.T) {
	is := is.New(t)
	var l Line
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		x := float64(1 + rnd.IntN(20))
		l.Add(x, (4+0.1*x)*(1+0.1*rnd.NormFloat64()))
	}
	is.True(near(l.At(2, 0), 4.2, 0.1))
	is.True(near(l.At(20, 0), 6, 0.1))
}

// TestLineOfOneValueIsItsMean checks that samples at one x, which say nothing of the
// slope, predict their mean everywhere.
func TestLineOfOneValueIsItsMean(t *testing.T) {
	is := is.New(t)
	var l Line
	is.Equal(l.At(3, 7), 7.0)
	for range 20 {
		l.Add(5, 2)
	}
	is.True(near(l.At(0, 7), 2, 1e-9))
	is.True(near(l.At(50, 7), 2, 1e-9))
}

// TestFirstObservationReplacesThePrior assumes speeds that are wrong by a factor of 4
// both ways.
func TestFirstObservationReplacesThePrior(t *testing.T) {
	for _, off := range []float64{0.25, 4} {
		is := is.New(t)
		s := NewSpeeds(Prior{StepMillis: 4 * off, PrefillRate: 50 * off, StartMillis: 60 * off})
		is.Equal(s.StepMillis(3), 4*off)
		s.AddStep(3, 4)
		s.AddPrefill(50)
		s.AddStart(60)
		is.Equal(s.StepMillis(3), 4.0)
		is.Equal(s.PrefillRate(), 50.0)
		is.Equal(s.StartMillis(), 60.0)
	}
}

// TestRemoteObservationsCount has a process that has observed nothing use what two others
// observed, weighted by their samples.
func TestRemoteObservationsCount(t *testing.T) {
	is := is.New(t)
	slow, fast, own := NewSpeeds(Prior{}), NewSpeeds(Prior{}), NewSpeeds(Prior{StepMillis: 1})
	for range 3 {
		slow.AddStep(4, 8)
	}
	fast.AddStep(4, 4)
	own.SetRemote([]SpeedSums{slow.Local(), fast.Local()})
	is.True(near(own.StepMillis(4), 7, 0.02))
	own.SetRemote([]SpeedSums{fast.Local()})
	is.True(near(own.StepMillis(4), 4, 1e-9))
}

// TestInvalidRemoteSumsAreIgnored sends sums that no samples can have.
func TestInvalidRemoteSumsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := NewSpeeds(Prior{StepMillis: 2, PrefillRate: 30})
	s.SetRemote([]SpeedSums{
		{Step: LineSums{Weight: math.NaN(), Y: 3}},
		{PrefillRate: LineSums{Weight: 1, Y: math.Inf(1)}},
		{Step: LineSums{Weight: 1, Y: -3}},
		{PrefillRate: LineSums{Weight: 5}},
	})
	is.Equal(s.StepMillis(1), 2.0)
	is.Equal(s.PrefillRate(), 30.0)
}
