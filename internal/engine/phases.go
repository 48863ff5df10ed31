package engine

// Phases of a request that an engine holds memory for, in Held.
const (
	// HeldPrefill is a queued or running prefill.
	HeldPrefill = "prefill"
	// HeldResult is a finished prefill whose KV cache was not fetched yet.
	HeldResult = "result"
)
