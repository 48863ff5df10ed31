package router_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/router"
)

// TestHalfDocumentsAreNoSuccess guards against an answer without a length that broke off
// within a JSON document, while its server goes on, and that passes for complete.
func TestHalfDocumentsAreNoSuccess(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		n := 0
		f.servers.setAll(plainServers, func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
			body := `{"a":1}`
			if n++; n%2 == 1 {
				body = body[:4]
			}
			r := reply(200, bytes.NewBufferString(body))
			r.Unframed = true
			r.Header.Set("Content-Type", "application/json")
			return r, nil
		})
		is.True(f.call(context.Background(), "/once/x").failure != nil)
		is.Equal(f.call(context.Background(), "/once/x").body.String(), `{"a":1}`)
		is.Equal(f.call(context.Background(), "/safe/x").body.String(), `{"a":1}`) // repeated
		is.Equal(n, 4)
	})
}
