package router

import (
	"cmp"
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
	before := newFormerRoutes(former, next)
	for i := range next.Routes {
		if r := &next.Routes[i]; r.Resumable && before.moved(r) {
			f.movedAt[r.Name] = now
		}
	}
}

// routeKey identifies a route by what selects it.
type routeKey struct{ host, prefix string }

func (k routeKey) compare(o routeKey) int {
	return cmp.Or(strings.Compare(k.host, o.host), strings.Compare(k.prefix, o.prefix))
}

// formerRoutes are the resumable routes of a former configuration.
type formerRoutes struct {
	shares map[routeKey][]directory.TrafficShare
	// withdrawn are those that the next configuration has no more, sorted.
	withdrawn []routeKey
}

func newFormerRoutes(former, next *directory.Config) *formerRoutes {
	out := &formerRoutes{shares: map[routeKey][]directory.TrafficShare{}}
	kept := make(map[routeKey]bool, len(next.Routes))
	for i := range next.Routes {
		kept[routeKey{next.Routes[i].Host, next.Routes[i].Prefix}] = true
	}
	for i := range former.Routes {
		r := &former.Routes[i]
		key := routeKey{r.Host, r.Prefix}
		if !r.Resumable {
			continue
		}
		if out.shares[key] = r.Shares; !kept[key] {
			out.withdrawn = append(out.withdrawn, key)
		}
	}
	slices.SortFunc(out.withdrawn, routeKey.compare)
	return out
}

// moved reports whether requests of a route may have gone to other services before: to those of
// the same route, or of one within it that was withdrawn.
func (f *formerRoutes) moved(r *directory.Route) bool {
	key := routeKey{r.Host, r.Prefix}
	if shares, ok := f.shares[key]; !ok || !slices.Equal(shares, r.Shares) {
		return true
	}
	// The routes within it follow it in the order.
	i, _ := slices.BinarySearchFunc(f.withdrawn, key, routeKey.compare)
	return i < len(f.withdrawn) && f.withdrawn[i].host == r.Host && strings.HasPrefix(f.withdrawn[i].prefix, r.Prefix)
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
