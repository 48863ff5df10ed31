package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/quota"
)

// Size of the largest deployment with quotas, and the bound on one decision.
const (
	quotaOrganisations  = 760
	quotaPeers          = 30
	maxQuotaDecision    = time.Microsecond
	quotaRate           = 8_000_000 // admits each decision
	minQuotaMeasurement = 10_000    // decisions, so that single interruptions do not count
)

// quotaFixture is a table that charges one organisation after another.
type quotaFixture struct {
	table *quota.Table
	names []string
	now   time.Time
	next  int
}

func newQuotaFixture() *quotaFixture {
	q := &quotaFixture{now: time.Unix(1000, 0)}
	q.table = quota.NewTable(q.now, false)
	var limits []quota.Limit
	for i := range quotaOrganisations {
		q.names = append(q.names, fmt.Sprintf("organisation-%03d", i))
		limits = append(limits, quota.Limit{Name: q.names[i], Rate: quotaRate, Burst: quotaRate})
	}
	q.table.Configure(q.now, 1, limits)
	q.contact()
	return q
}

// contact has all peers send messages for a while.
func (q *quotaFixture) contact() {
	for range 50 {
		q.now = q.now.Add(100 * time.Millisecond)
		for p := range quotaPeers {
			q.table.Receive(q.now, fmt.Sprint("10.0.0.", p), 1, 1, nil, quotaPeers+1, false)
		}
		q.table.Tick(q.now)
	}
}

func (q *quotaFixture) decide() {
	q.now = q.now.Add(time.Microsecond)
	q.next++
	q.table.Charge(q.now, q.names[q.next%len(q.names)], 5200)
}

// BenchmarkQuota measures one decision on a request, and one tick in which a peer falls silent or
// is in contact again, which touches all buckets.
func BenchmarkQuota(b *testing.B) {
	b.Run("decide", func(b *testing.B) {
		q := newQuotaFixture()
		b.ReportAllocs()
		for b.Loop() {
			q.decide()
			if q.next%100_000 == 0 {
				q.table.Tick(q.now)
			}
		}
		if mean := b.Elapsed() / time.Duration(b.N); b.N >= minQuotaMeasurement && mean > maxQuotaDecision {
			b.Errorf("a decision takes %v; the bound is %v", mean, maxQuotaDecision)
		}
	})
	b.Run("silence", func(b *testing.B) {
		q := newQuotaFixture()
		b.ReportAllocs()
		for b.Loop() {
			q.now = q.now.Add(time.Second) // all fall silent
			q.table.Tick(q.now)
			b.StopTimer()
			q.contact()
			b.StartTimer()
		}
	})
}

// TestQuotaAllocations checks that a decision allocates nothing.
func TestQuotaAllocations(t *testing.T) {
	is := is.New(t)
	q := newQuotaFixture()
	is.Equal(testing.AllocsPerRun(200, q.decide), 0.0)
}
