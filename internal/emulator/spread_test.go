package emulator

import (
	"testing"

	"github.com/matryer/is"
)

// TestSpreadOfLoads guards against a spread that depends on the order of the samples or
// divides by zero.
func TestSpreadOfLoads(t *testing.T) {
	is := is.New(t)
	is.Equal(spread(nil), 0.0)
	is.Equal(spread([]float64{0, 0}), 0.0)
	is.Equal(spread([]float64{3, 3, 3}), 1.0)
	loads := make([]float64, 200)
	for i := range loads {
		loads[i] = 1
	}
	loads[0], loads[1], loads[2], loads[3] = 51, 51, 51, 1 // two of them are above the percentile
	is.Equal(spread(loads), 51/(350.0/200))
}
