// Package invariant checks the invariants of samphirestream against a history of
// events recorded by callers, stand-ins and a test harness. All recorders must
// use the same clock, because the checks compare their timestamps.
package invariant

import "time"

// Kind is the kind of an event.
type Kind string

// Kinds of events of callers. Each sets Event.Call.
const (
	CallSent  Kind = "call_sent"
	CallEnded Kind = "call_ended"
)

// Kinds of events of backend servers. Each sets Event.Work.
const (
	// WorkHeld records that an engine holds memory for an attempt, or that a
	// service received a call.
	WorkHeld Kind = "work_held"
	// WorkRan records that an engine began to compute, or that a service
	// executed a call.
	WorkRan Kind = "work_ran"
	// WorkFreed records that an engine no longer holds memory for an attempt.
	WorkFreed Kind = "work_freed"
)

// Kinds of events of processes and links. Each sets Event.Process.
const (
	ProcessStarted Kind = "process_started"
	ProcessKilled  Kind = "process_killed"
	ProcessPaused  Kind = "process_paused"
	ProcessResumed Kind = "process_resumed"
	// ProcessStopping records the start of a planned stop, and ProcessStopped
	// the exit of the process.
	ProcessStopping Kind = "process_stopping"
	ProcessStopped  Kind = "process_stopped"
	LinkDown        Kind = "link_down"
	LinkUp          Kind = "link_up"
	// ServerLeaving records that a backend server was marked as leaving, for
	// example in the list of VMs or by a release note.
	ServerLeaving Kind = "server_leaving"
)

// MachineStalled records that the machine of the test harness ran no process,
// the harness included, for the duration Event.Stalled up to Event.At.
const MachineStalled Kind = "machine_stalled"

// Kinds of events of release notes. Each sets Event.Note.
const (
	NotePublished Kind = "note_published"
	// NoteObserved records which note is in force at a process.
	NoteObserved Kind = "note_seen"
)

// Event is one element of a history.
type Event struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`

	Call    *Call    `json:"call,omitempty"`
	Work    *Work    `json:"work,omitempty"`
	Process *Process `json:"process,omitempty"`
	Note    *Note    `json:"note,omitempty"`
	// Stalled is set for MachineStalled.
	Stalled time.Duration `json:"stalled,omitempty"`
}

// Outcome is the result of a call from its caller's point of view.
type Outcome string

// Outcomes of calls.
const (
	OutcomeWhole   Outcome = "whole"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "outcome_unknown"
	OutcomePartial Outcome = "partial"
	// OutcomeConnectionLost means that the connection was lost before a whole
	// answer or an error arrived.
	OutcomeConnectionLost Outcome = "cut"
	// OutcomeCallerDisconnected means that the caller cancelled the call.
	OutcomeCallerDisconnected Outcome = "gone"
	// OutcomeUnreachable means that no entry accepted the connection.
	OutcomeUnreachable Outcome = "unreached"
)

// Call is one HTTP call of a caller.
type Call struct {
	// ID is unique for each call.
	ID    string `json:"id"`
	Entry string `json:"entry,omitempty"`
	// Content is the prompt, or the reference of a payment. It is unique except
	// that all calls that repeat one payment have the same content.
	Content string `json:"content,omitempty"`
	// Model is empty for calls to a service.
	Model     string `json:"model,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// NonIdempotent is set for non-idempotent calls.
	NonIdempotent bool `json:"once,omitempty"`

	// Outcome and the fields below are set for CallEnded.
	Outcome Outcome `json:"outcome,omitempty"`
	// Text is the answer, or the part of it that was received; for a payment,
	// the reference in the answer.
	Text   string `json:"text,omitempty"`
	Finish string `json:"finish,omitempty"`
	// EndMarkers is the number of end markers in the answer: finish reasons of a
	// model, or 1 for the whole answer of a service.
	EndMarkers int    `json:"ends,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Work is the work of a backend server for one attempt.
type Work struct {
	Server  string `json:"server"`
	Attempt string `json:"attempt"`
	Phase   string `json:"phase,omitempty"`
	Content string `json:"content,omitempty"`
	// Pieces is the memory that the server holds, in pieces of 2,000 tokens.
	Pieces int `json:"pieces,omitempty"`
	// FirstToken and NextToken delimit the answer tokens that the server returned:
	// those from FirstToken up to, but not including, NextToken.
	FirstToken int `json:"first,omitempty"`
	NextToken  int `json:"next,omitempty"`
}

// Process identifies a process or a network link.
type Process struct {
	Name string `json:"name"`
	// Server is the backend server that the process or link belongs to: the
	// server itself, its agent, or the link between the two.
	Server string `json:"server,omitempty"`
	// Backend is set if the process is the backend server itself.
	Backend  bool `json:"backend,omitempty"`
	ExitCode int  `json:"exit_code,omitempty"`
}

// Note is a release note at one process.
type Note struct {
	Number  uint64 `json:"number"`
	Digest  string `json:"digest,omitempty"`
	Process string `json:"process,omitempty"`
	// Incarnation identifies one run of the process, from start to exit.
	Incarnation string `json:"incarnation,omitempty"`
	// Serving is set if the process accepts work.
	Serving bool `json:"serving,omitempty"`
}
