package router

import (
	"math/rand/v2"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/quota"
)

const (
	// quotaRetrySpread is the fraction by which the advised delay of requests over the quota is
	// lengthened at random, so that those that were refused together do not return together.
	quotaRetrySpread = 0.25
	// minQuotaRetry is the least advised delay over the quota.
	minQuotaRetry = 20 * time.Millisecond
)

// FollowQuotas puts the quotas of each configuration in force until stop is closed.
func (r *Router) FollowQuotas(stop <-chan struct{}) {
	for {
		changed := r.directory.Changed()
		r.configureQuotas(r.directory.Current().Config)
		select {
		case <-stop:
			return
		case <-changed:
		}
	}
}

// configureQuotas puts the quotas of a configuration in force unless they are already.
func (r *Router) configureQuotas(c *directory.Config) {
	if c == nil || r.quotaConfig.Load() == c {
		return
	}
	limits := make([]quota.Limit, len(c.Organisations))
	for i, o := range c.Organisations {
		limits[i] = r.options.QuotaTolerance.Grant(quota.Limit{Name: o.Name, Rate: o.Quota.Rate, Burst: o.Quota.Burst})
	}
	r.quotas.Configure(time.Now(), c.Version, limits) // ignores all but the newest version
	r.quotaConfig.Store(c)
}

// chargeQuota charges the call to the quota of its organisation. It returns a refusal if the
// quota is used up.
func (x *exchange) chargeQuota() *apierror.Error {
	if x.organisation == nil || x.organisation.Quota.Rate <= 0 {
		return nil
	}
	x.quotaCost = x.organisation.Quota.Cost(x.call.PromptTokens + x.call.MaxTokens)
	d := x.router.quotas.Charge(time.Now(), x.organisation.Name, x.quotaCost)
	if !d.Limited {
		x.quotaCost = 0
		return nil
	}
	x.quotaLevel = d.Level
	if d.Admitted {
		x.quotaCharged = true
		x.router.count.quotaTokens.Add(int64(x.quotaCost))
		if x.router.options.Peers != nil && (d.Publish || x.call.PromptTokens > 0) {
			x.router.options.Peers.PublishQuotas()
		}
		return nil
	}
	x.router.count.quotaRefused.Add(1)
	wait := max(d.Wait, minQuotaRetry)
	wait += time.Duration(quotaRetrySpread * rand.Float64() * float64(wait))
	return refuseOverQuota().WithRetryAfter(wait)
}

// refundQuota returns what the call was charged if no server ran it.
func (x *exchange) refundQuota() {
	if !x.quotaCharged || x.attempts > 0 || x.started {
		return
	}
	x.quotaCharged = false
	x.router.count.quotaRefunded.Add(1)
	x.router.quotas.Refund(time.Now(), x.organisation.Name, x.quotaCost)
}
