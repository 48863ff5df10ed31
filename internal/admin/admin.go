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
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("GET /metrics", metrics.Handler())
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		_ = out.Encode(snapshot())
	})
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
