package metrics

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// histogramBounds are the upper bounds of the buckets; one more bucket counts
// longer durations. They range from plain calls of milliseconds to the deadlines of
// streams of seconds.
var histogramBounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
	900 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6 * time.Second, 14 * time.Second,
}

// Histogram counts durations in fixed buckets. It implements expvar.Var.
type Histogram struct {
	buckets [len(histogramBounds) + 1]atomic.Int64
	sum     atomic.Int64
}

// Histogram publishes a new histogram under a name.
func (s *Set) Histogram(name string) *Histogram {
	h := new(Histogram)
	s.publish(name, h)
	return h
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	i := 0
	for i < len(histogramBounds) && d > histogramBounds[i] {
		i++
	}
	h.buckets[i].Add(1)
	h.sum.Add(int64(d))
}

// String returns the cumulative counts for each bound, in milliseconds, and the
// sum of the durations as a JSON object.
func (h *Histogram) String() string {
	var b strings.Builder
	b.WriteByte('{')
	h.cumulative("inf", func(bound string, count int64) {
		b.WriteString(`"le_` + bound + `": ` + strconv.FormatInt(count, 10) + ", ")
	})
	b.WriteString(`"sum_ms": ` + strconv.FormatInt(h.sumMillis(), 10) + "}")
	return b.String()
}

// cumulative calls visit with the number of durations up to each bound, in
// milliseconds, and last with the total under the bound name infinity. It returns
// the total.
func (h *Histogram) cumulative(infinity string, visit func(bound string, count int64)) (total int64) {
	for i := range h.buckets {
		total += h.buckets[i].Load()
		bound := infinity
		if i < len(histogramBounds) {
			bound = strconv.FormatInt(histogramBounds[i].Milliseconds(), 10)
		}
		visit(bound, total)
	}
	return total
}

func (h *Histogram) sumMillis() int64 { return time.Duration(h.sum.Load()).Milliseconds() }
