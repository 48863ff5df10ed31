package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// restarts is the number of times that a seed kills all entries at once.
const restarts = 4

// steady is the time from the start of the entries to the next release or restart. Streams that
// were cut have ended by then.
const steady = 3 * time.Second

// lostShare is the share of the streams that may be refused although their version serves, of
// those that were relayed when one agent in three was killed together with all entries. Four
// agents know of a stream, and all four are killed in 1 of 81 cases.
const lostShare = 0.02

// goneFor is the time after which entries know that a server has left.
const goneFor = 200 * time.Millisecond

// twoVersions has streams that last over a restart, with room for those of all callers at the
// servers of one version.
var twoVersions = shape{
	servers: []serverKind{
		{"", "v1"},
		{"", "v1"},
		{"prefill", "v1"},
		{"prefill", "v1"},
		{"decode", "v1"},
		{"decode", "v1"},
		{"decode", "v1"},
		{"decode", "v2"},
		{"decode", "v2"},
		{"decode", "v2"},
	},
	eventCount: 60, eventPace: 40 * time.Millisecond,
}

// registration is a change of a server's registration. state is "" once it is removed.
type registration struct {
	at                      time.Time
	server, software, state string
}

// restartLog is what the platform did.
type restartLog struct {
	mu            sync.Mutex     // guards the fields below
	registrations []registration // of decode servers, in order
	stops         map[int][]time.Time
	agentKills    []time.Time
}

func (l *restartLog) add(s *server, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registrations = append(l.registrations, registration{time.Now(), s.id, s.software, state})
}

// servedBy returns the least number of servers of a version that were ready within a time, and
// whether any was registered.
func (l *restartLog) servedBy(software string, from, to time.Time) (ready int, registered bool) {
	states := map[string]string{}
	count := func(state string) (n int) {
		for _, s := range states {
			if s == state {
				n++
			}
		}
		return n
	}
	ready = -1
	for _, r := range append(slices.Clone(l.registrations), registration{at: to}) {
		if !r.at.Before(from) { // the states until then held within the time
			if n := count("ready"); ready < 0 || n < ready {
				ready = n
			}
			registered = registered || len(states) > count("")
		}
		if r.at.After(to) {
			break
		}
		if r.software == software && r.server != "" {
			states[r.server] = r.state
		}
	}
	return ready, registered
}

// judge returns which streams that were taken up did not go on although their version served,
// if they are too many, and which were refused in the wrong way. summary counts them.
func (l *restartLog) judge(results []result) (problems []string, summary string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := map[string]result{}
	var all, served, wentOn, gone, agentsKilled int
	var refused []string
	for _, r := range results {
		if r.after == 0 {
			first[r.stream] = r
			continue
		}
		all++
		// The caller found the entry ready just before.
		if slices.ContainsFunc(l.stops[r.entry], func(at time.Time) bool {
			return at.After(r.sent.Add(-readyInterval)) && at.Before(r.ended)
		}) {
			continue
		}
		if r.status == http.StatusUnauthorized && r.key != permanentKey(r.organisation) {
			continue // the key was withdrawn meanwhile
		}
		begun := first[r.stream]
		software := ""
		for v := range softwareOf(begun.body) {
			software = v
		}
		ready, _ := l.servedBy(software, r.sent, r.ended)
		_, registered := l.servedBy(software, r.sent.Add(-goneFor), r.ended)
		switch {
		case ready > 0:
			served++
			if slices.ContainsFunc(l.agentKills, func(at time.Time) bool { return at.After(begun.sent) && at.Before(r.sent) }) {
				agentsKilled++
			}
			if r.status == http.StatusOK && r.complete {
				wentOn++
			} else {
				refused = append(refused, fmt.Sprintf("request %s: takes up %s after event %d at entry %d, %d servers of %s are ready, but the status is %d, complete %v", r.id, r.stream, r.after, r.entry, ready, software, r.status, r.complete))
			}
		case !registered:
			gone++
			if r.status != http.StatusServiceUnavailable {
				problems = append(problems, fmt.Sprintf("request %s: takes up %s, no server of %s is left, and the status is %d", r.id, r.stream, software, r.status))
			}
		}
	}
	if float64(len(refused)) > lostShare*float64(agentsKilled) {
		problems = append(problems, refused...)
	}
	return problems, fmt.Sprintf("%d streams taken up while their version served (%d after agents were killed), %d went on; %d whose version was gone; %d not judged", served, agentsKilled, wentOn, gone, all-served-gone)
}

// takeUpDelay is the time after which a caller gives up a stream that stands still, and
// readyInterval that between its looks for an entry that is ready.
const (
	takeUpDelay   = 4 * time.Second
	readyInterval = 50 * time.Millisecond
)

// takeUpWhenReady takes up a stream that broke off at an entry that is ready, as the platform
// passes connections on, until it is whole, is refused, or stands still.
func (c *callers) takeUpWhenReady(rnd *rand.Rand, r result) {
	for until := time.Now().Add(takeUpDelay); r.stream != "" && r.lastEvent() > 0 && !r.complete && time.Now().Before(until); {
		if r.status != http.StatusOK && r.status != 0 {
			return
		}
		entry := rnd.IntN(len(c.fleet.entries))
		if !c.fleet.entries[entry].isReady() {
			time.Sleep(readyInterval)
			continue
		}
		if r = c.takeUp(entry, r); r.lastEvent() > r.after {
			until = time.Now().Add(takeUpDelay)
		}
	}
}

// startAgents starts the processes beside the model servers.
func (f *fleet) startAgents() {
	for _, s := range f.servers {
		if s.stage == "" {
			continue
		}
		p := &process{fleet: f, name: "agent-" + s.id, ip: fmt.Sprint(f.network, 1+s.machine), arguments: []string{"-agent"}}
		p.settingsFile = filepath.Join(f.t.TempDir(), p.name+".toml")
		n := standin.NodeSettings{Name: p.name, IP: p.ip, DataCentre: dataCentre, FirstPort: firstPort, LastPort: lastPort, MemoryMB: 100, Grace: gracePeriod}
		if err := os.WriteFile(p.settingsFile, []byte(n.Text()), 0o600); err != nil {
			f.t.Fatal(err)
		}
		p.start()
		f.t.Cleanup(p.kill)
		f.agents = append(f.agents, p)
	}
}

// release replaces servers: others with the next version register on the same machines, and the
// old ones drain and leave.
func (f *fleet) release(rnd *rand.Rand, l *restartLog, old []*server, next string, all *sync.WaitGroup) (added []*server) {
	for _, s := range old {
		added = append(added, f.addServer(fmt.Sprint(s.id, "-", next), s.machine, serverKind{"decode", next}))
		l.add(added[len(added)-1], "ready")
		l.add(s, "draining")
		f.startDraining(s, 0)
		left := drainTimeout + time.Duration(rnd.IntN(200))*time.Millisecond
		all.Go(func() {
			time.Sleep(left)
			f.store.Put("servers/"+s.id, nil)
			l.add(s, "")
			time.Sleep(drainTimeout)
			s.link.shut()
		})
	}
	return added
}

// restartAll kills all entries at once, and one agent in three if agents is set, while SIGTERM
// of one entry may be under way, and starts them after a short time.
func (f *fleet) restartAll(rnd *rand.Rand, l *restartLog, agents bool) {
	stop := func(i int, s syscall.Signal) {
		l.mu.Lock()
		l.stops[i] = append(l.stops[i], time.Now())
		l.mu.Unlock()
		f.entries[i].signal(s)
	}
	if rnd.IntN(2) == 0 {
		stop(rnd.IntN(len(f.entries)), syscall.SIGTERM)
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	}
	for i := range f.entries {
		stop(i, syscall.SIGKILL)
	}
	var killed []*process
	if agents {
		l.mu.Lock()
		l.agentKills = append(l.agentKills, time.Now())
		l.mu.Unlock()
		for _, i := range rnd.Perm(len(f.agents))[:len(f.agents)/3] {
			f.agents[i].signal(syscall.SIGKILL)
			killed = append(killed, f.agents[i])
		}
	}
	for _, e := range f.entries {
		killed = append(killed, &e.process)
	}
	time.Sleep(time.Duration(200+rnd.IntN(1200)) * time.Millisecond)
	for _, p := range killed {
		<-p.exited
		p.start()
	}
	f.awaitReady() // before, SIGHUP may end a process
	if rnd.IntN(2) == 0 {
		f.configure()
	}
	if rnd.IntN(2) == 0 {
		f.entries[rnd.IntN(len(f.entries))].signal(syscall.SIGHUP)
	}
}

// TestSoakRestartOfAllEntries guards against streams that go on at another version of the
// servers' software, or not at all, after all entries were killed at once.
func TestSoakRestartOfAllEntries(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed, twoVersions)
			l := &restartLog{stops: map[int][]time.Time{}}
			halves := [][]*server{f.servers[4:7], f.servers[7:10]}
			for _, s := range slices.Concat(halves...) {
				l.add(s, "ready")
			}
			f.startAgents()
			f.awaitReady()
			rnd := rand.New(rand.NewPCG(seed, 98))
			ctx, cancel := context.WithCancel(context.Background())
			c := newCallers(f)
			var all sync.WaitGroup
			all.Go(func() { c.run(ctx, seed, callerCount, c.takeUpWhenReady) })
			for round := range restarts {
				time.Sleep(steady)
				one, other := &halves[round%2], halves[1-round%2]
				next := []string{fmt.Sprint("v", 3+round), other[0].software}[rnd.IntN(2)]
				if rnd.IntN(3) > 0 && next != (*one)[0].software {
					t.Logf("round %d: %s replaces %s beside %s", round, next, (*one)[0].software, other[0].software)
					*one = f.release(rnd, l, *one, next, &all)
					time.Sleep(drainTimeout/4 + time.Duration(rnd.IntN(int(drainTimeout))))
				}
				f.restartAll(rnd, l, rnd.IntN(2) == 0)
			}
			time.Sleep(steady)
			cancel()
			all.Wait()
			f.checkRecovery(c)
			c.check(t, f.history)
			problems, summary := l.judge(c.results)
			for _, p := range problems {
				t.Error(p)
			}
			t.Log(summary)
			if t.Failed() {
				f.saveLogs()
			}
		})
	}
}

// TestJudgeFindsStreamsThatDoNotGoOn plays take-ups that keep or break the promises. Servers of
// v1 are ready until the fourth second and registered until the sixth.
func TestJudgeFindsStreamsThatDoNotGoOn(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, tc := range map[string]struct {
		sent               float64
		wentOn, refused    int
		status             int     // of those refused
		stopped, agentKill float64 // 0: never
		broken             bool
	}{
		"go on":                           {1, 40, 0, 0, 0, 0, false},
		"one refused":                     {1, 40, 1, 503, 0, 0, true},
		"one with no answer":              {1, 40, 1, 0, 0, 0, true},
		"one cut short":                   {1, 40, 1, 200, 0, 0, true},
		"the entry is killed":             {1, 40, 1, 0, 1.05, 0, false},
		"killed before":                   {1, 40, 1, 503, 0.5, 0, true},
		"one after agents were killed":    {1, 60, 1, 503, 0, 0.5, false},
		"many after agents were killed":   {1, 60, 3, 503, 0, 0.5, true},
		"agents killed before it began":   {3, 60, 1, 503, 0, -2, true},
		"refused as the version leaves":   {3.95, 0, 9, 503, 0, 0, false},
		"refused while the version goes":  {5, 0, 9, 503, 0, 0, false},
		"refused as the version is gone":  {7, 0, 9, 503, 0, 0, false},
		"failed as the version is gone":   {7, 0, 1, 502, 0, 0, true},
		"no answer as the version left":   {7, 0, 1, 0, 0, 0, true},
		"goes on at a version that left":  {7, 1, 0, 0, 0, 0, true},
		"fails before entries can notice": {6.2, 0, 1, 502, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := &restartLog{stops: map[int][]time.Time{}, registrations: []registration{
				{at(-9), "a", "v1", "ready"},
				{at(-9), "b", "v1", "ready"},
				{at(-9), "c", "v2", "ready"},
				{at(2), "a", "v1", "draining"},
				{at(4), "b", "v1", "draining"},
				{at(5), "a", "v1", ""},
				{at(6), "b", "v1", ""},
			}}
			if tc.stopped != 0 {
				l.stops[0] = []time.Time{at(tc.stopped)}
			}
			if tc.agentKill != 0 {
				l.agentKills = []time.Time{at(tc.agentKill)}
			}
			var results []result
			for i := range tc.wentOn + tc.refused {
				stream, status := fmt.Sprint("s", i), http.StatusOK
				if i >= tc.wentOn {
					status = tc.status
				}
				results = append(results, result{stream: stream, sent: at(tc.sent - 2), status: 200, body: event(stream, 1, "v1")},
					result{stream: stream, after: 1, sent: at(tc.sent), ended: at(tc.sent + 0.1), status: status, complete: i < tc.wentOn})
			}
			problems, _ := l.judge(results)
			is.New(t).Equal(len(problems) > 0, tc.broken)
		})
	}
}
