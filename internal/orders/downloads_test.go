package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

func TestBackoffIsBounded(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	for failures := range 100 {
		d := backoff(failures, rnd)
		is.True(d >= minBackoff/2 && d < maxBackoff)
	}
	is.True(backoff(1, rnd) < minBackoff)
	is.True(backoff(50, rnd) >= maxBackoff/2)
}

func TestNeedsFollowTheSameOrderEverywhere(t *testing.T) {
	is := is.New(t)
	p := &publisher{t: t}
	store := release.NewStore()
	var servers []release.BackendServer
	for i := range 6 {
		servers = append(servers, server(fmt.Sprintf("s%d", i), release.RoleDecode, "reader@1", "reader@2"))
	}
	elsewhere := server("far", release.RoleDecode, "reader@1")
	elsewhere.DataCentre = "dc-b"
	p.publish(first(append(servers, elsewhere)...), store)
	all := func(string, string) bool { return true }
	list := downloadOrder(store.Current(), "dc-a", all)
	is.Equal(len(list), 12)
	for i := 0; i < len(list); i += 2 {
		is.True(list[i].model != list[i+1].model) // a replica of each model in turn
	}
	var waits []time.Duration
	for _, n := range list {
		wait, length := downloadSlot(list, n.server, n.model.Key(), gigabyte/2)
		is.Equal(length, 2*time.Second)
		waits = append(waits, wait)
	}
	is.True(slices.IsSorted(waits))
	is.Equal(waits[11], 22*time.Second)
	is.Equal(compressWait(waits[11], list, gigabyte/2, 4*time.Second), 4*time.Second+time.Duration(0.9*float64(4*time.Second)))
	is.Equal(compressWait(waits[2], list, gigabyte/2, 4*time.Second), 4*time.Second)
	is.Equal(compressWait(waits[11], list, gigabyte/2, time.Minute), 22*time.Second)
	again := downloadOrder(store.Current(), "dc-a", all)
	is.Equal(list, again)
}

// outcome of loads at one weight store.
type outcome struct {
	ready   []time.Duration
	peak    int
	refused int64
}

func (o outcome) mean() time.Duration {
	var sum time.Duration
	for _, d := range o.ready {
		sum += d
	}
	return sum / time.Duration(len(o.ready))
}

// Size of the trial: one data centre's share of a large fleet, with a load that
// takes two seconds at the full rate of the store.
const (
	trialServers = 64
	trialReaders = 4
	trialRate    = gigabyte / 2
)

// meter counts the readers of a weight store.
type meter struct {
	store *standin.WeightStore
	mu    sync.Mutex
	now   int
	peak  int
}

func (m *meter) fetch(engine.Order) error {
	m.add(1)
	defer m.add(-1)
	return m.store.Read(context.Background(), func([]byte) error { return nil })
}

func (m *meter) add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += n
	m.peak = max(m.peak, m.now)
}

// loadAll lets all servers of a data centre load one model, after a note that
// asks for it or after all engines have lost it.
func loadAll(t *testing.T, turns, afterNote bool, readers int) outcome {
	const chunks = 64
	weights := standin.NewWeightStore(chunks, chunks/2)
	weights.LimitReaders(readers)
	m := &meter{store: weights}
	store := release.NewStore()
	p := &publisher{t: t}
	var before, after []release.BackendServer
	for i := range trialServers {
		name := fmt.Sprintf("s%d", i)
		before = append(before, server(name, release.RoleDecode, "reader@1"))
		after = append(after, server(name, release.RoleDecode, "reader@2"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	p.publish(first(before...), store)
	if !afterNote {
		p.publish(change(after...), store)
	}
	var recs []*Reconciler
	for i, s := range before {
		cfg := engineConfig(true, release.RoleDecode, "reader@1")
		cfg.Fetch = m.fetch
		if !afterNote {
			cfg.Models = nil
		}
		oc := Config{Backend: s.Name, DataCentre: "dc-a", Grace: testGrace, Seed: uint64(i)}
		if turns {
			oc.WeightStore, oc.WeightRate = "http://127.0.0.1:1", trialRate
		}
		rec := New(oc, standin.Direct{E: standin.NewEngine(cfg)}, store, &lockUser{&lock{}}, log.NewNopLogger())
		rec.Prime(ctx)
		recs = append(recs, rec)
		go rec.Run(ctx)
	}
	start := time.Now()
	if afterNote {
		p.publish(change(after...), store)
	}
	var out outcome
	done := map[int]bool{}
	for time.Since(start) < 30*time.Minute && len(done) < len(recs) {
		time.Sleep(100 * time.Millisecond)
		for i, rec := range recs {
			if !done[i] && rec.Gate().Serves("decode", "reader@2") {
				done[i] = true
				out.ready = append(out.ready, time.Since(start))
			}
		}
	}
	if len(done) < len(recs) {
		t.Fatalf("%d of %d servers are ready", len(done), len(recs))
	}
	out.peak, out.refused = m.peak, weights.Refused()
	return out
}

// TestTurnsAtTheWeightStore compares turns with loads all at once. Turns must
// not ask the store for more than it gives, and half of the servers must be
// ready well before the last.
func TestTurnsAtTheWeightStore(t *testing.T) {
	trial := func(name string, turns, afterNote bool, readers int) (out outcome) {
		synctest.Test(t, func(t *testing.T) { out = loadAll(t, turns, afterNote, readers) })
		t.Logf("%-32s first %5.1fs median %5.1fs mean %5.1fs last %5.1fs, peak readers %d, refused %d", name,
			out.ready[0].Seconds(), out.ready[len(out.ready)/2].Seconds(), out.mean().Seconds(), out.ready[len(out.ready)-1].Seconds(), out.peak, out.refused)
		return out
	}
	is := is.New(t)
	atOnce := trial("note, all at once", false, true, 0)
	inTurn := trial("note, in turn", true, true, 0)
	trial("note, all at once, 4 readers", false, true, trialReaders)
	bounded := trial("note, in turn, 4 readers", true, true, trialReaders)
	lostAtOnce := trial("lost weights, all at once", false, false, 0)
	lostInTurn := trial("lost weights, in turn", true, false, 0)
	is.Equal(atOnce.peak, trialServers)
	is.True(inTurn.peak <= trialReaders)
	is.Equal(bounded.refused, int64(0))
	is.True(inTurn.mean() < atOnce.mean())
	is.True(lostInTurn.ready[0] < lostAtOnce.ready[0])
}
