package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/samphirestream/samphirestream/internal/engine"
)

// Handler returns the engine's HTTP interface, in the format of package engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/prefill", jsonCall(e.prefill))
	mux.HandleFunc("POST /engine/import", jsonCall(e.importKV))
	mux.HandleFunc("POST /engine/cancel", jsonCall(func(_ context.Context, in engine.CancelRequest) (struct{}, error) {
		e.cancelID(in.ID)
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST /engine/orders", jsonCall(func(_ context.Context, in engine.Order) (struct{}, error) {
		return struct{}{}, e.applyOrder(in)
	}))
	mux.HandleFunc("POST /engine/decode", e.serveDecode)
	mux.HandleFunc("POST /engine/resume", e.serveResume)
	mux.HandleFunc("GET /engine/kv/{handle}", e.serveExport)
	mux.HandleFunc("GET /engine/requests", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, engine.HeldList{Requests: e.heldList()})
	})
	mux.HandleFunc("GET /engine/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.loadReport())
	})
	mux.HandleFunc("GET /engine/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.state())
	})
	mux.HandleFunc("GET /engine/events", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		writeJSON(w, engine.CacheEvents{Events: e.cache.events(after)})
	})
	return mux
}

// jsonCall adapts a function to an HTTP handler with JSON bodies.
func jsonCall[In, Out any](f func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r.Context(), in)
		if err != nil {
			http.Error(w, err.Error(), status(err))
			return
		}
		writeJSON(w, out)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var in engine.DecodeRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req, err := e.startDecode(in)
	if err != nil {
		http.Error(w, err.Error(), status(err))
		return
	}
	e.streamAnswer(w, r, req, req.start)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var in engine.ResumeRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req, err := e.findDecode(in)
	if err != nil {
		http.Error(w, err.Error(), status(err))
		return
	}
	e.streamAnswer(w, r, req, in.From)
}

// streamAnswer writes events until the answer ends or the client disconnects.
// After a disconnect the request keeps running and can be resumed or cancelled.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, req *request, from int) {
	out := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	for {
		tokens, finish, err := e.readTokens(r.Context(), req, from)
		if err != nil {
			return
		}
		for _, t := range tokens {
			if out.Encode(engine.DecodeEvent{Index: from, Token: t}) != nil {
				return
			}
			from++
		}
		if finish == "cancelled" {
			panic(http.ErrAbortHandler)
		}
		if finish != "" && len(tokens) == 0 {
			if out.Encode(engine.DecodeEvent{Index: from, Finish: finish}) == nil {
				e.freeRequest(req)
			}
			return
		}
		if rc.Flush() != nil {
			return
		}
	}
}

// serveExport streams a KV cache at the rate of the link: its description, then
// one line for each piece. The cache is freed when the export ends or fails.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	req, ok := e.startExport(r.PathValue("handle"))
	if !ok {
		http.Error(w, "evicted", http.StatusNotFound)
		return
	}
	defer e.freeRequest(req)
	if e.exportLock.acquire(r.Context(), 0) != nil {
		return
	}
	defer e.exportLock.release()
	if json.NewEncoder(w).Encode(req.kv) != nil {
		return
	}
	if e.gates.pass(r.Context(), StepExport) != nil {
		return
	}
	perPiece := time.Duration(float64(time.Second) / e.cfg.LinkPiecesPerSecond)
	for range req.pieces {
		if sleep(r.Context(), perPiece) != nil {
			return
		}
		if _, err := fmt.Fprintln(w, "piece"); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// startExport marks a finished prefill as being exported, so that it is not
// evicted meanwhile.
func (e *Engine) startExport(handle string) (*request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[handle]
	if !ok || r.phase != phaseResult {
		return nil, false
	}
	r.phase = "export"
	return r, true
}

var errShortExport = errors.New("the exported KV cache is incomplete")

// fetchKV reads an exported KV cache from another engine. It calls admit with the
// description in the first line and stops if admit returns an error.
func fetchKV(ctx context.Context, source, handle string, admit func(engine.KVExport) error) (engine.KVExport, error) {
	var kv engine.KVExport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source+"/engine/kv/"+handle, nil)
	if err != nil {
		return kv, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kv, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return kv, fmt.Errorf("%w: export answered %s", errUnknownRequest, resp.Status)
	}
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return kv, err
	}
	if err := json.Unmarshal(first, &kv); err != nil {
		return kv, err
	}
	if err := admit(kv); err != nil {
		return kv, err
	}
	for range kv.Pieces {
		if _, err := lines.ReadSlice('\n'); err != nil {
			return kv, errShortExport
		}
	}
	return kv, nil
}
