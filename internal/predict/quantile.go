package predict

// Quantile estimates a quantile of samples that are about 1, online, by stochastic approximation
// (Robbins and Monro, 1951). It is 1 at least. The zero value has no samples.
type Quantile struct{ above float64 }

// quantileGain is the weight of a sample.
const quantileGain = 0.05

// Add adds a sample to the estimate of the quantile that a share of samples does not exceed.
func (q *Quantile) Add(x, share float64) {
	if x > q.Value() {
		q.above += quantileGain * share
	} else {
		q.above = max(q.above-quantileGain*(1-share), 0)
	}
}

// Value returns the estimate.
func (q *Quantile) Value() float64 { return 1 + q.above }
