// Package predict estimates quantities online and tracks the error of its
// estimates. It uses no clock and no locks.
package predict

import "math"

// Mean is an exponentially weighted moving average. The zero value has no samples
// and uses defaultGain.
type Mean struct {
	// Gain is the weight of a new sample, between 0 and 1; 0 means defaultGain.
	Gain         float64
	value        float64
	samples      int
	meanAbsError float64
}

const (
	defaultGain = 0.1
	// errorGain is the weight of a new error in the mean absolute error.
	errorGain = 0.001
)

// Add adds a sample. The average of the first 1/Gain samples is their arithmetic mean.
func (m *Mean) Add(x float64) {
	if m.samples > 0 {
		m.meanAbsError += max(errorGain, 1/float64(m.samples)) * (math.Abs(x-m.value) - m.meanAbsError)
	}
	m.samples++
	gain := m.Gain
	if gain == 0 {
		gain = defaultGain
	}
	m.value += max(gain, 1/float64(m.samples)) * (x - m.value)
}

// Value returns the average, or fallback without samples.
func (m *Mean) Value(fallback float64) float64 {
	if m.samples == 0 {
		return fallback
	}
	return m.value
}

// Samples returns the number of samples.
func (m *Mean) Samples() int { return m.samples }

// MeanAbsError returns the moving average of the absolute error, in the unit of the
// samples: the difference of each sample from the average before it.
func (m *Mean) MeanAbsError() float64 { return m.meanAbsError }
