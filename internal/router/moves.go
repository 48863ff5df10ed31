package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// recordMovesLocked records which resumable routes have other services than in the former
// configuration: a stream of such a route may have begun at a service that its ID no longer
// selects.
func (f *fleet) recordMovesLocked(former, next *directory.Config, now time.Time) {
	maps.DeleteFunc(f.movedAt, func(_ string, at time.Time) bool { return now.Sub(at) > softwareTTL })
	if former == nil || next == nil {
		return
	}
	for i := range next.Routes {
		if r := &next.Routes[i]; r.Resumable && moved(r, former, next) {
			f.movedAt[r.Name] = now
		}
	}
}

// moved reports whether requests of a route may have gone to other services before.
func moved(r *directory.Route, former, next *directory.Config) bool {
	listed := false
	for i := range former.Routes {
		o := &former.Routes[i]
		switch {
		case o.Host != r.Host || !strings.HasPrefix(o.Prefix, r.Prefix) || !o.Resumable:
		case o.Prefix == r.Prefix:
			listed = slices.Equal(o.Shares, r.Shares)
		case !slices.ContainsFunc(next.Routes, func(n directory.Route) bool { return n.Host == o.Host && n.Prefix == o.Prefix }):
			return true // a route within it was withdrawn
		}
	}
	return !listed
}

// unmovedFor reports whether a route has had the services that it has for a time, or for as long
// as this process knows.
func (f *fleet) unmovedFor(r *directory.Route, d time.Duration) bool {
	f.sync()
	f.mu.RLock()
	defer f.mu.RUnlock()
	at, moved := f.movedAt[r.Name]
	return !moved || time.Since(at) > d
}
