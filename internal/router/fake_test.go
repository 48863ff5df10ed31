package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// behaviour is how a fake server handles a call.
type behaviour func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error)

// fakeServers implements router.Servers in memory.
type fakeServers struct {
	mu          sync.Mutex
	calls       []string             // "server" for calls, "prefill server", "free handle", "order server stage"
	on          map[string]behaviour // for calls, by server; without one, the answer is "ok"
	prefills    map[string]behaviour // for prefills, by server; without one, or a reply, they succeed
	unreachable map[string]bool
	timesLeft   []time.Duration // of all calls
	// prefillTime is how long a prefill takes.
	prefillTime time.Duration
	// arrived, if not nil, is called with each call and prefill that reaches a server.
	arrived func(o *router.OutgoingCall)
	// slowProbe makes Probe block until its context ends.
	slowProbe bool
	// discard leaves calls unrecorded.
	discard bool
}

func newFakeServers() *fakeServers {
	return &fakeServers{on: map[string]behaviour{}, prefills: map[string]behaviour{}, unreachable: map[string]bool{}, prefillTime: prefillTime}
}

// sleep waits for d. When ctx ends before, it fails like a call that timed out.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return &upstream.Error{Progress: upstream.Unanswered, Timeout: true, Err: ctx.Err()}
	}
}

func (f *fakeServers) record(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, s)
}

func (f *fakeServers) recorded() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

func (f *fakeServers) set(id string, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on[id] = b
}

func (f *fakeServers) setAll(ids []string, b behaviour) {
	for _, id := range ids {
		f.set(id, b)
	}
}

// slowReader reads each event some time later.
type slowReader struct {
	io.ReadCloser
	delay time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay)
	return r.ReadCloser.Read(p)
}

// slowBy makes a server send each event some time later.
func (f *fakeServers) slowBy(id string, d time.Duration) {
	former := f.on[id]
	f.set(id, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
		reply, err := former(ctx, o)
		if reply != nil {
			reply.Body = slowReader{reply.Body, d}
		}
		return reply, err
	})
}

// setUnreachable makes the given servers, and no others, refuse connections.
func (f *fakeServers) setUnreachable(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = map[string]bool{}
	for _, id := range ids {
		f.unreachable[id] = true
	}
}

// setReachable makes a server take or refuse connections.
func (f *fakeServers) setReachable(id string, reachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = !reachable
}

// arrive records a call or a prefill that reaches a server.
func (f *fakeServers) arrive(o *router.OutgoingCall, what string) {
	if !f.discard {
		f.record(what)
	}
	if f.arrived != nil {
		f.arrived(o)
	}
}

var errRefusedConnection = &upstream.Error{Progress: upstream.NotSent, Err: errors.New("connection refused")}

func (f *fakeServers) Call(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
	f.mu.Lock()
	unreachable, b := f.unreachable[o.Server.ID], f.on[o.Server.ID]
	if !f.discard {
		f.timesLeft = append(f.timesLeft, o.TimeLeft)
	}
	f.mu.Unlock()
	if unreachable {
		return nil, errRefusedConnection
	}
	f.arrive(o, o.Server.ID)
	if b == nil {
		b = ok("ok")
	}
	return b(ctx, o)
}

const prefillTime = 100 * time.Millisecond

func (f *fakeServers) Prefill(ctx context.Context, o *router.OutgoingCall) (*router.Handle, *router.Reply, error) {
	f.mu.Lock()
	unreachable, b := f.unreachable[o.Server.ID], f.prefills[o.Server.ID]
	f.mu.Unlock()
	if unreachable {
		return nil, nil, errRefusedConnection
	}
	f.arrive(o, "prefill "+o.Server.ID)
	if b != nil {
		if reply, err := b(ctx, o); reply != nil || err != nil {
			return nil, reply, err
		}
	}
	if err := sleep(ctx, f.prefillTime); err != nil {
		return nil, nil, err
	}
	return &router.Handle{ID: "h", Server: o.Server, Tokens: o.Call.PromptTokens, CreatedAt: time.Now()}, &router.Reply{Status: 200}, nil
}

func (f *fakeServers) Free(_ context.Context, h *router.Handle) error {
	f.record("free " + h.ID)
	return nil
}

func (f *fakeServers) Probe(ctx context.Context, s *directory.Server) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slowProbe {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return &upstream.Error{Progress: upstream.NotSent, Err: ctx.Err()}
	}
	if f.unreachable[s.ID] {
		return errRefusedConnection
	}
	return nil
}

func (f *fakeServers) Order(_ context.Context, o *router.Order) error {
	f.record(fmt.Sprint("order ", o.Server.ID, " ", o.To))
	return nil
}

func (f *fakeServers) CloseIdle(*directory.Server) {}

func reply(status int, body io.Reader) *router.Reply {
	return &router.Reply{Status: status, Header: http.Header{"Proof": {"p"}}, Proven: true, Length: -1, Body: io.NopCloser(body)}
}

func ok(body string) behaviour {
	return func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
		return reply(200, bytes.NewBufferString(body)), nil
	}
}

func fails(status int) behaviour {
	return func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
		return reply(status, bytes.NewBufferString("bad")), nil
	}
}

func refuses(context.Context, *router.OutgoingCall) (*router.Reply, error) {
	r := reply(503, &bytes.Buffer{})
	r.NotRun, r.Proven = true, false
	return r, nil
}

func unanswered(context.Context, *router.OutgoingCall) (*router.Reply, error) {
	return nil, &upstream.Error{Progress: upstream.Unanswered, Err: errors.New("reset")}
}

func hangs(ctx context.Context, _ *router.OutgoingCall) (*router.Reply, error) {
	<-ctx.Done()
	return nil, &upstream.Error{Progress: upstream.Unanswered, Timeout: true, Err: ctx.Err()}
}

// brokenReader returns the buffered bytes and then an error.
type brokenReader struct{ *bytes.Buffer }

func (b brokenReader) Read(p []byte) (int, error) {
	if n, _ := b.Buffer.Read(p); n > 0 {
		return n, nil
	}
	return 0, &upstream.Error{Progress: upstream.Broken, Err: errors.New("reset")}
}

func breaksAfter(events string) behaviour {
	return func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
		return reply(200, brokenReader{bytes.NewBufferString(events)}), nil
	}
}

var nopLogger = log.NewNopLogger()

// recordedAnswer records the response to a caller.
type recordedAnswer struct {
	status  int
	body    bytes.Buffer
	aborted bool
	failure *apierror.Error
	starts  int
}

func (a *recordedAnswer) Start(status int, _ http.Header, _ int) { a.status = status; a.starts++ }
func (a *recordedAnswer) Write(p []byte) error                   { a.body.Write(p); return nil }
func (a *recordedAnswer) Abort()                                 { a.aborted = true }
func (a *recordedAnswer) Fail(e *apierror.Error)                 { a.failure = e }

// fleet is a router in front of fake servers.
type fleet struct {
	*router.Router
	servers   *fakeServers
	directory *directory.Directory
}

const (
	timeout = 800 * time.Millisecond
	target  = 900 * time.Millisecond
	gap     = 300 * time.Millisecond
	// patience is the longest of 2 s, four targets and eight gaps.
	patience = 4 * target
)

var testOptions = router.Options{
	FirstStart: true,
	DataCentre: "dc", MaxQueued: 100, SpreadCalls: true, Budget: router.BudgetOptions{Window: 10 * time.Second, Ratio: 0.2, Slack: 50},
}

func newFleet() *fleet {
	f := &fleet{servers: newFakeServers(), directory: newDirectory()}
	o := testOptions
	o.Registry = newRegistry(f.directory, o.FirstStart)
	f.Router = router.New(f.directory, f.servers, o, log.NewNopLogger())
	return f
}

// registry implements router.Registry: it holds what a directory holds.
type registry struct {
	directory   *directory.Directory
	unreachable atomic.Bool
	// history are the roles that servers had before the directory was first read; nil if the
	// registry does not tell.
	history []directory.Role
}

// newRegistry returns the registry from which a directory was read just now.
func newRegistry(d *directory.Directory, first bool) *registry {
	if first {
		d.NothingBefore()
	}
	d.ConfirmWholeRead(time.Now(), false)
	d.ConfirmWholeConfigRead(time.Now(), false)
	return &registry{directory: d}
}

func (r *registry) Cover(context.Context, time.Duration) error {
	if r.unreachable.Load() {
		return errRefusedConnection
	}
	if r.history != nil {
		r.directory.Recall(time.Time{}, r.history)
		r.directory.RecallConfig(time.Time{})
	}
	r.directory.ConfirmRead(time.Now())
	r.directory.ConfirmConfigRead(time.Now())
	return nil
}

// newConfiguredDirectory returns a directory without servers.
func newConfiguredDirectory() *directory.Directory {
	d := directory.New()
	route := func(prefix string, k directory.Kind, service string, attempts int, resumable bool) directory.Route {
		return directory.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: k, Timeout: timeout, LatencyTarget: target, GapTarget: gap,
			Shares: []directory.TrafficShare{{Service: service, Weight: 1}}, Attempts: attempts, Resumable: resumable,
		}
	}
	stream := route("/stream/", directory.Streaming, "llm", 1, false)
	resumable := route("/resumable/", directory.Streaming, "llm", 2, true)
	stream.Timeout, resumable.Timeout = 14*time.Second, 14*time.Second
	stream.Patience, resumable.Patience = patience, patience
	d.SetConfig(&directory.Config{
		Version: 1,
		Routes: []directory.Route{
			route("/safe/", directory.Idempotent, "app", 2, false), route("/once/", directory.AtMostOnce, "app", 1, false), stream, resumable,
		},
		Services: map[string]*directory.Service{
			"app": {Name: "app"},
			"llm": {Name: "llm", Engine: &directory.Engine{Slots: 12, MemoryTokens: 65_000, HandleTTL: 500 * time.Millisecond, EventTokens: 72, StageChangeTime: 6 * time.Second}},
		},
	})
	return d
}

// newDirectory returns a directory with three plain servers, two for prefills and three for
// decodes.
func newDirectory() *directory.Directory {
	d := newConfiguredDirectory()
	for _, id := range plainServers {
		d.Put(&directory.Server{ID: id, Service: "app", Slots: 6, DataCentre: "dc"})
	}
	for _, id := range prefillServers {
		d.Put(&directory.Server{ID: id, Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Prefill, Agent: agentOf(id)})
	}
	for _, id := range decodeServers {
		d.Put(&directory.Server{ID: id, Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Decode, Agent: agentOf(id)})
	}
	return d
}

// agentOf returns the address of the process beside a model server.
func agentOf(server string) string {
	return fmt.Sprintf("10.0.1.%d:7000", 1+slices.Index(slices.Concat(prefillServers, decodeServers), server))
}

var requests atomic.Int64

// lastRequest returns the ID of the last request that call sent.
func lastRequest() string { return fmt.Sprint("r", requests.Load()) }

// call sends one request and waits for its answer.
func (f *fleet) call(ctx context.Context, path string) *recordedAnswer {
	return serve(ctx, f.Router, newCall(path))
}

func newCall(path string) *router.Call {
	return &router.Call{
		ID: fmt.Sprint("r", requests.Add(1)), Method: "POST", Target: path, Host: "h", Path: path, Header: http.Header{},
		Arrived: time.Now(), Deadline: time.Now().Add(14 * time.Second), PromptTokens: 5000, MaxTokens: 9000, ExpectedTokens: 5000,
	}
}

func serve(ctx context.Context, r *router.Router, c *router.Call) *recordedAnswer {
	a := &recordedAnswer{}
	r.Serve(ctx, c, a)
	return a
}

// withFleet runs a test with a new fleet in virtual time.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		test(t, f)
		f.servers.setUnreachable()
		time.Sleep(2 * time.Second) // probes of suspected servers end
	})
}
