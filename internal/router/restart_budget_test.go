package router_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// TestRetryBudgetHoldsAcrossARestartOfAllEntries guards against entries that start and grant
// a budget that is already used in the same window.
func TestRetryBudgetHoldsAcrossARestartOfAllEntries(t *testing.T) {
	withRegion(t, 2, func(t *testing.T, g *region) {
		is := is.New(t)
		var mu sync.Mutex // guards the maps
		seen, further := map[string]bool{}, map[int64]int{}
		g.servers.arrived = func(o *router.OutgoingCall) {
			mu.Lock()
			defer mu.Unlock()
			if seen[o.Call.ID] {
				further[time.Now().Unix()]++
			}
			seen[o.Call.ID] = true
		}
		const perSecond, window = 40, 10
		g.load("/safe/x", perSecond, 10*time.Second)
		g.servers.setAll(plainServers, unanswered)
		g.load("/safe/x", perSecond, 3500*time.Millisecond)
		g.killAll(func(*directory.Directory) {})
		g.load("/safe/x", perSecond, 25*time.Second)
		allowed := testOptions.Budget.Ratio*perSecond*window + testOptions.Budget.Slack
		n := 0 // in the window up to a second
		for s, now := time.Now().Unix()-50, time.Now().Unix(); s < now; s++ {
			n += further[s] - further[s-window]
			is.True(float64(n) <= allowed)
		}
		is.True(n > 80) // all of the budget is granted again
	})
}
