package agent

import (
	"context"
	stderrors "errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// DecodeCommands is the RPC service for decodes.
type DecodeCommands struct{ a *Agent }

// Reserve reserves a slot and memory for an attempt.
func (s *DecodeCommands) Reserve(args protocol.ReserveArgs, reply *protocol.ReserveReply) error {
	at := args.Attempt
	pieces := protocol.Pieces(at.PromptTokens + at.MaxTokens - at.StartOffset)
	_, reply.Error = s.a.openAttempt(args.Header, at, phaseReserved, resources{slots: 1, pieces: pieces, reserve: true, timeToPrefillEnd: args.TimeToPrefillEnd, provider: at.Provider})
	if reply.Error == nil {
		s.a.count.reserved.Add(1)
	}
	reply.Load = s.a.load()
	return nil
}

// Start imports the KV cache of a reserved attempt and starts decoding. The
// tokens go to the stream that attaches to the attempt.
func (s *DecodeCommands) Start(args protocol.StartArgs, reply *protocol.StartReply) error {
	reply.Error = s.a.startDecode(args)
	reply.Load = s.a.load()
	return nil
}

// Cancel ends an attempt and frees the engine's memory.
func (s *DecodeCommands) Cancel(args protocol.CancelArgs, reply *protocol.CancelReply) error {
	reply.Found = s.a.cancel(args)
	reply.Load = s.a.load()
	return nil
}

// Resume passes a running attempt to the entry that its caller is connected to
// now.
func (s *DecodeCommands) Resume(args protocol.ResumeArgs, reply *protocol.ResumeReply) error {
	reply.Delivered, reply.ResumeState, reply.Error = s.a.resume(args)
	reply.Load = s.a.load()
	return nil
}

// resume makes the caller's new entry the owner of an attempt.
func (a *Agent) resume(args protocol.ResumeArgs) (delivered []string, resume []byte, refusal *apierror.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.attempts[args.Attempt]
	if !ok || t.request != args.Request || t.provider != args.Provider || t.resume == nil {
		return nil, nil, apierror.Unknown(apierror.KindNotFound, "the request is not running any more", "send it again")
	}
	delivered, former, ok := t.handOver(args.Offset)
	if !ok {
		return nil, nil, apierror.Unknown(apierror.KindNotFound, "the tokens after that offset are not held", "send the request again")
	}
	if t.owner != args.Header.From { // the same entry ends its former relay itself
		former.reject(t.id, args.Offset, movedEnd())
	}
	t.owner, t.seq, t.parked = args.Header.From, args.Header.Seq, time.Time{}
	a.leases[args.Header.From] = time.Now().Add(a.cfg.LeaseDuration)
	a.count.resumed.Add(1)
	a.publishLocked()
	return delivered, t.resume, nil
}

// setResume stores the data that another entry needs to resume the attempt.
func (a *Agent) setResume(t *attempt, resume []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.grace > 0 {
		t.resume = resume
	}
}

func (a *Agent) startDecode(args protocol.StartArgs) *apierror.Error {
	at := args.Attempt
	t, ok := a.findAttempt(args.Header.From, at.ID)
	if !ok || a.timeLeft(args.Header) <= 0 || !a.setPhase(t, phaseReserved, phaseImporting) {
		return apierror.NotRun(apierror.KindNotFound, "the reservation is gone", "send a new attempt")
	}
	t.setStart(at.StartOffset, args.Delivered)
	a.setResume(t, args.ResumeState)
	if !a.claimWithin(t, args.KV.TTL) {
		a.abort(t, "no memory before the KV cache is evicted")
		return apierror.NotRun(apierror.KindOverloaded, "no memory came free at "+a.cfg.Backend, "send a new attempt")
	}
	if err := a.importKV(t, args.KV); err != nil {
		a.abort(t, "the KV transfer failed")
		return classifyEngineError(err)
	}
	if !a.claim(t.ctx, t, claimSlot) || !a.setPhase(t, phaseImporting, phaseDecoding) {
		go a.freeEngine(at.ID)
		return apierror.Unknown(apierror.KindCancelled, "the attempt was cancelled", "send a new attempt")
	}
	a.count.decodes.Add(1)
	go a.decode(t, at)
	return nil
}

// Limits on reading an engine's stream.
const (
	// engineIdleTimeout is the maximum time without a new token. After it the
	// stream is reopened.
	engineIdleTimeout = 2 * time.Second
	// maxEngineResumes is the maximum number of reopened streams in a row that
	// bring no new token.
	maxEngineResumes = 3
)

// decode passes an engine's answer to the attempt. A stream that breaks or
// exceeds engineIdleTimeout is resumed at the next token.
func (a *Agent) decode(t *attempt, at protocol.Attempt) {
	err := a.streamOnce(t, func(ctx context.Context, onEvent func(engine.DecodeEvent) error) error {
		return a.engine.Decode(ctx, engine.DecodeRequest{ID: a.engineID(at.ID), MaxTokens: at.MaxTokens, Priority: at.Priority}, onEvent)
	})
	for failures := 0; err != nil && t.ctx.Err() == nil && failures < maxEngineResumes && !isRefusal(err); failures++ {
		from := t.next()
		a.count.engineResumes.Add(1)
		err = a.streamOnce(t, func(ctx context.Context, onEvent func(engine.DecodeEvent) error) error {
			return a.engine.Resume(ctx, engine.ResumeRequest{ID: a.engineID(at.ID), From: from}, onEvent)
		})
		if t.next() > from {
			failures = 0
		}
	}
	a.finishDecode(t)
	t.currentSink().reportLoad()
	if err == nil || t.ctx.Err() != nil {
		return
	}
	_ = level.Warn(a.log).Log("msg", "decode at the engine failed", "request_id", t.request, "attempt", t.id, "err", err)
	t.finish(protocol.End{Error: &apierror.Error{
		Kind: apierror.KindUnavailable, Outcome: apierror.OutcomePartial,
		Message: "the engine of " + a.cfg.Backend + " lost the decode",
		Remedy:  "continue on another backend server",
	}})
	go a.freeEngine(t.id)
}

// streamOnce reads one stream of an engine and cancels it after
// engineIdleTimeout without a new token.
func (a *Agent) streamOnce(t *attempt, open func(context.Context, func(engine.DecodeEvent) error) error) error {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	watchdog := time.AfterFunc(engineIdleTimeout, cancel)
	defer watchdog.Stop()
	return open(ctx, func(ev engine.DecodeEvent) error {
		if ev.Finish == "" && ev.Index < t.next() {
			return nil // a token that is known already is no progress
		}
		watchdog.Stop() // time spent waiting for a slow caller does not count
		defer watchdog.Reset(engineIdleTimeout)
		if ev.Finish != "" && ev.Index > t.next() {
			return errors.Trace(errTokenGap)
		}
		if ev.Finish != "" {
			t.finish(protocol.End{FinishReason: ev.Finish})
			return nil
		}
		a.count.tokens.Add(1)
		return t.push(ev.Index, ev.Token)
	})
}

// isRefusal reports whether the engine rejected the request with a status below
// 500, so that reopening the stream is useless.
func isRefusal(err error) bool {
	var refusal *engine.StatusError
	return stderrors.As(errors.Cause(err), &refusal) && refusal.Code < http.StatusInternalServerError
}

// classifyEngineError converts an error of the engine. The request is known not
// to have run only if the engine rejected it, or rejects new work (503).
func classifyEngineError(err error) *apierror.Error {
	var refusal *engine.StatusError
	if !stderrors.As(errors.Cause(err), &refusal) {
		return apierror.Unknown(apierror.KindUnavailable, err.Error(), "try another backend server")
	}
	switch {
	case refusal.Code == http.StatusNotFound:
		return apierror.NotRun(apierror.KindNotFound, refusal.Text, "send a new attempt")
	case refusal.Code == http.StatusServiceUnavailable:
		return apierror.NotRun(apierror.KindOverloaded, refusal.Text, "try another backend server")
	case refusal.Code < http.StatusInternalServerError:
		return apierror.NotRun(apierror.KindUnavailable, refusal.Text, "try another backend server")
	}
	return apierror.Unknown(apierror.KindUnavailable, refusal.Text, "try another backend server")
}
