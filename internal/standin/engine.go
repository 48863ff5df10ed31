package standin

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// EngineConfig sets the speed, the memory and the delays of a stand-in engine.
type EngineConfig struct {
	Name     string
	Role     string
	Models   []string
	Adapters []string
	// Slots is the max number of decodes in the batch.
	Slots int
	// Pieces is the memory for KV caches, in pieces of 2,000 tokens.
	Pieces int
	// CachePrefixes is the max number of cached prompt prefixes. A prompt has one
	// prefix for each of its whole pieces.
	CachePrefixes int
	// PrefillTokensPerSecond is the speed of a prefill. Cached tokens take no time.
	PrefillTokensPerSecond float64
	// StepTime is the time between the tokens of an answer.
	StepTime time.Duration
	// ResultTTL is the time after which the result of a prefill is evicted unless
	// its export has begun.
	ResultTTL time.Duration
	// LinkPiecesPerSecond is the rate of KV exports, which run one at a time.
	LinkPiecesPerSecond float64
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag delays cache events; each EventGap-th event is lost.
	EventLag time.Duration
	EventGap uint64
	// HonourFence makes the engine refuse orders whose fencing number is not above
	// the highest that it has accepted.
	HonourFence bool
	// WeightsCapacity is the memory for weights in bytes; zero means unbounded.
	WeightsCapacity int64
	// WeightsBytes are the sizes of the models in Models.
	WeightsBytes map[string]int64
	// Fetch reads the weights of an order; nil reads Order.Source by HTTP.
	Fetch func(engine.Order) error
}

// DefaultEngineConfig returns the default configuration of an engine with a role
// and models.
func DefaultEngineConfig(name, role string, models ...string) EngineConfig {
	return EngineConfig{
		Name:                   name,
		Role:                   role,
		Models:                 models,
		Slots:                  20,
		Pieces:                 200,
		CachePrefixes:          50,
		PrefillTokensPerSecond: 20_000,
		StepTime:               20 * time.Millisecond,
		ResultTTL:              800 * time.Millisecond,
		LinkPiecesPerSecond:    200,
		LoadLag:                500 * time.Millisecond,
		EventLag:               500 * time.Millisecond,
		EventGap:               10,
		HonourFence:            true,
	}
}

// Phases of a request at an engine.
const (
	phasePrefill = "prefill"
	phaseResult  = "result"
	phaseImport  = "import"
	phaseDecode  = "decode"
)

// maxUnreadTokens is the max number of computed tokens of a request that its client
// has not read yet. At this limit the engine pauses that request, but no other.
const maxUnreadTokens = 64

// Errors of a stand-in engine.
var (
	errNoMemory       = errors.New("no free pieces")
	errNoSlot         = errors.New("no free slot")
	errUnknownRequest = errors.New("unknown request")
	errNoModel        = errors.New("model not loaded")
	errRequestExists  = errors.New("request exists already")
)

// request is the state that the engine holds under one request ID.
type request struct {
	id     string
	phase  string
	prompt string
	pieces int
	kv     engine.KVExport
	cancel context.CancelFunc

	// Fields of a decode.
	maxTokens int
	next      int           // index of the next token to compute
	start     int           // index of the first token computed by this engine
	tokens    []string      // from index start on
	nextRead  int           // index of the next token that the client reads
	finish    string        // finish reason; empty while the decode runs
	progress  chan struct{} // closed when tokens or finish change
}

// Engine is a stand-in model engine with continuous batching.
type Engine struct {
	cfg EngineConfig

	mu           sync.Mutex
	requests     map[string]*request
	piecesHeld   int
	models       map[string]int64  // sizes of the weights in bytes, by model key
	adapters     map[string]string // keys of the base models, by adapter key
	loading      map[string]int64  // like models, for weights that are being fetched
	fetches      int               // number of fetches that were begun
	fetching     map[string]int    // number of the fetch in progress of each model
	role         string
	fence        uint64 // highest fencing number that was accepted
	orders       []engine.Order
	aborted      int  // requests that an order or a restart aborted
	incarnation  int  // number of restarts
	stepping     bool // runBatch is running
	queuedTokens int  // tokens of the waiting and the running prefills
	loadReports  []timedReport
	served       uint64 // decodes started

	observer func(Observation)

	cache       *prefixCache
	prefillLock prioritySemaphore // one prefill at a time
	exportLock  prioritySemaphore // one export at a time
	gates       gates
}

type timedReport struct {
	at     time.Time
	report engine.LoadReport
}

// NewEngine returns a stand-in engine.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{
		cfg:      cfg,
		requests: map[string]*request{},
		models:   map[string]int64{},
		adapters: map[string]string{},
		loading:  map[string]int64{},
		fetching: map[string]int{},
		role:     cfg.Role,
		observer: func(Observation) {},
		cache:    newPrefixCache(cfg.CachePrefixes, cfg.EventLag, cfg.EventGap),
	}
	for _, m := range cfg.Models {
		e.models[m] = cfg.WeightsBytes[m]
	}
	for _, a := range cfg.Adapters {
		e.adapters[a] = ""
	}
	return e
}

// PiecesHeld returns the number of pieces that requests hold.
func (e *Engine) PiecesHeld() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.piecesHeld
}

// RequestsHeld returns the number of requests that the engine holds.
func (e *Engine) RequestsHeld() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// Orders returns the orders whose fencing number the engine accepted.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// addRequest adds a request and reserves its memory.
func (e *Engine) addRequest(r *request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.requests[r.id]; ok {
		return errRequestExists
	}
	if e.piecesHeld+r.pieces > e.cfg.Pieces {
		return errNoMemory
	}
	e.requests[r.id] = r
	e.piecesHeld += r.pieces
	e.observeLocked(ObservedHeld, r)
	return nil
}

// freeRequest drops a request. It does nothing if the engine no longer holds it.
func (e *Engine) freeRequest(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeLocked(r)
}

func (e *Engine) freeLocked(r *request) {
	if e.requests[r.id] != r {
		return
	}
	delete(e.requests, r.id)
	e.piecesHeld -= r.pieces
	e.observeLocked(ObservedFreed, r)
	if r.cancel != nil {
		r.cancel()
	}
	if r.progress != nil && r.finish == "" {
		r.finish = "cancelled"
		close(r.progress)
	}
}

// cancelID drops the request with an ID and reports whether there was one.
func (e *Engine) cancelID(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[id]
	if ok {
		e.freeLocked(r)
	}
	return ok
}

// prefill computes a KV cache. Prefills run one at a time, in the order of
// priority.
func (e *Engine) prefill(ctx context.Context, in engine.PrefillRequest) (engine.PrefillResult, error) {
	if !e.hasModel(in.Model, in.Adapter) {
		return engine.PrefillResult{}, errNoModel
	}
	tokens := CountTokens(in.Prompt) + len(in.Delivered)
	ctx, cancel := context.WithCancel(ctx)
	r := &request{id: in.ID, phase: phasePrefill, prompt: in.Prompt, pieces: protocol.Pieces(tokens), cancel: cancel}
	r.kv = engine.KVExport{Model: in.Model, Adapter: in.Adapter, Prompt: in.Prompt, Delivered: in.Delivered, Tokens: tokens, Pieces: r.pieces}
	if err := e.addRequest(r); err != nil {
		cancel()
		return engine.PrefillResult{}, err
	}
	cached, err := e.computePrefill(ctx, r, in.Priority)
	if err != nil {
		e.freeRequest(r)
		return engine.PrefillResult{}, err
	}
	e.mu.Lock()
	r.phase = phaseResult
	e.mu.Unlock()
	time.AfterFunc(e.cfg.ResultTTL, func() { e.evict(r) })
	return engine.PrefillResult{
		Handle: in.ID, Tokens: tokens, Pieces: r.pieces, CachedTokens: cached,
		TTLMS: e.cfg.ResultTTL.Milliseconds(),
	}, nil
}

// computePrefill waits for the prefills before it, sleeps for the time that the
// uncached tokens need, and returns the number of cached tokens.
func (e *Engine) computePrefill(ctx context.Context, r *request, priority int) (cached int, err error) {
	e.addQueuedTokens(r.kv.Tokens)
	defer e.addQueuedTokens(-r.kv.Tokens)
	if err := e.prefillLock.acquire(ctx, priority); err != nil {
		return 0, err
	}
	defer e.prefillLock.release()
	e.observeRan(r)
	if err := e.gates.pass(ctx, StepPrefill); err != nil {
		return 0, err
	}
	cached = e.cache.cachedTokens(r.kv.Model, r.kv.Prompt)
	work := float64(r.kv.Tokens-cached) / e.cfg.PrefillTokensPerSecond
	if err := sleep(ctx, time.Duration(work*float64(time.Second))); err != nil {
		return 0, err
	}
	e.cache.addPrompt(r.kv.Model, r.kv.Prompt)
	return cached, nil
}

func (e *Engine) addQueuedTokens(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedTokens += n
}

// evict drops the result of a prefill unless its export has begun.
func (e *Engine) evict(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.phase == phaseResult {
		e.freeLocked(r)
	}
}

// importKV fetches a KV cache from another engine.
func (e *Engine) importKV(ctx context.Context, in engine.ImportRequest) (engine.ImportResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &request{id: in.ID, phase: phaseImport, cancel: cancel}
	if err := e.addRequest(r); err != nil {
		cancel()
		return engine.ImportResult{}, err
	}
	if err := e.gates.pass(ctx, StepImport); err != nil {
		e.freeRequest(r)
		return engine.ImportResult{}, err
	}
	kv, err := fetchKV(ctx, in.Source, in.Handle, func(kv engine.KVExport) error {
		return e.reserveKV(r, kv)
	})
	if err != nil {
		e.freeRequest(r)
		return engine.ImportResult{}, err
	}
	e.mu.Lock()
	r.kv = kv
	e.mu.Unlock()
	return engine.ImportResult{Pieces: kv.Pieces}, nil
}

// reserveKV reserves memory for the KV cache of a request that is already held.
func (e *Engine) reserveKV(r *request, kv engine.KVExport) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests[r.id] != r {
		return errUnknownRequest
	}
	if e.piecesHeld+kv.Pieces > e.cfg.Pieces {
		return errNoMemory
	}
	r.pieces += kv.Pieces
	r.prompt = kv.Prompt
	e.piecesHeld += kv.Pieces
	e.observeLocked(ObservedHeld, r)
	return nil
}

// startDecode starts the decode of an imported KV cache.
func (e *Engine) startDecode(in engine.DecodeRequest) (*request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[in.ID]
	if !ok || r.phase != phaseImport || r.kv.Model == "" {
		return nil, errUnknownRequest
	}
	if e.decodingLocked() >= e.cfg.Slots {
		return nil, errNoSlot
	}
	r.phase = phaseDecode
	r.maxTokens = in.MaxTokens
	r.start = len(r.kv.Delivered)
	r.next, r.nextRead = r.start, r.start
	r.progress = make(chan struct{})
	e.served++
	e.observeLocked(ObservedRan, r)
	if !e.stepping {
		e.stepping = true
		go e.runBatch()
	}
	return r, nil
}

func (e *Engine) decodingLocked() int {
	n := 0
	for _, r := range e.requests {
		if r.phase == phaseDecode && r.finish == "" {
			n++
		}
	}
	return n
}

// runBatch steps the batch every StepTime until no decode is left.
func (e *Engine) runBatch() {
	for {
		time.Sleep(e.cfg.StepTime)
		if !e.stepBatch() {
			return
		}
	}
}

// stepBatch computes one token of each running decode and reports whether any is
// left. It skips answers that a test holds or whose client is too slow.
func (e *Engine) stepBatch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepping = false
	for _, r := range e.requests {
		if r.phase != phaseDecode || r.finish != "" {
			continue
		}
		e.stepping = true
		if r.next-r.nextRead < maxUnreadTokens && !e.gates.blocksAnswer(r.next-r.start) {
			r.advance()
		}
	}
	return e.stepping
}

// advance computes the next token of a decode and notifies its reader.
func (r *request) advance() {
	total, reason := AnswerLength(r.kv.Model, r.kv.Adapter, r.kv.Prompt), "stop"
	if r.maxTokens > 0 && r.maxTokens < total {
		total, reason = r.maxTokens, "length"
	}
	if r.next < total {
		r.tokens = append(r.tokens, TokenAt(r.kv.Model, r.kv.Adapter, r.kv.Prompt, r.next))
		r.next++
	}
	if r.next >= total {
		r.finish = reason
	}
	close(r.progress)
	r.progress = make(chan struct{})
}

// readTokens waits for tokens from an index on and returns those that are computed.
// finish is set when the answer is complete or the request was cancelled.
func (e *Engine) readTokens(ctx context.Context, r *request, from int) (tokens []string, finish string, err error) {
	for {
		e.mu.Lock()
		r.nextRead = from
		tokens = slices.Clone(r.tokens[min(from-r.start, len(r.tokens)):])
		finish = r.finish
		progress := r.progress
		e.mu.Unlock()
		if len(tokens) > 0 || finish != "" {
			return tokens, finish, nil
		}
		select {
		case <-ctx.Done():
			return nil, "", ctx.Err()
		case <-progress:
		}
	}
}

// findDecode returns the decode that a client wants to resume.
func (e *Engine) findDecode(in engine.ResumeRequest) (*request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[in.ID]
	if !ok || r.phase != phaseDecode || in.From < r.start {
		return nil, errUnknownRequest
	}
	return r, nil
}

func (e *Engine) hasModel(model, adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.models[model]
	return ok && (adapter == "" || e.hasAdapterLocked(adapter))
}

// heldList lists the requests in the order of their IDs.
func (e *Engine) heldList() []engine.HeldRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]engine.HeldRequest, 0, len(e.requests))
	for _, r := range e.requests {
		out = append(out, engine.HeldRequest{ID: r.id, Phase: r.phase, Pieces: r.pieces})
	}
	slices.SortFunc(out, func(a, b engine.HeldRequest) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// loadReport records the present load and returns the latest report that is at
// least LoadLag old, or the oldest one if there is none.
func (e *Engine) loadReport() engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loadReports = append(e.loadReports, timedReport{now, engine.LoadReport{
		Running: e.decodingLocked(), Slots: e.cfg.Slots,
		PiecesHeld: e.piecesHeld, Pieces: e.cfg.Pieces, QueuedTokens: e.queuedTokens,
	}})
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].at) >= e.cfg.LoadLag {
		e.loadReports = e.loadReports[1:]
	}
	return e.loadReports[0].report
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// status maps an engine's error to an HTTP status code.
func status(err error) int {
	switch {
	case errors.Is(err, errNoWeightsMemory):
		return http.StatusInsufficientStorage
	case errors.Is(err, errUnknownAction):
		return http.StatusBadRequest
	case errors.Is(err, errNoMemory), errors.Is(err, errNoSlot):
		return http.StatusServiceUnavailable
	case errors.Is(err, errUnknownRequest), errors.Is(err, errNoModel):
		return http.StatusNotFound
	case errors.Is(err, errRequestExists), errors.Is(err, errOldFence):
		return http.StatusConflict
	default:
		return http.StatusBadGateway
	}
}
