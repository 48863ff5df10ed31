package advisory

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNoticesOfServers(t *testing.T) {
	five := 5.0
	for name, tc := range map[string]struct {
		status  int
		header  http.Header
		limit   *float64
		retry   time.Duration
		leaving bool
		wrong   bool
	}{
		"none":                     {200, http.Header{}, nil, 0, false, false},
		"limit":                    {200, http.Header{"Limit": {"5.0"}}, &five, 0, false, false},
		"limit in a failure":       {500, http.Header{"Limit": {" 5"}}, &five, 0, false, false},
		"negative limit":           {200, http.Header{"Limit": {"-5"}}, nil, 0, false, true},
		"limit that is no number":  {200, http.Header{"Limit": {"NaN"}}, nil, 0, false, true},
		"leaving":                  {503, http.Header{"Leaving": {"1"}}, nil, 0, true, false},
		"not leaving":              {200, http.Header{"Leaving": {"0"}}, nil, 0, false, false},
		"retry after":              {503, http.Header{headerRetryAfter: {"0.25"}}, nil, 250 * time.Millisecond, false, false},
		"retry after, not refused": {200, http.Header{headerRetryAfter: {"2"}}, nil, 0, false, false},
		"retry after, a date":      {503, http.Header{headerRetryAfter: {"Fri, 04 Dec 2026 08:00:00 GMT"}}, nil, 0, false, true},
		"retry after, negative":    {503, http.Header{headerRetryAfter: {"-1"}}, nil, 0, false, true},
		"retry after, absurd":      {503, http.Header{headerRetryAfter: {"1e12"}}, nil, maxRetryAfter, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, err := Headers{Limit: "Limit", Leaving: "Leaving"}.Parse(tc.status, tc.header)
			is.Equal(err != nil, tc.wrong)
			is.Equal(n.Limit != nil, tc.limit != nil)
			if tc.limit != nil {
				is.Equal(*n.Limit, *tc.limit)
			}
			is.Equal(n.RetryAfter, tc.retry)
			is.Equal(n.Leaving, tc.leaving)
		})
	}
}
