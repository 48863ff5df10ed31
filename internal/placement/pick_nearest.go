package placement

import "math/rand/v2"

// Candidate describes a server of a plain service to the entry that chooses.
type Candidate struct {
	// InFlight is the number of this entry's calls in progress.
	InFlight int
	// Distance is 0 in the entry's data centre, 1 in its region, 2 in other regions.
	Distance int
}

// PickNearest draws two of the nearest servers at random and returns the index of the
// one with fewer calls in flight. It returns -1 without candidates.
func PickNearest(rnd *rand.Rand, candidates []Candidate) int {
	nearest, count := nearestDistance(candidates)
	if count == 0 {
		return -1
	}
	a := nthAtDistance(candidates, nearest, rnd.IntN(count))
	b := nthAtDistance(candidates, nearest, rnd.IntN(count))
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}

// nearestDistance returns the smallest distance and the number of candidates at
// that distance.
func nearestDistance(candidates []Candidate) (nearest, count int) {
	for _, c := range candidates {
		switch {
		case count == 0 || c.Distance < nearest:
			nearest, count = c.Distance, 1
		case c.Distance == nearest:
			count++
		}
	}
	return nearest, count
}

// nthAtDistance returns the index of the n-th candidate at a distance.
func nthAtDistance(candidates []Candidate, distance, n int) int {
	for i, c := range candidates {
		if c.Distance != distance {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
