package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/membudget"
)

// Call is one request of a caller.
type Call struct {
	ID     string
	Method string
	// Target is the request target, path and query, as the caller sent it.
	Target string
	// Caller identifies the caller among those of its host.
	Caller string
	Host   string
	Path   string
	// Key is the caller's API key; "" for none. It must not be logged.
	Key string
	// Header holds the end-to-end headers that go to the server unchanged.
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// PromptTokens and MaxTokens are the lengths in tokens of the prompt and of the
	// longest allowed answer; 0 for requests without a model.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the answer's length in tokens; 0
	// without one.
	ExpectedTokens int
	// Prefixes are the hashes of the prompt's prefixes.
	Prefixes []uint64
	// SharedParts are the IDs of the prompt's parts that other prompts may share: all but
	// the last.
	SharedParts []string
	// OwnPart is the ID of the last part.
	OwnPart string
	// LastEvent is the ID of the last event that the caller received; "" for none.
	LastEvent string
	// Resumes is the ID of the call that brought the first event of the stream that the
	// caller takes up after LastEvent; "" for a new stream.
	Resumes string
	// Memory is what the call holds of the process's memory for bodies and answers; nil for
	// no bound.
	Memory *membudget.Request
}

// streamID returns the ID of the call that began the stream: that of the call itself unless
// it takes up another one's.
func (c *Call) streamID() string {
	if c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// Answer sends the response to the caller.
type Answer interface {
	// Start sends the status and header of a response. length is that of the body, or
	// -1 when it is unknown.
	Start(status int, header http.Header, length int)
	// Write sends a part of the body. An error means that the caller disconnected.
	Write(p []byte) error
	// Abort aborts the connection, so that the response does not look complete.
	Abort()
	// Fail sends an error response of the router itself.
	Fail(e *apierror.Error)
}

// OutgoingCall is a call on its way to one server.
type OutgoingCall struct {
	Call   *Call
	Server *directory.Server
	// TimeLeft is the time until the deadline of the call.
	TimeLeft time.Duration
	// Organisation is the name of the organisation of the call; "" for none.
	Organisation string
	// Priority is the rank of the call among those of its service, from 0, the most urgent,
	// to maxServerPriority; nil where all have the same.
	Priority *int
	// Source, if not nil, is the prefill result to decode.
	Source *Handle
	// LastEvent is the ID of the last event that was sent to the caller.
	LastEvent string
	// AtMostOnce is set when the call must not be repeated after its connection
	// breaks.
	AtMostOnce bool
}

// Handle identifies a prefill result: a prompt's KV cache that a prefill server keeps
// until the handle expires.
type Handle struct {
	ID        string
	Server    *directory.Server
	Tokens    int       // length of the prompt
	CreatedAt time.Time // when the prefill ended
}

// Reply is the response of a server.
type Reply struct {
	Status int
	Header http.Header
	// NotRun is set when the server states that it did not run the call.
	NotRun bool
	// PromisesNotRun is set when callers take the status as the promise that their request did
	// not run, whether or not the server states that.
	PromisesNotRun bool
	// Misdirected is set when another server answered at the address.
	Misdirected bool
	// Proven is set when the response carries the server's valid proof of origin.
	Proven bool
	// Load is nil when the server did not report it.
	Load *Load
	// Length is the length of the body, or -1.
	Length int64
	// Unframed is set when the body has neither a length nor chunks and ends with its
	// connection.
	Unframed bool
	Body     io.ReadCloser
}

// declined reports whether a refusal has another reason than the server's load. Such
// a server has no load and would be chosen again for each call.
func (r *Reply) declined() bool {
	return r.Misdirected || r.Load != nil && r.Load.Running+r.Load.Waiting == 0
}

// Load is the load that a server reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes for the moment, in multiples of the usual time; 0 if the
	// server does not state it.
	Pace float64
}

// Order is a command to a server to change its stage.
type Order struct {
	Server *directory.Server
	// To is the stage that the server gets, and Duration the time that the change takes, with the
	// registration of its end.
	To       directory.Stage
	Duration time.Duration
}

// Servers is the client of the backend servers. Its errors are *upstream.Error. A
// refusal by a server is a Reply, not an error.
type Servers interface {
	// Call sends a call and returns the response once its header has arrived.
	Call(ctx context.Context, o *OutgoingCall) (*Reply, error)
	// Prefill prefills a prompt. The handle is nil when the server refused; the reply
	// is then its refusal.
	Prefill(ctx context.Context, o *OutgoingCall) (*Handle, *Reply, error)
	// Free releases a handle before it expires.
	Free(ctx context.Context, h *Handle) error
	// Probe opens a connection to a server for its next call. It fails when the
	// server is unreachable.
	Probe(ctx context.Context, s *directory.Server) error
	// Order has the process beside a server give it an order. No other process may, since a
	// server accepts orders of one machine only.
	Order(ctx context.Context, o *Order) error
	// CloseIdle closes the idle connections to a server.
	CloseIdle(s *directory.Server)
}
