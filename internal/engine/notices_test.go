package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

func TestClientsPassOnWhatServersSayOfThemselves(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limit-Per-Second", "2.5")
		w.Header().Set("Leaving", "1")
		w.Header().Set("Software", "v7")
		w.Header().Set("Retry-After", "1.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	var got []advisory.Notice
	observe := func(n advisory.Notice, err error) {
		is.NoErr(err)
		got = append(got, n)
	}
	c, p := NewClient(srv.URL), NewPlainClient(srv.URL)
	c.Observe(observe)
	p.Observe(observe)
	_, err := c.Prefill(context.Background(), PrefillRequest{})
	is.True(err != nil)
	_, err = c.Load(context.Background())
	is.True(err != nil)
	_, err = p.Call(context.Background(), protocol.HTTPCall{Method: http.MethodGet, Path: "/"})
	is.NoErr(err) // the service's own answer
	is.Equal(len(got), 3)
	for _, n := range got {
		is.Equal(*n.Limit, 2.5)
		is.Equal(n.RetryAfter, 1500*time.Millisecond)
		is.Equal(n.Software, "v7")
		is.True(n.Leaving && !n.Sent.After(n.Received))
	}
}
