package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/metrics"
)

// TestPanicWithinAnAnswerDoesNotCompleteIt guards against an answer that breaks off with a
// panic and reaches the caller as a complete one. Before the answer's start, the caller gets
// the error.
func TestPanicWithinAnAnswerDoesNotCompleteIt(t *testing.T) {
	is := is.New(t)
	e := &Entry{count: newCounters(metrics.NewSet("panic-test"))}
	srv := httptest.NewServer(e.recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/started" {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
		}
		panic("broken")
	})))
	defer srv.Close()
	resp, err := http.Get(srv.URL + "/started")
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.Equal(string(body), "half")
	is.True(err != nil)
	resp, err = http.Get(srv.URL + "/new")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
}
