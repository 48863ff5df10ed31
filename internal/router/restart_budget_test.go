package router_test

import (
	"context"
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
	withRegion(t, 5, func(t *testing.T, g *region) {
		var mu sync.Mutex // guards the maps
		seen, further := map[string]bool{}, map[int64]int{}
		g.servers.discard = true
		g.servers.arrived = func(o *router.OutgoingCall) {
			mu.Lock()
			defer mu.Unlock()
			if seen[o.Call.ID] {
				further[time.Now().Unix()]++
			}
			seen[o.Call.ID] = true
		}
		const perSecond = 40
		var all sync.WaitGroup
		send := func(d time.Duration) {
			for i := range int(perSecond * d.Seconds()) {
				time.Sleep(time.Second / perSecond)
				all.Go(func() { serve(context.Background(), g.entries[i%len(g.entries)], newCall("/safe/x")) })
			}
		}
		send(10 * time.Second)
		g.servers.setAll(plainServers, unanswered)
		send(3500 * time.Millisecond)
		g.killAll(func(*directory.Directory) {})
		send(25 * time.Second)
		all.Wait()
		o := testOptions.Budget
		sum := func(end int64) (n int) {
			for s := end - int64(o.Window.Seconds()); s < end; s++ {
				n += further[s]
			}
			return n
		}
		is := is.New(t)
		for end := range further {
			is.True(float64(sum(end)) <= o.Ratio*perSecond*o.Window.Seconds()+o.Slack)
		}
		is.True(sum(time.Now().Unix()) > 80) // all of the budget is granted again later
	})
}
