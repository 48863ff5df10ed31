package predict

import (
	"sync/atomic"
	"time"
)

// Milliseconds converts a duration to the unit of the estimates.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// SpeedSums are what one process has observed of the speeds of a service, in the form
// in which processes exchange it.
type SpeedSums struct {
	// Step has the time between tokens in milliseconds over the number of running
	// requests.
	Step LineSums `cbor:"1,keyasint"`
	// PrefillRate has the speed of prefills in tokens a millisecond; its X is unused.
	PrefillRate LineSums `cbor:"2,keyasint"`
	// Start has the time from the end of a prefill to the first event in milliseconds;
	// its X is unused.
	Start LineSums `cbor:"3,keyasint"`
}

// Weight returns the weight of all observations.
func (s SpeedSums) Weight() float64 { return s.Step.Weight + s.PrefillRate.Weight + s.Start.Weight }

// Prior has the speeds that are assumed until the first observation. The first
// observation replaces it.
type Prior struct {
	// StepMillis is in milliseconds, and PrefillRate in tokens a millisecond.
	StepMillis, PrefillRate float64
	// StartMillis is the time from the end of a prefill to the first event.
	StartMillis float64
}

// Speeds are the speeds that the servers of one service have in common, as this process
// and the others observe them. Only SetPrior may be called concurrently with the other
// methods.
type Speeds struct {
	prior atomic.Pointer[Prior]

	step, prefillRate, start Line
	stepError                Mean
}

// NewSpeeds returns speeds without observations.
func NewSpeeds(p Prior) *Speeds {
	s := &Speeds{}
	s.prior.Store(&p)
	return s
}

// SetPrior sets the speeds that are assumed before the first observation.
func (s *Speeds) SetPrior(p Prior) { s.prior.Store(&p) }

// AddStep adds the time between two tokens, in milliseconds, of one of a number of
// running requests.
func (s *Speeds) AddStep(running int, millis float64) {
	if !s.step.Empty() {
		s.stepError.Add(max(millis, s.StepMillis(running))/max(min(millis, s.StepMillis(running)), minStep) - 1)
	}
	s.step.Add(float64(running), millis)
}

// minStep is the shortest time between tokens in milliseconds that is distinguished from 0.
const minStep = 1e-6

// StepMillis returns the time between the tokens of one of a number of running
// requests, in milliseconds.
func (s *Speeds) StepMillis(running int) float64 {
	return s.stepAt(float64(running))
}

// stepAt is StepMillis for a mean number of running requests.
func (s *Speeds) stepAt(running float64) float64 {
	return s.step.At(running, s.prior.Load().StepMillis)
}

// StepError returns the mean relative error of StepMillis: 0.1 when the greater of
// prediction and observation is on average 10% above the other.
func (s *Speeds) StepError() float64 { return s.stepError.Value(0) }

// AddPrefill adds the speed of a prefill in tokens a millisecond.
func (s *Speeds) AddPrefill(rate float64) { s.prefillRate.Add(0, rate) }

// PrefillRate returns the speed of prefills in tokens a millisecond.
func (s *Speeds) PrefillRate() float64 { return s.prefillRate.At(0, s.prior.Load().PrefillRate) }

// AddStart adds the time from the end of a prefill to the first event in milliseconds.
func (s *Speeds) AddStart(millis float64) { s.start.Add(0, millis) }

// StartMillis returns the time from the end of a prefill to the first event in
// milliseconds.
func (s *Speeds) StartMillis() float64 { return s.start.At(0, s.prior.Load().StartMillis) }

// Local returns what this process has observed.
func (s *Speeds) Local() SpeedSums {
	return SpeedSums{Step: s.step.Local(), PrefillRate: s.prefillRate.Local(), Start: s.start.Local()}
}

// SetRemote sets what the other processes have observed. Sums that no samples can have
// are ignored.
func (s *Speeds) SetRemote(others []SpeedSums) {
	var all SpeedSums
	for _, o := range others {
		if !o.Step.valid() || !o.PrefillRate.valid() || !o.Start.valid() {
			continue
		}
		all.Step, all.PrefillRate = all.Step.plus(o.Step), all.PrefillRate.plus(o.PrefillRate)
		all.Start = all.Start.plus(o.Start)
	}
	s.step.SetRemote(all.Step)
	s.prefillRate.SetRemote(all.PrefillRate)
	s.start.SetRemote(all.Start)
}
