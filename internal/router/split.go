package router

import "math"

// stageDemand is the load of a service: the mean numbers of servers that its requests
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
// too few servers.
func (d stageDemand) growth(prefillServers, decodeServers int) float64 {
	return min(sustained(float64(prefillServers), d.prefillsPerServer)/d.prefill, sustained(float64(decodeServers), d.runsPerServer)/d.decode)
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
// most load, or the present number if no other is better by minGain.
func (d stageDemand) bestSplit(prefillServers, decodeServers int) int {
	all, best := prefillServers+decodeServers, prefillServers
	if all < 2*minStageServers || d.prefill <= 0 || d.decode <= 0 || d.runsPerServer <= 0 || d.prefillsPerServer <= 0 {
		return prefillServers
	}
	present := 0.0 // a stage below its minimum number has to get servers
	if prefillServers >= minStageServers && decodeServers >= minStageServers {
		if d.runs < minSplitRuns {
			return prefillServers
		}
		present = d.growth(prefillServers, decodeServers)
	}
	most := (1 + d.minGain()) * present
	for n := minStageServers; n <= all-minStageServers; n++ {
		if g := d.growth(n, all-n); g > most {
			best, most = n, g
		}
	}
	return best
}
