package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// randomRoutes returns routes whose prefixes often lie within each other.
func randomRoutes(rnd *rand.Rand) *directory.Config {
	c := &directory.Config{}
	for _, i := range rnd.Perm(12) {
		prefix := []string{"/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/"}[i/2]
		if rnd.IntN(3) > 0 {
			shares := []directory.TrafficShare{{Service: []string{"x", "y"}[rnd.IntN(2)], Weight: 1}}
			c.Routes = append(c.Routes, directory.Route{Name: fmt.Sprint(i), Host: []string{"g", "h"}[i%2], Prefix: prefix, Shares: shares, Resumable: rnd.IntN(4) > 0})
		}
	}
	return c
}

// TestMovedRoutesAreFound compares the index with the definition of a moved route: another route
// of the same prefix, or a withdrawn one within it.
func TestMovedRoutesAreFound(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		former, next := randomRoutes(rnd), randomRoutes(rnd)
		f := &fleet{movedAt: map[string]time.Time{}}
		f.recordMovesLocked(former, next, time.Now())
		for _, r := range next.Routes {
			same, within := false, false
			for _, o := range former.Routes {
				in := o.Resumable && o.Host == r.Host && strings.HasPrefix(o.Prefix, r.Prefix)
				same = same || in && o.Prefix == r.Prefix && slices.Equal(o.Shares, r.Shares)
				within = within || in && !slices.ContainsFunc(next.Routes, func(n directory.Route) bool { return n.Host == o.Host && n.Prefix == o.Prefix })
			}
			_, moved := f.movedAt[r.Name]
			is.Equal(moved, r.Resumable && (!same || within))
		}
	}
}

// TestSyncNeverGoesBackToAnOlderSnapshot guards against requests that are handled by an older state
// after a newer one was in use, since a goroutine waited for the lock with the older one.
func TestSyncNeverGoesBackToAnOlderSnapshot(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	f := newFleet(d, "dc", nil)
	d.SetConfig(&directory.Config{Version: 1})
	f.mu.RLock()
	done := make(chan struct{})
	go func() { f.sync(); close(done) }()
	time.Sleep(50 * time.Millisecond) // it waits for the lock
	d.SetConfig(&directory.Config{Version: 2})
	f.mu.RUnlock()
	<-done
	is.Equal(f.synced.Config.Version, uint64(2))
}
