package directory

import (
	"hash/fnv"
	"slices"
	"strings"
)

// indexRoutes groups routes by host, sorted by descending length of the prefix.
func indexRoutes(routes []Route) map[string][]*Route {
	hosts := map[string][]*Route{}
	for i := range routes {
		r := &routes[i]
		hosts[r.Host] = append(hosts[r.Host], r)
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return hosts
}

// Route returns the route of a request: the one with the longest prefix among
// those of its host. It returns nil when none matches.
func (s *Snapshot) Route(host, path string) *Route {
	for _, r := range s.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
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
