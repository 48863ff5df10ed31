package engine

// Phases of a request that an engine holds memory for, in HeldRequest.
const (
	// PhasePrefill is a queued or running prefill.
	PhasePrefill = "prefill"
	// PhaseResult is a finished prefill whose KV cache was not fetched yet.
	PhaseResult = "result"
)
