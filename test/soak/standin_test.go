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

// history is what the servers did, by request ID.
type history struct {
	mu   sync.Mutex
	runs map[string]int
	// late are requests that a leaving server got after its time.
	late []string
}

// run notes that a server works on a request.
func (h *history) run(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id]++
}

func (h *history) count(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// server is a stand-in of a backend server. Its stage is "" for a plain one.
type server struct {
	id, stage string
	history   *history
	http      *httptest.Server
	link      *link

	mu       sync.Mutex
	handles  map[string]string // handle to request ID
	next     int
	leftAt   time.Time
	refusing bool
	// loses makes it break off without an answer after it ran a request.
	loses bool
}

func newServer(t *testing.T, h *history, id, stage string) *server {
	s := &server{id: id, stage: stage, history: h, handles: map[string]string{}}
	s.http = httptest.NewServer(s)
	s.link = newLink(t, s.http.Listener.Addr().String())
	return s
}

// drainLimit is the time after its notice within which a leaving server may get
// requests: drain_ms and what the test machine may stand still.
const drainLimit = drain + 2*time.Second

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	s.mu.Lock()
	refusing, loses, left := s.refusing, s.loses, s.leftAt
	s.mu.Unlock()
	if !left.IsZero() && time.Since(left) > drainLimit && id != "" {
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
	case s.stage == "decode" && !s.fetch(r.Header.Get("Kv-Source"), id):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.history.run(id)
	if loses {
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
	time.AfterFunc(time.Second, func() { s.take(handle) })
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "tokens": 100, "version": 1})
}

func (s *server) take(handle string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.handles[handle]
	delete(s.handles, handle)
	return id
}

// prefillServers finds the server of an address; they live in this process.
var prefillServers sync.Map

// fetch takes a prefill result, which must be of the same request.
func (s *server) fetch(source, id string) bool {
	addr, handle, _ := strings.Cut(source, "/")
	from, ok := prefillServers.Load(addr)
	return ok && from.(*server).take(handle) == id
}

const pieces = 12

func piece(id string, k int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", k, id, k) }

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: from the start
	w.Header().Set("Content-Type", "text/event-stream")
	for k := from + 1; k <= pieces; k++ {
		if _, err := io.WriteString(w, piece(id, k)); err != nil || r.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(15 * time.Millisecond)
	}
}

// registration is the server's entry in the store.
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
