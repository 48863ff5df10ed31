package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// stageDemand is the load of a service: the mean numbers of usual servers that its requests
// keep busy with prefills, and whose memory they fill with decodes.
type stageDemand struct {
	prefill, decode float64
	// runsPerServer is the number of mean runs that fill the memory of one server, and
	// prefillsPerServer the number of mean prefills, one after the other, that a server
	// ends in the time that requests may spend there.
	runsPerServer, prefillsPerServer float64
	// runs is the number of runs from which the demand was estimated.
	runs float64
}

// growth returns the factor by which the demand may grow until one of the stages has
// too few servers. Servers count by their speed: those of half the usual speed do half as
// many prefills, and hold the memory of each run for twice as long.
func (d stageDemand) growth(prefillSpeed, decodeSpeed float64) float64 {
	return min(sustained(prefillSpeed, d.prefillsPerServer)/d.prefill, sustained(decodeSpeed, d.runsPerServer)/d.decode)
}

// sustained returns the mean number of busy servers that a stage sustains, where each
// holds a number of requests. By the rule of square-root staffing (Halfin and
// Whitt, 1981) a mean load of r requests needs r + sqrt(r) places, since the number of
// requests varies by its square root.
func sustained(servers, requestsPerServer float64) float64 {
	root := (math.Sqrt(1+4*servers*requestsPerServer) - 1) / 2
	return root * root / requestsPerServer
}

// Bounds of the split of a service's servers between the stages.
const (
	// minStageServers is the minimum number of servers in each stage, so that a stage
	// survives the loss of one.
	minStageServers = 2
	// minSplitGain is the fraction by which a split must sustain more load than the present
	// one, since a server serves nothing while it changes its stage.
	minSplitGain = 0.05
	// minSplitRuns is the number of runs from which the demand of the stages can be compared:
	// before, one long prompt or answer decides. A stage that is lost gets servers without.
	minSplitRuns = 16
	// splitDeviations is the number of standard deviations of the estimated demand by
	// which a gain must exceed its error, so that the split does not follow noise. The
	// relative deviation of n runs is about 1/sqrt(n).
	splitDeviations = 1
)

// minGain returns the fraction by which a split must sustain more load than the present
// one.
func (d stageDemand) minGain() float64 {
	return max(minSplitGain, splitDeviations/math.Sqrt(max(1, d.runs)))
}

// bestSplit returns the number of prefill servers with which a service sustains the
// most load, or the present number if no other is better by minGain. It gets the speeds of
// the servers of each stage, in multiples of the usual, in the order in which they would
// change their stage. They are assumed to be as fast in the other stage.
func (d stageDemand) bestSplit(prefills, decodes []float64) int {
	all, best := len(prefills)+len(decodes), len(prefills)
	if all < 2*minStageServers || d.prefill <= 0 || d.decode <= 0 || d.runsPerServer <= 0 || d.prefillsPerServer <= 0 {
		return best
	}
	prefillSpeed, decodeSpeed := sum(prefills), sum(decodes)
	present := 0.0 // a stage below its minimum number has to get servers
	if len(prefills) >= minStageServers && len(decodes) >= minStageServers {
		if d.runs < minSplitRuns {
			return best
		}
		present = d.growth(prefillSpeed, decodeSpeed)
	}
	most := (1 + d.minGain()) * present
	for n := minStageServers; n <= all-minStageServers; n++ {
		moved := 0.0 // to the decode stage
		if n < len(prefills) {
			moved = sum(prefills[:len(prefills)-n])
		} else {
			moved = -sum(decodes[:n-len(prefills)])
		}
		if g := d.growth(prefillSpeed-moved, decodeSpeed+moved); g > most {
			best, most = n, g
		}
	}
	return best
}

func sum(list []float64) float64 {
	out := 0.0
	for _, v := range list {
		out += v
	}
	return out
}

// speedClass is the ratio of speeds from which servers are distinguished when some change their
// stage. Estimates of servers that are equally fast differ by less.
const speedClass = 1.5

// candidate is a server that may change its stage.
type candidate struct {
	*backend
	// speed is that in its present stage, in multiples of the usual.
	speed float64
	// use is the number of prefill tokens and slots in use.
	use int
}

// newCandidate returns a server of a stage as a candidate. The dispatcher's lock is held.
func newCandidate(b *backend, stage directory.Stage) candidate {
	c := candidate{backend: b, speed: b.view.PrefillSpeed(), use: b.view.PrefillTokens() + b.view.SlotsUsed()}
	if stage == directory.Decode {
		c.speed = b.view.DecodeSpeed()
	}
	return c
}

// sortCandidates sorts the servers of a stage in the order in which they change it. Slow
// servers are better in the decode stage: a slow prefill delays the first token of each
// request, which has to come in time, while the gaps between tokens are well within their
// target. So the slowest leave the prefill stage first, and the fastest the decode stage.
// Those that are about equally fast change in the order of their use.
func sortCandidates(list []candidate, stage directory.Stage) {
	class := func(c candidate) float64 {
		out := math.Round(math.Log(c.speed) / math.Log(speedClass))
		if stage == directory.Decode {
			return -out
		}
		return out
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.use, b.use))
	})
}

// stageSpeeds returns the speeds of the servers of a stage: of those that stay, in the order in
// which they would change it, and of those that change it now. Servers that leave are left out.
// The dispatcher's lock is held.
func stageSpeeds(servers []*backend, stage directory.Stage, now time.Time) (staying, changing []float64) {
	var stay, change []candidate
	for _, s := range servers {
		switch c := newCandidate(s, stage); {
		case s.leaving():
		case s.switchTimeLeft(now) > 0:
			change = append(change, c)
		default:
			stay = append(stay, c)
		}
	}
	sortCandidates(stay, stage)
	return speedsOf(stay), speedsOf(change)
}

// speedsOf returns the speeds of candidates.
func speedsOf(list []candidate) []float64 {
	out := make([]float64, len(list))
	for i, c := range list {
		out[i] = c.speed
	}
	return out
}
