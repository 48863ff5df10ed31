package placement

import "math/rand/v2"

// TwoChoices picks the cheaper of two servers drawn at random: the power of two
// choices (Mitzenmacher, 2001).
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(rnd *rand.Rand, costs []float64) int {
	a, b := rnd.IntN(len(costs)), rnd.IntN(len(costs))
	if costs[b] < costs[a] {
		return b
	}
	return a
}
