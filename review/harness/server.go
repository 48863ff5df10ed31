package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// server is a stand-in of a backend server.
type server struct {
	id, service, stage, software, addr string
	slots                              int
	born                               int64
	// events and pace shape the streams of a decode server.
	events int
	pace   time.Duration
	// handles are the prefill results of all servers of the process; nil accepts any.
	handles *handles
	// fleet is set if the server takes orders to change its stage.
	fleet *fleet
	mu    sync.Mutex // guards stage and switching, where orders are taken
	// switching is set while the stage changes.
	switching bool

	http *http.Server
}

// usualWork is the mean work of a plain request in sites/nbct-router.toml.
const usualWork = 30 * time.Millisecond

// handles are prefill results, by address and handle.
type handles struct {
	mu   sync.Mutex
	next int
	of   map[string]string // the ID of the request
}

func newHandles() *handles { return &handles{of: map[string]string{}} }

func (h *handles) put(addr, id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	handle := fmt.Sprintf("%012x", h.next)
	h.of[addr+"/"+handle] = id
	return handle
}

// take takes a result, and reports whether it was that of the request.
func (h *handles) take(source, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	of, ok := h.of[source]
	delete(h.of, source)
	return ok && of == id
}

// serve serves the server at its address.
func (s *server) serve() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.fleet != nil && s.order(s.fleet, w, r) {
		return
	}
	s.mu.Lock()
	stage, switching := s.stage, s.switching
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	in := standin.ReadServerRequest(r)
	standin.NameRequest(w.Header(), in.ID)
	w.Header().Set("Instance-Id", s.id)
	switch {
	case in.Frees:
		return
	case in.Instance != "" && in.Instance != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case switching:
		standin.RefuseRequest(w)
		return
	case in.Prefill && stage != "prefill" || in.Source != "" && stage != "decode":
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case in.Prefill:
		time.Sleep(90 * time.Millisecond) // 5,000 tokens, 55.6 a millisecond
		handle := "000000000000"
		if s.handles != nil {
			handle = s.handles.put(s.addr, in.ID)
		}
		_ = standin.WritePrefilled(w, handle, 5000)
		return
	case stage == "decode" && s.handles != nil && in.Source != "" && !s.handles.take(in.Source, in.ID):
		standin.RefuseRequest(w)
		return
	}
	standin.ProveAnswer(w.Header(), in.ID, 1, 0, s.slots)
	if stage == "decode" {
		s.stream(w, r, in)
		return
	}
	time.Sleep(usualWork)
	_, _ = fmt.Fprintf(w, "answer to %s: %s", in.ID, bytes.ToUpper(body))
}

// event returns one event of a stream.
func (s *server) event(k int) string { return fmt.Sprintf("id: %d\ndata: %d %s\n\n", k, k, s.software) }

func (s *server) stream(w http.ResponseWriter, r *http.Request, in standin.ServerRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	for k := in.LastEvent + 1; k <= s.events && r.Context().Err() == nil; k++ {
		if _, err := io.WriteString(w, s.event(k)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(s.pace)
	}
}
