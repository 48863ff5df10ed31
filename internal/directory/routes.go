package directory

import (
	"hash/fnv"
	"slices"
	"strings"
)

// routeIndex finds the routes of one host.
type routeIndex struct {
	// segments are the routes by prefix whose prefixes end with a slash, and others the rest by
	// descending length of the prefix.
	segments map[string]*Route
	others   []*Route
}

// indexRoutes groups routes by host.
func indexRoutes(routes []Route) map[string]*routeIndex {
	hosts := map[string]*routeIndex{}
	for i := range routes {
		r := &routes[i]
		index, ok := hosts[r.Host]
		if !ok {
			index = &routeIndex{segments: map[string]*Route{}}
			hosts[r.Host] = index
		}
		switch _, taken := index.segments[r.Prefix]; {
		case taken: // the first of two holds
		case strings.HasSuffix(r.Prefix, "/"):
			index.segments[r.Prefix] = r
		default:
			index.others = append(index.others, r)
		}
	}
	for _, index := range hosts {
		slices.SortStableFunc(index.others, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return hosts
}

// find returns the route with the longest prefix of a path; nil if there is none.
func (x *routeIndex) find(path string) *Route {
	var found *Route
	for end := strings.LastIndexByte(path, '/'); end >= 0 && found == nil; end = strings.LastIndexByte(path[:end], '/') {
		found = x.segments[path[:end+1]]
	}
	for _, r := range x.others {
		if found != nil && len(r.Prefix) < len(found.Prefix) {
			break
		}
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return found
}

// Route returns the route of a request: the one with the longest prefix among
// those of its host. It returns nil when none matches.
func (s *Snapshot) Route(host, path string) *Route {
	if index := s.routesByHost[strings.ToLower(host)]; index != nil {
		return index.find(path)
	}
	return nil
}

// Serves reports whether requests of a route go to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s TrafficShare) bool { return s.Service == service })
}

// Sends reports whether new requests of a route go to a service.
func (r *Route) Sends(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s TrafficShare) bool { return s.Service == service && s.Weight > 0 })
}

// HasEngine reports whether a service runs model engines.
func (c *Config) HasEngine(service string) bool {
	s := c.Services[service]
	return s != nil && s.Engine != nil
}

// Service chooses the service of a request by the hash of its ID, so that the
// services receive their shares of the requests on average. It returns "" for a route
// without services.
func (r *Route) Service(requestID string) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID)) // never fails
	const steps = 1 << 20
	point := float64(mix(h.Sum64())%steps) / steps * total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// mix spreads the bits of a hash (the first half of the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
