// Package engine defines the HTTP API of model engines and provides clients for
// engines and plain services.
package engine

// PrefillRequest is the body of POST /engine/prefill. The engine computes the
// KV cache of the prompt followed by the given answer tokens and holds it for a
// short time under a handle.
type PrefillRequest struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// Delivered are answer tokens that were already delivered.
	Delivered []string `json:"given,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// PrefillResult is the answer to a PrefillRequest.
type PrefillResult struct {
	Handle       string `json:"handle"`
	Tokens       int    `json:"tokens"`
	Pieces       int    `json:"pieces"`
	CachedTokens int    `json:"cached_tokens"`
	// TTLMS is the time in milliseconds until the KV cache is evicted.
	TTLMS int64 `json:"life_ms"`
}

// ImportRequest is the body of POST /engine/import. The engine fetches the KV
// cache from GET SOURCE/engine/kv/HANDLE, which streams a KVExport and then one
// line for each piece.
type ImportRequest struct {
	ID     string `json:"id"`
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// ImportResult is the answer to an ImportRequest.
type ImportResult struct {
	Pieces int `json:"pieces"`
}

// KVExport is the first line of an exported KV cache. One line for each piece
// follows.
type KVExport struct {
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Prompt    string   `json:"prompt"`
	Delivered []string `json:"given,omitempty"`
	Tokens    int      `json:"tokens"`
	Pieces    int      `json:"pieces"`
}

// DecodeRequest is the body of POST /engine/decode, which streams lines of
// DecodeEvent. The KV cache was imported under the same ID.
type DecodeRequest struct {
	ID        string `json:"id"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority,omitempty"`
}

// ResumeRequest is the body of POST /engine/resume, which streams a running or
// finished answer again from an index.
type ResumeRequest struct {
	ID   string `json:"id"`
	From int    `json:"from"`
}

// DecodeEvent is one line of an answer.
type DecodeEvent struct {
	// Index is the position of the token in the whole answer.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Finish is "stop" or "length" on the last line, which has no token.
	Finish string `json:"finish,omitempty"`
}

// CancelRequest is the body of POST /engine/cancel. It frees everything that the
// engine holds under the ID: a queued or finished prefill, an import, a decode.
type CancelRequest struct {
	ID string `json:"id"`
}

// HeldRequest is one request that an engine holds memory for.
type HeldRequest struct {
	ID     string `json:"id"`
	Phase  string `json:"phase"`
	Pieces int    `json:"pieces"`
}

// HeldList is the answer to GET /engine/requests.
type HeldList struct {
	Requests []HeldRequest `json:"requests"`
}

// LoadReport is the answer to GET /engine/load. It is delayed: it describes the
// load at an earlier time.
type LoadReport struct {
	Running      int `json:"running"`
	Slots        int `json:"slots"`
	PiecesHeld   int `json:"pieces_held"`
	Pieces       int `json:"pieces"`
	QueuedTokens int `json:"queued_tokens"`
}

// Order is the body of POST /engine/orders.
type Order struct {
	// Fence is the fencing token, which rises with each order. Engines that
	// support it refuse lower values.
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	// Model is a model key NAME@VERSION or, with ActionLoadAdapter and
	// ActionUnloadAdapter, an adapter key NAME@VERSION.
	Model string `json:"model,omitempty"`
	// Base is the key of the adapter's model, for ActionLoadAdapter.
	Base string `json:"base,omitempty"`
	// Source is the URL of the weights, for ActionLoad and ActionLoadAdapter.
	Source string `json:"source,omitempty"`
	// WeightsBytes is the size of the weights, for ActionLoad. An engine without
	// enough free memory refuses with status 507.
	WeightsBytes int64 `json:"weights_bytes,omitempty"`
	// Role is the new role, for ActionRole.
	Role string `json:"role,omitempty"`
}

// Actions of orders.
const (
	ActionLoad          = "load"
	ActionUnload        = "unload"
	ActionLoadAdapter   = "load_adapter"
	ActionUnloadAdapter = "unload_adapter"
	ActionRole          = "role"
)

// State is the answer to GET /engine/state.
type State struct {
	Role string `json:"role"`
	// Models and Adapters are the keys NAME@VERSION of what is loaded. A
	// request that names an adapter by NAME uses the version loaded last.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Loading lists models whose weights are being downloaded.
	Loading []string `json:"loading,omitempty"`
	// WeightsCapacity is the memory for weights in bytes, zero if unknown.
	WeightsCapacity int64 `json:"weights_capacity,omitempty"`
	// WeightsUsed is the memory used by loaded and loading models, in bytes.
	WeightsUsed int64 `json:"weights_used,omitempty"`
	Slots       int   `json:"slots"`
	Pieces      int   `json:"pieces"`
	// Fence is the highest fencing token received, if the engine supports it.
	Fence uint64 `json:"fence"`
}

// CacheEvent is one element of GET /engine/events?after=SEQ: a prefix was stored
// in or evicted from the cache. Events may be late or missing.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// CacheEvents is the answer to GET /engine/events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}
