package main

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	// work is the time that a plain request takes; 0 is usualWork.
	work time.Duration
	// unframed makes the server answer streams with neither a length nor chunks.
	unframed bool
	// handles are the prefill results of all servers of the process; nil accepts any.
	handles *handles
	// trouble, if not nil, takes over a connection instead of an answer. It reports false if
	// the request is to be answered as usual.
	trouble func(s *server, w http.ResponseWriter, in standin.ServerRequest) bool
	// ran is called when the server begins to work on a request.
	ran func(s *server, in standin.ServerRequest)

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
	case s.trouble != nil && s.trouble(s, w, in):
		return
	case in.Prefill:
		time.Sleep(90 * time.Millisecond) // 5,000 tokens, 55.6 a millisecond
		handle := "000000000000"
		if s.handles != nil {
			handle = s.handles.put(s.addr, in.ID)
		}
		_ = standin.WritePrefilled(w, handle, 5000)
		return
	case s.stage == "decode" && s.handles != nil && in.Source != "" && !s.handles.take(in.Source, in.ID):
		standin.RefuseRequest(w)
		return
	}
	if s.ran != nil {
		s.ran(s, in)
	}
	standin.ProveAnswer(w.Header(), in.ID, 1, 0, s.slots)
	if s.stage == "decode" {
		s.stream(w, r, in)
		return
	}
	if !sleepOrGone(r.Context(), cmp.Or(s.work, usualWork)) {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "answer to %s: %s", in.ID, bytes.ToUpper(body))
}

// event returns one event of a stream.
func (s *server) event(k int) string { return fmt.Sprintf("id: %d\ndata: %d %s\n\n", k, k, s.software) }

func (s *server) stream(w http.ResponseWriter, r *http.Request, in standin.ServerRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	if !s.unframed {
		for k := in.LastEvent + 1; k <= s.events && r.Context().Err() == nil; k++ {
			if _, err := io.WriteString(w, s.event(k)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(s.pace)
		}
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("Connection: close\r\n\r\n")
	if _, err := io.WriteString(c, head.String()); err != nil {
		return
	}
	for k := in.LastEvent + 1; k <= s.events; k++ {
		if _, err := io.WriteString(c, s.event(k)); err != nil {
			return
		}
		time.Sleep(s.pace)
	}
}
