package emulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/emulator"
)

// TestUnevenServers guards against entries that take all servers to be equally fast: the
// prefills of a slow data centre, and those at servers that are slow for the moment, were then
// waited for. It compares entries that share what they observe, of servers that state their
// pace, with entries that learn alone.
func TestUnevenServers(t *testing.T) {
	is := is.New(t)
	e := slowStep
	e.Servers, e.PrefillServers = 30, 10
	e.Uneven = emulator.Uneven{DataCentres: 4, SlowSpeed: 0.55, FastSpeed: 1.2, Pace: 2.5, PaceShare: 0.15, PaceInterval: 600 * time.Millisecond}
	var mean [2]time.Duration
	var onTime [2]int
	for i, alone := range []bool{true, false} {
		for seed := range uint64(3) {
			e.Uneven.Alone, e.Uneven.Unstated = alone, alone
			o := atLoad(e, longPrompts, 0.6)
			o.Entries, o.Seed = 20, seed
			r := play(t, o)
			mean[i] += r.PrefillTime / time.Duration(3*r.Prefills)
			onTime[i] += r.OnTime
		}
	}
	t.Logf("mean prefill %v alone, %v shared; on time %d alone, %d shared", mean[0], mean[1], onTime[0], onTime[1])
	is.True(mean[1] < mean[0]*95/100)
	is.True(onTime[1] >= onTime[0]*99/100)
}
