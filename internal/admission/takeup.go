package admission

import "time"

// Limits of the time for which a caller waits for the next event of a stream, by the published
// protocol: it abandons an attempt after the longest of minPatience, patienceFirst times the
// target for the first event and patienceGap times that for the pause between events.
const (
	minPatience   = 2 * time.Second
	patienceFirst = 4
	patienceGap   = 8
)

// Patience returns the time after which the caller of a stream with the targets g abandons an
// attempt that shows no event.
func Patience(g Goal) time.Duration {
	return max(minPatience, patienceFirst*g.FirstToken, patienceGap*g.BetweenTokens)
}

// TakeUpGoal returns the goal of a request that takes up a stream whose connection broke. Its
// caller holds a part of the answer, so that the target for the first event is lost already
// and the only useful limit is the caller's patience, or its whole time limit if that ends
// before. g are the targets of the route, and timeLeft is counted from the request's arrival.
func TakeUpGoal(g Goal, timeLeft time.Duration) Goal {
	g.FirstToken = min(Patience(g), timeLeft)
	return g
}

// TakeUpLoad is what a request finds before it when entries that ended are back: as many
// streams as ran are taken up within seconds, beside new requests, and each has its whole
// prompt prefilled again.
type TakeUpLoad struct {
	// PrefillAhead is the prefill time, on one server, of the prompts of the take-ups that
	// wait and go before. PrefillServers is the number of servers that share it.
	PrefillAhead   time.Duration
	PrefillServers int
	// MemoryAhead is the decode memory, in tokens, that the take-ups use that wait and go
	// before. MemoryFree is the part of MemoryTotal that no run uses, and Answer the expected
	// duration of an answer, in which all memory comes free once.
	MemoryAhead, MemoryFree, MemoryTotal float64
	Answer                               time.Duration
	// MemoryWait is the predicted wait for the memory of a decode server if none were ahead.
	MemoryWait time.Duration
}

// Wait returns the predicted time in the queue: prefill servers serve what is ahead while
// memory is awaited.
func (l TakeUpLoad) Wait() time.Duration {
	turns := 0.0
	if lacking := l.MemoryAhead - l.MemoryFree; lacking > 0 && l.MemoryTotal > 0 {
		turns = lacking / l.MemoryTotal
	}
	return max(l.MemoryWait, time.Duration(turns*float64(l.Answer)), l.PrefillAhead/time.Duration(max(l.PrefillServers, 1)))
}
