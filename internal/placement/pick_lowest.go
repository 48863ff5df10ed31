package placement

import "math/rand/v2"

// LowestCost picks a server of the lowest cost. It draws at random among all costs
// within Tolerance milliseconds of the lowest, so that entries with the same data
// do not all choose the same server.
type LowestCost struct{ Tolerance float64 }

// Pick implements Picker.
func (p LowestCost) Pick(rnd *rand.Rand, costs []float64) int {
	lowest := costs[0]
	for _, c := range costs[1:] {
		lowest = min(lowest, c)
	}
	count := 0
	for _, c := range costs {
		if c <= lowest+p.Tolerance {
			count++
		}
	}
	n := rnd.IntN(count)
	for i, c := range costs {
		if c > lowest+p.Tolerance {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}
