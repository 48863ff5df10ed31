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

func TestDownloadOrderIsDeterministic(t *testing.T) {
	is := is.New(t)
	p := &publisher{t: t}
	store := release.NewStore()
	var servers []release.BackendServer
	for i := range 6 {
		servers = append(servers, server(fmt.Sprintf("s%d", i), release.RoleDecode, "reader@1", "reader@2"))
	}
	other := server("far", release.RoleDecode, "reader@1")
	other.DataCentre = "dc-b"
	p.publish(firstNote(append(servers, other)...), store)
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

// loadTimes holds the time after which each server was ready, in ascending order, and
// the use of the weight store.
type loadTimes struct {
	ready   []time.Duration
	peak    int   // of concurrent readers
	refused int64 // reads
}

func (l loadTimes) mean() time.Duration {
	var sum time.Duration
	for _, d := range l.ready {
		sum += d
	}
	return sum / time.Duration(len(l.ready))
}

// Size of the simulation: one data centre of a large fleet, with a load that takes two
// seconds at the full rate of the store.
const (
	simulatedServers = 64
	simulatedReaders = 4
	simulatedRate    = gigabyte / 2
)

// readerCounter counts the concurrent readers of a weight store.
type readerCounter struct {
	store  *standin.WeightStore
	mu     sync.Mutex
	active int
	peak   int
}

func (c *readerCounter) fetch(engine.Order) error {
	c.add(1)
	defer c.add(-1)
	return c.store.Read(context.Background(), func([]byte) error { return nil })
}

func (c *readerCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active += n
	c.peak = max(c.peak, c.active)
}

// loadAll makes all servers of a data centre load one model, after a note that
// lists it or after all engines have lost it. With slots, the servers follow the
// download order; readers, if positive, bounds the concurrent readers of the store.
func loadAll(t *testing.T, slots, afterNote bool, readers int) loadTimes {
	const chunks = 64
	weights := standin.NewWeightStore(chunks, chunks/2)
	weights.LimitReaders(readers)
	counter := &readerCounter{store: weights}
	store := release.NewStore()
	p := &publisher{t: t}
	var before, after []release.BackendServer
	for i := range simulatedServers {
		name := fmt.Sprintf("s%d", i)
		before = append(before, server(name, release.RoleDecode, "reader@1"))
		after = append(after, server(name, release.RoleDecode, "reader@2"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	p.publish(firstNote(before...), store)
	if !afterNote {
		p.publish(changeNote(after...), store)
	}
	var recs []*Reconciler
	for i, s := range before {
		cfg := engineConfig(true, release.RoleDecode, "reader@1")
		cfg.Fetch = counter.fetch
		if !afterNote {
			cfg.Models = nil
		}
		config := Config{Backend: s.Name, DataCentre: "dc-a", UnloadGrace: testGrace, Seed: uint64(i)}
		if slots {
			config.WeightStore, config.WeightRate = "http://127.0.0.1:1", simulatedRate
		}
		rec := New(config, standin.DirectClient{Engine: standin.NewEngine(cfg)}, store, &lockHolder{&sharedLock{}}, log.NewNopLogger())
		rec.Prime(ctx)
		recs = append(recs, rec)
		go rec.Run(ctx)
	}
	start := time.Now()
	if afterNote {
		p.publish(changeNote(after...), store)
	}
	var out loadTimes
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
	out.peak, out.refused = counter.peak, weights.Refused()
	return out
}

// TestDownloadSlotsAtTheWeightStore compares loads in download slots with loads all at
// once. With slots, few servers may read from the store at a time and none may be
// refused, and servers must be ready earlier: on average after a release note, and the
// first one after all engines have lost their weights.
func TestDownloadSlotsAtTheWeightStore(t *testing.T) {
	simulate := func(name string, slots, afterNote bool, readers int) (out loadTimes) {
		synctest.Test(t, func(t *testing.T) { out = loadAll(t, slots, afterNote, readers) })
		t.Logf("%-32s first %5.1fs median %5.1fs mean %5.1fs last %5.1fs, peak readers %d, refused %d", name,
			out.ready[0].Seconds(), out.ready[len(out.ready)/2].Seconds(), out.mean().Seconds(), out.ready[len(out.ready)-1].Seconds(), out.peak, out.refused)
		return out
	}
	is := is.New(t)
	atOnce := simulate("note, all at once", false, true, 0)
	inSlots := simulate("note, in turn", true, true, 0)
	simulate("note, all at once, 4 readers", false, true, simulatedReaders)
	bounded := simulate("note, in turn, 4 readers", true, true, simulatedReaders)
	lostAtOnce := simulate("lost weights, all at once", false, false, 0)
	lostInSlots := simulate("lost weights, in turn", true, false, 0)
	is.Equal(atOnce.peak, simulatedServers)
	is.True(inSlots.peak <= simulatedReaders)
	is.Equal(bounded.refused, int64(0))
	is.True(inSlots.mean() < atOnce.mean())
	is.True(lostInSlots.ready[0] < lostAtOnce.ready[0])
}
