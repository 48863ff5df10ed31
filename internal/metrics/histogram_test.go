package metrics

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHistogramBucketsAreCumulative(t *testing.T) {
	is := is.New(t)
	h := NewSet("histogram-test").Histogram("h")
	for _, d := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 101 * time.Millisecond, time.Hour} {
		h.Observe(d)
	}
	var got map[string]int64
	is.NoErr(json.Unmarshal([]byte(h.String()), &got))
	is.Equal(got["le_5"], int64(1))
	is.Equal(got["le_100"], int64(2))
	is.Equal(got["le_150"], int64(3))
	is.Equal(got["le_14000"], int64(3))
	is.Equal(got["le_inf"], int64(4))
	is.Equal(got["sum_ms"], (time.Hour + 202*time.Millisecond).Milliseconds())
}
