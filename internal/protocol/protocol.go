// Package protocol defines the messages that samphirestream's processes
// exchange, encoded as CBOR. Commands change state and queries read it; they
// are separate RPC services.
package protocol

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
)

// Version is the version of the protocol between processes.
const Version = 1

// Names of the RPC services of an agent.
const (
	ServiceDecode  = "Decode"
	ServicePrefill = "Prefill"
	ServicePlain   = "Plain"
	ServiceLease   = "Lease"
)

// PieceTokens is the number of tokens in one piece of engine memory.
const PieceTokens = 2000

// Pieces returns the number of memory pieces that hold n tokens.
func Pieces(n int) int { return (n + PieceTokens - 1) / PieceTokens }

// NodeRef identifies one incarnation of one process. A later incarnation of a
// node has a greater Incarnation.
type NodeRef struct {
	Node        string `cbor:"1,keyasint" json:"node"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
}

// Load is the load of a backend server as accounted by its agent. It is
// piggybacked on every reply of the agent.
type Load struct {
	SlotsUsed   int `cbor:"1,keyasint" json:"slots_used"`
	SlotsTotal  int `cbor:"2,keyasint" json:"slots_total"`
	PiecesUsed  int `cbor:"3,keyasint" json:"pieces_used"`
	PiecesTotal int `cbor:"4,keyasint" json:"pieces_total"`
	// QueuedTokens is the estimated number of prompt tokens in queued and running
	// prefills.
	QueuedTokens int `cbor:"5,keyasint" json:"queued_tokens"`
	// Draining is set when the agent accepts no new work.
	Draining bool `cbor:"6,keyasint,omitempty" json:"draining"`
	// Note is the number of the release note in force at the agent.
	Note uint64 `cbor:"7,keyasint" json:"note"`
	// ClosedFor is the time for which the backend server takes nothing new, by what it has
	// said of itself; 0 if it takes new work.
	ClosedFor time.Duration `cbor:"8,keyasint,omitempty" json:"closed_for,omitempty"`
	// Software is the version of the backend server's software; "" if it does not name it.
	Software string `cbor:"9,keyasint,omitempty" json:"software,omitempty"`
}

// Status is the common part of all replies.
type Status struct {
	Load  Load            `cbor:"1,keyasint"`
	Error *apierror.Error `cbor:"2,keyasint,omitempty"`
}

// Failure returns the error of a reply, if any.
func (s *Status) Failure() *apierror.Error { return s.Error }

// CurrentLoad returns the load piggybacked on a reply.
func (s *Status) CurrentLoad() Load { return s.Load }

// Reply is implemented by all reply messages.
type Reply interface {
	Failure() *apierror.Error
	CurrentLoad() Load
}

// CommandHeader is the common part of all commands.
type CommandHeader struct {
	From NodeRef `cbor:"1,keyasint"`
	// Note is the number of the release note in force at the sender.
	Note uint64 `cbor:"2,keyasint"`
	// Timeout is the time left until the deadline of the sender.
	Timeout time.Duration `cbor:"3,keyasint"`
	// ToIncarnation is the incarnation of the agent that ExpiresAt refers to.
	ToIncarnation string `cbor:"11,keyasint,omitempty"`
	// ExpiresAt is the deadline of the command as an uptime of that agent. The
	// command must not take effect later. The sender computes it from a heartbeat, so
	// that it is never later than the sender's own deadline.
	ExpiresAt time.Duration `cbor:"12,keyasint,omitempty"`
	// Seq is the number of the sender's last heartbeat to this agent.
	Seq uint64 `cbor:"13,keyasint,omitempty"`
}

// Attempt describes one attempt at a model request.
type Attempt struct {
	// ID identifies the attempt; each attempt has a new one.
	ID string `cbor:"1,keyasint"`
	// Request identifies the caller's request across attempts.
	Request  string `cbor:"2,keyasint"`
	Provider string `cbor:"3,keyasint"`
	// Model is the key NAME@VERSION.
	Model   string `cbor:"4,keyasint"`
	Adapter string `cbor:"5,keyasint,omitempty"`
	// PromptTokens is the length of the prompt, including the answer tokens that
	// the caller already has.
	PromptTokens int `cbor:"6,keyasint"`
	// MaxTokens is the maximum length of the whole answer.
	MaxTokens int `cbor:"7,keyasint"`
	// StartOffset is the number of answer tokens that the caller already has.
	StartOffset int `cbor:"8,keyasint"`
	Priority    int `cbor:"9,keyasint"`
	// Grace is the time for which the attempt is kept without an owner, so that
	// its caller can resume it. If zero, the attempt ends with its lease.
	Grace time.Duration `cbor:"11,keyasint,omitempty"`
}

// ReserveArgs asks a decode agent to reserve a slot and memory.
type ReserveArgs struct {
	Header  CommandHeader `cbor:"1,keyasint"`
	Attempt Attempt       `cbor:"2,keyasint"`
	// TimeToPrefillEnd is the predicted time until the prefill ends and the
	// reservation is claimed.
	TimeToPrefillEnd time.Duration `cbor:"3,keyasint"`
}

// ReserveReply confirms a reservation.
type ReserveReply struct {
	Status `cbor:"1,keyasint"`
}

// PrefillArgs asks a prefill agent to process a prompt.
type PrefillArgs struct {
	Header  CommandHeader `cbor:"1,keyasint"`
	Attempt Attempt       `cbor:"2,keyasint"`
	Prompt  string        `cbor:"3,keyasint"`
	// Delivered are the answer tokens that the caller already has.
	Delivered []string `cbor:"4,keyasint,omitempty"`
	// MaxWait is the maximum wait in the prefill queue. The agent refuses the
	// prefill at once if it predicts a longer wait. Zero means no limit.
	MaxWait time.Duration `cbor:"5,keyasint,omitempty"`
}

// PrefillReply names the KV cache that a prefill produced.
type PrefillReply struct {
	Status `cbor:"1,keyasint"`
	KV     KVHandle `cbor:"2,keyasint"`
	// ComputeTime is the compute time of the prefill, without the wait in the queue.
	ComputeTime time.Duration `cbor:"3,keyasint,omitempty"`
}

// KVHandle names a KV cache at a prefill engine. It is evicted soon after the
// prefill.
type KVHandle struct {
	// Source is the base URL of the engine that exports the cache.
	Source string `cbor:"1,keyasint"`
	Handle string `cbor:"2,keyasint"`
	Pieces int    `cbor:"3,keyasint"`
	// CachedTokens is the part of the prompt that was in the prefix cache.
	CachedTokens int `cbor:"4,keyasint"`
	// TTL is the time until the engine evicts the cache.
	TTL time.Duration `cbor:"5,keyasint"`
}

// StartArgs asks a decode agent to import a KV cache and to start decoding.
type StartArgs struct {
	Header  CommandHeader `cbor:"1,keyasint"`
	Attempt Attempt       `cbor:"2,keyasint"`
	KV      KVHandle      `cbor:"3,keyasint"`
	// Delivered are the tokens before StartOffset, and ResumeState is the data that
	// another entry needs to resume the request. Both are set for attempts with a
	// grace.
	Delivered   []string `cbor:"11,keyasint,omitempty"`
	ResumeState []byte   `cbor:"12,keyasint,omitempty"`
}

// ResumeArgs asks a decode agent to pass a running attempt to another owner.
type ResumeArgs struct {
	Header   CommandHeader `cbor:"1,keyasint"`
	Attempt  string        `cbor:"2,keyasint"`
	Request  string        `cbor:"3,keyasint"`
	Provider string        `cbor:"4,keyasint"`
	// Offset is the number of answer tokens that the caller has.
	Offset int `cbor:"5,keyasint"`
}

// ResumeReply carries the data that the new owner needs.
type ResumeReply struct {
	Status `cbor:"1,keyasint"`
	// Delivered are the answer tokens below the offset.
	Delivered []string `cbor:"2,keyasint,omitempty"`
	// ResumeState is StartArgs.ResumeState of the attempt.
	ResumeState []byte `cbor:"3,keyasint"`
}

// StartReply confirms that decoding has started.
type StartReply struct {
	Status `cbor:"1,keyasint"`
}

// CancelArgs cancels an attempt at a prefill or decode agent, or releases a
// finished prefill. The agent refuses later commands for the attempt.
type CancelArgs struct {
	Header  CommandHeader `cbor:"1,keyasint"`
	Attempt string        `cbor:"2,keyasint"`
}

// CancelReply confirms a cancellation or release.
type CancelReply struct {
	Status `cbor:"1,keyasint"`
	// Found is set when the agent held the attempt.
	Found bool `cbor:"2,keyasint"`
}

// RenewArgs is the heartbeat that renews the lease of an entry.
type RenewArgs struct {
	Header CommandHeader `cbor:"1,keyasint"`
	// Attempts are the IDs of all attempts of the entry at this agent. The agent
	// ends or parks those that it opened with an older Seq and that are not listed.
	Attempts []string `cbor:"11,keyasint,omitempty"`
}

// RenewReply confirms a lease.
type RenewReply struct {
	Status `cbor:"1,keyasint"`
	// Agent identifies the incarnation of the agent.
	Agent NodeRef `cbor:"2,keyasint"`
	// Lease is the duration of the lease on the agent's clock.
	Lease time.Duration `cbor:"3,keyasint"`
	// Uptime is the time since the agent started, on its monotonic clock. Tickets
	// expire by this clock.
	Uptime time.Duration `cbor:"4,keyasint"`
	// Backend is the backend server beside the agent.
	Backend string `cbor:"5,keyasint"`
}

// CallArgs asks an agent to pass a call to its plain service.
type CallArgs struct {
	Header     CommandHeader `cbor:"1,keyasint"`
	Request    string        `cbor:"2,keyasint"`
	Provider   string        `cbor:"3,keyasint"`
	Idempotent bool          `cbor:"4,keyasint"`
	// Ticket authorises a non-idempotent call.
	Ticket string   `cbor:"5,keyasint,omitempty"`
	HTTP   HTTPCall `cbor:"6,keyasint"`
}

// HTTPCall is the HTTP request for a plain service.
type HTTPCall struct {
	Method string       `cbor:"1,keyasint"`
	Path   string       `cbor:"2,keyasint"`
	Query  string       `cbor:"3,keyasint,omitempty"`
	Header []HTTPHeader `cbor:"4,keyasint,omitempty"`
	Body   []byte       `cbor:"5,keyasint,omitempty"`
}

// HTTPHeader is one HTTP header field.
type HTTPHeader struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// CallReply is the answer of a plain service.
type CallReply struct {
	Status `cbor:"1,keyasint"`
	Code   int          `cbor:"2,keyasint"`
	Header []HTTPHeader `cbor:"3,keyasint,omitempty"`
	Body   []byte       `cbor:"4,keyasint,omitempty"`
	// Repeated is set when the call ran before and this is its stored answer.
	Repeated bool `cbor:"5,keyasint,omitempty"`
}

// StreamFrame is one frame on a token stream. It carries a batch of messages of
// any kind; a frame without messages is a heartbeat.
type StreamFrame struct {
	// Attach and Acks travel from the entry to the agent.
	Attach []Attach `cbor:"1,keyasint,omitempty"`
	Acks   []Ack    `cbor:"2,keyasint,omitempty"`
	// Chunks travel from the agent to the entry.
	Chunks []Chunk `cbor:"3,keyasint,omitempty"`
	// Load travels from the agent to the entry when resources were released.
	Load *Load `cbor:"4,keyasint,omitempty"`
}

// Attach requests the tokens of an attempt, from an offset, on this stream.
type Attach struct {
	Attempt string `cbor:"1,keyasint"`
	Offset  int    `cbor:"2,keyasint"`
	// Epoch numbers the streams of the entry to this agent. An attach with a lower
	// epoch than the attempt's current stream has no effect.
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
}

// Ack confirms that the caller was sent all tokens below an offset.
type Ack struct {
	Attempt string `cbor:"1,keyasint"`
	Offset  int    `cbor:"2,keyasint"`
	// Done confirms the end of the answer; the agent removes the attempt.
	Done bool `cbor:"3,keyasint,omitempty"`
}

// Chunk carries consecutive answer tokens that start at an offset.
type Chunk struct {
	Attempt string   `cbor:"1,keyasint"`
	Offset  int      `cbor:"2,keyasint"`
	Tokens  []string `cbor:"3,keyasint,omitempty"`
	// End is set on the last chunk of the attempt.
	End *End `cbor:"4,keyasint,omitempty"`
}

// End states how an attempt ended.
type End struct {
	// FinishReason is "stop" or "length" when the answer is whole.
	FinishReason string          `cbor:"1,keyasint,omitempty"`
	Error        *apierror.Error `cbor:"2,keyasint,omitempty"`
}
