package router

import (
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// TestRateOfAShortHistory guards against a rate that is too low until its mean is full, and one
// that does not fall again.
func TestRateOfAShortHistory(t *testing.T) {
	is := is.New(t)
	const every, perSecond = 20 * time.Millisecond, 50
	now := time.Now()
	r := &rate{began: now, last: now}
	is.Equal(r.add(now), 0.0)
	got := 0.0
	for i := range 500 {
		now = now.Add(every)
		if got = r.add(now); i > 10 {
			is.True(math.Abs(got-perSecond) < 0.1*perSecond)
		}
	}
	is.True(r.add(now.Add(10*rateTime)) < 1)
}

// TestLoadSpreadIsByServiceAndStage guards against a spread over servers of different roles,
// and a division by zero without load.
func TestLoadSpreadIsByServiceAndStage(t *testing.T) {
	is := is.New(t)
	d := directory.New()
	d.SetConfig(&directory.Config{Version: 1, Services: map[string]*directory.Service{"app": {Name: "app"}, "idle": {Name: "idle"}}})
	for _, id := range []string{"a1", "a2", "a3", "a4"} {
		d.Put(&directory.Server{ID: id, Service: "app", Slots: 6})
	}
	d.Put(&directory.Server{ID: "i1", Service: "idle", Slots: 6})
	r := New(d, nil, Options{}, log.NewNopLogger())
	r.fleet.sync()
	r.fleet.get("a1").localCalls.Store(5)
	r.fleet.get("a2").remoteCalls.Store(3)
	is.Equal(r.loadSpread(), map[string]float64{"app.plain": 5 * 4 / 8.0})
}
