package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// TestPatience guards against a limit for take-ups that differs from the published one.
func TestPatience(t *testing.T) {
	for name, c := range map[string]struct {
		first, gap, want time.Duration
	}{
		"short targets":  {first: 300 * ms, gap: 100 * ms, want: 2 * time.Second},
		"first event":    {first: 900 * ms, gap: 300 * ms, want: 3600 * ms},
		"between events": {first: 900 * ms, gap: 500 * ms, want: 4 * time.Second},
		"none":           {want: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Patience(Goal{FirstToken: c.first, BetweenTokens: c.gap}), c.want)
		})
	}
}

// TestTakeUpsAreAdmittedWithinTheirCallersPatience guards against take-ups that are refused by
// the target of new requests, and against those that are prefilled though their callers will
// have left.
func TestTakeUpsAreAdmittedWithinTheirCallersPatience(t *testing.T) {
	route := Goal{FirstToken: 900 * ms, BetweenTokens: 300 * ms} // patience of 3.6 s
	for name, c := range map[string]struct {
		load     TakeUpLoad
		timeLeft time.Duration
		want     bool
	}{
		"idle servers":                        {timeLeft: 10 * time.Second, want: true},
		"later than the target of new work":   {load: TakeUpLoad{MemoryWait: 2 * time.Second}, timeLeft: 10 * time.Second, want: true},
		"herd that three servers can prefill": {load: TakeUpLoad{PrefillAhead: 8 * time.Second, PrefillServers: 3}, timeLeft: 10 * time.Second, want: true},
		"herd that one server cannot prefill": {load: TakeUpLoad{PrefillAhead: 8 * time.Second, PrefillServers: 1}, timeLeft: 10 * time.Second},
		"herd that three cannot prefill":      {load: TakeUpLoad{PrefillAhead: 10 * time.Second, PrefillServers: 3}, timeLeft: 10 * time.Second},
		"no memory in time":                   {load: TakeUpLoad{MemoryWait: 3500 * ms}, timeLeft: 10 * time.Second},
		"memory that one turn frees":          {load: TakeUpLoad{MemoryAhead: 100, MemoryFree: 10, MemoryTotal: 100, Answer: 3 * time.Second}, timeLeft: 10 * time.Second, want: true},
		"memory that two turns free":          {load: TakeUpLoad{MemoryAhead: 200, MemoryFree: 10, MemoryTotal: 100, Answer: 3 * time.Second}, timeLeft: 10 * time.Second},
		"memory that is free":                 {load: TakeUpLoad{MemoryAhead: 200, MemoryFree: 200, MemoryTotal: 300, Answer: 9 * time.Second}, timeLeft: 10 * time.Second, want: true},
		"caller's time limit is near":         {load: TakeUpLoad{MemoryWait: time.Second}, timeLeft: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := State{Wait: c.load.Wait(), TimeToFirstToken: 200 * ms, MinTimeToFirstToken: 200 * ms}
			is.Equal(Default().Admit(TakeUpGoal(route, c.timeLeft), s).Admitted, c.want)
		})
	}
}
