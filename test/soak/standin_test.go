package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// history records what the servers did.
type history struct {
	mu   sync.Mutex
	runs map[string]int // by request ID
	// late holds requests that a draining server received after maxDrainTime.
	late []string
}

// recordRun records that a server ran a request.
func (h *history) recordRun(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id]++
}

func (h *history) runCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// server is a stand-in of a backend server. Its stage is "" if it serves requests
// without separate prefill and decode stages.
type server struct {
	id, stage string
	history   *history
	http      *httptest.Server
	link      *link

	mu      sync.Mutex
	handles map[string]string // handle to request ID
	next    int
	// drainNoticedBy is the time by which all entries can have read that the
	// server is draining.
	drainNoticedBy time.Time
	// refusing makes the server refuse requests as not executed.
	refusing bool
	// losesAnswers makes the server close the connection without an answer after
	// it ran a request.
	losesAnswers bool
}

func newServer(t *testing.T, h *history, id, stage string) *server {
	s := &server{id: id, stage: stage, history: h, handles: map[string]string{}}
	s.http = httptest.NewServer(s)
	s.link = newLink(t, s.http.Listener.Addr().String())
	return s
}

// maxDrainTime is the max time after its notice in which a draining server may
// receive requests: drain_ms and 2 s in which the test machine may stall.
const maxDrainTime = drainTimeout + 2*time.Second

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	s.mu.Lock()
	refusing, losesAnswers, noticedBy := s.refusing, s.losesAnswers, s.drainNoticedBy
	s.mu.Unlock()
	if !noticedBy.IsZero() && time.Since(noticedBy) > maxDrainTime && id != "" {
		s.history.mu.Lock()
		s.history.late = append(s.history.late, id+" at "+s.id)
		s.history.mu.Unlock()
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		return
	case r.Header.Get("Target-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case refusing:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.Header.Get("Serving-Stage") == "prefill":
		s.prefill(w, id)
		return
	case s.stage == "decode" && !s.fetchPrefill(r.Header.Get("Kv-Source"), id):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.history.recordRun(id)
	if losesAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Server-Load", "1,0,6")
	if s.stage == "decode" {
		s.stream(w, r, id)
		return
	}
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(w, plainAnswer(id, string(body)))
}

func plainAnswer(id, body string) string { return "answer to " + id + ": " + body }

func (s *server) prefill(w http.ResponseWriter, id string) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	s.next++
	handle := strconv.Itoa(s.next)
	s.handles[handle] = id
	s.mu.Unlock()
	time.AfterFunc(time.Second, func() { s.takeHandle(handle) })
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "tokens": 100, "version": 1})
}

// takeHandle removes a prefill result and returns the ID of its request, or "" if
// there is no such result.
func (s *server) takeHandle(handle string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.handles[handle]
	delete(s.handles, handle)
	return id
}

// prefillServers maps addresses to the prefill servers, which run in this process.
var prefillServers sync.Map

// fetchPrefill takes the prefill result at a source and reports whether it is the
// result of the same request.
func (s *server) fetchPrefill(source, id string) bool {
	addr, handle, _ := strings.Cut(source, "/")
	from, ok := prefillServers.Load(addr)
	return ok && from.(*server).takeHandle(handle) == id
}

const eventCount = 12 // events of a streamed answer

func event(id string, k int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", k, id, k) }

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: from the start
	w.Header().Set("Content-Type", "text/event-stream")
	for k := from + 1; k <= eventCount; k++ {
		if _, err := io.WriteString(w, event(id, k)); err != nil || r.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(15 * time.Millisecond)
	}
}

// registration returns the server's registration in the store.
func (s *server) registration(state string) map[string]any {
	service := "app"
	if s.stage != "" {
		service = "llm"
	}
	return map[string]any{
		"service": service, "address": s.link.addr(), "zone": "dc", "slots": 8, "state": state, "stage": s.stage, "born": 1,
	}
}

// store is a stand-in of the platform's metadata store behind a link.
type store struct {
	*standin.Store
	link *link
}

func newStore(t *testing.T) *store {
	s := standin.NewStore()
	return &store{Store: s, link: newLink(t, s.Addr())}
}
