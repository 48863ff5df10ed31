package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// slowLinks is a fleet of which most entries have slow links, and manyRoutes the number of routes
// with which the text of a configuration takes them about two seconds.
var slowLinks = shape{servers: usual.servers, eventCount: usual.eventCount, eventPace: usual.eventPace, slowRate: 250e3}

const manyRoutes = 1500

// change is a change of the store, with the time of its acknowledgement.
type change struct {
	name  string
	at    time.Time
	bound time.Duration
	known func(*entryState) bool
}

// TestSoakChangesOverSlowLinks guards against processes with slow links that know new versions,
// and that servers leave, too late since the text of the configuration is large.
func TestSoakChangesOverSlowLinks(t *testing.T) {
	f := newFleet(t, *first, slowLinks)
	f.awaitReady()
	f.moreRoutes = manyRoutes
	var mu sync.Mutex // guards changes
	var changes []change
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, e := range f.entries {
		all.Go(func() {
			known := map[string]bool{}
			for {
				asked := time.Now()
				state, err := e.state()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				for _, c := range changes {
					switch {
					case known[c.name]:
					case c.known(&state):
						known[c.name] = true
					case asked.Sub(c.at) > c.bound:
						known[c.name] = true
						t.Errorf("%s does not know %s after %v", e.name, c.name, asked.Sub(c.at))
					}
				}
				mu.Unlock()
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	add := func(c change) {
		mu.Lock()
		defer mu.Unlock()
		c.at = time.Now()
		changes = append(changes, c)
	}
	for i := range 3 { // the plain servers
		f.configure()
		version := f.version
		add(change{name: fmt.Sprint("version ", version), bound: configTimeout, known: func(s *entryState) bool { return s.Version >= version }})
		time.Sleep(100 * time.Millisecond)
		s := f.servers[i]
		f.register(s, "draining")
		add(change{name: s.id + " leaves", bound: drainTimeout, known: func(state *entryState) bool { return !state.takes(s.id) }})
		time.Sleep(900 * time.Millisecond)
	}
	time.Sleep(configTimeout)
	close(done)
	all.Wait()
	if t.Failed() {
		f.saveLogs()
	}
}
