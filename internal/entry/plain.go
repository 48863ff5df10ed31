package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/sleep"
	"github.com/samphirestream/samphirestream/internal/ticket"
)

// ticketValidity is the time for which an agent answers repeats of a call under
// its ticket.
const ticketValidity = 10 * time.Minute

// droppedResponseHeaders are the headers of a plain service's response that are
// not forwarded to the caller. They are valid for one connection only, carry
// credentials, or are set by the entry itself.
var droppedResponseHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, headerTicket: true, "Expect": true,
}

// ticketRequest is the body of POST /v1/tickets.
type ticketRequest struct {
	Service string `json:"service"`
}

// ticketAnswer is the answer to POST /v1/tickets.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
	// ExpiresIn is in seconds.
	ExpiresIn int `json:"expires_in"`
}

// serveTicket mints a ticket that the caller can use, and repeat, through any
// entry.
func (e *Entry) serveTicket(w http.ResponseWriter, r *http.Request, p release.Provider) {
	var in ticketRequest
	body, refusal := e.readBody(w, r)
	if refusal == nil {
		refusal = decodeBody(json.NewDecoder(bytes.NewReader(body)), &in)
	}
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	if len(e.store.Current().ServiceServers(in.Service)) == 0 {
		e.writeError(w, r, apierror.NotRun(apierror.KindNotFound, fmt.Sprintf("service %q is unknown", in.Service), "name a service of the release note"))
		return
	}
	_, text, refusal := e.mint(r.Context(), p, in.Service, map[string]bool{})
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	writeJSON(w, ticketAnswer{Ticket: text, ExpiresIn: int(ticketValidity.Seconds())})
}

// mint issues a ticket for a server that accepts work. It adds the servers that
// do not answer to tried.
func (e *Entry) mint(ctx context.Context, p release.Provider, service string, tried map[string]bool) (*agentConn, string, *apierror.Error) {
	c := e.pickResponsive(ctx, service, tried)
	if c == nil {
		return nil, "", apierror.NotRun(apierror.KindUnavailable, "no server of "+service+" is available", "retry after the delay").WithRetryAfter(overloadRetry)
	}
	id := c.identity.Load()
	text, err := e.minter.Mint(ticket.Ticket{
		ID: ulid.Make().String(), Provider: p.Name, Service: service, Backend: c.server.Name,
		Incarnation: id.agent.Incarnation, Expires: id.uptime + time.Since(id.receivedAt) + ticketValidity,
	})
	if err != nil {
		return nil, "", apierror.From(err)
	}
	return c, text, nil
}

// pickResponsive chooses a server whose agent answers a heartbeat. This also
// updates the recorded incarnation, since a ticket for an earlier incarnation
// is of no use. It returns nil if no agent answers.
func (e *Entry) pickResponsive(ctx context.Context, service string, tried map[string]bool) *agentConn {
	for {
		c := e.pickPlain(service, tried)
		if c == nil || c.heartbeat(ctx) == nil {
			return c
		}
		tried[c.server.Name] = true
	}
}

func (e *Entry) pickPlain(service string, exclude map[string]bool) *agentConn {
	conns := e.fleet.usable(e.store.Current().ServiceServers(service), exclude)
	candidates := make([]placement.Candidate, len(conns))
	for i, c := range conns {
		candidates[i] = placement.Candidate{InFlight: int(c.inFlight.Load()), Distance: e.distance(c.server)}
	}
	i := e.random(func(r *rand.Rand) int { return placement.PickNearest(r, candidates) })
	if i < 0 {
		return nil
	}
	return conns[i]
}

// servePlain forwards a call to a plain service.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, p release.Provider) {
	service, rest, ok := e.store.Current().ServiceFor(r.URL.Path)
	if !ok {
		e.writeError(w, r, apierror.NotRun(apierror.KindNotFound, "nothing is served at "+r.URL.Path, "use /v1 or the prefix of a service"))
		return
	}
	declared, ok := service.Call(r.Method, rest)
	if !ok {
		e.writeError(w, r, apierror.NotRun(apierror.KindNotFound, fmt.Sprintf("%s %s is not declared for service %s", r.Method, rest, service.Name), "ask the operators to declare the call"))
		return
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	args := protocol.CallArgs{
		Request: requestID(r.Context()), Provider: p.Name, Idempotent: declared.Idempotent,
		HTTP: protocol.HTTPCall{Method: r.Method, Path: rest, Query: r.URL.RawQuery, Header: forwardedHeaders(r.Header), Body: body},
	}
	e.count.plainCalls.Add(1)
	if declared.Idempotent {
		e.answerPlain(w, r, e.callIdempotent(r.Context(), p, service, args))
		return
	}
	e.serveNonIdempotent(w, r, p, service, args)
}

// serveNonIdempotent makes a non-idempotent call under the caller's ticket, or
// under a new one that is returned in the response header.
func (e *Entry) serveNonIdempotent(w http.ResponseWriter, r *http.Request, p release.Provider, service release.Service, args protocol.CallArgs) {
	args.Ticket = r.Header.Get(headerTicket)
	if args.Ticket == "" {
		e.answerPlain(w, r, e.callWithNewTicket(r.Context(), p, service, &args))
		return
	}
	t, err := e.minter.Verify(args.Ticket)
	if err != nil {
		e.writeError(w, r, apierror.InvalidTicket())
		return
	}
	if t.Provider != p.Name || t.Service != service.Name {
		e.writeError(w, r, apierror.NotRun(apierror.KindInvalidTicket, "the ticket is for another provider or service", "ask for a new one at POST /v1/tickets"))
		return
	}
	w.Header().Set(headerTicket, args.Ticket)
	c, ok := e.fleet.get(t.Backend)
	if !ok {
		e.writeError(w, r, apierror.Unknown(apierror.KindInvalidTicket, "the server of the ticket was withdrawn", "read the service's records before you send a new call"))
		return
	}
	e.answerPlain(w, r, e.callUnderTicket(r.Context(), c, args, true))
}

// plainResult is the result of a call to a plain service.
type plainResult struct {
	reply  protocol.CallReply
	ticket string
	err    *apierror.Error
}

// callWithNewTicket tries servers until one answers or may have run the call.
func (e *Entry) callWithNewTicket(ctx context.Context, p release.Provider, service release.Service, args *protocol.CallArgs) plainResult {
	tried := map[string]bool{}
	for {
		c, text, refusal := e.mint(ctx, p, service.Name, tried)
		if refusal != nil {
			return plainResult{err: refusal}
		}
		args.Ticket = text
		result := e.callUnderTicket(ctx, c, *args, false)
		result.ticket = text
		if result.err == nil || result.err.Outcome != apierror.OutcomeNotRun || ctx.Err() != nil {
			return result
		}
		tried[c.server.Name] = true
	}
}

// callIdempotent tries servers until one answers, or the retry budget is used
// up.
func (e *Entry) callIdempotent(ctx context.Context, p release.Provider, service release.Service, args protocol.CallArgs) plainResult {
	tried := map[string]bool{}
	last := plainResult{err: apierror.NotRun(apierror.KindUnavailable, "no server of "+service.Name+" is available", "retry after the delay").WithRetryAfter(overloadRetry)}
	for {
		c := e.pickPlain(service.Name, tried)
		if c == nil {
			return last
		}
		last = e.callPlain(ctx, c, args)
		if last.err == nil || ctx.Err() != nil {
			return last
		}
		last.err = last.err.WithRetryAfter(overloadRetry)
		if !e.quotas.acquireRetry(p) {
			e.count.retriesRefused.Add(1)
			return last
		}
		tried[c.server.Name] = true
	}
}

// Bounds on repeating a call whose connection failed.
const (
	repeatDelay = 100 * time.Millisecond
	maxRepeats  = 10
)

// callUnderTicket makes a non-idempotent call. When the connection fails, it
// repeats the call to the same agent under the same ticket; the agent never
// runs it twice. A refusal states nothing about copies sent before it, so after a
// failed connection it is reported as an unknown outcome. A ticket from the
// caller may have run its call before, so only its agent can state that the
// call did not run.
func (e *Entry) callUnderTicket(ctx context.Context, c *agentConn, args protocol.CallArgs, ticketFromCaller bool) plainResult {
	ambiguous := false
	var repeatDeadline time.Time
	for n := 0; ; n++ {
		result := e.callPlain(ctx, c, args)
		noReply := result.err != nil && result.reply.Error == nil
		if noReply && repeatDeadline.IsZero() {
			repeatDeadline = time.Now().Add(e.cfg.LeaseDuration)
		}
		ambiguous = ambiguous || noReply && (ticketFromCaller || result.err.Outcome == apierror.OutcomeUnknown)
		if ambiguous && noReply && n < maxRepeats && ctx.Err() == nil && time.Now().Before(repeatDeadline) {
			sleep.WithContext(ctx, repeatDelay)
			continue
		}
		if ambiguous && result.err != nil && result.err.Outcome == apierror.OutcomeNotRun {
			result.err = apierror.Unknown(result.err.Kind, result.err.Message, "repeat the call with the same ticket to learn its outcome")
		}
		return result
	}
}

func (e *Entry) callPlain(ctx context.Context, c *agentConn, args protocol.CallArgs) plainResult {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	args.Header = c.header(ctx)
	var out plainResult
	if err := c.call(ctx, protocol.ServicePlain+".Call", args, &out.reply); err != nil {
		out.err = apierror.From(err)
	}
	return out
}

// answerPlain forwards the service's response to the caller.
func (e *Entry) answerPlain(w http.ResponseWriter, r *http.Request, result plainResult) {
	if result.ticket != "" {
		w.Header().Set(headerTicket, result.ticket)
	}
	if result.err != nil {
		e.writeError(w, r, result.err)
		return
	}
	for _, h := range result.reply.Header {
		if !droppedResponseHeaders[h.Name] {
			w.Header().Add(h.Name, h.Value)
		}
	}
	if result.reply.Repeated {
		w.Header().Set(headerRepeated, "true")
	}
	e.count.completed.Add(1)
	w.WriteHeader(result.reply.Code)
	_, _ = w.Write(result.reply.Body)
}

// forwardedHeaders returns the request headers that are forwarded to a plain
// service, in a fixed order so that repeats of a call are equal.
func forwardedHeaders(h http.Header) []protocol.HTTPHeader {
	var out []protocol.HTTPHeader
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type", "Content-Encoding", "If-Match", "If-None-Match"} {
		for _, v := range h.Values(name) {
			out = append(out, protocol.HTTPHeader{Name: name, Value: strings.TrimSpace(v)})
		}
	}
	return out
}
