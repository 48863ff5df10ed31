package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// Promises about what servers say of themselves. testStall is time in which the test machine
// may stall.
const (
	testStall    = time.Second
	stableWindow = 3 * time.Second // after a fault of an entry or a link, before which nothing is judged
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	toldAfter    = 500 * time.Millisecond
	maxClosed    = 2 // requests to a server that wants none
)

// arrival is one request at a server, with what the answer said.
type arrival struct {
	id         string
	at         time.Time
	limit      float64 // 0: none was named
	limitSince time.Time
	leaving    bool
	retryAfter time.Duration
	born       int64 // the boot that answered
}

// advice is what a server says of itself, and what it received.
type advice struct {
	mu          sync.Mutex // guards the fields below
	limit       float64    // 0: none
	limitSince  time.Time
	leaving     bool
	born        int64
	closedUntil time.Time
	arrivals    []arrival
}

// answer records a request and writes the headers of its answer. It reports true if the
// server turns the request away.
func (a *advice) answer(w http.ResponseWriter, id string) (turnedAway bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	got := arrival{id: id, at: time.Now(), limit: a.limit, limitSince: a.limitSince, leaving: a.leaving, retryAfter: max(0, time.Until(a.closedUntil)), born: a.born}
	if id != "" {
		a.arrivals = append(a.arrivals, got)
	}
	standin.Statement{Limit: got.limit, Leaving: got.leaving, RetryAfter: got.retryAfter}.Write(w.Header())
	return got.retryAfter > 0
}

func (a *advice) setLimit(perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit, a.limitSince = perSecond, time.Now()
}

func (a *advice) close(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closedUntil = time.Now().Add(d)
}

func (a *advice) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// startAgain begins another life of a server, which is not leaving.
func (f *fleet) startAgain(s *server) {
	a := &s.advice
	a.mu.Lock()
	a.leaving, a.limit, a.closedUntil = false, 0, time.Time{}
	a.born++
	a.mu.Unlock()
	f.register(s, "ready")
}

// injectAdvice makes a random server say something of itself, and returns a function that
// ends it.
func (f *fleet) injectAdvice(rnd *rand.Rand) (name string, end func()) {
	s := f.servers[rnd.IntN(len(f.servers))]
	switch rnd.IntN(4) {
	case 0:
		limit := 1 + 8*rnd.Float64()
		s.advice.setLimit(limit)
		return fmt.Sprintf("%s names a limit of %.1f", s.id, limit), func() { s.advice.setLimit(0) }
	case 1:
		s.advice.close(time.Duration(1000+rnd.IntN(2000)) * time.Millisecond)
		return s.id + " turns requests away", nil
	case 2:
		if s == f.servers[2] { // its registration says that it drains
			return "nothing", nil
		}
		s.advice.leave()
		return s.id + " says that it leaves", func() { f.startAgain(s) }
	default:
		s.setFlag(&s.breaksStreams, true)
		return s.id + " breaks streams", func() { s.setFlag(&s.breaksStreams, false) }
	}
}

// disturbances are the times of faults, by entry and by server.
type disturbances struct {
	mu  sync.Mutex // guards all
	all map[string][]time.Time
}

// add records that a fault of an entry or a server begins or ends.
func (d *disturbances) add(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[name] = append(d.all[name], time.Now())
}

// between reports whether there was a fault of an entry or a server between two times, or
// within stableWindow before the first.
func (d *disturbances) between(name string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.all[name] {
		if at.After(from.Add(-stableWindow)) && at.Before(to) {
			return true
		}
	}
	return false
}

// judgeAdvice returns how the requests that a server received break its word. results are by
// request.
func judgeAdvice(s *server, results map[string]result, d *disturbances) []string {
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	var out []string
	type statement struct {
		entry int
		since time.Time // of the limit
	}
	type boot struct {
		entry int
		born  int64
	}
	told, left := map[statement]time.Time{}, map[boot]time.Time{}
	counted := map[time.Time][]time.Time{} // by the beginning of a limit
	for i, a := range s.advice.arrivals {
		r, ok := results[a.id]
		if !ok {
			continue
		}
		disturbed := d.between(fmt.Sprint("entry", r.entry), a.at, a.at) || d.between(s.id, a.at, a.at)
		life := boot{r.entry, a.born}
		if at, ok := left[life]; ok && a.leaving && r.sent.Sub(at) > maxDrainTime && !disturbed {
			out = append(out, fmt.Sprintf("%s got %s, sent %v after entry %d knew that it leaves", s.id, a.id, r.sent.Sub(at), r.entry))
		}
		if _, ok := left[life]; !ok && a.leaving {
			left[life] = a.at
		}
		if a.limit > 0 {
			k := statement{r.entry, a.limitSince}
			if at, ok := told[k]; !ok {
				told[k] = a.at
			} else if a.at.Sub(at) > toldAfter+testStall && a.at.Sub(a.limitSince) > stableWindow && !disturbed {
				counted[a.limitSince] = append(counted[a.limitSince], a.at)
				if n, allowed := within(counted[a.limitSince], limitWindow), int(limitFactor*a.limit*limitWindow.Seconds())+limitSlack; n > allowed {
					out = append(out, fmt.Sprintf("%s named a limit of %.1f and got %d requests in %v, allowed %d", s.id, a.limit, n, limitWindow, allowed))
				}
			}
		}
		if a.retryAfter > 0 {
			n := 0
			for _, b := range s.advice.arrivals[i+1:] {
				after := b.at.Sub(a.at)
				if o, ok := results[b.id]; ok && o.entry == r.entry && b.born == a.born && after > toldAfter+testStall && after < a.retryAfter && !d.between(fmt.Sprint("entry", r.entry), a.at, b.at) && !d.between(s.id, a.at, b.at) {
					n++
				}
			}
			if n > maxClosed {
				out = append(out, fmt.Sprintf("%s wanted nothing from entry %d for %v and got %d requests", s.id, r.entry, a.retryAfter, n))
			}
		}
	}
	return out
}

// within returns the number of times within a window before the last one.
func within(times []time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if times[len(times)-1].Sub(at) < window {
			n++
		}
	}
	return n
}

// brokenStreams returns the streams whose parts, as the caller joins them, are not the events of
// one version of software from the first on, each once and in order.
func brokenStreams(results []result) []string {
	joined, whole := map[string]string{}, map[string]string{}
	for _, r := range results {
		if r.stream == "" || r.status != http.StatusOK {
			continue
		}
		if joined[r.stream] == "" {
			whole[r.stream] = wholeStream(result{id: r.stream, events: r.events, body: r.body})
		}
		joined[r.stream] += r.body[:strings.LastIndex(eventEnd+r.body, eventEnd)]
	}
	var out []string
	for stream, parts := range joined {
		if versions := len(softwareOf(parts)); versions > 1 {
			out = append(out, fmt.Sprintf("stream %s has events of %d versions of software", stream, versions))
		} else if !strings.HasPrefix(whole[stream], parts) {
			out = append(out, fmt.Sprintf("stream %s has the events %s", stream, parts))
		}
	}
	return out
}
