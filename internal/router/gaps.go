package router

import (
	"slices"
	"time"
)

// maxGaps is the number of gaps that are recorded of one stream.
const maxGaps = 64

// gapMedian computes the median time between the events of one stream. A mean would
// include the time for which the server had preempted the stream, during which the
// stream's memory does not grow: a server that preempts would be estimated as slow and
// its memory use as too low, and it would get more requests to preempt.
type gapMedian struct {
	last time.Time
	gaps []time.Duration
}

func newGapMedian() *gapMedian { return &gapMedian{} }

// event records that n events arrived together.
func (g *gapMedian) event(now time.Time, n int) {
	if !g.last.IsZero() && n > 0 && len(g.gaps) < maxGaps {
		g.gaps = append(g.gaps, now.Sub(g.last)/time.Duration(n))
	}
	g.last = now
}

// median returns the median gap, or 0 when too few events arrived.
func (g *gapMedian) median() time.Duration {
	const minGaps = 4
	if len(g.gaps) < minGaps {
		return 0
	}
	sorted := slices.Clone(g.gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
