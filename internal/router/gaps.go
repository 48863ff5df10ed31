package router

import (
	"slices"
	"time"
)

// gapWindow is the number of the last gaps of a stream whose median counts.
const gapWindow = 16

// minGaps is the number of gaps from which a stream has a median.
const minGaps = 4

// gapMedian computes the median time between the last events of one stream. A mean
// would include the time for which the server had preempted the stream, during which the
// stream's memory does not grow: a server that preempts would be estimated as slow and
// its memory use as too low, and it would get more requests to preempt.
type gapMedian struct {
	last time.Time
	gaps []time.Duration // a ring of the last gapWindow
	n    int             // gaps so far
}

func newGapMedian() *gapMedian { return &gapMedian{} }

// event records that n events arrived together. It reports whether a new median is due:
// with the first minGaps gaps, and with each gapWindow gaps.
func (g *gapMedian) event(now time.Time, n int) (due bool) {
	if !g.last.IsZero() && n > 0 {
		gap := now.Sub(g.last) / time.Duration(n)
		if len(g.gaps) < gapWindow {
			g.gaps = append(g.gaps, gap)
		} else {
			g.gaps[g.n%gapWindow] = gap
		}
		g.n++
		due = g.n == minGaps || g.n%gapWindow == 0
	}
	g.last = now
	return due
}

// median returns the median gap, or 0 when too few events arrived.
func (g *gapMedian) median() time.Duration {
	if len(g.gaps) < minGaps {
		return 0
	}
	sorted := slices.Clone(g.gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
