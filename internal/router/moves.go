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
// selects. It also records how long the streams may run that began under that configuration.
func (f *fleet) recordMovesLocked(former, next *directory.Config, now time.Time) {
	maps.DeleteFunc(f.movedAt, func(_ string, at time.Time) bool { return now.Sub(at) > directory.RoleTTL })
	if former == nil || next == nil {
		return
	}
	before := newFormerRoutes(former, next)
	for i := range next.Routes {
		r := &next.Routes[i]
		if !r.Resumable {
			continue
		}
		limit := before.timeouts[keyOf(r)]
		if before.moved(r) {
			f.movedAt[r.Name] = now
			limit = before.longest
		}
		if limit > r.Timeout {
			f.lifetimes.record(keyOf(r), limit, now)
		}
	}
}

// routeKey identifies a route by what selects it.
type routeKey struct{ host, prefix string }

func keyOf(r *directory.Route) routeKey { return routeKey{r.Host, r.Prefix} }

func (k routeKey) compare(o routeKey) int {
	return cmp.Or(strings.Compare(k.host, o.host), strings.Compare(k.prefix, o.prefix))
}

// formerRoutes are the resumable routes of a former configuration.
type formerRoutes struct {
	shares map[routeKey][]directory.TrafficShare
	// timeouts are their time limits, and longest is the longest of these.
	timeouts map[routeKey]time.Duration
	longest  time.Duration
	// withdrawn are those that the next configuration has no more, sorted.
	withdrawn []routeKey
}

func newFormerRoutes(former, next *directory.Config) *formerRoutes {
	out := &formerRoutes{shares: map[routeKey][]directory.TrafficShare{}, timeouts: map[routeKey]time.Duration{}}
	kept := make(map[routeKey]bool, len(next.Routes))
	for i := range next.Routes {
		kept[keyOf(&next.Routes[i])] = true
	}
	for i := range former.Routes {
		r := &former.Routes[i]
		key := keyOf(r)
		if !r.Resumable {
			continue
		}
		out.timeouts[key], out.longest = r.Timeout, max(out.longest, r.Timeout)
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
	key := keyOf(r)
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
