package predict

import "math"

// LineSums are the sufficient statistics of a straight line fitted to weighted samples
// (x, y). The sums of several processes add up to those of their samples together.
type LineSums struct {
	// Weight is the sum of the weights; the other fields are weighted sums.
	Weight float64 `cbor:"1,keyasint"`
	X      float64 `cbor:"2,keyasint"`
	Y      float64 `cbor:"3,keyasint"`
	XX     float64 `cbor:"4,keyasint"`
	XY     float64 `cbor:"5,keyasint"`
}

func (s LineSums) plus(o LineSums) LineSums {
	return LineSums{Weight: s.Weight + o.Weight, X: s.X + o.X, Y: s.Y + o.Y, XX: s.XX + o.XX, XY: s.XY + o.XY}
}

func (s LineSums) times(f float64) LineSums {
	return LineSums{Weight: f * s.Weight, X: f * s.X, Y: f * s.Y, XX: f * s.XX, XY: f * s.XY}
}

// valid reports whether sums can be those of samples with x >= 0 and y > 0.
func (s LineSums) valid() bool {
	for _, v := range []float64{s.Weight, s.X, s.Y, s.XX, s.XY} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return (s.Weight > 0) == (s.Y > 0)
}

const (
	// lineGain is the fraction by which each sample lowers the weight of the earlier
	// ones: about the last 50 samples of a process count.
	lineGain = 0.02
	// minLineWeight is the weight of samples below which only their mean is used.
	minLineWeight = 8
	// minLineVariance is the variance of x below which only the mean is used.
	minLineVariance = 0.5
)

// Line predicts y as a straight line of x by least squares with exponential forgetting,
// over the samples of this process and of others. x and the slope are not
// negative, and y is positive. The zero value has no samples.
type Line struct {
	local, remote, sum LineSums
}

// Add adds a sample.
func (l *Line) Add(x, y float64) {
	l.local = l.local.times(1 - lineGain).plus(LineSums{Weight: 1, X: x, Y: y, XX: x * x, XY: x * y})
	l.sum = l.local.plus(l.remote)
}

// Local returns the sums of the samples of this process.
func (l *Line) Local() LineSums { return l.local }

// SetRemote sets the sums of the samples of the other processes.
func (l *Line) SetRemote(s LineSums) {
	l.remote = s
	l.sum = l.local.plus(s)
}

// Empty reports whether there is no sample.
func (l *Line) Empty() bool { return l.sum.Weight <= 0 }

// At returns the prediction at x, or fallback without samples.
func (l *Line) At(x, fallback float64) float64 {
	s := l.sum
	if s.Weight <= 0 {
		return fallback
	}
	meanX, meanY := s.X/s.Weight, s.Y/s.Weight
	variance := s.XX/s.Weight - meanX*meanX
	if s.Weight < minLineWeight || variance < minLineVariance {
		return meanY
	}
	// The line is not negative at x = 0.
	slope := min(max(0, (s.XY/s.Weight-meanX*meanY)/variance), meanY/meanX)
	return meanY + slope*(x-meanX)
}
