package metrics

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTextDeclaresEachMetricOnce(t *testing.T) {
	is := is.New(t)
	s := NewSet("text-test")
	s.Counter("requests").Add(3)
	s.Gauge("version", func() any { return uint64(7) })
	s.Gauge("state", func() any { return "serving" })
	f := s.Family("stage_ms", "route", "stage")
	f.With("/a", "queue").Observe(20 * time.Millisecond)
	f.With("/a", "queue").Observe(time.Hour)
	f.With(`b"`, "plain").Observe(0)
	NewSet("text-test-2").Counter("requests").Add(1)
	var b strings.Builder
	WriteText(&b)
	text := b.String()
	for _, line := range []string{
		"# TYPE samphirestream_requests counter",
		`samphirestream_requests{set="text-test"} 3`,
		`samphirestream_version{set="text-test"} 7`,
		`samphirestream_stage_ms_bucket{set="text-test",route="/a",stage="queue",le="10"} 0`,
		`samphirestream_stage_ms_bucket{set="text-test",route="/a",stage="queue",le="25"} 1`,
		`samphirestream_stage_ms_bucket{set="text-test",route="/a",stage="queue",le="+Inf"} 2`,
		`samphirestream_stage_ms_sum{set="text-test",route="/a",stage="queue"} 3600020`,
		`samphirestream_stage_ms_count{set="text-test",route="b\"",stage="plain"} 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s in\n%s", line, text)
		}
	}
	is.True(!strings.Contains(text, "serving"))
	is.Equal(strings.Count(text, "# TYPE samphirestream_requests "), 1)
}

func TestFamilySizeIsBounded(t *testing.T) {
	is := is.New(t)
	f := NewSet("bounded-test").Family("f", "x")
	for i := range 3 * maxMembers {
		f.With(strings.Repeat("x", i)).Observe(0)
	}
	n, total := 0, int64(0)
	f.each(func(_ string, h *Histogram) {
		n++
		for i := range h.buckets {
			total += h.buckets[i].Load()
		}
	})
	is.True(n <= maxMembers+1)
	is.Equal(total, int64(3*maxMembers))
}
