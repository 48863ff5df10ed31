package bench

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/ulid/v2"

	"github.com/samphirestream/samphirestream/internal/demo"
	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// Load of the path benchmark.
const (
	pathRequests   = 1200
	pathConcurrent = 120
	// designTokensPerSecond is an entry's share of the peak: 3.7 million tokens
	// a second over 330 entries.
	designTokensPerSecond = 11_200
)

// pathEngine makes the stand-in engines faster than the entry and the agents, so
// that they don't limit the measurement.
func pathEngine(c *standin.EngineConfig) {
	c.StepTime = 2 * time.Millisecond
	c.PrefillTokensPerSecond = 2_000_000
	c.LinkPiecesPerSecond = 20_000
	c.ResultTTL = 5 * time.Second
}

// BenchmarkPath measures the cost of streamed answers through one entry and the
// agents, and that of answers read directly from the engines. Both include the
// stand-in engines and the client, so that the difference is the cost of the entry
// and the agents.
func BenchmarkPath(b *testing.B) {
	f, err := demo.Start(context.Background(), "127.0.0.1:0", log.NewNopLogger(), demo.TuneEngines(pathEngine))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pathConcurrent}}
	b.Run("direct", func(b *testing.B) {
		urls := serveEngines(b)
		measurePath(b, func(n int) (int, error) { return streamFromEngines(urls[n%len(urls)], urls[(n+1)%len(urls)]) })
	})
	b.Run("routed", func(b *testing.B) {
		measurePath(b, func(n int) (int, error) { return streamFromEntry(client, "http://"+f.CallersAddr(), n) })
	})
}

// usageSample is the processor time and the allocations of this process so far.
type usageSample struct {
	cpu     time.Duration
	bytes   uint64
	mallocs uint64
}

func sampleUsage() usageSample {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	cpu := time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	return usageSample{cpu: cpu, bytes: ms.TotalAlloc, mallocs: ms.Mallocs}
}

// measurePath runs requests concurrently and reports the cost of a token.
func measurePath(b *testing.B, stream func(n int) (tokens int, err error)) {
	for b.Loop() {
		before, begun := sampleUsage(), time.Now()
		tokens, err := runConcurrently(stream)
		if err != nil {
			b.Fatal(err)
		}
		after, took := sampleUsage(), time.Since(begun)
		perToken := float64((after.cpu - before.cpu).Microseconds()) / float64(tokens)
		b.ReportMetric(float64(pathRequests)/took.Seconds(), "requests/s")
		b.ReportMetric(float64(tokens)/took.Seconds(), "tokens/s")
		b.ReportMetric(perToken, "cpu_µs/token")
		b.ReportMetric(perToken*designTokensPerSecond/1e6, "cores_at_design")
		b.ReportMetric(float64(after.bytes-before.bytes)/float64(tokens), "B/token")
		b.ReportMetric(float64(after.mallocs-before.mallocs)/float64(tokens), "allocs/token")
	}
}

// runConcurrently streams pathRequests answers, pathConcurrent at a time, and
// returns the number of their tokens.
func runConcurrently(stream func(n int) (int, error)) (int, error) {
	var total, next atomic.Int64
	var firstError atomic.Pointer[error]
	var wg sync.WaitGroup
	for range pathConcurrent {
		wg.Go(func() {
			for {
				n := int(next.Add(1))
				if n > pathRequests || firstError.Load() != nil {
					return
				}
				tokens, err := stream(n)
				if err != nil {
					firstError.Store(&err)
					return
				}
				total.Add(int64(tokens))
			}
		})
	}
	wg.Wait()
	if err := firstError.Load(); err != nil {
		return 0, *err
	}
	return int(total.Load()), nil
}

// streamFromEntry streams one answer through the entry and counts its tokens.
func streamFromEntry(client *http.Client, base string, n int) (int, error) {
	body := fmt.Sprintf(`{"model":"reader","prompt":"contract %d","stream":true}`, n)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+demo.KeyNileBark)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	complete := false
	for lines.Scan() {
		complete = complete || lines.Text() == "data: [DONE]"
	}
	if !complete {
		return 0, fmt.Errorf("request %d: status %s, answer not whole", n, resp.Status)
	}
	return standin.AnswerLength(demo.Model, "", fmt.Sprintf("contract %d", n)), nil
}

// serveEngines serves as many engines as the demo's decode pool has.
func serveEngines(b *testing.B) []*engine.Client {
	const engines = 9
	out := make([]*engine.Client, engines)
	for i := range out {
		cfg := standin.DefaultEngineConfig("direct", "decode", demo.Model)
		cfg.Slots = pathConcurrent
		pathEngine(&cfg)
		out[i] = engine.NewClient(serve(b, standin.NewEngine(cfg).Handler()))
	}
	return out
}

// streamFromEngines streams one answer from a prefill and a decode engine, without
// entry and agents.
func streamFromEngines(prefill, decode *engine.Client) (int, error) {
	ctx := context.Background()
	id := ulid.Make().String()
	kv, err := prefill.Prefill(ctx, engine.PrefillRequest{ID: id, Model: demo.Model, Prompt: "contract " + id})
	if err != nil {
		return 0, err
	}
	if _, err := decode.Import(ctx, engine.ImportRequest{ID: id, Source: prefill.Base(), Handle: kv.Handle}); err != nil {
		return 0, err
	}
	tokens := 0
	err = decode.Decode(ctx, engine.DecodeRequest{ID: id}, func(ev engine.DecodeEvent) error {
		if ev.Finish == "" {
			tokens++
		}
		return nil
	})
	return tokens, err
}
