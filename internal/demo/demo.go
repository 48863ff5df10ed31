// Package demo runs a small fleet in one process on loopback: a real entry and
// real agents, with stand-ins for engines, a plain service and the platform.
package demo

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/node"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// Bearer keys of the demo's providers.
const (
	KeyNileBark = "demo-nile-bark"
	KeyRegistry = "demo-registry"
)

// Model is the key of the demo's model.
const Model = "reader@1"

const (
	ticketKey = "00112233445566778899aabbccddeeff"
	loopback  = "127.0.0.1:0"
	// noticePeriod is short since the demo has no load balancer, which would need
	// time to notice that the entry shuts down.
	noticePeriod = 10 * time.Millisecond
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 5 * time.Second
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// Option changes the fleet before it starts.
type Option func(*Fleet)

// TuneEngines changes the configuration of each stand-in engine.
func TuneEngines(tune func(*standin.EngineConfig)) Option {
	return func(f *Fleet) { f.tune = tune }
}

// TuneNote changes the first release note before it is published.
func TuneNote(tune func(*release.Note)) Option {
	return func(f *Fleet) { f.tuneNote = tune }
}

// Fleet is the running fleet of a demo.
type Fleet struct {
	Config  *standin.ConfigService
	VMs     *standin.VMList
	Ledger  *standin.Ledger
	Engines []*standin.Engine

	log       log.Logger
	nodes     []*node.Node
	note      release.Note // the first release note
	digest    string       // of the first release note
	configURL string
	vmListURL string
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	nodeErrs  chan error

	tune     func(*standin.EngineConfig)
	tuneNote func(*release.Note)
}

// Start starts a fleet whose entry listens on addr for callers, and returns when
// the entry can use all backend servers.
func Start(ctx context.Context, addr string, logger log.Logger, options ...Option) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		Config: standin.NewConfigService(), VMs: standin.NewVMList(0), Ledger: &standin.Ledger{},
		log: logger, cancel: cancel, nodeErrs: make(chan error, 64),
		tune:     func(*standin.EngineConfig) {},
		tuneNote: func(*release.Note) {},
	}
	for _, o := range options {
		o(f)
	}
	if err := f.build(ctx, addr); err != nil {
		f.Stop()
		return nil, errors.Trace(err)
	}
	if err := f.waitReady(ctx); err != nil {
		f.Stop()
		return nil, errors.Trace(err)
	}
	return f, nil
}

// CallersAddr returns the address that the entry serves callers on.
func (f *Fleet) CallersAddr() string {
	for _, n := range f.nodes {
		if addr := n.CallersAddr(); addr != "" {
			return addr
		}
	}
	return ""
}

// FirstNoteDigest returns the digest of the first release note.
func (f *Fleet) FirstNoteDigest() string { return f.digest }

// NoteInForce returns the number of the latest release note that is in force at every
// process.
func (f *Fleet) NoteInForce() uint64 {
	lowest := f.nodes[0].Note()
	for _, n := range f.nodes {
		lowest = min(lowest, n.Note())
	}
	return lowest
}

// AdminAddrs returns the admin addresses of all processes.
func (f *Fleet) AdminAddrs() []string {
	addrs := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		addrs[i] = n.AdminAddr()
	}
	return addrs
}

// Stop shuts the fleet down gracefully.
func (f *Fleet) Stop() {
	f.cancel()
	f.wg.Wait()
}

func (f *Fleet) build(ctx context.Context, addr string) error {
	var err error
	if f.configURL, err = f.serve(ctx, f.Config.Handler()); err != nil {
		return err
	}
	if f.vmListURL, err = f.serve(ctx, f.VMs.Handler()); err != nil {
		return err
	}
	f.note = baseNote()
	for _, dc := range dataCentres {
		if err := f.addDataCentre(ctx, dc); err != nil {
			return err
		}
	}
	f.tuneNote(&f.note)
	raw, err := yaml.Marshal(f.note)
	if err != nil {
		return errors.Trace(err)
	}
	f.digest = release.Digest(raw)
	f.Config.Publish(raw)
	return f.addEntry(ctx, addr)
}

// addDataCentre starts two prefill engines, three decode engines and a ledger
// server, each with its agent. All ledger servers share their records.
func (f *Fleet) addDataCentre(ctx context.Context, dc string) error {
	roles := []release.Role{release.RolePrefill, release.RolePrefill, release.RoleDecode, release.RoleDecode, release.RoleDecode}
	for i, role := range roles {
		name := fmt.Sprintf("%s-%s-%d", dc, role, i)
		cfg := standin.DefaultEngineConfig(name, string(role), Model)
		f.tune(&cfg)
		eng := standin.NewEngine(cfg)
		f.Engines = append(f.Engines, eng)
		server := release.BackendServer{Name: name, DataCentre: dc, Role: role, Models: []string{Model}}
		if err := f.addAgent(ctx, server, eng.Handler()); err != nil {
			return err
		}
	}
	server := release.BackendServer{Name: dc + "-ledger", DataCentre: dc, Role: release.RoleService, Service: "ledger"}
	return f.addAgent(ctx, server, f.Ledger.Handler())
}

func (f *Fleet) addAgent(ctx context.Context, server release.BackendServer, backend http.Handler) error {
	url, err := f.serve(ctx, backend)
	if err != nil {
		return err
	}
	peers, err := freeAddress()
	if err != nil {
		return err
	}
	server.Agent, server.Region = peers, "coast"
	f.note.Added.BackendServers = append(f.note.Added.BackendServers, server)
	f.publishVMs()
	s := f.settings(settings.RoleAgent, "agent-"+server.Name, server.DataCentre)
	s.Listen.Peers = peers
	s.Backend = settings.Backend{Name: server.Name, Kind: backendKind(server), URL: url}
	return f.addNode(ctx, s)
}

func backendKind(server release.BackendServer) string {
	if server.Role == release.RoleService {
		return settings.KindService
	}
	return settings.KindEngine
}

func (f *Fleet) addEntry(ctx context.Context, addr string) error {
	s := f.settings(settings.RoleEntry, "entry-1", dataCentres[0])
	s.Listen.Callers, s.Listen.Peers = addr, loopback
	return f.addNode(ctx, s, node.WrapCallers(withMetrics))
}

// withMetrics also serves the metrics of the process on the callers' address.
func withMetrics(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("/", next)
	return mux
}

func (f *Fleet) settings(role, name, dc string) *settings.Settings {
	return &settings.Settings{
		Role: role, Node: name, DataCentre: dc, Region: "coast",
		Listen:            settings.Listen{Admin: loopback},
		Platform:          settings.Platform{ConfigService: f.configURL, VMList: f.vmListURL},
		Timeouts:          settings.Timeouts{Notice: noticePeriod},
		InsecurePlaintext: true,
		TicketKey:         ticketKey,
	}
}

func (f *Fleet) addNode(ctx context.Context, s *settings.Settings, options ...node.Option) error {
	if err := s.Complete(); err != nil {
		return errors.Annotatef(err, "settings of %s", s.Node)
	}
	n, err := node.New(s, log.With(f.log, "process", s.Node), options...)
	if err != nil {
		return errors.Trace(err)
	}
	f.nodes = append(f.nodes, n)
	f.wg.Go(func() {
		if err := n.Run(ctx); err != nil {
			f.nodeErrs <- errors.Annotate(err, s.Node)
		}
	})
	return nil
}

// serve serves a stand-in on a free port and returns its URL. The server closes one
// second after ctx is done.
func (f *Fleet) serve(ctx context.Context, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	context.AfterFunc(ctx, func() {
		time.AfterFunc(time.Second, func() { _ = server.Close() })
	})
	go func() { _ = server.Serve(ln) }()
	return "http://" + ln.Addr().String(), nil
}

// freeAddress returns a loopback address that was free when it was checked.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// publishVMs sets the VM list to the VMs of all agents so far.
func (f *Fleet) publishVMs() {
	var vms []controlplane.VM
	for _, s := range f.note.Added.BackendServers {
		vms = append(vms, controlplane.VM{
			Name: "agent-" + s.Name, DataCentre: s.DataCentre, Region: s.Region, Role: settings.RoleAgent,
			Peers: s.Agent, Backend: s.Name, State: controlplane.VMLive,
		})
	}
	f.VMs.Set(vms...)
}

// baseNote returns the first release note without its backend servers.
func baseNote() release.Note {
	targets := release.LatencyTargets{FirstToken: 1400 * time.Millisecond, BetweenTokens: 74 * time.Millisecond}
	return release.Note{
		Schema: release.Schema, Number: 1, Summary: "the demo's fleet",
		Added: release.Items{
			Models: []release.Model{{Name: "reader", Version: "1", WindowTokens: 64_000, Default: true}},
			Services: []release.Service{{Name: "ledger", Prefix: "/ledger", Calls: []release.ServiceCall{
				{Method: http.MethodPost, Path: "/payments"},
				{Method: http.MethodGet, Path: "/contracts/*", Idempotent: true},
			}}},
			Providers: []release.Provider{
				{
					Name: "nile-bark", KeyDigests: []string{release.Digest([]byte(KeyNileBark))}, Weight: 2,
					Targets: targets, Objective: release.Objective{Goodput: 3, WastedPrefill: 1},
				},
				{
					Name: "registry", KeyDigests: []string{release.Digest([]byte(KeyRegistry))}, Weight: 1,
					Targets: targets, Objective: release.Objective{Goodput: 1, WastedPrefill: 3},
				},
			},
		},
	}
}

// waitReady waits until the fleet is ready, and fails when a process fails or
// readyTimeout has passed.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if f.ready() {
			return nil
		}
		select {
		case err := <-f.nodeErrs:
			return err
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "starting the demo")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// ready reports whether all processes are ready and the entry can use all backend
// servers.
func (f *Fleet) ready() bool {
	usable := 0
	for _, n := range f.nodes {
		if !n.Ready() {
			return false
		}
		usable = max(usable, n.UsableServers())
	}
	return usable == len(f.note.Added.BackendServers)
}

// The metrics of the process cover the stand-ins of the current fleet.
var (
	currentMu sync.Mutex
	current   *Fleet
	publish   sync.Once
)

// PublishVars publishes the metrics of the fleet's stand-ins by expvar:
// standin_pieces_held, standin_requests_running and standin_ledger_executions.
func (f *Fleet) PublishVars() {
	currentMu.Lock()
	defer currentMu.Unlock()
	current = f
	publish.Do(func() {
		expvar.Publish("standin_pieces_held", expvar.Func(func() any { return sumEngines((*standin.Engine).PiecesHeld) }))
		expvar.Publish("standin_requests_running", expvar.Func(func() any { return sumEngines((*standin.Engine).RequestsHeld) }))
		expvar.Publish("standin_ledger_executions", expvar.Func(func() any {
			currentMu.Lock()
			defer currentMu.Unlock()
			return current.Ledger.Executions()
		}))
	})
}

// sumEngines returns the sum of a value over the engines of the current fleet.
func sumEngines(value func(*standin.Engine) int) int {
	currentMu.Lock()
	defer currentMu.Unlock()
	total := 0
	for _, e := range current.Engines {
		total += value(e)
	}
	return total
}

// Run runs the demo until ctx ends.
func Run(ctx context.Context, addr string, out io.Writer, logger log.Logger) error {
	f, err := Start(ctx, addr, logger)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Stop()
	f.PublishVars()
	printHelp(out, f.CallersAddr())
	_, _ = fmt.Fprintln(out, "samphirectl status "+strings.Join(f.AdminAddrs(), " "))
	<-ctx.Done()
	return nil
}

func printHelp(out io.Writer, addr string) {
	lines := []string{
		"ready http://" + addr,
		fmt.Sprintf(`curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"reader","messages":[{"role":"user","content":"Summarise contract C1."}]}'`, addr, KeyNileBark),
		fmt.Sprintf(`curl -sN http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"reader","prompt":"Summarise wayleave file W7.","stream":true}'`, addr, KeyRegistry),
		fmt.Sprintf(`curl -si http://%s/ledger/payments -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"contract":"C1","amount":100}'`, addr, KeyNileBark),
	}
	_, _ = fmt.Fprintln(out, strings.Join(lines, "\n"))
}
