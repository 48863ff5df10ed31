package soak

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/testaddr"
	"github.com/samphirestream/samphirestream/platform/standin"
)

// history records what the servers did.
type history struct {
	mu   sync.Mutex
	runs map[string]int // by request ID
	// late holds requests that a draining server received after maxDrainTime.
	late []string
	// organisations are those of the requests, by ID, and foreign the requests that reached a
	// server with another one or with a key.
	organisations map[string]string
	foreign       []string
}

// expect records the organisation that servers should get with a request.
func (h *history) expect(id, organisation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.organisations[id] = organisation
}

// checkOrganisation records a request that reached a server with another organisation than
// that of its caller, or with the caller's key.
func (h *history) checkOrganisation(in standin.ServerRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if want, ok := h.organisations[in.ID]; ok && (in.Key != "" || in.Organisation != want) {
		h.foreign = append(h.foreign, fmt.Sprintf("request %s of %s reached a server for %q, key passed on: %t", in.ID, want, in.Organisation, in.Key != ""))
	}
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
	machine   int
	history   *history
	fleet     *fleet
	// software is the version that its registration names.
	software string
	advice   advice
	http     *httptest.Server
	link     *link

	mu      sync.Mutex
	handles map[string]string // handle to request ID
	next    int
	// drainNoticedBy is the time by which all entries can have read that the
	// server is draining.
	drainNoticedBy time.Time
	// refusing makes the server refuse requests as not executed.
	refusing bool
	// breaksStreams makes the server close the connections of streams after some events.
	breaksStreams bool
	// losesAnswers makes the server close the connection without an answer after
	// it ran a request.
	losesAnswers bool
}

func newServer(f *fleet, id, addr string, kind serverKind) *server {
	s := &server{id: id, stage: kind.stage, history: f.history, fleet: f, software: kind.software, advice: advice{born: 1}, handles: map[string]string{}}
	s.http = httptest.NewServer(s)
	s.link = newLink(f.t, addr, s.http.Listener.Addr().String())
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
	in := standin.ReadServerRequest(r)
	id := in.ID
	s.history.checkOrganisation(in)
	standin.NameRequest(w.Header(), id)
	s.mu.Lock()
	refusing, losesAnswers, noticedBy := s.refusing, s.losesAnswers, s.drainNoticedBy
	s.mu.Unlock()
	if !noticedBy.IsZero() && time.Since(noticedBy) > maxDrainTime && id != "" {
		s.history.mu.Lock()
		s.history.late = append(s.history.late, id+" at "+s.id)
		s.history.mu.Unlock()
	}
	if kind := fatalKindOf(in, string(body)); kind != "" && !in.Frees {
		s.fleet.fatal.arrive(kind)
	}
	switch {
	case in.Frees:
		return
	case in.Instance != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case s.advice.answer(w, id) || refusing:
		standin.RefuseRequest(w)
		return
	case in.Prefill:
		s.prefill(w, id)
		return
	case s.stage == "decode" && !s.fetchPrefill(in.Source, id):
		standin.RefuseRequest(w)
		return
	}
	s.history.recordRun(id)
	if s.crashes(r, in, string(body)) {
		return
	}
	if losesAnswers {
		panic(http.ErrAbortHandler)
	}
	standin.ProveAnswer(w.Header(), id, 1, 0, 6)
	if s.stage == "decode" {
		s.stream(w, r, in)
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
	_ = standin.WritePrefilled(w, handle, promptTokens) // fails if the entry disconnected
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

// event returns one event of a stream.
func event(stream string, k int, software string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\ndata: %s%s\n\n", k, stream, k, softwareField, software)
}

// eventEnd ends each event.
const eventEnd = "\n\n"

const softwareField = "software "

// softwareOf returns the versions of software that made the events of a body.
func softwareOf(body string) map[string]bool {
	out := map[string]bool{}
	for line := range strings.SplitSeq(body, "\n") {
		if v, ok := strings.CutPrefix(line, "data: "+softwareField); ok {
			out[v] = true
		}
	}
	return out
}

// breakAfter is the number of events after which servers with breaksStreams break off.
const breakAfter = 3

func (s *server) stream(w http.ResponseWriter, r *http.Request, in standin.ServerRequest) {
	from, stream := in.LastEvent, cmp.Or(in.Resumes, in.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	for k := from + 1; k <= s.fleet.shape.eventCount; k++ {
		s.mu.Lock()
		breaks := s.breaksStreams
		s.mu.Unlock()
		if breaks && k > from+breakAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event(stream, k, s.software)); err != nil || r.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(s.fleet.shape.eventPace)
	}
}

// registration returns the server's registration in the store.
func (s *server) registration(state string) standin.Registration {
	service := plainService
	if s.stage != "" {
		service = modelService
	}
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	return standin.Registration{
		ID: s.id, Service: service, Address: s.link.addr, DataCentre: dataCentre, Slots: 8, State: state, Stage: s.stage, Software: s.software, Born: s.advice.born,
	}
}

// store is a stand-in of the platform's metadata store behind a link.
type store struct {
	*standin.Store
	link *link
}

func newStore(t *testing.T, host *testaddr.Host) *store {
	s := standin.NewStore()
	return &store{Store: s, link: newLink(t, host.Addr(), s.Addr())}
}
