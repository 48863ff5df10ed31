package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/justinas/alice"
	"github.com/oklog/ulid/v2"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/logging"
	"github.com/samphirestream/samphirestream/internal/release"
)

// Names of HTTP headers.
const (
	headerRequestID = "X-Request-Id"
	headerTicket    = "Samphire-Ticket"
	headerRepeated  = "Samphire-Repeated"
	// headerResume requests a grace, such as 10s, within which the caller may
	// resume a model request after a disconnect. The response carries the
	// ticket for it in headerResumeTicket.
	headerResume       = "Samphire-Resume"
	headerResumeTicket = "Samphire-Resume-Ticket"
	// headerShouldRetry states to OpenAI clients whether a retry is
	// recommended.
	headerShouldRetry = "X-Should-Retry"
)

type requestIDKey struct{}

// requestID returns the ID of the request in a context.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// Handler returns the HTTP interface for callers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, route := range []struct {
		method, path string
		serve        func(http.ResponseWriter, *http.Request, release.Provider)
	}{
		{http.MethodPost, "/v1/completions", e.serveCompletion},
		{http.MethodPost, "/v1/chat/completions", e.serveChat},
		{http.MethodGet, "/v1/models", e.serveModels},
		{http.MethodPost, "/v1/tickets", e.serveTicket},
		{http.MethodGet, "/v1/requests/{ticket}", e.serveResume},
	} {
		mux.Handle(route.method+" "+route.path, e.authenticated(route.serve))
		mux.Handle(route.path, e.onlyMethod(route.method))
	}
	mux.Handle("/", e.authenticated(e.servePlain))
	return alice.New(e.active.wrap, e.identify, e.recoverPanics, e.requireReady).Then(mux)
}

// onlyMethod refuses requests to a path with other methods.
func (e *Entry) onlyMethod(method string) http.Handler {
	allow := method
	if method == http.MethodGet {
		allow = http.MethodGet + ", " + http.MethodHead // as http.ServeMux does
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", allow)
		e.writeError(w, r, apierror.NotRun(apierror.KindMethodNotAllowed, r.Method+" is not served at "+r.URL.Path, "use "+allow))
	})
}

// identify assigns the request an ID, a logger and a deadline.
func (e *Entry) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := ulid.Make().String()
		logger := log.With(e.log, "request_id", id)
		ctx := logging.WithContext(r.Context(), logger)
		ctx = context.WithValue(ctx, requestIDKey{}, id)
		ctx, cancel := context.WithTimeout(ctx, e.cfg.RequestTimeout)
		defer cancel()
		w.Header().Set(headerRequestID, id)
		if e.lifecycle.State() == lifecycle.Draining {
			w.Header().Set("Connection", "close") // callers must not reuse connections that are closed when the process stops
		}
		e.count.requests.Add(1)
		start := time.Now()
		next.ServeHTTP(w, r.WithContext(ctx))
		_ = level.Debug(logger).Log("msg", "request ended", "method", r.Method, "path", r.URL.Path, "took", time.Since(start))
	})
}

// startedWriter records whether a response has started.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the methods of the writer below.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverPanics returns an internal error to the caller if a handler panics. A response that
// has started is aborted, so that it does not look complete.
func (e *Entry) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(below http.ResponseWriter, r *http.Request) {
		w := &startedWriter{ResponseWriter: below}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			_ = level.Error(logging.FromContext(r.Context())).Log("msg", "handler panicked", "panic", v)
			if w.started {
				panic(http.ErrAbortHandler)
			}
			e.writeError(w, r, apierror.Unknown(apierror.KindInternal, "internal error", "report the request ID to the operators"))
		}()
		next.ServeHTTP(w, r)
	})
}

// requireReady delays requests until the entry is ready and its state is up to
// date. After maxFreshWait it refuses them.
func (e *Entry) requireReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.awaitFresh(r.Context())
		if refusal := e.admit(); refusal != nil {
			e.writeError(w, r, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authenticated looks up the provider of the bearer key and charges the request
// to its quota.
func (e *Entry) authenticated(next func(http.ResponseWriter, *http.Request, release.Provider)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		provider, known := e.store.Current().ProviderByKey(key)
		if !ok || !known {
			e.writeError(w, r, apierror.NotRun(apierror.KindUnauthenticated, "the bearer key is missing or unknown", "send the header Authorization: Bearer KEY"))
			return
		}
		done, refusal := e.quotas.acquire(provider)
		if refusal != nil {
			e.writeError(w, r, refusal)
			return
		}
		defer done()
		next(w, r, provider)
	})
}

// errorBody is the JSON body of an error, in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	*apierror.Error
	Code         apierror.Kind `json:"code"`
	Param        *string       `json:"param"`
	Retry        bool          `json:"retry"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	RequestID    string        `json:"request_id"`
}

// newErrorBody returns the body of an error. It recommends a retry only if a
// retry can help.
func newErrorBody(ctx context.Context, failure *apierror.Error) errorBody {
	return errorBody{Error: errorDetail{
		Error:        failure,
		Code:         failure.Kind,
		Retry:        failure.RetryAfter > 0,
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
		RequestID:    requestID(ctx),
	}}
}

// writeError counts and logs an error and sends it to the caller.
func (e *Entry) writeError(w http.ResponseWriter, r *http.Request, failure *apierror.Error) {
	if failure.Outcome == apierror.OutcomeNotRun {
		e.count.refused.Add(1)
	} else {
		e.count.failed.Add(1)
	}
	_ = level.Info(logging.FromContext(r.Context())).Log("msg", "request failed", "kind", failure.Kind, "outcome", failure.Outcome, "err", failure.Message)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerShouldRetry, strconv.FormatBool(failure.RetryAfter > 0))
	if failure.RetryAfter > 0 {
		seconds := (failure.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(failure.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(r.Context(), failure))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
