package engine

import (
	"net/http"
	"time"

	"github.com/samphirestream/samphirestream/internal/advisory"
)

// adviceHeaders are those in which engines and plain services say something of themselves,
// beside Retry-After.
var adviceHeaders = advisory.Headers{Limit: "Limit-Per-Second", Leaving: "Leaving", Software: "Software"}

// Observer is called with what each answer says of the server. err is not nil if a header is
// not understood.
type Observer func(n advisory.Notice, err error)

// observed passes what answers say of their server to an observer.
type observed struct {
	http.RoundTripper
	observe Observer
}

// RoundTrip implements http.RoundTripper.
func (o observed) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := time.Now()
	resp, err := o.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	n, wrong := adviceHeaders.Parse(resp.StatusCode, resp.Header)
	n.ToRequest, n.Sent, n.Received = true, sent, time.Now()
	o.observe(n, wrong)
	return resp, nil
}
