package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// fleet is a small deployment: a store, servers and processes of the project.
type fleet struct {
	dir   string // temporary
	store *standin.Store
	log   *os.File // the record

	firstPort, lastPort, callerPort, readyPort int

	mu        sync.Mutex
	processes []*exec.Cmd
	servers   map[string]serverOptions
}

// newFleet returns an empty deployment that writes to a record.
func newFleet(record string) (*fleet, error) {
	log, err := os.OpenFile(record, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: standin.NewStore(), log: log, servers: map[string]serverOptions{}}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	f.firstPort, f.lastPort, f.callerPort, f.readyPort = ports[0], ports[1], ports[2], ports[3]
	return f, nil
}

// Ports of the deployment are below the kernel's ephemeral range, so that no outgoing connection
// takes one of them before its process listens.
const (
	lowestPort = 20_000
	portRange  = 10_000
)

// freePorts returns ports that are free on all loopback addresses, in ascending order.
func freePorts(n int) ([]int, error) {
	var out []int
	for tries := 0; len(out) < n; tries++ {
		if tries == portRange {
			return nil, errors.New("no free ports")
		}
		port := lowestPort + rand.IntN(portRange)
		if !slices.Contains(out, port) && isFree(port) {
			out = append(out, port)
		}
	}
	slices.Sort(out)
	return out, nil
}

// isFree reports whether no process uses a port, over TCP or UDP.
func isFree(port int) bool {
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	defer ln.Close()
	conn, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// note appends one line to the record.
func (f *fleet) note(format string, args ...any) {
	_, _ = fmt.Fprintf(f.log, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// close ends all processes that were started.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	_ = f.log.Close()
}

func (f *fleet) start(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := exec.Command(program, args...)
	p.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// kill ends one process at once.
func (f *fleet) kill(p *exec.Cmd) {
	_ = p.Process.Signal(syscall.SIGKILL)
	_ = p.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.processes {
		if o == p {
			f.processes = append(f.processes[:i], f.processes[i+1:]...)
			return
		}
	}
}

// Bounds of the smallest deployment of our users.
const (
	drainTime  = 2 * time.Second
	graceTime  = 8 * time.Second
	configTime = 2 * time.Second
)

// startNode starts a process of the project with the arguments of the deploy file.
func (f *fleet) startNode(name, ip string, seeds []string, args ...string) (*exec.Cmd, error) {
	s := standin.NodeSettings{
		Name: name, IP: ip, DataCentre: "delta-a", FirstPort: f.firstPort, LastPort: f.lastPort, Seeds: seeds,
		Callers: f.callers(ip), Ready: f.ready(ip), MemoryMB: 134, Grace: graceTime, Drain: drainTime, Config: configTime,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 58, Store: f.store.Addr(), LinkMbps: 1000,
	}
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(s.Text()), 0o600); err != nil {
		return nil, err
	}
	return f.start(name, []string{"SAMPHIRESTREAM_NODE_FILE=" + path}, "target/samphired", append([]string{"-platform"}, args...)...)
}

func (f *fleet) callers(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(f.callerPort)) }

func (f *fleet) ready(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(f.readyPort)) }

// startEntries starts entries and waits until they are ready.
func (f *fleet) startEntries(ips ...string) error {
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(f.firstPort)))
	}
	for i, ip := range ips {
		if _, err := f.startNode(fmt.Sprint("entry-", i+1), ip, seeds); err != nil {
			return err
		}
	}
	for _, ip := range ips {
		if err := f.awaitReady(ip); err != nil {
			return err
		}
	}
	time.Sleep(2500 * time.Millisecond) // until the entries know each other and their number
	return nil
}

const startTimeout = 15 * time.Second

func (f *fleet) awaitReady(ip string) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + f.ready(ip) + "/ready")
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

// Services of the deployment.
const (
	model  = "bark-llm"
	ledger = "harvest-ledger"
	host   = "ficu95.example"
)

// route is a route of the configuration.
type route struct {
	path, kind, service string
	timeout, target     time.Duration
	attempts            int
	resumable           bool
}

// memoryTokens is the memory of a model server.
const memoryTokens = 74442

// configure publishes the configuration.
func (f *fleet) configure(version, slots int, routes ...route) {
	var out []any
	for i, r := range routes {
		w := map[string]any{
			"name": fmt.Sprint("r-", i+1), "host": host, "path_prefix": r.path, "kind": r.kind, "service": r.service, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": r.target.Milliseconds(), "priority": 1, "max_attempts": r.attempts,
		}
		if r.kind == "streaming" {
			w["sticky"], w["resumable"], w["target_gap_ms"] = true, r.resumable, 300
		}
		out = append(out, w)
	}
	f.store.Put("op/config", map[string]any{
		"version": version, "routes": out,
		"services": []any{
			map[string]any{"name": model, "health_path": "/healthz", "max_connections": 180, "engine": map[string]any{
				"slots": slots, "kv_tokens": memoryTokens, "kv_bytes": 262144, "stride": 1, "kv_hold_s": handleTTL.Seconds(), "switch_s": 6.0,
			}},
			map[string]any{"name": ledger, "health_path": "/healthz", "max_connections": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startServer starts a server and registers it.
func (f *fleet) startServer(o serverOptions) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	o.Record = f.log.Name()
	p, err := f.start(o.ID, nil, self, o.args()...)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", o.Addr)
		if err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(until) {
			return nil, err
		}
	}
	f.mu.Lock()
	f.servers[o.ID] = o
	f.mu.Unlock()
	f.register(o.ID, "ready")
	return p, nil
}

// register writes the registration of a server with a state.
func (f *fleet) register(id, state string) {
	f.mu.Lock()
	o := f.servers[id]
	f.mu.Unlock()
	service, stage := model, o.Stage
	if o.Stage == "plain" {
		service, stage = ledger, ""
	}
	f.note("store %s is %s", id, state)
	f.store.Register(standin.Registration{ID: id, Service: service, Address: o.Addr, DataCentre: "delta-a", Slots: o.Slots, State: state, Stage: stage, Software: "v1", Born: born})
}

// born is the start of the servers.
var born = time.Now().UnixMilli()

// remove removes the registration of a server.
func (f *fleet) remove(id string) {
	f.note("store %s is gone", id)
	f.store.Put("servers/"+id, nil)
}

// runs returns the number of runs of each request by the record.
func (f *fleet) runs() (map[string][]string, error) {
	text, err := os.ReadFile(f.log.Name())
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) > 4 && w[1] == "server" && w[3] == "runs" {
			out[w[4]] = append(out[w[4]], w[2])
		}
	}
	return out, nil
}
