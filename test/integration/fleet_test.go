package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/semaphore"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/internal/standin"
	"github.com/samphirestream/samphirestream/internal/surroundings"
)

// Deadlines of polls. They end a test that hangs; no promise is judged by them.
const (
	pollDeadline = 45 * time.Second
	pollInterval = 20 * time.Millisecond
)

const (
	model     = "reader@1"
	key       = "integration-key"
	ticketKey = "00112233445566778899aabbccddeeff"
	firstPort = 10_001
	lockPort  = 10_000
)

// plan describes a fleet.
type plan struct {
	// entries lists the data centre of each entry.
	entries []string
	servers []serverPlan
	tls     bool
	// Flags of the engines, where they differ from the defaults.
	engineFlags []string
	drain       time.Duration
}

type serverPlan struct {
	name, dc string
	role     release.Role
}

// small is one of each in one data centre.
func small() plan {
	return plan{entries: []string{"dc-a"}, servers: []serverPlan{
		{"prefill-1", "dc-a", release.RolePrefill},
		{"decode-1", "dc-a", release.RoleDecode},
		{"ledger-1", "dc-a", release.RoleService},
	}}
}

// double is two of each in one data centre.
func double() plan {
	return plan{entries: []string{"dc-a", "dc-a"}, servers: []serverPlan{
		{"prefill-1", "dc-a", release.RolePrefill},
		{"prefill-2", "dc-a", release.RolePrefill},
		{"decode-1", "dc-a", release.RoleDecode},
		{"decode-2", "dc-a", release.RoleDecode},
		{"ledger-1", "dc-a", release.RoleService},
		{"ledger-2", "dc-a", release.RoleService},
	}}
}

// fleet is a running system of processes.
type fleet struct {
	t        testing.TB
	doing    string // the case that runs, for messages
	plan     plan
	dir      string
	ip       string
	nextPort int
	lock     net.Listener
	keys     settings.TLS
	recorder *invariant.Recorder
	logs     []string

	procs    map[string]*process
	order    []*process
	admins   map[string]string // by process
	callers  []string          // base URLs of entries
	backends map[string]string // control URLs by server
	links    map[string]*link
	dcs      sync.Map // data centres by process
	platform string
	vms      []surroundings.VM
	notes    []release.Document
	servers  []release.BackendServer

	watching chan struct{}
	watched  sync.WaitGroup
	http     *http.Client
}

// newFleet starts a fleet and waits until it serves. The end of the test checks
// all invariants.
func newFleet(t testing.TB, p plan) *fleet {
	t.Helper()
	f := &fleet{
		t: t, plan: p, dir: t.TempDir(), nextPort: firstPort,
		procs: map[string]*process{}, admins: map[string]string{}, backends: map[string]string{},
		links: map[string]*link{}, watching: make(chan struct{}),
		http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	f.takeProcesses()
	f.takeIP()
	t.Cleanup(f.dispose)
	if p.tls {
		f.keys = newKeys(t, f.dir)
	}
	f.openRecorder()
	f.startPlatform()
	for _, s := range p.servers {
		f.addServer(s)
	}
	for i, dc := range p.entries {
		f.addEntry(fmt.Sprintf("entry-%d", i+1), dc)
	}
	f.publishVMs()
	f.publish(f.firstNote())
	f.awaitReady()
	f.watched.Go(f.watchNotes)
	f.watched.Go(f.watchStalls)
	return f
}

// A tick that comes later than stallThreshold records a stall of the machine.
const (
	stallTick      = 100 * time.Millisecond
	stallThreshold = time.Second
)

// watchStalls records when the machine ran nothing, the harness included.
func (f *fleet) watchStalls() {
	last := time.Now()
	for {
		select {
		case <-f.watching:
			return
		case <-time.After(stallTick):
		}
		now := time.Now()
		if gap := now.Sub(last); gap > stallThreshold {
			f.recorder.Record(invariant.Event{At: now, Kind: invariant.MachineStalled, Stalled: gap - stallTick})
		}
		last = now
	}
}

// maxProcesses bounds the processes of all fleets that run at once.
const maxProcesses = 100

var processes = semaphore.NewWeighted(maxProcesses)

// takeProcesses waits until the fleet's processes may run.
func (f *fleet) takeProcesses() {
	n := int64(1 + len(f.plan.entries) + 2*len(f.plan.servers))
	if err := processes.Acquire(context.Background(), n); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { processes.Release(n) })
}

var ips struct {
	sync.Mutex
	next int
}

// takeIP takes a loopback address that no other fleet uses.
func (f *fleet) takeIP() {
	ips.Lock()
	defer ips.Unlock()
	for range 250 {
		ips.next++
		f.ip = fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()%250, 1+ips.next%250)
		ln, err := net.Listen("tcp", net.JoinHostPort(f.ip, strconv.Itoa(lockPort)))
		if err == nil {
			f.lock = ln
			return
		}
	}
	f.t.Fatal("no free loopback address")
}

func (f *fleet) addr() string {
	f.nextPort++
	return net.JoinHostPort(f.ip, strconv.Itoa(f.nextPort))
}

func (f *fleet) openRecorder() {
	file := filepath.Join(f.dir, "harness.jsonl")
	r, err := invariant.OpenRecorder(file)
	if err != nil {
		f.t.Fatal(err)
	}
	f.recorder, f.logs = r, append(f.logs, file)
}

func (f *fleet) startPlatform() {
	addr := f.addr()
	f.platform = "http://" + addr
	f.spawn(&process{name: "platform", program: standins, args: []string{"-kind", "platform", "-listen", addr}})
	f.await("the platform", func() bool { return f.get(f.platform+"/v1/head", nil) == nil })
}

func (f *fleet) spawn(p *process) *process {
	p.fleet = f
	f.procs[p.name] = p
	f.order = append(f.order, p)
	p.start(f.t)
	return p
}

// link puts a proxy in front of an address, and returns the proxy's address.
// sourceOf names the source of a connection; nil where one source is enough.
func (f *fleet) link(name, server, upstream string, sourceOf func(node string) string) string {
	addr := f.addr()
	f.links[name] = newLink(f.t, f, name, server, addr, upstream, sourceOf)
	return addr
}

// addServer starts a backend server with its agent.
func (f *fleet) addServer(s serverPlan) {
	backend := f.addr()
	log := filepath.Join(f.dir, s.name+".jsonl")
	f.logs = append(f.logs, log)
	args := []string{"-name", s.name, "-listen", backend, "-log", log}
	kind := settings.KindEngine
	if s.role == release.RoleService {
		kind = settings.KindService
		args = append(args, "-kind", "ledger")
	} else {
		args = append(args, "-kind", "engine", "-role", string(s.role), "-models", model)
		args = append(args, f.plan.engineFlags...)
	}
	f.spawn(&process{name: s.name, server: s.name, backend: true, program: standins, args: args})
	f.backends[s.name] = "http://" + backend
	backendLink := f.link("link:backend:"+s.name, s.name, backend, nil)

	peers := f.addr()
	sourceOf := f.dcOf
	if f.plan.tls {
		sourceOf = nil // the hello can not be read
	}
	peersLink := f.link("link:peers:"+s.name, "", peers, sourceOf)
	name := "agent-" + s.name
	out := f.settings(settings.RoleAgent, name, s.dc)
	out.Listen.Peers = peers
	out.Backend = settings.Backend{Name: s.name, Kind: kind, URL: "http://" + backendLink}
	f.spawnDaemon(out, s.name)
	server := release.BackendServer{Name: s.name, DataCentre: s.dc, Region: "coast", Agent: peersLink, Role: s.role}
	if s.role == release.RoleService {
		server.Service = "ledger"
	} else {
		server.Models = []string{model}
	}
	f.servers = append(f.servers, server)
	f.vms = append(f.vms, surroundings.VM{
		Name: name, DataCentre: s.dc, Region: "coast", Role: settings.RoleAgent,
		// Gossip takes the address itself; links carry no datagrams.
		Peers: peers, Backend: s.name, State: surroundings.VMLive,
	})
}

func (f *fleet) addEntry(name, dc string) {
	s := f.settings(settings.RoleEntry, name, dc)
	s.Listen.Callers, s.Listen.Peers = f.addr(), f.addr()
	f.callers = append(f.callers, "http://"+s.Listen.Callers)
	f.spawnDaemon(s, "")
	f.vms = append(f.vms, surroundings.VM{
		Name: name, DataCentre: dc, Region: "coast", Role: settings.RoleEntry,
		Peers: s.Listen.Peers, State: surroundings.VMLive,
	})
}

func (f *fleet) settings(role, name, dc string) *settings.Settings {
	f.dcs.Store(name, dc)
	config := f.link("link:platform:"+name, "", f.platform[len("http://"):], nil)
	s := &settings.Settings{
		Role: role, Node: name, DataCentre: dc, Region: "coast",
		Listen:            settings.Listen{Admin: f.addr()},
		Platform:          settings.Platform{ConfigService: "http://" + config, VMList: "http://" + config, WeightStore: "http://" + config},
		TLS:               f.keys,
		InsecurePlaintext: !f.plan.tls,
		TicketKey:         ticketKey,
		Timeouts:          settings.Timeouts{Drain: f.plan.drain},
	}
	f.admins[name] = "http://" + s.Listen.Admin
	return s
}

func (f *fleet) dcOf(process string) string {
	dc, _ := f.dcs.Load(process)
	name, _ := dc.(string)
	return name
}

func (f *fleet) spawnDaemon(s *settings.Settings, server string) {
	raw, err := yaml.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.dir, s.Node+".yaml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.spawn(&process{name: s.Node, server: server, program: samphired, args: []string{"-settings", file}})
}

// firstNote names all servers of the fleet.
func (f *fleet) firstNote() release.Note {
	return release.Note{
		Schema: release.Schema, Number: 1,
		Added: release.Content{
			Models:         []release.Model{{Name: "reader", Version: "1", WindowTokens: 64_000, Default: true}},
			BackendServers: f.servers,
			Services: []release.Service{{Name: "ledger", Prefix: "/ledger", Calls: []release.ServiceCall{
				{Method: http.MethodPost, Path: "/payments"},
				{Method: http.MethodGet, Path: "/contracts/*", Idempotent: true},
			}}},
			Providers: []release.Provider{{Name: "nile-bark", KeyDigests: []string{release.Digest([]byte(key))}, Weight: 1}},
		},
	}
}

// publish publishes a note after the last one.
func (f *fleet) publish(n release.Note) {
	f.t.Helper()
	n.Schema, n.Number = release.Schema, uint64(len(f.notes)+1)
	if len(f.notes) > 0 {
		n.Previous = f.notes[len(f.notes)-1].Digest
	}
	raw, err := yaml.Marshal(n)
	if err != nil {
		f.t.Fatal(err)
	}
	doc, err := release.Parse(raw)
	if err != nil {
		f.t.Fatal(err)
	}
	f.notes = append(f.notes, doc)
	f.recorder.Record(invariant.Event{Kind: invariant.NotePublished, Note: &invariant.Note{Number: n.Number, Digest: doc.Digest}})
	f.post(f.platform+"/control/publish", raw)
}

// publishVMs publishes the list of VMs.
func (f *fleet) publishVMs() {
	raw, err := json.Marshal(surroundings.VMs{VMs: f.vms})
	if err != nil {
		f.t.Fatal(err)
	}
	f.post(f.platform+"/control/vms", raw)
}

// setVM changes the state of a VM in the list.
func (f *fleet) setVM(name, state string) {
	for i := range f.vms {
		if f.vms[i].Name == name {
			f.vms[i].State = state
		}
	}
	f.publishVMs()
}

// snapshot is the part of a state dump that the tests read.
type snapshot struct {
	Node struct {
		Node        string `json:"node"`
		Incarnation string `json:"incarnation"`
	} `json:"node"`
	State      string `json:"state"`
	Note       uint64 `json:"note"`
	NoteDigest string `json:"note_digest"`
	Agents     []struct {
		Server      string `json:"server"`
		Usable      bool   `json:"usable"`
		Incarnation string `json:"incarnation"`
	} `json:"agents"`
	Attempts []struct {
		ID    string `json:"id"`
		Phase string `json:"phase"`
	} `json:"attempts"`
}

func (f *fleet) snapshot(name string) (snapshot, error) {
	var s snapshot
	err := f.get(f.admins[name]+"/debug/state", &s)
	return s, err
}

// awaitReady waits until all processes serve and all entries know the present
// lives of all agents. A ticket that names a former life is of no use.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for name := range f.admins {
		f.await(name+" serving", func() bool { return f.ready(name) })
	}
}

func (f *fleet) ready(name string) bool {
	s, err := f.snapshot(name)
	if err != nil || s.State != "serving" {
		return false
	}
	for _, a := range s.Agents {
		if !a.Usable || !f.isLife(a.Server, a.Incarnation) {
			return false
		}
	}
	return true
}

// isLife reports whether an incarnation is the present life of an agent.
func (f *fleet) isLife(server, incarnation string) bool {
	s, err := f.snapshot("agent-" + server)
	return err == nil && s.Node.Incarnation == incarnation
}

// watchNotes records the note in force at each process until the fleet ends.
func (f *fleet) watchNotes() {
	for {
		for name := range f.admins {
			if s, err := f.snapshot(name); err == nil {
				f.recorder.Record(invariant.Event{Kind: invariant.NoteSeen, Note: &invariant.Note{
					Number: s.Note, Digest: s.NoteDigest, Process: name,
					Incarnation: s.Node.Incarnation, Serving: s.State == "serving",
				}})
			}
		}
		select {
		case <-f.watching:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// await polls until a condition holds.
func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(pollDeadline); !done(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %s: not within %v", f.doing, what, pollDeadline)
		}
	}
}

func (f *fleet) get(url string, out any) error {
	resp, err := f.http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s", resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func (f *fleet) post(url string, body []byte) {
	f.t.Helper()
	resp, err := f.http.Post(url, "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		f.t.Fatalf("%s: %s %s", url, resp.Status, text)
	}
}

// decodeAfter is the number of tokens after which answers are held.
const decodeAfter = 3

// hold holds the work of all stand-ins of a role at a step.
func (f *fleet) hold(role release.Role, step standin.Step) {
	f.each(role, func(server string) {
		f.post(fmt.Sprintf("%s/control/hold?step=%s&after=%d", f.backends[server], step, decodeAfter), nil)
	})
}

// release lets held work go on, at the stand-ins that answer.
func (f *fleet) release(role release.Role, step standin.Step) {
	f.each(role, func(server string) {
		resp, err := f.http.Post(f.backends[server]+"/control/release?step="+string(step), "", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
	})
}

func (f *fleet) each(role release.Role, do func(server string)) {
	for _, s := range f.plan.servers {
		if s.role == role {
			do(s.name)
		}
	}
}

// awaitHeld waits until a request is held at a step and returns the server.
func (f *fleet) awaitHeld(role release.Role, step standin.Step) string {
	f.t.Helper()
	holder := ""
	f.await(fmt.Sprintf("a request at step %s", step), func() bool {
		f.each(role, func(server string) {
			var s standin.ControlState
			_ = f.get(f.backends[server]+"/control/state?step="+string(step), &s)
			if s.Waiting > 0 || step == standin.StepDecode && s.Decoding > 0 {
				holder = server
			}
		})
		return holder != ""
	})
	return holder
}

// memoryFree reports whether no engine that answers holds anything.
func (f *fleet) memoryFree() bool {
	for _, s := range f.plan.servers {
		var held struct {
			Requests []json.RawMessage `json:"requests"`
		}
		if s.role != release.RoleService && f.get(f.backends[s.name]+"/engine/requests", &held) == nil && len(held.Requests) > 0 {
			return false
		}
	}
	return true
}

// finish lets the work end and checks all invariants.
func (f *fleet) finish() []invariant.Verdict {
	f.t.Helper()
	f.await("released memory", f.memoryFree)
	close(f.watching)
	f.watched.Wait()
	events, err := invariant.ReadFiles(f.logs...)
	if err != nil {
		f.t.Fatal(err)
	}
	verdicts := invariant.Check(events, expectedAnswer)
	for _, v := range verdicts {
		for i, bad := range v.Violations {
			if i < 3 {
				f.t.Errorf("broken: %s\n%s", v.Promise, bad)
			}
		}
		if n := len(v.Violations); n > 3 {
			f.t.Errorf("broken: %s: %d violations in all", v.Promise, n)
		}
	}
	count(verdicts)
	return verdicts
}

// dispose ends all processes.
func (f *fleet) dispose() {
	for _, p := range f.order {
		p.dispose()
	}
	for _, l := range f.links {
		l.close()
	}
	if f.lock != nil {
		_ = f.lock.Close()
	}
	if f.t.Failed() {
		for _, p := range f.order {
			f.t.Logf("== %s\n%s", p.name, p.tail(3000))
		}
	}
}
