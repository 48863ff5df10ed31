package agent

import (
	"context"
	"crypto/sha256"
	stderrors "errors"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/ticket"
)

// PlainCommands is the RPC service for calls to a plain service.
type PlainCommands struct{ a *Agent }

// Call passes a call to the plain service. A non-idempotent call needs a ticket
// and runs at most once; duplicates get the stored answer.
func (s *PlainCommands) Call(args protocol.CallArgs, reply *protocol.CallReply) error {
	if args.Idempotent {
		*reply = s.a.callIdempotent(args)
	} else {
		*reply = s.a.callWithTicket(args)
	}
	reply.Load = s.a.load()
	return nil
}

func refusedCall(e *apierror.Error) protocol.CallReply {
	return protocol.CallReply{Status: protocol.Status{Error: e}}
}

func (a *Agent) callIdempotent(args protocol.CallArgs) protocol.CallReply {
	if refusal := a.beginPlain(args.Header, ""); refusal != nil {
		return refusedCall(refusal)
	}
	defer a.endPlain()
	return a.forward(args)
}

// callWithTicket runs a non-idempotent call, or returns the stored answer if its
// ticket was used for the same call before.
func (a *Agent) callWithTicket(args protocol.CallArgs) protocol.CallReply {
	t, refusal := a.checkTicket(args)
	if refusal != nil {
		return refusedCall(refusal)
	}
	digest, err := digestOf(args.HTTP)
	if err != nil {
		return refusedCall(apierror.From(err))
	}
	if refusal := a.beginPlain(args.Header, t.ID); refusal != nil {
		return refusedCall(refusal)
	}
	defer a.endPlain()
	c, state := a.calls.begin(t.ID, digest, t.Expires)
	switch {
	case state == beginExpired:
		return refusedCall(expiredTicket())
	case state == beginFull:
		return refusedCall(apierror.NotRun(apierror.KindOverloaded, "the memory for answers is full", "retry later with a new ticket").WithRetryAfter(engineTimeout))
	case c.digest != digest:
		return refusedCall(apierror.NotRun(apierror.KindInvalidTicket, "the ticket was used for another call", "ask for a new ticket for each call"))
	case state == beginDuplicate:
		return a.replay(c, args)
	}
	return a.runNew(t.ID, c, args)
}

func expiredTicket() *apierror.Error {
	return apierror.Unknown(apierror.KindInvalidTicket, "the ticket has expired", "read the service's records before you send a new call")
}

// runNew runs a call whose ticket was not used before.
func (a *Agent) runNew(id string, c *callRecord, args protocol.CallArgs) protocol.CallReply {
	reply := a.forward(args)
	if reply.Error != nil && reply.Error.Outcome == apierror.OutcomeNotRun {
		a.calls.remove(id, c, reply)
		return reply
	}
	a.calls.complete(c, reply)
	return reply
}

// replay returns the answer of a call that runs or has run, waiting for it if
// needed.
func (a *Agent) replay(c *callRecord, args protocol.CallArgs) protocol.CallReply {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeLeft(args.Header))
	defer cancel()
	select {
	case <-c.done:
	case <-ctx.Done():
		return refusedCall(apierror.Unknown(apierror.KindDeadlineExceeded, "the call still runs", "repeat it with the same ticket to learn its outcome"))
	}
	a.count.repeats.Add(1)
	reply := c.reply
	reply.Repeated = true
	return reply
}

// checkTicket verifies that a ticket was issued for this incarnation of the agent
// and has not expired.
func (a *Agent) checkTicket(args protocol.CallArgs) (ticket.Ticket, *apierror.Error) {
	t, err := a.minter.Verify(args.Ticket)
	if err != nil {
		return t, apierror.InvalidTicket()
	}
	if t.Provider != args.Provider || t.Backend != a.cfg.Backend {
		return t, apierror.NotRun(apierror.KindInvalidTicket, "the ticket is for another provider or backend server", "ask for a new one at POST /v1/tickets")
	}
	if t.Incarnation != a.cfg.Self.Incarnation {
		return t, apierror.Unknown(apierror.KindInvalidTicket, "the agent that held the ticket has ended", "read the service's records before you send a new call")
	}
	if a.uptime() > t.Expires {
		return t, expiredTicket()
	}
	return t, nil
}

// forward makes the HTTP call to the plain service. The call is known not to
// have run only if connecting failed. A panic fails the call, not the process.
func (a *Agent) forward(args protocol.CallArgs) (reply protocol.CallReply) {
	defer func() {
		if v := recover(); v != nil {
			_ = level.Error(a.log).Log("msg", "panic in a call to the plain service", "request_id", args.Request, "panic", v)
			reply = refusedCall(lostAnswer())
		}
	}()
	left := a.timeLeft(args.Header)
	if left <= 0 {
		return refusedCall(apierror.NotRun(apierror.KindDeadlineExceeded, "the call arrived after its deadline", "send it again"))
	}
	a.count.plainCalls.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	answer, err := a.plain.Call(ctx, args.HTTP)
	if err == nil {
		return protocol.CallReply{Code: answer.Code, Header: answer.Header, Body: answer.Body}
	}
	_ = level.Info(a.log).Log("msg", "call to the plain service failed", "request_id", args.Request, "err", err)
	var op *net.OpError
	if stderrors.As(errors.Cause(err), &op) && op.Op == "dial" {
		return refusedCall(apierror.NotRun(apierror.KindUnavailable, "the service does not accept connections", "retry").WithRetryAfter(engineRetryDelay))
	}
	return refusedCall(lostAnswer())
}

func lostAnswer() *apierror.Error {
	return apierror.Unknown(apierror.KindUnavailable, "the service's answer was lost", "read the service's records before you send a new call")
}

func digestOf(call protocol.HTTPCall) (callDigest, error) {
	data, err := cbor.Marshal(call)
	if err != nil {
		return callDigest{}, errors.Annotate(err, "encoding a call")
	}
	return sha256.Sum256(data), nil
}

// beginPlain admits a call to the plain service and counts it as in progress. A
// duplicate of a recorded call is always admitted, even while the agent drains.
func (a *Agent) beginPlain(c protocol.CommandHeader, ticketID string) *apierror.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	recorded := ticketID != "" && a.calls.has(ticketID)
	refusal := a.checkAccepting()
	if refusal == nil {
		refusal = a.checkAdvice()
	}
	switch {
	case recorded:
	case refusal != nil:
		return refusal
	case a.timeLeft(c) <= 0:
		return apierror.NotRun(apierror.KindDeadlineExceeded, "the call arrived after its deadline", "send it again")
	case a.capacity.slots.used >= maxPlainInProgress:
		return apierror.NotRun(apierror.KindOverloaded, "too many calls at "+a.cfg.Backend, "retry after the delay").WithRetryAfter(engineRetryDelay)
	}
	if !recorded {
		a.countRequest()
	}
	a.capacity.slots.used++
	a.publishLocked()
	return nil
}

func (a *Agent) endPlain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capacity.slots.used--
	a.publishLocked()
}
