package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/agent"
	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/entry"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// The tests of this package run the real entry and agents in virtual time, over
// in-memory connections, with fake engines and a fake plain service.

const (
	testLease     = 3 * time.Second
	testHeartbeat = time.Second
	// maxReclaimTime is the time within which engine memory must be free after
	// the event that ends its use.
	maxReclaimTime = 5 * time.Second
	testKey        = "key"
	answerTokens   = 20
	stepTime       = 50 * time.Millisecond
)

// fakeRequest is the state that a fake engine holds for one request ID.
type fakeRequest struct {
	phase       string
	prompt      string
	delivered   int
	max         int
	decodeStart time.Time // when decoding began
}

// fakeEngine is an in-memory model engine.
type fakeEngine struct {
	name string
	all  map[string]*fakeEngine

	mu           sync.Mutex
	held         map[string]*fakeRequest
	prefillCount map[string]int // prefills by prompt
	dead         bool
	frozen       bool
	// expired is the number of imports that find no prefill result.
	expired int
	changed chan struct{} // closed and replaced when dead or frozen change
}

func newFakeEngine(name string, all map[string]*fakeEngine) *fakeEngine {
	e := &fakeEngine{name: name, all: all, held: map[string]*fakeRequest{}, prefillCount: map[string]int{}, changed: make(chan struct{})}
	all[name] = e
	return e
}

var errEngineDown = errors.New("connection refused")

// waitAlive waits while the engine is frozen. It fails if the engine is dead.
func (e *fakeEngine) waitAlive(ctx context.Context) error {
	for {
		e.mu.Lock()
		dead, frozen, changed := e.dead, e.frozen, e.changed
		e.mu.Unlock()
		if dead {
			return errEngineDown
		}
		if !frozen {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// setState sets the state of the engine. A dead engine loses its memory.
func (e *fakeEngine) setState(dead, frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if dead {
		e.held = map[string]*fakeRequest{}
	}
	e.dead, e.frozen = dead, frozen
	close(e.changed)
	e.changed = make(chan struct{})
}

// expireNext makes the next import find no prefill result.
func (e *fakeEngine) expireNext() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expired++
}

func (e *fakeEngine) heldRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

func (e *fakeEngine) prefills(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefillCount[prompt]
}

func (e *fakeEngine) add(id string, r *fakeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[id] = r
}

func (e *fakeEngine) get(id string) *fakeRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held[id]
}

func (e *fakeEngine) remove(id string, r *fakeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[id] == r {
		delete(e.held, id)
	}
}

func token(prompt string, i int) string { return fmt.Sprintf("%s.%d", prompt, i) }

func answer(prompt string) string {
	var out []string
	for i := range answerTokens {
		out = append(out, token(prompt, i))
	}
	return strings.Join(out, " ")
}

// engineClient is the connection of one agent incarnation to an engine. Calls
// fail once the agent is killed.
type engineClient struct {
	*fakeEngine
	killed chan struct{}
}

// begin returns a context that is cancelled when the agent is killed.
func (c engineClient) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	select {
	case <-c.killed:
		cancel()
	default:
	}
	go func() {
		select {
		case <-c.killed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (c engineClient) Base() string { return c.name }

func (c engineClient) CloseIdleConnections() {}

func (c engineClient) State(ctx context.Context) (engine.State, error) {
	return engine.State{Role: strings.Split(c.name, "-")[0], Models: []string{"m@1"}, Slots: 4, Pieces: 40}, c.waitAlive(ctx)
}

func (c engineClient) HeldRequests(ctx context.Context) ([]engine.HeldRequest, error) {
	ctx, cancel := c.begin(ctx)
	defer cancel()
	if err := c.waitAlive(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []engine.HeldRequest
	for id, r := range c.held {
		out = append(out, engine.HeldRequest{ID: id, Phase: r.phase, Pieces: 1})
	}
	return out, nil
}

func (c engineClient) Order(ctx context.Context, _ engine.Order) error { return c.waitAlive(ctx) }

func (c engineClient) Cancel(ctx context.Context, id string) error {
	ctx, cancel := c.begin(ctx)
	defer cancel()
	if err := c.waitAlive(ctx); err != nil {
		return err
	}
	c.remove(id, c.get(id))
	return nil
}

// waitWork waits for the duration of engine work on a request. It fails if the
// engine no longer holds the request.
func (c engineClient) waitWork(ctx context.Context, id string, r *fakeRequest, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	if err := c.waitAlive(ctx); err != nil {
		return err
	}
	if c.get(id) != r {
		return &engine.StatusError{Code: http.StatusNotFound, Text: "unknown request"}
	}
	return nil
}

func (c engineClient) Prefill(ctx context.Context, in engine.PrefillRequest) (engine.PrefillResult, error) {
	ctx, cancel := c.begin(ctx)
	defer cancel()
	if err := c.waitAlive(ctx); err != nil {
		return engine.PrefillResult{}, err
	}
	r := &fakeRequest{phase: engine.PhasePrefill, prompt: in.Prompt, delivered: len(in.Delivered)}
	c.add(in.ID, r)
	c.mu.Lock()
	c.prefillCount[in.Prompt]++
	c.mu.Unlock()
	if err := c.waitWork(ctx, in.ID, r, 100*time.Millisecond); err != nil {
		return engine.PrefillResult{}, err
	}
	c.mu.Lock()
	r.phase = engine.PhaseResult
	c.mu.Unlock()
	time.AfterFunc(800*time.Millisecond, func() { c.remove(in.ID, r) })
	return engine.PrefillResult{Handle: in.ID, Tokens: 1, Pieces: 1, TTLMS: 800}, nil
}

func (c engineClient) Import(ctx context.Context, in engine.ImportRequest) (engine.ImportResult, error) {
	ctx, cancel := c.begin(ctx)
	defer cancel()
	if err := c.waitAlive(ctx); err != nil {
		return engine.ImportResult{}, err
	}
	source := c.all[in.Source]
	result := source.get(in.Handle)
	c.mu.Lock()
	expired := c.expired > 0
	c.expired = max(c.expired-1, 0)
	c.mu.Unlock()
	if result == nil || expired {
		return engine.ImportResult{}, &engine.StatusError{Code: http.StatusNotFound, Text: "evicted"}
	}
	r := &fakeRequest{phase: "import", prompt: result.prompt, delivered: result.delivered}
	c.add(in.ID, r)
	if err := source.waitAlive(ctx); err != nil {
		return engine.ImportResult{}, err
	}
	if err := c.waitWork(ctx, in.ID, r, 30*time.Millisecond); err != nil {
		return engine.ImportResult{}, err
	}
	source.remove(in.Handle, result)
	return engine.ImportResult{Pieces: 1}, nil
}

func (c engineClient) Decode(ctx context.Context, in engine.DecodeRequest, onEvent func(engine.DecodeEvent) error) error {
	r := c.get(in.ID)
	if r == nil {
		return &engine.StatusError{Code: http.StatusNotFound, Text: "unknown request"}
	}
	c.mu.Lock()
	r.phase, r.max, r.decodeStart = "decode", in.MaxTokens, time.Now()
	c.mu.Unlock()
	return c.stream(ctx, in.ID, r, r.delivered, onEvent)
}

func (c engineClient) Resume(ctx context.Context, in engine.ResumeRequest, onEvent func(engine.DecodeEvent) error) error {
	if err := c.waitAlive(ctx); err != nil {
		return err
	}
	r := c.get(in.ID)
	if r == nil {
		return &engine.StatusError{Code: http.StatusNotFound, Text: "unknown request"}
	}
	return c.stream(ctx, in.ID, r, in.From, onEvent)
}

func (c engineClient) stream(ctx context.Context, id string, r *fakeRequest, from int, onEvent func(engine.DecodeEvent) error) error {
	ctx, cancel := c.begin(ctx)
	defer cancel()
	for i := from; i < answerTokens; i++ {
		due := r.decodeStart.Add(time.Duration(i+1-r.delivered) * stepTime)
		if err := c.waitWork(ctx, id, r, max(time.Until(due), time.Millisecond)); err != nil {
			return err
		}
		if err := onEvent(engine.DecodeEvent{Index: i, Token: token(r.prompt, i)}); err != nil {
			return err
		}
	}
	if err := onEvent(engine.DecodeEvent{Index: answerTokens, Finish: "stop"}); err != nil {
		return err
	}
	c.remove(id, r)
	return nil
}

// fakeService is a plain service that counts the executions of each body.
type fakeService struct {
	mu             sync.Mutex
	executionCount map[string]int
	// hold, if not nil, delays answers until it is closed.
	hold chan struct{}
}

func (s *fakeService) Call(ctx context.Context, call protocol.HTTPCall) (engine.PlainAnswer, error) {
	s.mu.Lock()
	s.executionCount[string(call.Body)]++
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return engine.PlainAnswer{}, ctx.Err()
		}
	}
	return engine.PlainAnswer{Code: http.StatusCreated, Body: call.Body}, nil
}

func (s *fakeService) executions(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionCount[body]
}

// link is one end of an in-memory connection. Once blackholed, it discards
// writes.
type link struct {
	net.Conn
	blackholed *atomic.Bool
}

func (l *link) Write(p []byte) (int, error) {
	if l.blackholed.Load() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// network connects entries to agents.
type network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	links       map[string][]*link // by "entry>agent"
	partitioned map[string]bool
}

type listener struct {
	addr   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return nil }

func (n *network) listen(addr string) *listener {
	l := &listener{addr: addr, accept: make(chan net.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		key := from + ">" + addr
		n.mu.Lock()
		partitioned, l := n.partitioned[key], n.listeners[addr]
		n.mu.Unlock()
		if partitioned {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil {
			return nil, errors.New("connection refused")
		}
		a, b := net.Pipe()
		blackholed := new(atomic.Bool)
		client, server := &link{a, blackholed}, &link{b, blackholed}
		select {
		case l.accept <- server:
		case <-l.done:
			return nil, errors.New("connection refused")
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.links[key] = append(n.links[key], client)
		return client, nil
	}
}

// blackhole makes the present connections from an entry to an address discard
// all data for good.
func (n *network) blackhole(from, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links[from+">"+addr] {
		l.blackholed.Store(true)
	}
}

// partition sets or clears a partition between an entry and an address. While
// it is set, new connections hang; setting it also blackholes the present ones.
func (n *network) partition(from, addr string, partitioned bool) {
	if partitioned {
		n.blackhole(from, addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[from+">"+addr] = partitioned
}

// closeAll closes the listener and all connections of an address.
func (n *network) closeAll(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, addr)
	for key, links := range n.links {
		if strings.HasSuffix(key, ">"+addr) {
			for _, l := range links {
				_ = l.Close()
			}
		}
	}
}

const testNote = `
schema: samphirestream/v1
number: 1
added:
  models:
    - {name: m, version: "1", window_tokens: 8000, default: true}
  services:
    - name: ledger
      prefix: /ledger
      calls:
        - {method: POST, path: /payments}
  providers:
    - name: p
      key_digests: ["%s"]
      weight: 1
      targets: {first_token: 60s, between_tokens: 10s}
  backend_servers:
    - {name: prefill-1, data_centre: dc, region: r, agent: "127.0.0.1:1", role: prefill, models: [m@1]}
    - {name: prefill-2, data_centre: dc, region: r, agent: "127.0.0.1:2", role: prefill, models: [m@1]}
    - {name: decode-1, data_centre: dc, region: r, agent: "127.0.0.1:3", role: decode, models: [m@1]}
    - {name: decode-2, data_centre: dc, region: r, agent: "127.0.0.1:4", role: decode, models: [m@1]}
    - {name: ledger-1, data_centre: dc, region: r, agent: "127.0.0.1:5", role: service, service: ledger}
`

// addresses are the agents' addresses by backend server.
var addresses = map[string]string{
	"prefill-1": "127.0.0.1:1", "prefill-2": "127.0.0.1:2",
	"decode-1": "127.0.0.1:3", "decode-2": "127.0.0.1:4", "ledger-1": "127.0.0.1:5",
}

// fleet is a running fleet of entries and one agent for each backend server.
type fleet struct {
	t            *testing.T
	net          *network
	engines      map[string]*fakeEngine
	service      *fakeService
	store        *release.Store
	agents       map[string]*process
	entries      map[string]*process
	incarnations int
}

// process is one incarnation of an entry or an agent.
type process struct {
	kill    func() // ends it without a graceful shutdown
	handler http.Handler
	agent   *agent.Agent
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	doc, err := release.Parse(fmt.Appendf(nil, testNote, release.Digest([]byte(testKey))))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t: t, net: &network{listeners: map[string]*listener{}, links: map[string][]*link{}, partitioned: map[string]bool{}},
		engines: map[string]*fakeEngine{}, service: &fakeService{executionCount: map[string]int{}}, store: release.NewStore(),
		agents: map[string]*process{}, entries: map[string]*process{},
	}
	if err := f.store.Apply(doc); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"prefill-1", "prefill-2", "decode-1", "decode-2"} {
		newFakeEngine(name, f.engines)
	}
	for name := range addresses {
		f.startAgent(name)
	}
	f.startEntry("entry-1")
	f.startEntry("entry-2")
	time.Sleep(3 * testHeartbeat)
	return f
}

func (f *fleet) incarnation() string {
	f.incarnations++
	return fmt.Sprintf("incarnation-%04d", f.incarnations)
}

func (f *fleet) startAgent(name string) {
	self := protocol.NodeRef{Node: "agent-" + name, Incarnation: f.incarnation()}
	killed := make(chan struct{})
	cfg := agent.Config{
		Self: self, Backend: name, BackendURL: "http://" + addresses[name], LeaseDuration: testLease,
		TicketKey: make([]byte, 16), Service: f.service, WriterLock: "127.0.0.1:0",
	}
	if e, ok := f.engines[name]; ok {
		cfg.IsEngine, cfg.Client = true, engineClient{e, killed}
	}
	a := agent.New(cfg, f.store, lifecycle.New(nil), log.NewNopLogger())
	server := &transport.Server{
		Self: self, Security: &transport.Security{}, RPC: rpc.NewServer(), Stream: a.ServeStream,
		IdleTimeout: testLease, Log: log.NewNopLogger(),
	}
	if err := a.Register(server.RPC); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ln := f.net.listen(addresses[name])
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, ln) })
	wg.Go(func() { a.Run(ctx) })
	f.agents[name] = &process{agent: a, kill: func() {
		f.net.closeAll(addresses[name])
		close(killed)
		cancel()
		wg.Wait()
	}}
}

func (f *fleet) startEntry(name string) {
	self := protocol.NodeRef{Node: name, Incarnation: f.incarnation()}
	dialer := &transport.Dialer{Self: self, Security: &transport.Security{}, IdleTimeout: testLease, Connect: f.net.dialer(name)}
	e := entry.New(entry.Config{
		Self: self, DataCentre: "dc", Region: "r", HeartbeatInterval: testHeartbeat, LeaseDuration: testLease,
		RequestTimeout: 2 * time.Minute, MaxBodyBytes: 1 << 20, MaxQueued: 100, TicketKey: make([]byte, 16),
	}, f.store, lifecycle.New(nil), dialer, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	f.entries[name] = &process{handler: e.Handler(), kill: func() {
		cancel()
		<-done
	}}
}

func (f *fleet) stop() {
	for _, p := range f.entries {
		p.kill()
	}
	for _, p := range f.agents {
		p.kill()
	}
	time.Sleep(5 * time.Minute) // let the last timers expire
}

// heldRequests returns the number of requests that the engines hold in total.
func (f *fleet) heldRequests() int {
	n := 0
	for _, e := range f.engines {
		n += e.heldRequests()
	}
	return n
}

func (f *fleet) prefills(prompt string) int {
	n := 0
	for _, e := range f.engines {
		n += e.prefills(prompt)
	}
	return n
}

// exchange is one HTTP request of a caller and its response.
type exchange struct {
	prompt string
	out    *recorder
	cancel context.CancelFunc
	done   chan struct{}
}

// recorder is a ResponseWriter whose response can be read while it is written,
// and whose writes can stall.
type recorder struct {
	mu     sync.Mutex
	header http.Header
	sent   http.Header // the header as it was sent
	code   int
	body   strings.Builder
	stall  chan struct{}
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.code == 0 {
		r.code, r.sent = code, r.header.Clone()
	}
}

func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.stall != nil {
		<-r.stall
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.Write(p)
}

func (r *recorder) Flush() {}

func (r *recorder) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.String()
}

func (r *recorder) status() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.code
}

// send sends a request to an entry, without waiting for the response.
func (f *fleet) send(entryName, method, path, body string, header map[string]string, stall chan struct{}) *exchange {
	return f.sendWithin(time.Hour, entryName, method, path, body, header, stall)
}

// sendWithin is send for a caller that gives up after a time.
func (f *fleet) sendWithin(limit time.Duration, entryName, method, path, body string, header map[string]string, stall chan struct{}) *exchange {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	x := &exchange{out: &recorder{header: http.Header{}, stall: stall}, cancel: cancel, done: make(chan struct{})}
	h := f.entries[entryName].handler
	go func() {
		defer close(x.done)
		h.ServeHTTP(x.out, req)
	}()
	return x
}

// sendPrompt sends a completion request. The answer is streamed if stream is
// set.
func (f *fleet) sendPrompt(entryName, prompt string, stream bool, header map[string]string) *exchange {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":100,"stream":%t}`, prompt, stream)
	x := f.send(entryName, http.MethodPost, "/v1/completions", body, header, nil)
	x.prompt = prompt
	return x
}

// header returns a field of the response header as it was sent.
func (x *exchange) header(name string) string {
	x.out.mu.Lock()
	defer x.out.mu.Unlock()
	return x.out.sent.Get(name)
}

// finished reports whether the exchange has ended.
func (x *exchange) finished() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// outcome returns the outcome in an error body, or "".
func (x *exchange) outcome() string {
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(x.out.text()), &body)
	return body.Error.Outcome
}

// answerText returns the text of an answer that is not streamed.
func (x *exchange) answerText() string {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(x.out.text()), &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Text
}

// streamed returns the text and the last event ID received so far of a streamed
// answer.
func (x *exchange) streamed() (text, lastID string, complete bool) {
	for _, line := range strings.Split(x.out.text(), "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, lastID, true
		}
		var body struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &body) == nil && len(body.Choices) > 0 {
			text += body.Choices[0].Text
		}
	}
	return text, lastID, false
}
