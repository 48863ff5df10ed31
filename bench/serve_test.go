package bench

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// serve serves a handler on loopback until the benchmark ends, and returns its URL.
func serve(b *testing.B, h http.Handler) string {
	server := httptest.NewServer(h)
	b.Cleanup(server.Close)
	return server.URL
}
