package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/retry"
)

// quotas enforces the limits of providers at this entry.
type quotas struct {
	mu         sync.Mutex
	byProvider map[string]*providerQuota
}

type providerQuota struct {
	limits  release.Limits
	limiter *rate.Limiter
	active  int
	retries *retry.Budget
}

// Retry budget of a provider: each request within the window earns retryRatio
// of a retry, in addition to retrySlack, which an idle provider has as well.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 10.0
)

func (q *quotas) init() { q.byProvider = map[string]*providerQuota{} }

// acquire charges one request to a provider's quota. The returned function
// releases it.
func (q *quotas) acquire(p release.Provider) (release func(), refusal *apierror.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	quota := q.forProvider(p)
	if quota.limits.Concurrent > 0 && quota.active >= quota.limits.Concurrent {
		return nil, apierror.NotRun(apierror.KindQuotaExceeded, "too many requests at once", "wait for one to end").WithRetryAfter(time.Second)
	}
	if quota.limiter != nil {
		now := time.Now()
		r := quota.limiter.ReserveN(now, 1)
		if delay := r.DelayFrom(now); delay > 0 {
			r.CancelAt(now)
			return nil, apierror.NotRun(apierror.KindQuotaExceeded, "too many requests a second", "retry after the delay").WithRetryAfter(delay)
		}
	}
	quota.active++
	quota.retries.CountRequest()
	return func() { q.release(quota) }, nil
}

func (q *quotas) release(quota *providerQuota) {
	q.mu.Lock()
	defer q.mu.Unlock()
	quota.active--
}

// forProvider returns the quota of a provider under its current limits.
func (q *quotas) forProvider(p release.Provider) *providerQuota {
	quota, ok := q.byProvider[p.Name]
	if !ok {
		quota = &providerQuota{retries: retry.NewBudget(retry.Options{
			Window: retryWindow, Ratio: retryRatio, Slack: func() float64 { return retrySlack },
		})}
		q.byProvider[p.Name] = quota
	}
	if quota.limits != p.Limits {
		quota.limits, quota.limiter = p.Limits, nil
		if p.Limits.RequestsPerSecond > 0 {
			quota.limiter = rate.NewLimiter(rate.Limit(p.Limits.RequestsPerSecond), max(p.Limits.Burst, 1))
		}
	}
	return quota
}

// acquireRetry takes one retry from a provider's budget, and reports whether
// one was left. The budget keeps retries from multiplying the load by more than
// 1+retryRatio.
func (q *quotas) acquireRetry(p release.Provider) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.forProvider(p).retries.Acquire(1)
}
