package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// Fatal requests end the servers that run them: one by its content, which comes again and
// again, and others by a part of their prompts.
const (
	fatalContent = "fatal content"
	fatalPart    = "fatal"
	commonPart   = "common" // of all prompts
	crashDelay   = 30 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	crashPhase   = 4 * stableWindow
)

// Promises about fatal requests.
const (
	contentEnds = 3   // ends after which repetitions of a request are counted
	partEnds    = 5   // ends after which requests with a part are counted
	maxRepeats  = 3   // that may reach servers later than stableWindow after these ends
	soundShare  = 0.5 // of the requests outside the time of fatal ones
)

// fatalRequests is what the servers saw of fatal requests.
type fatalRequests struct {
	mu         sync.Mutex // guards the fields below
	began      time.Time
	ended      time.Time
	byKind     map[string]*fatalKind
	endedBoots map[string]bool
}

// fatalKind is what the servers saw of one kind of fatal requests.
type fatalKind struct{ ends, arrivals []time.Time }

func (f *fatalRequests) kind(name string) *fatalKind {
	if f.byKind == nil {
		f.byKind, f.endedBoots = map[string]*fatalKind{}, map[string]bool{}
	}
	if f.byKind[name] == nil {
		f.byKind[name] = &fatalKind{}
	}
	return f.byKind[name]
}

// fatalKindOf returns the kind of a fatal request; "" for a sound one.
func fatalKindOf(in standin.ServerRequest, body string) string {
	switch {
	case body == fatalContent:
		return fatalContent
	case slices.Contains(in.Parts, fatalPart):
		return fatalPart
	default:
		return ""
	}
}

// arrive records a request that reaches a server.
func (f *fatalRequests) arrive(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(kind)
	k.arrivals = append(k.arrivals, time.Now())
}

// crashes ends the server under a fatal request, and reports whether it did.
func (s *server) crashes(r *http.Request, in standin.ServerRequest, body string) bool {
	kind := fatalKindOf(in, body)
	if kind == "" {
		return false
	}
	s.advice.mu.Lock()
	boot := fmt.Sprint(s.id, " ", s.advice.born)
	s.advice.mu.Unlock()
	time.AfterFunc(crashDelay, func() { s.crash(boot, kind) })
	<-r.Context().Done()
	return true
}

// crash ends a boot of the server, which starts again after restartDelay.
func (s *server) crash(boot, kind string) {
	f := &s.fleet.fatal
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endedBoots[boot] {
		return
	}
	f.endedBoots[boot] = true
	k := f.kind(kind)
	k.ends = append(k.ends, time.Now())
	s.link.shut()
	time.AfterFunc(restartDelay, func() {
		if err := s.link.open(); err != nil {
			s.fleet.t.Error(err)
		}
		s.fleet.startAgain(s)
	})
}

// crashOnly sends fatal requests while no other fault excuses an entry.
func (f *fleet) crashOnly(rnd *rand.Rand, c *callers) {
	f.fatal.mu.Lock()
	f.fatal.began = time.Now()
	f.fatal.mu.Unlock()
	var all sync.WaitGroup
	for until := time.Now().Add(crashPhase); time.Now().Before(until); time.Sleep(time.Duration(100+rnd.IntN(400)) * time.Millisecond) {
		r := result{entry: rnd.IntN(len(f.entries)), path: "/safe/fatal", content: fatalContent}
		if rnd.IntN(2) == 0 {
			r = result{entry: rnd.IntN(len(f.entries)), path: []string{"/stream/x", "/resumable/x"}[rnd.IntN(2)], part: fatalPart}
		}
		for range 1 + rnd.IntN(3) {
			all.Go(func() { c.send(r) })
		}
	}
	all.Wait()
	f.fatal.mu.Lock()
	f.fatal.ended = time.Now()
	f.fatal.mu.Unlock()
	time.Sleep(restartDelay + stableWindow)
}

// judge returns how the entries broke the promises about fatal requests.
func (f *fatalRequests) judge(results []result) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name, allowed := range map[string]int{fatalContent: contentEnds, fatalPart: partEnds} {
		k := f.kind(name)
		if len(k.ends) == 0 {
			continue
		}
		last := k.ends[min(allowed, len(k.ends))-1]
		late := 0
		for _, at := range k.arrivals {
			if len(k.ends) >= allowed && at.Sub(last) > stableWindow+testStall {
				late++
			}
		}
		if late > maxRepeats {
			out = append(out, fmt.Sprintf("%s: %d requests reached servers after %d had ended; %d ended in all", name, late, allowed, len(k.ends)))
		}
		path := map[string]string{fatalContent: "/safe/", fatalPart: "/resumable/"}[name]
		before := servedShare(results, path, f.began.Add(-2*stableWindow), f.began)
		if share := servedShare(results, path, last.Add(2*stableWindow), f.ended); share < soundShare*before {
			out = append(out, fmt.Sprintf("%s: %.2f of the sound requests were served, %.2f before", name, share, before))
		}
	}
	return out
}

// String reports how many servers ended and how many fatal requests reached servers.
func (f *fatalRequests) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	content, part := f.kind(fatalContent), f.kind(fatalPart)
	return fmt.Sprintf("%d servers ended under one request (%d arrivals), %d under a part (%d arrivals)", len(content.ends), len(content.arrivals), len(part.ends), len(part.arrivals))
}

// servedShare returns the share of the sound first requests of a route, sent between two
// times, that were served; 1 if there were too few to judge.
func servedShare(results []result, path string, from, to time.Time) float64 {
	const enough = 20
	n, served := 0, 0
	for _, r := range results {
		if !strings.HasPrefix(r.path, path) || r.content+r.part != "" || r.after > 0 || r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		n++
		if r.status == http.StatusOK && r.complete {
			served++
		}
	}
	if n < enough {
		return 1
	}
	return float64(served) / float64(n)
}

// TestJudgeFindsFatalRequestsThatGoOn plays ends and arrivals that keep or break the promises.
func TestJudgeFindsFatalRequestsThatGoOn(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	times := func(from, step float64, n int) (out []time.Time) {
		for i := range n {
			out = append(out, at(from+step*float64(i)))
		}
		return out
	}
	for name, tc := range map[string]struct {
		kind           string
		ends, arrivals []time.Time
		status         int // of the sound requests after the ends
		broken         bool
	}{
		"refused after three ends":      {fatalContent, times(0, 1, 3), times(0, 1, 3), 200, false},
		"sent again and again":          {fatalContent, times(0, 1, 3), times(0, 1, 12), 200, true},
		"five ends by a part":           {fatalPart, times(0, 0.1, 5), times(0, 0.1, 8), 200, false},
		"a part that is sent again":     {fatalPart, times(0, 0.1, 5), times(0, 1, 10), 200, true},
		"sound requests are not served": {fatalContent, times(0, 1, 3), times(0, 1, 3), 503, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fatalRequests{began: at(0), ended: at(12)}
			*f.kind(tc.kind) = fatalKind{tc.ends, tc.arrivals}
			var results []result
			for i := range 200 {
				r := result{path: map[string]string{fatalContent: "/safe/x", fatalPart: "/resumable/x"}[tc.kind], sent: at(-6 + 0.1*float64(i)), status: 200, complete: true}
				if i > 60 {
					r.status = tc.status
				}
				results = append(results, r)
			}
			is.Equal(len(f.judge(results)) > 0, tc.broken)
		})
	}
}
