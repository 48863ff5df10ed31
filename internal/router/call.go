package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
)

// Call is one request of a caller.
type Call struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Path   string
	// Header holds the end-to-end headers that go to the server unchanged.
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// PromptTokens and MaxTokens are the lengths of the prompt and of the longest
	// answer; 0 for requests without a model.
	PromptTokens, MaxTokens int
	// Expected is the caller's estimate of the answer's length; 0 without one.
	Expected int
	Prefixes []uint64
	// LastEvent is the ID of the last event that the caller has; "" for none.
	LastEvent string
}

// Answer is where the response to a call goes.
type Answer interface {
	// Start sends the header of a response. length is that of the body, or -1.
	Start(status int, header http.Header, length int)
	// Write sends a part of the body. An error means that the caller is gone.
	Write(p []byte) error
	// Abort breaks the connection off, so that the response does not look
	// complete.
	Abort()
	// Fail sends an error of the router's own.
	Fail(e *apierror.Error)
}

// Outgoing is a call on its way to one server.
type Outgoing struct {
	Call   *Call
	Server *directory.Server
	// TimeLeft is the time after which nobody waits for the answer.
	TimeLeft time.Duration
	// Source, if not nil, is where the prompt was read.
	Source *Handle
	// LastEvent is the ID of the last event that the caller has.
	LastEvent string
	// Once tells that the call may not be repeated when its connection breaks.
	Once bool
}

// Handle names a prompt that a prefill server has read and keeps for a while.
type Handle struct {
	ID     string
	Server *directory.Server
	Tokens int
	Made   time.Time
}

// Reply is the response of a server.
type Reply struct {
	Status int
	Header http.Header
	// NotRun is set when the server says that it did not run the call.
	NotRun bool
	// Misdirected is set when another server has the address.
	Misdirected bool
	// Proven is set when the response bears the server's proof.
	Proven bool
	// Load is nil when the server did not tell it.
	Load *Load
	// Length is the length of the body, or -1.
	Length int64
	Body   io.ReadCloser
}

// unwilling reports whether a refusal has another reason than the server's load:
// such a server seems the best place for each next call.
func (r *Reply) unwilling() bool {
	return r.Misdirected || r.Load != nil && r.Load.Running+r.Load.Waiting == 0
}

// Load is what a server says of itself in a response.
type Load struct{ Running, Waiting, Slots int }

// Order changes the stage of a server.
type Order struct {
	Server *directory.Server
	Stage  directory.Stage
	// Holder names the one process that gives orders, and Fence rises with each.
	Holder string
	Fence  int64
}

// Servers is the port to the backend servers. Errors are *upstream.Error; a
// server that refused is no error.
type Servers interface {
	// Call sends a call and returns the response once its header is there.
	Call(ctx context.Context, o *Outgoing) (*Reply, error)
	// Prefill has a prompt read. The handle is nil when the server refused, and
	// the reply then tells how.
	Prefill(ctx context.Context, o *Outgoing) (*Handle, *Reply, error)
	// Free drops a handle.
	Free(ctx context.Context, h *Handle) error
	// Reach opens a connection to a server for its next call, to learn in time
	// whether the server can be reached.
	Reach(ctx context.Context, s *directory.Server) error
	// Order tells a server to change its stage.
	Order(ctx context.Context, o *Order) error
	// Forget drops the idle connections to a server.
	Forget(s *directory.Server)
}
