package router

import (
	"slices"
	"time"
)

// maxGaps bounds the gaps of one stream that are kept.
const maxGaps = 64

// gapMedian is the median time between the events of one stream. The mean would
// contain the time for which the server had preempted the stream, in which its
// memory does not grow: a server that preempts would seem slow, its memory would
// be underestimated, and it would be given more to preempt.
type gapMedian struct {
	last time.Time
	gaps []time.Duration
}

func newGapMedian() *gapMedian { return &gapMedian{} }

// event notes that some events arrived together.
func (g *gapMedian) event(now time.Time, n int) {
	if !g.last.IsZero() && n > 0 && len(g.gaps) < maxGaps {
		g.gaps = append(g.gaps, now.Sub(g.last)/time.Duration(n))
	}
	g.last = now
}

// median returns 0 when too few events came.
func (g *gapMedian) median() time.Duration {
	const least = 4
	if len(g.gaps) < least {
		return 0
	}
	sorted := slices.Clone(g.gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
