package agent

import (
	"context"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Engine is the model engine beside an agent.
type Engine interface {
	// Base returns the engine's base URL.
	Base() string
	State(ctx context.Context) (engine.State, error)
	HeldRequests(ctx context.Context) ([]engine.HeldRequest, error)
	Prefill(ctx context.Context, r engine.PrefillRequest) (engine.PrefillResult, error)
	Import(ctx context.Context, r engine.ImportRequest) (engine.ImportResult, error)
	// Decode streams an answer. An error of onEvent ends the stream.
	Decode(ctx context.Context, r engine.DecodeRequest, onEvent func(engine.DecodeEvent) error) error
	// Resume streams a running or finished answer again from an index.
	Resume(ctx context.Context, r engine.ResumeRequest, onEvent func(engine.DecodeEvent) error) error
	// CloseIdleConnections makes later calls use new connections. Calls in progress
	// keep theirs.
	CloseIdleConnections()
	// Order sends an order, which changes what the engine serves.
	Order(ctx context.Context, o engine.Order) error
	// Cancel frees everything that the engine holds for a request ID.
	Cancel(ctx context.Context, id string) error
}

// Service is the plain service beside an agent.
type Service interface {
	// Call makes one HTTP call. After an error the call may have run.
	Call(ctx context.Context, call protocol.HTTPCall) (engine.PlainAnswer, error)
}
