package router

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/origin"
)

// Registry is the source of the directory.
type Registry interface {
	// Cover has the directory know all that the registry held at any time from a span ago until the
	// call of Cover, or as much of it as the registry can tell. It fails if that is not known up to
	// the call.
	Cover(ctx context.Context, span time.Duration) error
}

// coverTimeout bounds the time for which a call waits for the registry to confirm what is known.
const coverTimeout = time.Second

// Reasons for which it is not known what began a stream.
const (
	missingRecord       = "streams that ask the same were begun differently"
	missingServers      = "registrations are not known for as long as the stream may run"
	missingVersion      = "several versions of software may have begun the stream"
	missingConfig       = "configurations are not known for as long as the stream may run"
	missingService      = "several services may have begun the stream"
	missingSpan         = "the stream may have begun before any version is remembered"
	missingDecodeServer = "no server that could have begun the stream is known"
)

// onlyOrigin returns what began the stream of the call if all that is known of the servers leaves
// one possibility. Another version may have registered and begun the stream without this entry's
// knowledge, so that its view must reach back to the earliest begin of the stream, and be as new as
// the call.
func (x *exchange) onlyOrigin(ctx context.Context) (origin.Origin, originSource) {
	now := time.Now()
	// Other entries may begin streams at a server for as long after it left.
	span := x.router.fleet.lifetimes.longest(x.route, now) + x.router.options.DrainTime
	if span > directory.RoleTTL {
		return x.unknownOrigin(missingSpan)
	}
	from := now.Add(-span)
	snap := x.router.directory.Current()
	if covers := snap.ServersKnown.Includes(from, x.call.Arrived) && snap.ConfigKnown.Includes(from, x.call.Arrived); !covers {
		x.cover(ctx, span)
		snap = x.router.directory.Current()
	}
	if !snap.ServersKnown.Includes(from, x.call.Arrived) {
		return x.unknownOrigin(missingServers, snap.ServersKnown.LogFields(now)...)
	}
	began := decodeRoles(snap, from)
	if x.call.PromptTokens > 0 && len(began) == 1 {
		return origin.Origin{Service: began[0].Service, Software: began[0].Software}, originOnly // whatever the routes were
	}
	// The service follows from the route, and from the ID of the first call.
	if !snap.ConfigKnown.Includes(from, x.call.Arrived) {
		return x.unknownOrigin(missingConfig, snap.ConfigKnown.LogFields(now)...)
	}
	if x.call.Resumes == "" && len(x.route.Shares) > 1 || !x.router.fleet.unmovedFor(x.route, span) {
		return x.unknownOrigin(missingService)
	}
	began = slices.DeleteFunc(began, func(r directory.Role) bool { return r.Service != x.service })
	switch len(began) {
	case 0:
		return x.unknownOrigin(missingDecodeServer)
	case 1:
		return origin.Origin{Service: x.service, Software: began[0].Software}, originOnly
	}
	return x.unknownOrigin(missingVersion)
}

// cover asks the registry for what the directory lacks.
func (x *exchange) cover(ctx context.Context, span time.Duration) {
	registry := x.router.options.Registry
	if registry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, coverTimeout)
	defer cancel()
	if err := registry.Cover(ctx, span); err != nil {
		x.warn("the registry has not confirmed what is known", "err", err)
	}
}

// unknownOrigin records why it is not known what began the stream.
func (x *exchange) unknownOrigin(missing string, fields ...any) (origin.Origin, originSource) {
	x.missing = append([]any{"missing", missing}, fields...)
	return origin.Origin{}, originUnknown
}

// decodeRoles returns the roles of the decode servers that a snapshot has or had since a time.
func decodeRoles(snap *directory.Snapshot, since time.Time) []directory.Role {
	roles := snap.Roles(since)
	maps.DeleteFunc(roles, func(r directory.Role, _ bool) bool { return r.Stage != directory.Decode })
	return slices.Collect(maps.Keys(roles))
}

// softwareWithin returns the versions of software that decode servers of a service have, or had
// within a time, as far as this process knows.
func (f *fleet) softwareWithin(service string, d time.Duration) []string {
	snap, since := f.directory.Current(), time.Now().Add(-d)
	var out []string
	add := func(r directory.Role) {
		if r.Service == service && r.Stage == directory.Decode && !slices.Contains(out, r.Software) {
			out = append(out, r.Software)
		}
	}
	for _, s := range snap.Services[service] {
		add(s.Role())
	}
	for r, until := range snap.Former {
		if !until.Before(since) {
			add(r)
		}
	}
	return out
}

// lifetimes are the times for which streams of the routes may run: until the time limit of the
// route, or that of the caller, who may take the stream up again and again. The zero value is ready
// to use, also concurrently.
type lifetimes struct {
	mu      sync.Mutex
	byRoute map[routeKey]lifetime
}

// lifetime is a bound that streams had which may still run until a time.
type lifetime struct {
	bound time.Duration
	until time.Time
}

// record records that streams of a route may run for a time from now on.
func (l *lifetimes) record(route routeKey, bound time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	former, known := l.byRoute[route]
	if bound < former.bound && now.Before(former.until) {
		return
	}
	if l.byRoute == nil {
		l.byRoute = map[routeKey]lifetime{}
	}
	if !known {
		maps.DeleteFunc(l.byRoute, func(_ routeKey, other lifetime) bool { return now.After(other.until) })
	}
	l.byRoute[route] = lifetime{bound: bound, until: now.Add(bound)}
}

// longest returns the time for which a stream of a route may have run until now.
func (l *lifetimes) longest(r *directory.Route, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if former := l.byRoute[keyOf(r)]; now.Before(former.until) {
		return max(r.Timeout, former.bound)
	}
	return r.Timeout
}
