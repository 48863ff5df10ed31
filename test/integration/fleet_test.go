package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/semaphore"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/internal/standin"
	"github.com/samphirestream/samphirestream/internal/testaddr"
)

// pollTimeout ends a test that hangs. No invariant depends on it.
const (
	pollTimeout  = 45 * time.Second
	pollInterval = 20 * time.Millisecond
)

const (
	model     = "reader@1"
	key       = "integration-key"
	ticketKey = "00112233445566778899aabbccddeeff"
)

// plan describes a fleet.
type plan struct {
	// entries lists the data centre of each entry.
	entries []string
	servers []serverPlan
	tls     bool
	// engineFlags are added to the command lines of the engines.
	engineFlags []string
	// drain is the drain timeout of all processes; 0 for the default.
	drain time.Duration
}

type serverPlan struct {
	name, dc string
	role     release.Role
}

// smallPlan has one entry and one server of each role, in one data centre.
func smallPlan() plan {
	return plan{entries: []string{"dc-a"}, servers: []serverPlan{
		{"prefill-1", "dc-a", release.RolePrefill},
		{"decode-1", "dc-a", release.RoleDecode},
		{"ledger-1", "dc-a", release.RoleService},
	}}
}

// redundantPlan has two entries and two servers of each role, in one data centre.
func redundantPlan() plan {
	return plan{entries: []string{"dc-a", "dc-a"}, servers: []serverPlan{
		{"prefill-1", "dc-a", release.RolePrefill},
		{"prefill-2", "dc-a", release.RolePrefill},
		{"decode-1", "dc-a", release.RoleDecode},
		{"decode-2", "dc-a", release.RoleDecode},
		{"ledger-1", "dc-a", release.RoleService},
		{"ledger-2", "dc-a", release.RoleService},
	}}
}

// fleet is a running deployment with its proxies, and the recorder of its events.
type fleet struct {
	t        testing.TB
	scenario string // what is being tested, for messages
	plan     plan
	dir      string
	addrs    *testaddr.Host
	tlsFiles settings.TLS
	recorder *invariant.Recorder
	logs     []string

	processByName map[string]*process
	processes     []*process
	adminURLs     map[string]string // by process
	callerURLs    []string          // base URLs of entries
	controlURLs   map[string]string // control URLs by server
	links         map[string]*link
	dcByProcess   sync.Map // data centres by process
	platform      string
	vms           []controlplane.VM
	notes         []release.Document
	servers       []release.BackendServer

	stopWatchers chan struct{}
	watchers     sync.WaitGroup
	http         *http.Client
}

// newFleet starts a fleet and waits until it serves. The test must call
// checkInvariants at its end.
func newFleet(t testing.TB, p plan) *fleet {
	t.Helper()
	f := &fleet{
		t: t, plan: p, dir: t.TempDir(),
		processByName: map[string]*process{}, adminURLs: map[string]string{}, controlURLs: map[string]string{},
		links: map[string]*link{}, stopWatchers: make(chan struct{}),
		http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	f.acquireProcessSlots()
	f.addrs = testaddr.Reserve(t)
	t.Cleanup(f.dispose)
	if p.tls {
		f.tlsFiles = newTLSFiles(t, f.dir)
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
	f.watchers.Go(f.watchNotes)
	f.watchers.Go(f.watchStalls)
	return f
}

const (
	stallTick = 100 * time.Millisecond
	// stallThreshold is the min time between two ticks that is recorded as a
	// stall of the machine.
	stallThreshold = time.Second
)

// watchStalls records the times in which the machine ran no process, the harness
// included.
func (f *fleet) watchStalls() {
	last := time.Now()
	for {
		select {
		case <-f.stopWatchers:
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

// maxProcesses is the max number of processes of all fleets that run at once.
const maxProcesses = 100

var processSlots = semaphore.NewWeighted(maxProcesses)

// acquireProcessSlots waits until the fleet may start its processes: the platform,
// its entries, and each server with its agent.
func (f *fleet) acquireProcessSlots() {
	n := int64(1 + len(f.plan.entries) + 2*len(f.plan.servers))
	if err := processSlots.Acquire(context.Background(), n); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { processSlots.Release(n) })
}

func (f *fleet) openRecorder() {
	file := filepath.Join(f.dir, "harness.jsonl")
	r, err := invariant.OpenRecorder(file)
	if err != nil {
		f.t.Fatal(err)
	}
	f.recorder, f.logs = r, append(f.logs, file)
	f.t.Cleanup(func() {
		if err := r.Err(); err != nil {
			f.t.Error(err)
		}
	})
}

func (f *fleet) startPlatform() {
	addr := f.addrs.Addr()
	f.platform = "http://" + addr
	f.spawn(&process{name: "platform", program: standins, args: []string{"-kind", "platform", "-listen", addr}})
	f.await("start of the platform", func() bool { return f.get(f.platform+"/v1/head", nil) == nil })
}

func (f *fleet) spawn(p *process) *process {
	p.fleet = f
	f.processByName[p.name] = p
	f.processes = append(f.processes, p)
	p.start(f.t)
	return p
}

// link puts a proxy in front of an address and returns the proxy's address.
// sourceOf returns the source of a connection by the node name in its hello; it
// is nil if connections need not be distinguished.
func (f *fleet) link(name, server, upstream string, sourceOf func(node string) string) string {
	addr := f.addrs.Addr()
	f.links[name] = newLink(f.t, f, name, server, addr, upstream, sourceOf)
	return addr
}

// addServer starts a backend server with its agent.
func (f *fleet) addServer(s serverPlan) {
	backend := f.addrs.Addr()
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
	f.controlURLs[s.name] = "http://" + backend
	backendLink := f.link("link:backend:"+s.name, s.name, backend, nil)

	peers := f.addrs.Addr()
	sourceOf := f.dcOf
	if f.plan.tls {
		sourceOf = nil // the hello is encrypted
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
	f.vms = append(f.vms, controlplane.VM{
		Name: name, DataCentre: s.dc, Region: "coast", Role: settings.RoleAgent,
		// Gossip uses the address of the process, since links carry no datagrams.
		Peers: peers, Backend: s.name, State: controlplane.VMLive,
	})
}

func (f *fleet) addEntry(name, dc string) {
	s := f.settings(settings.RoleEntry, name, dc)
	s.Listen.Callers, s.Listen.Peers = f.addrs.Addr(), f.addrs.Addr()
	f.callerURLs = append(f.callerURLs, "http://"+s.Listen.Callers)
	f.spawnDaemon(s, "")
	f.vms = append(f.vms, controlplane.VM{
		Name: name, DataCentre: dc, Region: "coast", Role: settings.RoleEntry,
		Peers: s.Listen.Peers, State: controlplane.VMLive,
	})
}

func (f *fleet) settings(role, name, dc string) *settings.Settings {
	f.dcByProcess.Store(name, dc)
	config := f.link("link:platform:"+name, "", f.platform[len("http://"):], nil)
	s := &settings.Settings{
		Role: role, Node: name, DataCentre: dc, Region: "coast",
		Listen:            settings.Listen{Admin: f.addrs.Addr()},
		Platform:          settings.Platform{ConfigService: "http://" + config, VMList: "http://" + config, WeightStore: "http://" + config},
		TLS:               f.tlsFiles,
		InsecurePlaintext: !f.plan.tls,
		TicketKey:         ticketKey,
		Timeouts:          settings.Timeouts{Drain: f.plan.drain},
	}
	f.adminURLs[name] = "http://" + s.Listen.Admin
	return s
}

// dcOf returns the data centre of a process.
func (f *fleet) dcOf(process string) string {
	dc, _ := f.dcByProcess.Load(process)
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

// firstNote returns a release note with all servers of the fleet.
func (f *fleet) firstNote() release.Note {
	return release.Note{
		Schema: release.Schema, Number: 1,
		Added: release.Items{
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

// publish publishes a note as the successor of the last one.
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
	raw, err := json.Marshal(controlplane.VMs{VMs: f.vms})
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
	err := f.get(f.adminURLs[name]+"/debug/state", &s)
	return s, err
}

// awaitReady waits until all processes serve and all entries have the current
// incarnations of all agents. A ticket for an earlier incarnation is not valid.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for name := range f.adminURLs {
		f.await(name+" serving", func() bool { return f.ready(name) })
	}
}

// ready reports whether a process serves and each agent that it lists is usable and
// in its current incarnation.
func (f *fleet) ready(name string) bool {
	s, err := f.snapshot(name)
	if err != nil || s.State != "serving" {
		return false
	}
	for _, a := range s.Agents {
		if !a.Usable || !f.isCurrentIncarnation(a.Server, a.Incarnation) {
			return false
		}
	}
	return true
}

// isCurrentIncarnation reports whether an incarnation is the one that the agent of
// a server itself reports.
func (f *fleet) isCurrentIncarnation(server, incarnation string) bool {
	s, err := f.snapshot("agent-" + server)
	return err == nil && s.Node.Incarnation == incarnation
}

// watchNotes records the note in force at each process until stopWatchers is
// closed.
func (f *fleet) watchNotes() {
	for {
		for name := range f.adminURLs {
			if s, err := f.snapshot(name); err == nil {
				f.recorder.Record(invariant.Event{Kind: invariant.NoteObserved, Note: &invariant.Note{
					Number: s.Note, Digest: s.NoteDigest, Process: name,
					Incarnation: s.Node.Incarnation, Serving: s.State == "serving",
				}})
			}
		}
		select {
		case <-f.stopWatchers:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}

// await polls until a condition holds.
func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(pollTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %s: not within %v", f.scenario, what, pollTimeout)
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

// tokensBeforeHold is the number of answer tokens after which a hold at
// standin.StepDecode takes effect.
const tokensBeforeHold = 3

// holdAt makes the stand-ins of a role hold their requests at a step until
// releaseHeld.
func (f *fleet) holdAt(role release.Role, step standin.Step) {
	f.eachServer(role, func(server string) {
		f.post(fmt.Sprintf("%s/control/hold?step=%s&after=%d", f.controlURLs[server], step, tokensBeforeHold), nil)
	})
}

// releaseHeld ends the effect of holdAt at the stand-ins that respond. A killed or
// paused stand-in doesn't.
func (f *fleet) releaseHeld(role release.Role, step standin.Step) {
	f.eachServer(role, func(server string) {
		resp, err := f.http.Post(f.controlURLs[server]+"/control/release?step="+string(step), "", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
	})
}

func (f *fleet) eachServer(role release.Role, do func(server string)) {
	for _, s := range f.plan.servers {
		if s.role == role {
			do(s.name)
		}
	}
}

// awaitHeld waits until a stand-in holds a request at a step, and returns the
// name of its server.
func (f *fleet) awaitHeld(role release.Role, step standin.Step) string {
	f.t.Helper()
	holder := ""
	f.await(fmt.Sprintf("a request at step %s", step), func() bool {
		f.eachServer(role, func(server string) {
			var s standin.TestControlState
			_ = f.get(f.controlURLs[server]+"/control/state?step="+string(step), &s)
			if s.Waiting > 0 || step == standin.StepDecode && s.Decoding > 0 {
				holder = server
			}
		})
		return holder != ""
	})
	return holder
}

// memoryFree reports whether the engines that respond hold no requests.
func (f *fleet) memoryFree() bool {
	for _, s := range f.plan.servers {
		var held struct {
			Requests []json.RawMessage `json:"requests"`
		}
		if s.role != release.RoleService && f.get(f.controlURLs[s.name]+"/engine/requests", &held) == nil && len(held.Requests) > 0 {
			return false
		}
	}
	return true
}

// checkInvariants waits until the engines hold no requests, then checks all
// invariants against the recorded events.
func (f *fleet) checkInvariants() []invariant.Verdict {
	f.t.Helper()
	f.await("released memory", f.memoryFree)
	close(f.stopWatchers)
	f.watchers.Wait()
	events, err := invariant.ReadFiles(f.logs...)
	if err != nil {
		f.t.Fatal(err)
	}
	verdicts := invariant.Check(events, expectedAnswer)
	for _, v := range verdicts {
		for i, violation := range v.Violations {
			if i < 3 {
				f.t.Errorf("violated: %s\n%s", v.Invariant, violation)
			}
		}
		if n := len(v.Violations); n > 3 {
			f.t.Errorf("violated: %s: %d violations in all", v.Invariant, n)
		}
	}
	addToTotals(verdicts)
	return verdicts
}

// dispose kills all processes, closes the links and, if the test failed, logs
// what the processes printed last.
func (f *fleet) dispose() {
	for _, p := range f.processes {
		p.dispose()
	}
	for _, l := range f.links {
		l.close()
	}
	if f.t.Failed() {
		for _, p := range f.processes {
			f.t.Logf("== %s\n%s", p.name, p.tail(3000))
		}
	}
}
