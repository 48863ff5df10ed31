package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/internal/standin"
	"github.com/samphirestream/samphirestream/internal/testaddr"
)

// Size of the role benchmark.
const (
	roleAgents     = 6   // half prefill, half decode
	roleRequests   = 600 // of each load
	roleConcurrent = 40
	roleIdleTime   = 5 * time.Second
	roleKey        = "bench-key"
	roleModel      = "reader@1"
	shortPrompt    = 10     // tokens
	longPrompt     = 10_000 // tokens
	shortAnswer    = 8      // tokens
	startTimeout   = 15 * time.Second
	// roleTarget is the latency target of the callers. They are always roleConcurrent, so
	// that on a busy machine requests wait long; the benchmark measures their cost.
	roleTarget = time.Minute
	// clockTicksPerSecond is the unit of processor time in /proc.
	clockTicksPerSecond = 100
)

// roleFleet is a fleet of one entry and roleAgents agents. Each runs in its own
// process, so that the kernel accounts for the processor time and the memory of each
// role.
type roleFleet struct {
	b           *testing.B
	tune        func(*standin.EngineConfig)
	dir         string
	daemon      string
	configURL   string
	addrs       *testaddr.Host
	callersAddr string
	note        release.Note
	entry       *process
	agents      []*process
}

// process is a running daemon.
type process struct {
	cmd   *exec.Cmd
	log   bytes.Buffer
	admin string // address of its admin interface
}

// BenchmarkRole measures, for each role, the processor time of a request, of an
// answer token, of a prompt token and of an idle second, and the resident memory.
func BenchmarkRole(b *testing.B) {
	f := startRoleFleet(b, pathEngine)
	for b.Loop() {
		idleEntry, idleAgents := f.measureIdle()
		base := f.runLoad(shortPrompt, shortAnswer)
		answers := f.runLoad(shortPrompt, 0)
		prompts := f.runLoad(longPrompt, shortAnswer)
		reportRole(b, "entry", idleEntry, base.entry, answers.entry, prompts.entry, base.tokens, answers.tokens, 1)
		reportRole(b, "agent", idleAgents, base.agents, answers.agents, prompts.agents, base.tokens, answers.tokens, roleAgents)
		b.ReportMetric(float64(f.entry.residentMemory(b))/1e6, "entry_MB")
		b.ReportMetric(float64(f.agents[0].residentMemory(b))/1e6, "agent_MB")
	}
}

// reportRole computes the costs of a request, an answer token and a prompt token
// from three loads: base has short prompts and short answers, answers has longer
// answers, and prompts longer prompts. The cost at agents is the sum over all agents
// that serve a request.
func reportRole(b *testing.B, role string, idle, base, answers, prompts time.Duration, baseTokens, answerTokens, processes int) {
	perToken := float64((answers - base).Microseconds()) / float64(answerTokens-baseTokens)
	perRequest := float64(base.Microseconds())/roleRequests - perToken*float64(baseTokens)/roleRequests
	perPrompt := float64((prompts - base).Microseconds()) / (roleRequests * (longPrompt - shortPrompt))
	b.ReportMetric(perRequest, role+"_µs/request")
	b.ReportMetric(perToken, role+"_µs/token")
	b.ReportMetric(perPrompt*1000, role+"_ns/prompt_token")
	b.ReportMetric(float64(idle.Microseconds())/roleIdleTime.Seconds()/float64(processes), role+"_idle_µs/s")
}

// loadCost is the processor time that a load took at each role, and the number of
// its answer tokens.
type loadCost struct {
	entry, agents time.Duration
	tokens        int
}

// measureIdle returns the processor time of each role in roleIdleTime without load.
func (f *roleFleet) measureIdle() (entry, agents time.Duration) {
	e, a := f.entry.cpuTime(f.b), f.agentCPU()
	time.Sleep(roleIdleTime)
	return f.entry.cpuTime(f.b) - e, f.agentCPU() - a
}

func (f *roleFleet) agentCPU() time.Duration {
	var total time.Duration
	for _, p := range f.agents {
		total += p.cpuTime(f.b)
	}
	return total
}

// runLoad sends roleRequests requests and returns their cost. With maxTokens 0
// answers are not truncated.
func (f *roleFleet) runLoad(promptTokens, maxTokens int) loadCost {
	e, a := f.entry.cpuTime(f.b), f.agentCPU()
	var next, tokens atomic.Int64
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: roleConcurrent}}
	defer client.CloseIdleConnections()
	for range roleConcurrent {
		wg.Go(func() {
			for n := next.Add(1); n <= roleRequests; n = next.Add(1) {
				prompt := strings.Repeat("word ", promptTokens-1) + strconv.FormatInt(n, 10)
				tokens.Add(int64(f.streamAnswer(client, prompt, maxTokens)))
			}
		})
	}
	wg.Wait()
	return loadCost{entry: f.entry.cpuTime(f.b) - e, agents: f.agentCPU() - a, tokens: int(tokens.Load())}
}

// streamAnswer streams one answer and returns the number of its tokens.
func (f *roleFleet) streamAnswer(client *http.Client, prompt string, maxTokens int) int {
	limit := ""
	if maxTokens > 0 {
		limit = fmt.Sprintf(`,"max_tokens":%d`, maxTokens)
	}
	body := fmt.Sprintf(`{"model":"reader","stream":true,"prompt":%q%s}`, prompt, limit)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callersAddr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		f.b.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+roleKey)
	resp, err := client.Do(req)
	if err != nil {
		f.b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if !bytes.HasSuffix(text, []byte("data: [DONE]\n\n")) {
		f.b.Errorf("status %s, answer not whole: %.300s", resp.Status, text)
		return 0
	}
	want, _ := standin.Answer(roleModel, "", prompt, maxTokens)
	return len(want)
}

func startRoleFleet(b *testing.B, tune func(*standin.EngineConfig)) *roleFleet {
	b.Helper()
	addrs := testaddr.Reserve(b)
	f := &roleFleet{b: b, tune: tune, dir: b.TempDir(), addrs: addrs, callersAddr: addrs.Addr()}
	f.daemon = filepath.Join(f.dir, "samphired")
	if out, err := exec.Command("go", "build", "-o", f.daemon, "../cmd/samphired").CombinedOutput(); err != nil {
		b.Fatalf("building samphired: %v\n%s", err, out)
	}
	service := standin.NewConfigService()
	f.configURL = serve(b, service.Handler())
	f.note = release.Note{Schema: release.Schema, Number: 1, Added: release.Items{
		Models: []release.Model{{Name: "reader", Version: "1", WindowTokens: 64_000, Default: true}},
		Providers: []release.Provider{{
			Name: "bench", KeyDigests: []string{release.Digest([]byte(roleKey))}, Weight: 1,
			Targets: release.LatencyTargets{FirstToken: roleTarget, BetweenTokens: roleTarget},
		}},
	}}
	for i := range roleAgents {
		f.addAgent(i)
	}
	raw, err := yaml.Marshal(f.note)
	if err != nil {
		b.Fatal(err)
	}
	service.Publish(raw)
	f.entry = f.startProcess(&settings.Settings{Role: settings.RoleEntry, Node: "entry", Listen: settings.Listen{Callers: f.callersAddr}})
	for _, p := range append(f.agents, f.entry) {
		p.awaitReady(b)
	}
	return f
}

func (f *roleFleet) addAgent(i int) {
	role := release.RolePrefill
	if i%2 == 1 {
		role = release.RoleDecode
	}
	name := fmt.Sprintf("server-%d", i)
	cfg := standin.DefaultEngineConfig(name, string(role), roleModel)
	f.tune(&cfg)
	peers := f.addrs.Addr()
	f.note.Added.BackendServers = append(f.note.Added.BackendServers, release.BackendServer{
		Name: name, DataCentre: "dc", Agent: peers, Role: role, Models: []string{roleModel},
	})
	f.agents = append(f.agents, f.startProcess(&settings.Settings{
		Role: settings.RoleAgent, Node: "agent-" + name, Listen: settings.Listen{Peers: peers},
		Backend: settings.Backend{Name: name, Kind: settings.KindEngine, URL: serve(f.b, standin.NewEngine(cfg).Handler())},
	}))
}

// startProcess starts a daemon, which is killed at the end of the benchmark.
func (f *roleFleet) startProcess(s *settings.Settings) *process {
	s.DataCentre = "dc"
	s.Platform.ConfigService = f.configURL
	s.InsecurePlaintext = true
	s.TicketKey = "00112233445566778899aabbccddeeff"
	s.Listen.Admin = f.addrs.Addr()
	if s.Listen.Peers == "" {
		s.Listen.Peers = f.addrs.Addr()
	}
	raw, err := yaml.Marshal(s)
	if err != nil {
		f.b.Fatal(err)
	}
	file := filepath.Join(f.dir, s.Node+".yaml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		f.b.Fatal(err)
	}
	p := &process{cmd: exec.Command(f.daemon, "-settings", file), admin: s.Listen.Admin}
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	})
	return p
}

func (p *process) awaitReady(b *testing.B) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + p.admin + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Fatalf("a process is not ready:\n%s", p.log.String())
}

// cpuTime returns the processor time that a process has used.
func (p *process) cpuTime(b *testing.B) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	const utime, stime = 11, 12 // indices of the fields after the command name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	system, _ := strconv.ParseInt(fields[stime], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentMemory returns the resident memory of a process in bytes.
func (p *process) residentMemory(b *testing.B) int64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
