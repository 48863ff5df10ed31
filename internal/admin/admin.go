// Package admin serves the admin interface of a process, which is HTTP for
// operators: health, metrics and a state dump. It is read-only.
package admin

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/metrics"
)

// Handler returns the handler of the admin interface. snapshot returns the state to
// dump as JSON.
func Handler(machine *lifecycle.Machine, snapshot func() any) http.Handler {
	mux := http.NewServeMux()
	few := limitDumps()
	mux.Handle("GET /debug/vars", few(expvar.Handler()))
	mux.Handle("GET /metrics", few(metrics.Handler()))
	mux.Handle("GET /debug/state", few(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		_ = out.Encode(snapshot())
	})))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !machine.Accepting() {
			http.Error(w, machine.State(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// maxDumps is the maximum number of dumps and metrics that are written at once. Each is held in
// memory until its client has taken it.
const maxDumps = 4

// limitDumps returns a middleware that refuses more than maxDumps requests at once, over all
// handlers that it wraps.
func limitDumps() func(http.Handler) http.Handler {
	slots := make(chan struct{}, maxDumps)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				next.ServeHTTP(w, r)
			default:
				w.Header().Set("Retry-After", "1")
				http.Error(w, "other dumps are being written; retry", http.StatusServiceUnavailable)
			}
		})
	}
}
