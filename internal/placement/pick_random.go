package placement

import "math/rand/v2"

// Random picks a server uniformly at random.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(rnd *rand.Rand, costs []float64) int { return rnd.IntN(len(costs)) }
