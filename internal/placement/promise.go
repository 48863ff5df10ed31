package placement

import "time"

// Releases returns the number of slots that are expected to be released within a
// time. The remaining duration of a running decode is assumed not to depend on its
// age (memoryless), with meanLife as its mean.
func Releases(running int, within, meanLife time.Duration) float64 {
	if meanLife <= 0 {
		return 0
	}
	return float64(running) * min(1, float64(within)/float64(meanLife))
}

// Room is the capacity of a decode server when its agent decides on a reservation.
type Room struct {
	SlotsTotal, PiecesTotal int
	// SlotsUsed and PiecesUsed are in use by decodes and KV imports.
	SlotsUsed, PiecesUsed int
	// SlotsPromised and PiecesPromised are reserved and not in use yet.
	SlotsPromised, PiecesPromised int
	// MeanLife is the mean duration of a decode.
	MeanLife time.Duration
}

// PromiseConfidence is the fraction of the expected releases that may be reserved.
const PromiseConfidence = 1.0

// Promise reports whether a slot and memory can be reserved for the end of a
// prefill, given what is free now and what is expected to be released by then.
func Promise(r Room, pieces int, prefillIn time.Duration, confidence float64) bool {
	foreseen := confidence * Releases(r.SlotsUsed, prefillIn, r.MeanLife)
	slots := float64(r.SlotsTotal) + foreseen
	if float64(r.SlotsUsed+r.SlotsPromised+1) > slots {
		return false
	}
	perSlot := 0.0
	if r.SlotsUsed > 0 {
		perSlot = float64(r.PiecesUsed) / float64(r.SlotsUsed)
	}
	return float64(r.PiecesUsed+r.PiecesPromised+pieces) <= float64(r.PiecesTotal)+foreseen*perSlot
}

// AcceptPrefill reports whether an agent accepts a prefill, given the expected wait
// and the wait that the entry tolerates. Zero tolerates any wait.
func AcceptPrefill(wait, tolerated time.Duration) bool {
	return tolerated == 0 || wait <= tolerated
}

// Parameters of the transfer timeout: base + factor * expected time.
const (
	transferTimeoutFactor = 2
	transferTimeoutBase   = 150 * time.Millisecond
)

// TransferPatience returns the timeout of a KV transfer, given the transfers ahead
// of it on the link. It is short enough that another attempt can still meet the
// latency target.
func TransferPatience(pieces int, pieceMillis float64, ahead time.Duration) time.Duration {
	alone := time.Duration(float64(pieces) * pieceMillis * float64(time.Millisecond))
	return transferTimeoutBase + transferTimeoutFactor*(alone+ahead)
}
