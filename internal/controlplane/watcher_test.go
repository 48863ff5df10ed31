package controlplane_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/release"
)

// TestServiceThatDoesNotWaitIsReadSlowly watches a service that answers long polls at once.
func TestServiceThatDoesNotWaitIsReadSlowly(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads.Add(1)
		_, _ = fmt.Fprint(w, `{"number": 0}`)
	}))
	defer service.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	w := &controlplane.Watcher{Client: controlplane.NewClient(service.URL, service.URL), Store: release.NewStore(), Log: log.NewNopLogger()}
	w.Run(ctx)
	is.True(reads.Load() >= 1)
	is.True(reads.Load() <= 2)
}
