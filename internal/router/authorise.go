package router

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

const (
	// staleRetry is the advised delay while the knowledge of the keys is stale at an entry that
	// has no live peers: the platform moves the caller to one that is not cut off. Where
	// peers are alive, they are stale too, and the registry is out of reach for all.
	staleRetry = 500 * time.Millisecond
	// unknownKeyShare is the fraction of MaxKeyAge above which an unknown key may be a new one
	// that this entry has not read yet.
	unknownKeyShare = 0.5
)

// authorise finds the organisation of the call's key. It returns a refusal for calls that
// need a key and have none that the configuration in force lists.
func (x *exchange) authorise(c *directory.Config) *apierror.Error {
	if c.Keys == nil || x.route.Public {
		return nil
	}
	age, limit := x.router.keyAge()
	if limit > 0 && age > limit {
		x.router.count.staleKeys.Add(1)
		return staleKeys("keys may have been withdrawn that this entry has not read", x.staleRetry())
	}
	owner, ok := c.Keys.Lookup(x.call.Key)
	if ok {
		x.organisation = owner
		return nil
	}
	if limit > 0 && age > time.Duration(unknownKeyShare*float64(limit)) {
		x.router.count.staleKeys.Add(1)
		return staleKeys("the key is unknown here, and may be one that this entry has not read", staleRetry)
	}
	x.router.count.unknownKeys.Add(1)
	return apierror.NotRun(apierror.KindUnauthenticated, "the key is missing or unknown", "send a key of the organisation")
}

func staleKeys(message string, delay time.Duration) *apierror.Error {
	return apierror.NotRun(apierror.KindUnavailable, message, "retry after the delay on a new connection").WithRetryAfter(delay)
}

// staleRetry returns the advised delay while the knowledge of the keys is stale. Callers return
// a few times at most, so that they wait as long as they can while the registry is out of reach
// for all entries.
func (x *exchange) staleRetry() time.Duration {
	if p := x.router.options.Peers; p != nil && p.Alive() > 0 {
		return max(staleRetry, maxAdvisedDelay(x.call))
	}
	return sleep.Jitter(staleRetry)
}

// keyAge returns the age of what is known of the keys, and the age above which that is stale;
// 0 for none.
func (r *Router) keyAge() (age, limit time.Duration) {
	if r.options.KeyAge == nil || r.options.MaxKeyAge <= 0 {
		return 0, 0
	}
	return r.options.KeyAge(), r.options.MaxKeyAge
}

// KeysStale reports whether requests with keys are refused because the knowledge of the keys
// is stale.
func (r *Router) KeysStale() bool {
	if c := r.directory.Current().Config; c == nil || c.Keys == nil {
		return false
	}
	age, limit := r.keyAge()
	return limit > 0 && age > limit
}

// organisationName returns the name of the call's organisation; "" for none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// priority returns the rank of the call among those of its service; 0 is the most urgent.
func (x *exchange) priority() int {
	if x.organisation != nil && x.organisation.Priority != nil {
		return *x.organisation.Priority
	}
	return x.route.Priority
}
