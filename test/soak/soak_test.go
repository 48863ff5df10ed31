// Package soak runs entries in platform mode as separate processes, injects faults
// that are drawn from a seed, and checks the invariants by what callers and backend
// servers observe.
//
//	go test ./test/soak -soak.seeds 50 -soak.first 1 -parallel 4
//	go test ./test/soak -soak.seeds 1 -soak.first 1 -soak.entries 100
package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/testaddr"
	"github.com/samphirestream/samphirestream/platform/standin"
)

var (
	seeds      = flag.Int("soak.seeds", 2, "number of seeds")
	first      = flag.Uint64("soak.first", 1, "first seed")
	entryCount = flag.Int("soak.entries", 3, "number of entries of each seed, at most 250")
	length     = flag.Duration("soak.length", 6*time.Second, "time of faults for each seed")
)

// failedSeeds are seeds that failed in the past, each with the cause. They always
// run, in addition to those of the flags.
var failedSeeds = map[uint64]string{
	1318: "an entry with a configuration of a peer and no servers yet took up a stream at any version",
	3843: "no fault of an entry: the judge held the leaving of a server's boot to that of the boot before it",
	2142: "no fault of an entry: the judge held a server's boot to what the boot before it had said",
	103:  "an outgoing connection used the port of an entry; the harness chose ports in the kernel's ephemeral range",
}

const (
	callerCount   = 24
	drainTimeout  = 2 * time.Second // the setting bounds.drain_ms
	configTimeout = 2 * time.Second // the setting bounds.config_ms
	gracePeriod   = 8 * time.Second // the setting bounds.grace_s
)

// Names and sizes of the deployment.
const (
	dataCentre   = "dc"
	host         = "h.example"
	plainService = "app"
	modelService = "llm"
	promptTokens = 100
	eventTokens  = 72 // tokens of one event
)

// Ports of the entries; each entry has its own IP address. The ports are below the
// kernel's ephemeral port range: seed 103 failed once because an outgoing
// connection used the port of an entry.
const (
	callersPort = 20_001
	readyPort   = 20_002
	firstPort   = 20_010 // of the setting internal_ports
	lastPort    = 20_011
	serversPort = 20_020 // of the first server; each has its machine's IP address
)

var samphired string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "samphire-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	samphired = filepath.Join(dir, "samphired")
	build := exec.Command("go", "build", "-o", samphired, "../../cmd/samphired")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a process of the system, which may be started again.
type process struct {
	fleet        *fleet
	name, ip     string
	arguments    []string
	settingsFile string
	cmd          *exec.Cmd
	exited       chan struct{}
}

// entry is the process of one entry.
type entry struct {
	process
	callers, ready string
	storeLink      *link
	linkMbps       float64
}

// shape is what the servers of a fleet are and how they stream.
type shape struct {
	servers    []serverKind
	eventCount int           // of a streamed answer
	eventPace  time.Duration // between events
	// slowRate is the rate in bytes a second at which all entries but the first two reach the
	// store; 0 for no limit.
	slowRate float64
}

// serverKind is the stage and the version of the software of a server.
type serverKind struct{ stage, software string }

// usual is the shape of most fleets. The software of the last server differs from that of the
// others.
var usual = shape{
	servers:    []serverKind{{"", "v1"}, {"", "v1"}, {"", "v1"}, {"prefill", "v1"}, {"prefill", "v1"}, {"decode", "v1"}, {"decode", "v1"}, {"decode", "v2"}},
	eventCount: 12, eventPace: 15 * time.Millisecond,
}

// fleet holds the entries of one seed, with their backend servers and store.
type fleet struct {
	t            *testing.T
	name         string
	shape        shape
	network      string // of the addresses of the servers' machines
	history      *history
	host         *testaddr.Host // of the servers and the store
	fatal        fatalRequests
	store        *store
	servers      []*server
	entries      []*entry
	agents       []*process // beside the servers
	version      int
	moreRoutes   int // that get no requests
	disturbances disturbances
	copies       []standin.Copy // of the store, to be restored
	keys         keyring
}

// network returns the beginning of the addresses of a reserved host's network.
func network(h *testaddr.Host) string { return strings.TrimSuffix(h.IP, "1") }

// newFleet starts a fleet. Its entries and its servers have networks of loopback addresses of their
// own, since all entries use the same ports. Other runs of the same seed have others.
func newFleet(t *testing.T, seed uint64, sh shape) *fleet {
	addrs := testaddr.Reserve(t)
	f := &fleet{t: t, name: fmt.Sprint("seed", seed), shape: sh, network: network(testaddr.Reserve(t)), host: addrs, history: &history{runs: map[string]int{}, organisations: map[string]string{}}, store: newStore(t, addrs), disturbances: disturbances{all: map[string][]time.Time{}}}
	for i, kind := range sh.servers {
		f.addServer(fmt.Sprintf("s%d", i), i, kind)
	}
	f.configure()
	net := network(testaddr.Reserve(t))
	for i := range *entryCount {
		e := &entry{process: process{fleet: f, name: fmt.Sprint("entry", i), ip: fmt.Sprint(net, i+1)}}
		e.callers, e.ready = fmt.Sprint(e.ip, ":", callersPort), fmt.Sprint(e.ip, ":", readyPort)
		e.settingsFile = filepath.Join(t.TempDir(), e.name+".toml")
		e.storeLink, e.linkMbps = f.store.link, 1000
		if sh.slowRate > 0 && i >= 2 {
			e.storeLink, e.linkMbps = newLink(t, testaddr.Reserve(t).Addr(), f.store.Addr()), sh.slowRate*8/1e6
			e.storeLink.rate = sh.slowRate
		}
		e.writeSettings(net)
		f.entries = append(f.entries, e)
		e.start()
	}
	t.Cleanup(func() {
		for _, e := range f.entries {
			e.kill()
		}
	})
	return f
}

func (e *entry) writeSettings(net string) {
	s := standin.NodeSettings{
		Name: e.name, IP: e.ip, DataCentre: dataCentre, FirstPort: firstPort, LastPort: lastPort, Seeds: []string{net + "1:1", net + "2:1"},
		Callers: e.callers, Ready: e.ready, MemoryMB: 500, Grace: gracePeriod, Drain: drainTimeout,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, Store: e.storeLink.addr, Revoke: revokeTime,
		LinkMbps: e.linkMbps, Config: configTimeout,
	}
	if err := os.WriteFile(e.settingsFile, []byte(s.Text()), 0o600); err != nil {
		e.fleet.t.Fatal(err)
	}
}

// start starts the process unless it is running, since the ends of overlapping
// faults may start it twice.
func (p *process) start() {
	if p.exited != nil {
		select {
		case <-p.exited:
		default:
			return
		}
	}
	out, err := os.OpenFile(p.settingsFile+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		p.fleet.t.Fatal(err)
	}
	p.cmd = exec.Command(samphired, append([]string{"-platform"}, p.arguments...)...)
	p.cmd.Env = append(os.Environ(), "SAMPHIRESTREAM_NODE_FILE="+p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.fleet.t.Fatal(err)
	}
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() { _ = cmd.Wait(); _ = out.Close(); close(exited) }()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // an error means that it has exited

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (e *entry) isReady() bool {
	resp, err := http.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addServer starts a server on a machine, beside those that it has, and registers it.
func (f *fleet) addServer(id string, machine int, kind serverKind) *server {
	s := newServer(f, id, fmt.Sprint(f.network, 1+machine, ":", serversPort+len(f.servers)), kind)
	s.machine = machine
	if kind.stage == "prefill" {
		prefillServers.Store(s.link.addr, s)
	}
	f.servers = append(f.servers, s)
	f.register(s, "ready")
	return s
}

// configure publishes the next version of the configuration. The versions differ
// in the timeouts of the routes only, and their numbers are not consecutive.
func (f *fleet) configure() {
	f.version += 1 + f.version%3
	withdrawn := f.keys.rotate(f.version)
	f.publish()
	f.keys.withdraw(withdrawn, time.Now())
}

// publish writes the configuration to the store.
func (f *fleet) publish() {
	routes := []standin.Route{
		{Path: "/once/", Kind: "unsafe", Service: plainService, Attempts: 1},
		{Path: "/safe/", Kind: "safe", Service: plainService, Attempts: 2},
		{Path: "/stream/", Kind: "streaming", Service: modelService, Attempts: 1},
		{Path: "/resumable/", Kind: "streaming", Service: modelService, Attempts: 2, Resumable: true},
	}
	for i := range f.moreRoutes {
		routes = append(routes, standin.Route{Path: fmt.Sprintf("/unused-%d/", i), Kind: "safe", Service: plainService, Attempts: 2})
	}
	f.store.Configure(standin.Config{
		Version: f.version, Host: host, Timeout: time.Duration(3000+f.version) * time.Millisecond, Target: 900 * time.Millisecond, Gap: 300 * time.Millisecond,
		Routes: routes,
		Plain:  plainService, Generating: modelService, MaxConnections: 100, Slots: 16, Memory: 60_000, HandleTTL: 500 * time.Millisecond, EventTokens: eventTokens,
		Organisations: f.keys.byOrganisation(),
		HeaderBytes:   16 << 10, BodyBytes: 100_000, HeaderTimeout: 3 * time.Second, CallersIdleTimeout: 15 * time.Second,
	})
}

// injectFault injects a random fault and returns a function that ends it, or nil if
// the fault ends by itself.
func (f *fleet) injectFault(rnd *rand.Rand) (name string, end func()) {
	links := []*link{f.store.link}
	for _, s := range f.servers {
		links = append(links, s.link)
	}
	which := rnd.IntN(len(links))
	l, e, s := links[which], f.entries[rnd.IntN(len(f.entries))], f.servers[rnd.IntN(len(f.servers))]
	kind := rnd.IntN(18)
	switch { // what is disturbed
	case kind < 5 && which > 0:
		name, end = f.linkFault(l, kind, rnd)
		return f.disturbing(f.servers[which-1].id, name, end)
	case kind < 5:
		return f.linkFault(l, kind, rnd)
	case kind < 9:
		name, end = f.signalFault(e, kind)
		return f.disturbing(e.name, name, end)
	case kind >= 14:
		return f.injectAdvice(rnd)
	}
	switch kind {
	case 9:
		f.store.Fail(standin.Faults{Status: http.StatusServiceUnavailable})
		return "store unavailable", func() { f.store.Fail(standin.Faults{}) }
	case 10:
		if rnd.IntN(2) == 0 {
			return f.restoreStore(rnd)
		}
		f.store.Compact()
		return "store compaction", nil
	case 11:
		f.configure()
		return "configuration", nil
	case 12:
		s.setFlag(&s.refusing, true)
		return "server refuses", func() { s.setFlag(&s.refusing, false) }
	default:
		s.setFlag(&s.losesAnswers, true)
		return "answers lost", func() { s.setFlag(&s.losesAnswers, false) }
	}
}

// maxCopies is the number of copies of the store that are kept, one from before each fault.
const maxCopies = 8

// restoreStore has the store come back from an earlier copy. The leaving server writes again at
// once, the operator and the other servers when the fault ends.
func (f *fleet) restoreStore(rnd *rand.Rand) (name string, end func()) {
	f.keys.restored()
	f.store.Restore(f.copies[rnd.IntN(len(f.copies))])
	f.copies = nil
	f.register(f.servers[leavingServer], "draining")
	return "store restored", func() {
		f.publish()
		for i, s := range f.servers {
			if i != leavingServer {
				f.register(s, "ready")
			}
		}
	}
}

// leavingServer is the index of the server that leaves while a seed is played.
const leavingServer = 2

// register writes a server's registration to the store.
func (f *fleet) register(s *server, state string) {
	f.store.Register(s.registration(state))
}

// linkFault injects a fault of a link.
func (f *fleet) linkFault(l *link, kind int, rnd *rand.Rand) (name string, end func()) {
	switch kind {
	case 0:
		l.setFaults(time.Duration(20+rnd.IntN(200))*time.Millisecond, false)
		return "delay", l.heal
	case 1:
		l.reset()
		return "reset", nil
	case 2:
		l.setFaults(0, true)
		return "cut", l.heal
	case 3:
		l.blackholeOpen(true, rnd.IntN(2) == 0)
		return "blackhole up", l.heal
	default:
		l.blackholeOpen(false, true)
		return "blackhole down", l.heal
	}
}

// signalFault sends a signal to the process of an entry.
func (f *fleet) signalFault(e *entry, kind int) (name string, end func()) {
	switch kind {
	case 5:
		e.kill()
		return "kill " + e.name, e.start
	case 6:
		e.signal(syscall.SIGSTOP)
		return "pause " + e.name, func() { e.signal(syscall.SIGCONT) }
	case 7:
		e.signal(syscall.SIGTERM)
		return "stop " + e.name, func() { e.restart() }
	default:
		e.signal(syscall.SIGHUP)
		return "SIGHUP " + e.name, nil
	}
}

// disturbing records that a fault of an entry or a server begins, and its end.
func (f *fleet) disturbing(what, name string, end func()) (string, func()) {
	f.disturbances.add(what)
	if end == nil {
		return name, nil
	}
	return name, func() { end(); f.disturbances.add(what) }
}

func (s *server) setFlag(field *bool, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field = on
}

// restart waits until a process that received SIGTERM has exited, kills it after
// gracePeriod as the platform does, and starts it again.
func (e *entry) restart() {
	select {
	case <-e.exited:
	case <-time.After(gracePeriod):
		e.kill()
	}
	e.start()
}

// runSeed runs a fleet under load with the faults of one seed and checks the
// results.
func runSeed(t *testing.T, seed uint64) {
	f := newFleet(t, seed, usual)
	f.awaitReady()
	rnd := rand.New(rand.NewPCG(seed, 99))
	ctx, cancel := context.WithCancel(context.Background())
	c := newCallers(f)
	done := make(chan struct{})
	go func() { c.run(ctx, seed, callerCount, c.takeUpAtOnce); close(done) }()
	// In addition to the random faults, until the end of which the store may be unavailable.
	f.startDraining(f.servers[leavingServer], *length)
	type activeFault struct {
		end func()
		at  time.Time
	}
	var active []activeFault
	for until := time.Now().Add(*length); time.Now().Before(until); time.Sleep(time.Duration(50+rnd.IntN(250)) * time.Millisecond) {
		f.copies = append(f.copies[max(0, len(f.copies)+1-maxCopies):], f.store.Copy())
		name, end := f.injectFault(rnd)
		t.Logf("%v: %s", time.Until(until).Round(time.Millisecond), name)
		if end != nil {
			active = append(active, activeFault{end, time.Now().Add(time.Duration(100+rnd.IntN(1500)) * time.Millisecond)})
		}
		for len(active) > 0 && time.Now().After(active[0].at) {
			active[0].end()
			active = active[1:]
		}
	}
	for _, o := range active {
		o.end()
	}
	f.awaitReady()
	f.adviceOnly(rnd)
	f.crashOnly(rnd, c)
	cancel()
	<-done
	f.checkRecovery(c)
	c.check(t, f.history)
	if t.Failed() {
		f.saveLogs()
	}
}

// maxAdvice is the number of statements of servers that hold at once while no other fault is
// injected.
const maxAdvice = 5

// adviceOnly lets servers say things of themselves beside changes of the configuration and
// SIGHUP, while no fault excuses an entry.
func (f *fleet) adviceOnly(rnd *rand.Rand) {
	var ends []func()
	for until := time.Now().Add(*length + 2*stableWindow); time.Now().Before(until); time.Sleep(time.Duration(300+rnd.IntN(700)) * time.Millisecond) {
		switch rnd.IntN(4) {
		case 0:
			f.configure()
		case 1:
			f.entries[rnd.IntN(len(f.entries))].signal(syscall.SIGHUP)
		default:
			name, end := f.injectAdvice(rnd)
			f.t.Log("calm: ", name)
			if end != nil {
				ends = append(ends, end)
			}
			if len(ends) > maxAdvice {
				ends[0]()
				ends = ends[1:]
			}
		}
	}
	for _, end := range ends {
		end()
	}
}

// startDraining registers a server as draining, which entries may notice after a time.
func (f *fleet) startDraining(s *server, notice time.Duration) {
	s.mu.Lock()
	s.drainNoticedBy = time.Now().Add(notice)
	s.mu.Unlock()
	f.register(s, "draining")
}

// readyLimit is the max time until all entries serve, after the start and after the
// last fault.
const readyLimit = 30 * time.Second

func (f *fleet) awaitReady() {
	f.t.Helper()
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(f.entries) {
			return
		}
	}
	f.saveLogs()
	f.t.Fatal("not all entries are ready after the start or after the faults")
}

// checkRecovery checks that each entry serves each kind of request after the
// faults.
func (f *fleet) checkRecovery(c *callers) {
	for entry := range f.entries {
		for _, path := range paths {
			served := false
			for until := time.Now().Add(readyLimit); !served && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				r := c.call(entry, path)
				served = r.status == http.StatusOK && r.complete
			}
			if !served {
				f.t.Errorf("entry %d does not serve %s after the faults", entry, path)
			}
		}
		f.checkVersion(f.entries[entry])
	}
}

// entryState is what an entry reports of its knowledge.
type entryState struct {
	Version int
	Servers []struct {
		ID       string
		Draining bool
	}
}

// takes reports whether a server gets new requests.
func (s *entryState) takes(server string) bool {
	for _, known := range s.Servers {
		if known.ID == server {
			return !known.Draining
		}
	}
	return false
}

// state asks an entry for its state.
func (e *entry) state() (entryState, error) {
	var state struct{ Router entryState }
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/debug/state", e.ip, lastPort))
	if err != nil {
		return state.Router, err
	}
	defer resp.Body.Close()
	return state.Router, json.NewDecoder(resp.Body).Decode(&state)
}

// checkVersion checks that the last published configuration is in force at an entry.
func (f *fleet) checkVersion(e *entry) {
	var state entryState
	for until := time.Now().Add(readyLimit); state.Version != f.version && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if got, err := e.state(); err == nil {
			state = got
		}
	}
	if state.Version != f.version {
		f.t.Errorf("%s has version %d of the configuration in force, not %d", e.name, state.Version, f.version)
	}
}

// saveLogs copies the logs of the processes to a directory that is kept after the
// test.
func (f *fleet) saveLogs() {
	dir, err := os.MkdirTemp("", "samphire-soak-logs-")
	if err != nil {
		f.t.Log(err)
		return
	}
	processes := slices.Clone(f.agents)
	for _, e := range f.entries {
		processes = append(processes, &e.process)
	}
	for _, p := range processes {
		if b, err := os.ReadFile(p.settingsFile + ".log"); err == nil {
			_ = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(p.name, "/", "-")), b, 0o600)
		}
	}
	f.t.Log("logs are in ", dir)
}

func TestSoak(t *testing.T) {
	all := map[uint64]bool{}
	for s := range failedSeeds {
		all[s] = true
	}
	for i := range *seeds {
		all[*first+uint64(i)] = true
	}
	for s := range all {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			runSeed(t, s)
		})
	}
}

// Each case breaks one invariant in a correct result.
func TestViolationsFindsBrokenInvariants(t *testing.T) {
	whole := ""
	for k := 1; k <= usual.eventCount; k++ {
		whole += event("r", k, "v1")
	}
	correct := result{id: "r", path: "/stream/x", status: 200, complete: true, body: whole, events: usual.eventCount, proven: true}
	if v := violations(correct, 1); len(v) > 0 {
		t.Fatal(v)
	}
	for name, plant := range map[string]func(*result) int{
		"ran twice":              func(*result) int { return 2 },
		"false refusal":          func(r *result) int { r.status, r.proven = 503, false; return 1 },
		"another's proof":        func(r *result) int { r.proven = false; return 1 },
		"event missing":          func(r *result) int { r.body = event("r", 2, "v1"); return 1 },
		"truncated but complete": func(r *result) int { r.body = event("r", 1, "v1"); return 1 },
		"another's body":         func(r *result) int { r.path, r.body = "/once/x", plainAnswer("q", ""); return 1 },
		"route not found":        func(r *result) int { r.status, r.proven = 404, false; return 0 },
		"two versions":           func(r *result) int { r.body, r.complete = event("r", 1, "v1")+event("r", 2, "v2"), false; return 1 },
		"event repeated":         func(r *result) int { r.body, r.complete = event("r", 1, "v1")+event("r", 1, "v1"), false; return 1 },
	} {
		r := correct
		if len(violations(r, plant(&r))) == 0 {
			t.Errorf("%s was not found", name)
		}
	}
}
