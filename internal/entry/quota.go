package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/retry"
)

// quotas enforce the limits of providers at this entry.
type quotas struct {
	mu  sync.Mutex
	use map[string]*quota
}

type quota struct {
	limits  release.Limits
	limiter *rate.Limiter
	active  int
	retries *retry.Budget
}

// Retry budget of a provider: each request of the last seconds earns a share of a
// retry, and an idle provider has a few.
const (
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	maxRetries  = 10.0
)

func (q *quotas) init() { q.use = map[string]*quota{} }

// acquire takes one request of a provider's quota. The result returns it.
func (q *quotas) acquire(p release.Provider) (release func(), refusal *apierror.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.forProvider(p)
	if u.limits.Concurrent > 0 && u.active >= u.limits.Concurrent {
		return nil, apierror.NotRun(apierror.KindQuotaExceeded, "too many requests at once", "wait for one to end").After(time.Second)
	}
	if u.limiter != nil {
		now := time.Now()
		r := u.limiter.ReserveN(now, 1)
		if delay := r.DelayFrom(now); delay > 0 {
			r.CancelAt(now)
			return nil, apierror.NotRun(apierror.KindQuotaExceeded, "too many requests a second", "retry after the delay").After(delay)
		}
	}
	u.active++
	u.retries.Request()
	return func() { q.release(u) }, nil
}

func (q *quotas) release(u *quota) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u.active--
}

// forProvider returns the use of a provider under its current limits.
func (q *quotas) forProvider(p release.Provider) *quota {
	u, ok := q.use[p.Name]
	if !ok {
		u = &quota{retries: retry.NewBudget(retry.Options{
			Window: retryWindow, Ratio: retryShare, Slack: func() float64 { return maxRetries },
		})}
		q.use[p.Name] = u
	}
	if u.limits != p.Limits {
		u.limits, u.limiter = p.Limits, nil
		if p.Limits.RequestsPerSecond > 0 {
			u.limiter = rate.NewLimiter(rate.Limit(p.Limits.RequestsPerSecond), max(p.Limits.Burst, 1))
		}
	}
	return u
}

// takeRetry takes one retry from a provider's budget, and reports whether there
// was one. Retries then can not multiply the load by more than 1+retryShare.
func (q *quotas) takeRetry(p release.Provider) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.forProvider(p).retries.Take(1)
}
