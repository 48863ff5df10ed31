package placement

import "time"

// ExpectedReleases returns the number of slots that are expected to be released
// within a time. The remaining duration of a running decode is assumed not to
// depend on its age (memoryless), with meanDuration as its mean. The fraction of
// decodes that end is approximated linearly, as within/meanDuration.
func ExpectedReleases(running int, within, meanDuration time.Duration) float64 {
	if meanDuration <= 0 {
		return 0
	}
	return float64(running) * min(1, float64(within)/float64(meanDuration))
}

// DecodeCapacity is the capacity of a decode server when its agent decides on a
// reservation.
type DecodeCapacity struct {
	SlotsTotal, PiecesTotal int
	// SlotsUsed and PiecesUsed are in use by decodes and KV imports.
	SlotsUsed, PiecesUsed int
	// SlotsReserved and PiecesReserved are reserved and not in use yet.
	SlotsReserved, PiecesReserved int
	// MeanDuration is the mean duration of a decode.
	MeanDuration time.Duration
}

// ReservationConfidence is the fraction of the expected releases that may be
// reserved.
const ReservationConfidence = 1.0

// CanReserve reports whether a slot and memory can be reserved for the end of a
// prefill, given what is free now and what is expected to be released by then.
func CanReserve(r DecodeCapacity, pieces int, timeToPrefillEnd time.Duration, confidence float64) bool {
	expected := confidence * ExpectedReleases(r.SlotsUsed, timeToPrefillEnd, r.MeanDuration)
	slots := float64(r.SlotsTotal) + expected
	if float64(r.SlotsUsed+r.SlotsReserved+1) > slots {
		return false
	}
	perSlot := 0.0
	if r.SlotsUsed > 0 {
		perSlot = float64(r.PiecesUsed) / float64(r.SlotsUsed)
	}
	return float64(r.PiecesUsed+r.PiecesReserved+pieces) <= float64(r.PiecesTotal)+expected*perSlot
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

// TransferTimeout returns the timeout of a KV transfer, given the transfers ahead
// of it on the link. It is short enough that another attempt can still meet the
// latency target.
func TransferTimeout(pieces int, pieceMillis float64, ahead time.Duration) time.Duration {
	alone := time.Duration(float64(pieces) * pieceMillis * float64(time.Millisecond))
	return transferTimeoutBase + transferTimeoutFactor*(alone+ahead)
}
