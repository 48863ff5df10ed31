package bench

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/standin"
)

// concurrentAnswers is the number of answers in progress in BenchmarkHold.
const concurrentAnswers = 480

// slowEngine has capacity for all answers and keeps them in progress for some
// seconds.
func slowEngine(c *standin.EngineConfig) {
	pathEngine(c)
	c.Slots = concurrentAnswers
	c.Pieces = 4 * concurrentAnswers
	c.StepTime = 400 * time.Millisecond
}

// processVars is the part of /debug/vars that the benchmark reads.
type processVars struct {
	MemStats struct {
		HeapInuse, StackInuse uint64
	} `json:"memstats"`
}

// BenchmarkHold measures the memory that an answer in progress needs at the entry
// and, as the sum over all agents, at the agents. Half of the agents serve decodes.
func BenchmarkHold(b *testing.B) {
	f := startRoleFleet(b, slowEngine)
	for b.Loop() {
		entry, agents := f.entry.goMemory(b), f.agentMemory()
		peakEntry, peakAgents := f.measurePeakMemory()
		b.ReportMetric(float64(peakEntry-entry)/concurrentAnswers/1e3, "entry_kB/request")
		b.ReportMetric(float64(peakAgents-agents)/concurrentAnswers/1e3, "agent_kB/request")
	}
}

// measurePeakMemory streams concurrentAnswers answers and returns the peak memory of
// each role.
func (f *roleFleet) measurePeakMemory() (entry, agents int64) {
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range concurrentAnswers {
		wg.Go(func() { f.streamAnswer(client, "hold "+strconv.Itoa(i), 0) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return entry, agents
		case <-ticker.C:
			entry = max(entry, f.entry.goMemory(f.b))
			agents = max(agents, f.agentMemory())
		}
	}
}

func (f *roleFleet) agentMemory() int64 {
	var total int64
	for _, p := range f.agents {
		total += p.goMemory(f.b)
	}
	return total
}

// goMemory returns the heap and the stacks in use by a process, in bytes.
func (p *process) goMemory(b *testing.B) int64 {
	resp, err := http.Get("http://" + p.admin + "/debug/vars")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var vars processVars
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		b.Fatal(err)
	}
	return int64(vars.MemStats.HeapInuse + vars.MemStats.StackInuse)
}
