// Package emulator emulates model servers behind a fleet of routers in one process:
// engines with a prefill queue, batched decoding and a memory that running answers
// fill; the network between the entries; and a load of callers. Tests run it in
// virtual time, samphirectl in real time.
package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// Engine describes the model servers of one service.
type Engine struct {
	// Servers is the number of servers, of which PrefillServers begin in the prefill
	// stage.
	Servers        int `yaml:"servers"`
	PrefillServers int `yaml:"prefill_servers"`
	// Slots is the number of requests that a server runs at once.
	Slots int `yaml:"slots"`
	// MemoryTokens is the memory of a server in tokens.
	MemoryTokens int `yaml:"memory_tokens"`
	// A token of each running answer takes Step, plus StepPerSlot for each of them.
	Step        time.Duration `yaml:"step"`
	StepPerSlot time.Duration `yaml:"step_per_slot"`
	// EventTokens is the number of tokens in one event of an answer.
	EventTokens int `yaml:"event_tokens"`
	// PrefillRate is the speed of prefills in tokens a millisecond, after
	// PrefillSetup.
	PrefillRate  float64       `yaml:"prefill_rate"`
	PrefillSetup time.Duration `yaml:"prefill_setup"`
	// HandleTTL is the time for which a prefill result is kept.
	HandleTTL time.Duration `yaml:"handle_ttl"`
	// StageChangeTime is the time that a change of stage takes.
	StageChangeTime time.Duration `yaml:"stage_change_time"`
	// Latency is the one-way network latency between an entry and a server.
	Latency time.Duration `yaml:"latency"`
	Uneven  Uneven        `yaml:"uneven"`
}

// server is one emulated model server.
type server struct {
	engine *Engine
	clock  *clock
	id     string
	// speed is that of its data centre in multiples of the usual.
	speed float64
	seed  uint64 // of its pace

	mu    sync.Mutex // guards the fields below
	stage directory.Stage
	// freeAt is the time at which the prefill queue is empty.
	freeAt time.Time
	runs   []*run // in the order of admission
	// changed is closed and replaced when memory or a slot is released.
	changed chan struct{}
}

// run is one answer in progress.
type run struct {
	prompt, tokens int
	// preempted runs hold no memory.
	preempted bool
}

func newServer(e *Engine, c *clock, i int, id string, stage directory.Stage, seed uint64) *server {
	s := &server{engine: e, clock: c, id: id, stage: stage, changed: make(chan struct{}), speed: 1, seed: seed}
	if n := e.Uneven.DataCentres; n > 0 {
		s.speed = e.Uneven.FastSpeed
		if i%n == 0 {
			s.speed = e.Uneven.SlowSpeed
		}
	}
	return s
}

// usedLocked returns the memory in use in tokens.
func (s *server) usedLocked() int {
	used := 0
	for _, r := range s.runs {
		if !r.preempted {
			used += r.prompt + r.tokens
		}
	}
	return used
}

func (s *server) releasedLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// prefill waits for the server's queue and prefills a prompt. It reports false when
// the server is in another stage.
func (s *server) prefill(ctx context.Context, tokens int) (bool, error) {
	s.mu.Lock()
	if s.stage != directory.Prefill {
		s.mu.Unlock()
		return false, nil
	}
	begin := time.Now()
	if s.freeAt.After(begin) {
		begin = s.freeAt
	}
	s.freeAt = s.end(begin, s.engine.PrefillSetup+s.engine.prefillTime(tokens))
	end := s.freeAt
	s.mu.Unlock()
	return true, s.clock.sleepUntil(ctx, end)
}

func (e *Engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.PrefillRate * float64(time.Millisecond))
}

// admit starts a run, or returns nil when the server has no slot or memory for it.
func (s *server) admit(prompt int) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage != directory.Decode || len(s.runs) >= s.engine.Slots || s.usedLocked()+prompt > s.engine.MemoryTokens {
		return nil
	}
	r := &run{prompt: prompt}
	s.runs = append(s.runs, r)
	return r
}

func (s *server) release(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.runs, r); i >= 0 {
		s.runs = slices.Delete(s.runs, i, i+1)
		s.releasedLocked()
	}
}

// step makes the tokens of one event of a run. When the memory runs out, the newest run
// is preempted: it waits for memory and its tokens are prefilled again.
func (s *server) step(ctx context.Context, r *run, tokens int) error {
	s.mu.Lock()
	took := time.Duration(tokens) * (s.engine.Step + time.Duration(len(s.runs))*s.engine.StepPerSlot)
	s.mu.Unlock()
	if err := s.clock.sleepUntil(ctx, s.end(time.Now(), took)); err != nil {
		return err
	}
	s.mu.Lock()
	r.tokens += tokens
	for i := len(s.runs) - 1; i > 0 && s.usedLocked() > s.engine.MemoryTokens; i-- {
		s.runs[i].preempted = true
	}
	for r.preempted {
		if s.usedLocked()+r.prompt+r.tokens <= s.engine.MemoryTokens {
			r.preempted = false
			break
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
	return nil
}

// changeStage changes the stage after StageChangeTime and calls done.
func (s *server) changeStage(to directory.Stage, done func()) {
	s.mu.Lock()
	s.stage = directory.Plain // takes no work meanwhile
	s.mu.Unlock()
	time.AfterFunc(s.engine.StageChangeTime, func() {
		s.mu.Lock()
		s.stage = to
		s.mu.Unlock()
		done()
	})
}

// servers implements router.Servers on emulated servers.
type servers struct {
	fleet *Fleet
	byID  map[string]*server
}

// errUnanswered is the error of a call that its sender gave up.
func errUnanswered(err error) error {
	return &upstream.Error{Progress: upstream.Unanswered, Timeout: true, Err: err}
}

// refusal is the reply of a server that does not run a call.
func refusal() *router.Reply {
	return &router.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, NotRun: true, Load: &router.Load{Running: 1, Slots: 1}, Body: http.NoBody}
}

// Prefill implements router.Servers.
func (s *servers) Prefill(ctx context.Context, o *router.OutgoingCall) (*router.Handle, *router.Reply, error) {
	at := s.byID[o.Server.ID]
	if err := at.clock.sleepUntil(ctx, time.Now().Add(at.engine.Latency)); err != nil {
		return nil, nil, errUnanswered(err)
	}
	arrived := time.Now()
	accepted, err := at.prefill(ctx, o.Call.PromptTokens)
	switch {
	case err != nil:
		return nil, nil, errUnanswered(err)
	case !accepted:
		s.fleet.count(func(r *Result) { r.RefusedPrefills++ })
		return nil, refusal(), nil
	}
	created := time.Now()
	s.fleet.count(func(r *Result) {
		r.Prefills++
		r.PrefilledTokens += o.Call.PromptTokens
		r.PrefillTime += created.Sub(arrived)
	})
	if err := at.clock.sleepUntil(ctx, created.Add(at.engine.Latency)); err != nil {
		return nil, nil, errUnanswered(err)
	}
	return &router.Handle{ID: o.Call.ID, Server: o.Server, Tokens: o.Call.PromptTokens, CreatedAt: time.Now()}, &router.Reply{Status: http.StatusOK, Body: http.NoBody}, nil
}

// Call implements router.Servers.
func (s *servers) Call(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
	at := s.byID[o.Server.ID]
	if err := at.clock.sleepUntil(ctx, time.Now().Add(at.engine.Latency)); err != nil {
		return nil, errUnanswered(err)
	}
	if time.Since(o.Source.CreatedAt) > at.engine.HandleTTL {
		s.fleet.count(func(r *Result) { r.RefusedDecodes++ })
		return refusal(), nil
	}
	r := at.admit(o.Call.PromptTokens)
	s.fleet.count(func(res *Result) {
		res.Decodes++
		if r == nil {
			res.RefusedDecodes++
		}
	})
	if r == nil {
		return refusal(), nil
	}
	body, w := io.Pipe()
	go func() {
		defer at.release(r)
		for i := range s.fleet.events(o.Call.ID) {
			err := at.step(ctx, r, at.engine.EventTokens)
			if err == nil {
				_, err = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			}
			if err != nil {
				_ = w.CloseWithError(&upstream.Error{Progress: upstream.Broken, Err: err})
				return
			}
		}
		_ = w.Close() // a pipe's Close returns no error
	}()
	return &router.Reply{Status: http.StatusOK, Header: http.Header{}, Proven: true, Length: -1, Body: body}, nil
}

// Free implements router.Servers.
func (s *servers) Free(context.Context, *router.Handle) error {
	s.fleet.count(func(r *Result) { r.WastedPrefills++ })
	return nil
}

// Probe implements router.Servers.
func (s *servers) Probe(ctx context.Context, to *directory.Server) error {
	at := s.byID[to.ID]
	return errors.Trace(at.clock.sleepUntil(ctx, time.Now().Add(2*at.engine.Latency)))
}

// Order implements router.Servers.
func (s *servers) Order(_ context.Context, o *router.Order) error {
	s.fleet.count(func(r *Result) { r.Orders++ })
	s.byID[o.Server.ID].changeStage(o.To, func() { s.fleet.register(o.Server.ID, o.To) })
	return nil
}

// CloseIdle implements router.Servers.
func (s *servers) CloseIdle(*directory.Server) {}
