package placement

import (
	"math"
	"math/rand/v2"
)

// LevelServer is what an entry knows of the load of a server.
type LevelServer struct {
	// Load is the load as last known, in any unit that is the same for all servers: the
	// expected wait of a request, or requests per slot.
	Load float64
	// Capacity is the number of requests that raise Load by 1.
	Capacity float64
	// Unseen is the number of requests that others are expected to have sent to the server
	// within the age of Load, were all servers alike. It is 0 for a load that is known now.
	Unseen float64
}

// Leveler chooses a server by loads that are known with a delay, at the same time as many
// others that know the same. It expects that the others have filled the unseen requests into
// the servers of the least load, up to one level, and chooses a server with a probability
// proportional to the requests that were filled into it (Dahlin: Interpreting Stale Load
// Information, IEEE TPDS 2000). Old loads therefore lead to an even spread, and loads that
// are known now to the server of the least load.
type Leveler struct{}

// Choose returns the index of a server; -1 if there are none. It does not allocate.
func (Leveler) Choose(rnd *rand.Rand, servers []LevelServer) int {
	level, filled := fillLevel(servers)
	if filled <= 0 {
		return leastLoad(rnd, servers)
	}
	at, last := rnd.Float64()*filled, -1
	for i := range servers {
		part := servers[i].below(level)
		if part <= 0 {
			continue
		}
		last = i
		if at -= part; at < 0 {
			return i
		}
	}
	return last // rounding
}

// below returns the number of requests that raise the load of a server to a level.
func (s *LevelServer) below(level float64) float64 {
	if !(s.Load < level) || !(s.Capacity > 0) { // also if a figure is not a number
		return 0
	}
	return (level - s.Load) * s.Capacity
}

// fillLevel returns the level to which the unseen requests of all servers fill them, and the
// number of requests that were filled in. Each round leaves out the servers above the level
// of the round before, which was too high for the others.
func fillLevel(servers []LevelServer) (level, filled float64) {
	unseen := 0.0
	for i := range servers {
		unseen += servers[i].Unseen
	}
	if !(unseen > 0) {
		return 0, 0
	}
	level = math.Inf(1)
	for {
		capacity, work, count := 0.0, unseen, 0
		for i := range servers {
			if s := &servers[i]; s.Load < level && s.Capacity > 0 {
				capacity += s.Capacity
				work += s.Capacity * s.Load
				count++
			}
		}
		if count == 0 {
			return 0, 0 // the unseen requests are too few to make a difference
		}
		next := work / capacity
		if !(next < level) {
			break
		}
		level = next
	}
	for i := range servers {
		filled += servers[i].below(level)
	}
	return level, filled
}

// leastLoad returns the index of a server of the least load, one of several at random.
func leastLoad(rnd *rand.Rand, servers []LevelServer) int {
	best, ties := -1, 0
	for i := range servers {
		switch {
		case best < 0 || servers[i].Load < servers[best].Load:
			best, ties = i, 1
		case servers[i].Load == servers[best].Load:
			ties++
			if rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
