// Command harness plays the cases of the second review. It starts the project's programs as
// processes on loopback addresses, before stand-ins of the platform's store, of servers and of
// callers, and judges what these see.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// Ports of all machines of a fleet; each machine has a loopback address of its own.
const (
	frontPort   = 18144
	readyPort   = 18140
	controlPort = 18146
	firstPort   = 18160
	lastPort    = 18175
	appPort     = 18147
	storePort   = 18142
	lockPort    = 18100
)

// memoryMB is the memory of a front in sites/nbct-router.toml.
const memoryMB = 134

// fleet is a small deployment.
type fleet struct {
	subnet  string // the first three octets of its addresses
	dir     string
	store   *standin.Store
	record  *record
	lock    net.Listener
	mu      sync.Mutex
	running map[*process]bool
	// switchSeconds is the time of a change of stage; 0 if servers can't change it.
	switchSeconds float64
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet reserves addresses and starts the store.
func newFleet(folder string) (*fleet, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &fleet{record: &record{file: file, began: time.Now()}, running: map[*process]bool{}, store: standin.New()}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for i := range 200 {
		f.subnet = fmt.Sprintf("127.%d.%d", 30+os.Getpid()%200, 1+i)
		if f.lock, err = net.Listen("tcp", f.at(1, lockPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", f.storeAddr())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, f.store) }()
	return f, nil
}

func (f *fleet) ip(machine int) string { return fmt.Sprintf("%s.%d", f.subnet, machine) }

func (f *fleet) at(machine, port int) string { return fmt.Sprintf("%s:%d", f.ip(machine), port) }

func (f *fleet) storeAddr() string { return f.at(2, storePort) }

// close ends all that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	all := f.running
	f.running = map[*process]bool{}
	f.mu.Unlock()
	for p := range all {
		p.kill()
	}
	_ = f.lock.Close()
	_ = os.RemoveAll(f.dir)
	_ = f.record.file.Close()
}

// process is a process that the fleet started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// run starts a process.
func (f *fleet) run(name string, env []string, command string, args ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(command, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	out, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	f.mu.Lock()
	f.running[p] = true
	f.mu.Unlock()
	return p, nil
}

// entryOptions are what the settings of an entry may differ in.
type entryOptions struct {
	bootstrap bool
	store     string
	seeds     []string
}

// settings returns a settings file as DEPLOY.md shows it, with the figures of
// sites/nbct-router.toml.
func (f *fleet) settings(name, class string, machine int, o entryOptions) string {
	listen := ""
	if class == "front" {
		listen = fmt.Sprintf("front = %q\nready = %q\ncontrol = %q\n", f.at(machine, frontPort), f.at(machine, readyPort), f.at(machine, controlPort))
	}
	return fmt.Sprintf(`node_name = %q
machine_class = %q
serves = ["front","control"]
ip = %q
zone = "delta-a"
region = "delta-north"
internal_ports = [%d,%d]
seeds = ["%s"]
bootstrap = %t
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
delta-a = "delta-north"
[listen]
%s[limits]
cpu_share = 1.0
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
enforce_fencing = true
lease_ms = 3000
[platform]
address = %q
form = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`, name, class, f.ip(machine), firstPort, lastPort, strings.Join(o.seeds, `","`), o.bootstrap, listen, memoryMB, o.store)
}

// samphired is the program that the deploy file builds, from the repository's root.
const samphired = "target/samphired"

// startEntry starts an entry with the command of the deploy file.
func (f *fleet) startEntry(name string, machine int, o entryOptions) (*process, error) {
	return f.startRole(name, "front", machine, o, "-platform")
}

// startAgent starts the process beside a model server.
func (f *fleet) startAgent(name string, machine int, o entryOptions) (*process, error) {
	return f.startRole(name, "side", machine, o, "-platform", "-agent")
}

func (f *fleet) startRole(name, class string, machine int, o entryOptions, args ...string) (*process, error) {
	file := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(file, []byte(f.settings(name, class, machine, o)), 0o600); err != nil {
		return nil, err
	}
	return f.run(name, []string{"SAMPHIRESTREAM_NODE_FILE=" + file}, samphired, args...)
}

// awaitReady waits until an entry reports itself ready.
func (f *fleet) awaitReady(machine int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + f.at(machine, readyPort) + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("an entry did not become ready")
}

// Names of the deployment.
const (
	host         = "ficu95.example"
	modelService = "bark-llm"
	plainService = "harvest-ledger"
	streamPath   = "/stream/"
	resumePath   = "/resumable/"
	unsafePath   = "/unsafe/"
	safePath     = "/safe/"
)

// configure writes a configuration with the figures of sites/nbct-router.toml.
func (f *fleet) configure(version int) {
	route := func(path, kind, service string, attempts int, resumable bool, timeout, target, gap int) map[string]any {
		return map[string]any{
			"name": path, "host": host, "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": target, "target_gap_ms": gap, "max_attempts": attempts, "resumable": resumable, "sticky": kind == "streaming", "priority": 1,
		}
	}
	f.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route(streamPath, "streaming", modelService, 1, false, 14_000, 900, 300),
			route(resumePath, "streaming", modelService, 2, true, 14_000, 900, 300),
			route(unsafePath, "unsafe", plainService, 1, false, 800, 150, 0),
			route(safePath, "safe", plainService, 2, false, 800, 150, 0),
		},
		"services": []any{
			map[string]any{"name": modelService, "max_connections": 180, "engine": map[string]any{"slots": 16, "kv_tokens": 74_442, "kv_hold_s": 0.5, "stride": 1, "switch_s": f.switchSeconds}},
			map[string]any{"name": plainService, "max_connections": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16 << 10, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15_000},
	})
}

// register writes the registration of a server.
func (f *fleet) register(s *server, state string) {
	f.store.Register(standin.Registration{
		ID: s.id, Service: s.service, Address: s.addr, DataCentre: "delta-a", Slots: s.slots, State: state, Stage: s.stage, Software: s.software, Born: s.born,
	})
}
