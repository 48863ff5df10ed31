package loadexchange

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/quota"
)

// quotaMember is a member with quotas.
type quotaMember struct {
	*member
	table *quota.Table
}

// organisations is the number of organisations of the largest deployment.
const organisations = 760

func orgName(i int) string { return fmt.Sprintf("organisation-%03d", i) }

func (n *network) startWithQuotas(addr string) quotaMember {
	limits := make([]quota.Limit, organisations)
	for i := range limits {
		limits[i] = quota.Limit{Name: orgName(i), Rate: 1000, Burst: 1000}
	}
	q := quota.NewTable(time.Now(), false)
	q.Configure(time.Now(), 1, limits)
	return quotaMember{n.startWith(Options{Self: addr, Seeds: []string{a}, Quotas: q}, 1), q}
}

// level returns the level and the reserve of an organisation.
func (m quotaMember) level(i int) (level, reserve float64) {
	row := m.table.State(time.Now()).Rows[i]
	return row.Level, row.Reserve
}

// withQuotas runs a test with three members that have known each other for ten seconds.
func withQuotas(t *testing.T, test func(t *testing.T, n *network, m [3]quotaMember)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		m := [3]quotaMember{n.startWithQuotas(a), n.startWithQuotas(b), n.startWithQuotas(c)}
		time.Sleep(10 * time.Second)
		test(t, n, m)
		for _, x := range m {
			x.stop()
		}
		time.Sleep(time.Second)
	})
}

// TestUseIsChargedAtAllEntriesAtOnce guards against entries that admit what others have used.
func TestUseIsChargedAtAllEntriesAtOnce(t *testing.T) {
	withQuotas(t, func(t *testing.T, n *network, m [3]quotaMember) {
		is := is.New(t)
		level, reserve := m[1].level(3)
		is.Equal(level, 1000.0)
		is.Equal(reserve, 0.0)
		is.True(m[0].table.Charge(time.Now(), orgName(3), 5200).Admitted)
		m[0].PublishQuotas()
		time.Sleep(2 * batchDelay)
		for _, x := range m {
			level, _ = x.level(3)
			is.True(level < -4100)
		}
		m[0].table.Charge(time.Now(), orgName(4), 700) // not published
		time.Sleep(quota.Pulse + 2*quota.TickInterval)
		level, _ = m[2].level(4)
		is.True(level < 900)
	})
}

// TestLostUseIsRepeated guards against use that a lost datagram hides for good, and against groups
// of a partition that use the whole quota each.
func TestLostUseIsRepeated(t *testing.T) {
	withQuotas(t, func(t *testing.T, n *network, m [3]quotaMember) {
		is := is.New(t)
		n.SetDrop(func(from, to string) bool { return from == a && to == c })
		m[0].table.Charge(time.Now(), orgName(3), 9000)
		m[0].PublishQuotas()
		time.Sleep(100 * time.Millisecond)
		level, _ := m[2].level(3)
		is.Equal(level, 1000.0)
		time.Sleep(500 * time.Millisecond)
		_, reserve := m[2].level(4)
		is.True(reserve >= 333) // the part of the silent entry, and its refill
		n.SetDrop(nil)
		time.Sleep(1500 * time.Millisecond)
		level, reserve = m[2].level(3)
		is.Equal(reserve, 0.0)
		is.True(level < -5000)
	})
}

// TestStartedEntriesAdoptTheLevel guards against a burst at each start of an entry, and against
// refusals after it.
func TestStartedEntriesAdoptTheLevel(t *testing.T) {
	withQuotas(t, func(t *testing.T, n *network, m [3]quotaMember) {
		is := is.New(t)
		m[0].table.Charge(time.Now(), orgName(3), 4000)
		m[0].PublishQuotas()
		m[2].stop()
		time.Sleep(100 * time.Millisecond)
		m[2] = n.startWithQuotas(c)
		defer m[2].stop()
		time.Sleep(500 * time.Millisecond)
		level, reserve := m[2].level(5)
		is.True(level+reserve > 950)
		level, reserve = m[2].level(3)
		is.True(level+reserve < -2000)
		is.True(m[2].table.State(time.Now()).Adopted)
	})
}

// TestQuotasFitIntoDatagrams guards against messages that are not sent since they are too long.
func TestQuotasFitIntoDatagrams(t *testing.T) {
	withQuotas(t, func(t *testing.T, n *network, m [3]quotaMember) {
		is := is.New(t)
		now := time.Now()
		for i := range organisations {
			m[0].table.Charge(now, orgName(i), 1000)
		}
		x := m[0].Exchange
		x.mu.Lock()
		first := &message{Levels: m[0].table.Levels(now)}
		more := x.addQuotasLocked(first, m[0].table.Recent(now))
		x.mu.Unlock()
		got := 0
		for i, msg := range append(more, first) {
			msg.Incarnation, msg.Seq = now.UnixMilli(), 1<<40
			data, err := encode(msg)
			is.NoErr(err)
			t.Log(len(data), "bytes,", len(msg.Quotas), "organisations")
			is.True(len(data) <= maxDatagram)
			if i == len(more) {
				is.True(len(data) < maxDatagram/4) // beside what else a full message has
			}
			got += len(msg.Quotas)
		}
		is.Equal(got, organisations)
	})
}
