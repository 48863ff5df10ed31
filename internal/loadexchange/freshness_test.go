package loadexchange

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// registry is the knowledge of one member, on a clock that starts at its own time.
type registry struct {
	offset    time.Duration
	began     time.Time
	asOf      atomic.Int64
	at        directory.Version
	confirmed atomic.Int64
}

func (r *registry) Now() time.Duration { return r.offset + time.Since(r.began) }

func (r *registry) Known() (Knowledge, bool) {
	age := r.Now() - time.Duration(r.asOf.Load())
	return Knowledge{Servers: r.at, ServersChanged: r.at, ServersAge: age, Config: r.at, ConfigVersion: 1, ConfigAge: age}, true
}

func (r *registry) Confirmed(k Knowledge, asked time.Duration) {
	if k.Servers == r.at && k.ServersChanged == r.at && k.Config == r.at && k.ServersAge == k.ConfigAge {
		r.confirmed.Store(max(r.confirmed.Load(), int64(asked-k.ServersAge)))
	}
}

func (r *registry) ServerChanges(directory.Version) []RegistryChange { return nil }

// TestFreshnessIsNeverOverstated guards against withdrawn keys that are used on since clocks
// differ or datagrams take long: what a peer confirms is as old at least as what it knows.
func TestFreshnessIsNeverOverstated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		began := time.Now()
		reader := &registry{offset: time.Hour, began: began, at: directory.Version{Era: 1, Revision: 9}}
		reader.asOf.Store(int64(time.Hour))
		other := &registry{offset: time.Minute, began: began, at: directory.Version{Era: 1, Revision: 9}}
		peer := n.startWith(Options{Self: a, Registry: reader}, 0)
		asker := n.startWith(Options{Self: b, Seeds: []string{a}, Registry: other}, 0)
		time.Sleep(2 * time.Second)
		asker.AskFreshness(directory.Version{})
		synctest.Wait()
		// The reader has known the state since its start and nothing since then.
		is.True(time.Duration(other.confirmed.Load()) <= time.Minute)
		is.True(time.Duration(other.confirmed.Load()) > time.Minute-50*time.Millisecond)
		reader.asOf.Store(int64(time.Hour + 2*time.Second))
		asker.AskFreshness(directory.Version{})
		synctest.Wait()
		is.True(time.Duration(other.confirmed.Load()) <= time.Minute+2*time.Second)
		is.True(time.Duration(other.confirmed.Load()) > time.Minute+1900*time.Millisecond)
		asker.stop()
		peer.stop()
		time.Sleep(time.Second) // both end
	})
}

// TestFewEntriesReadTheRegistryFirst guards against a registry that all entries ask at once,
// and against none that does, or small ones while there are larger.
func TestFewEntriesReadTheRegistryFirst(t *testing.T) {
	for name, c := range map[string]struct {
		capacities []float64
		readers    []int // any two if nil
	}{
		"alike":           {[]float64{10, 10, 10}, nil},
		"one is small":    {[]float64{10, 200, 200}, []int{1, 2}},
		"two are small":   {[]float64{200, 10, 10}, []int{0}},
		"all are unknown": {[]float64{0, 0, 0}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				var m []*member
				ranks := map[int]int{}
				for i, addr := range []string{a, b, "10.0.0.3:7000"} {
					m = append(m, n.startWith(Options{Self: addr, Seeds: []string{a}, Capacity: c.capacities[i]}, 0))
				}
				time.Sleep(3 * time.Second)
				for i, e := range m {
					if rank, _ := e.RegistryPosition(); rank >= 0 {
						ranks[rank] = i
					}
				}
				is.Equal(len(ranks), minReaders)
				for rank, i := range c.readers {
					is.True(ranks[rank] == i || len(c.readers) == minReaders && ranks[1-rank] == i)
				}
				for _, e := range m {
					e.stop()
				}
				time.Sleep(time.Second)
			})
		})
	}
}
