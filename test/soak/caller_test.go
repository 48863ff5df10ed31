package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// result is what a caller received for one request.
type result struct {
	id, path string
	status   int // 0: no answer
	complete bool
	body     string
	proven   bool // that a server ran this request
	entry    int
	sent     time.Time
	ended    time.Time
	events   int // that a whole stream has
	// stream is the ID of the request that began the stream, and after the last event that
	// the caller had; "" and 0 for other requests.
	stream string
	after  int
	// content and part, if not "", are the body, and a part of the prompt.
	content, part string
	// key is the caller's key, and organisation its owner.
	key, organisation string
}

// callers send requests to the entries over persistent connections and store the
// results.
type callers struct {
	fleet  *fleet
	client *http.Client

	mu      sync.Mutex
	results []result
	next    int
}

func newCallers(f *fleet) *callers {
	return &callers{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
}

// paths holds a path of each kind of route.
var paths = []string{"/once/x", "/safe/x", "/stream/x", "/resumable/x"}

// run sends requests from n callers until ctx is done and the last ones have ended. Each result
// of a first request is passed to takeUp.
func (c *callers) run(ctx context.Context, seed uint64, n int, takeUp func(*rand.Rand, result)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				takeUp(rnd, c.callWithKey(rnd))
				time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// requestTimeout is the max time for which a caller waits for the whole response.
const requestTimeout = 4 * time.Second

// maxTakeUps is the number of times that a caller takes up a stream that broke off.
const maxTakeUps = 2

// takeUpAtOnce takes up a stream that broke off at any entry.
func (c *callers) takeUpAtOnce(rnd *rand.Rand, r result) {
	for i := 0; i < maxTakeUps && r.broken(); i++ {
		r = c.takeUp(rnd.IntN(len(c.fleet.entries)), r)
	}
}

// broken reports whether a stream broke off that the caller may take up.
func (r *result) broken() bool { return r.stream != "" && r.status == http.StatusOK && !r.complete }

// lastEvent is the number of the last event that the caller received whole.
func (r *result) lastEvent() int {
	if r.status != http.StatusOK {
		return r.after
	}
	return r.after + strings.Count(r.body, eventEnd)
}

// takeUp sends a request that takes up the stream of a former one after its last whole event.
func (c *callers) takeUp(entry int, former result) result {
	return c.send(result{path: former.path, entry: entry, organisation: former.organisation, key: former.key, stream: former.stream, after: former.lastEvent()})
}

// callWithKey sends a request with a random path and key to a random entry.
func (c *callers) callWithKey(rnd *rand.Rand) result {
	organisation, key := c.fleet.keys.draw(rnd)
	return c.send(result{path: paths[rnd.IntN(len(paths))], entry: rnd.IntN(len(c.fleet.entries)), organisation: organisation, key: key})
}

// call sends one request and stores its result.
func (c *callers) call(entry int, path string) result {
	return c.send(result{path: path, entry: entry})
}

// send sends a request with the path, the entry and the stream of out, and stores its result.
func (c *callers) send(out result) result {
	c.mu.Lock()
	c.next++
	out.id, out.sent, out.events = fmt.Sprintf("%s-%d", c.fleet.name, c.next), time.Now(), c.fleet.shape.eventCount
	c.mu.Unlock()
	id, path, entry := out.id, out.path, out.entry
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.entries[entry].callers+path, strings.NewReader(cmp.Or(out.content, "body of "+id)))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.GetBody = nil // prevents retries by net/http
	if out.key == "" {
		out.organisation, out.key = organisations[0], permanentKey(organisations[0])
	}
	c.fleet.history.expect(id, out.organisation)
	stated := standin.CallerRequest{ID: id, Key: out.key, Deadline: requestTimeout, Resumes: out.stream, LastEvent: out.after}
	if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resumable") {
		stated.PromptTokens, stated.MaxTokens = promptTokens, out.events*eventTokens
		stated.Parts = []string{commonPart, id}
		if out.part != "" {
			stated.Parts = []string{commonPart, out.part, id}
		}
	}
	stated.Write(req.Header)
	if out.stream == "" && strings.HasPrefix(path, "/resumable") {
		out.stream = id
	}
	resp, err := c.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		out.status, out.proven = resp.StatusCode, standin.Proves(resp.Header, id)
		b, err := io.ReadAll(bufio.NewReader(resp.Body))
		out.body, out.complete = string(b), err == nil
	}
	out.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, out)
	return out
}

// check checks all results against the invariants.
func (c *callers) check(t *testing.T, h *history) {
	t.Helper()
	whole := 0
	for _, r := range c.results {
		for _, broken := range violations(r, h.runCount(r.id)) {
			t.Errorf("request %s (%s by entry %d, status %d, complete %v): %s", r.id, r.path, r.entry, r.status, r.complete, broken)
		}
		if r.status == http.StatusOK && r.complete {
			whole++
		}
	}
	byID := map[string]result{}
	for _, r := range c.results {
		byID[r.id] = r
	}
	for _, server := range c.fleet.servers {
		for _, broken := range judgeAdvice(server, byID, &c.fleet.disturbances) {
			t.Error(broken)
		}
	}
	for _, broken := range c.fleet.fatal.judge(c.results) {
		t.Error(broken)
	}
	for _, broken := range brokenStreams(c.results) {
		t.Error(broken)
	}
	for _, broken := range c.fleet.keys.judge(c.results, h) {
		t.Error(broken)
	}
	for _, l := range h.late {
		t.Errorf("request %s: sent to a server that had drained", l)
	}
	t.Logf("%d requests, %d answered whole; %s; %s", len(c.results), whole, takenUp(c.results), c.fleet.fatal.String())
}

// takenUp reports how many streams were taken up and went on.
func takenUp(results []result) string {
	n, wentOn := 0, 0
	for _, r := range results {
		if r.after == 0 {
			continue
		}
		n++
		if r.status == http.StatusOK {
			wentOn++
		}
	}
	return fmt.Sprintf("%d streams taken up, %d went on", n, wentOn)
}

// wholeStream returns the events of a complete answer, by the software that made the first.
func wholeStream(r result) string {
	software := ""
	for v := range softwareOf(strings.SplitAfter(r.body, eventEnd)[0]) {
		software = v
	}
	whole := ""
	for k := r.after + 1; k <= r.events; k++ {
		whole += event(cmp.Or(r.stream, r.id), k, software)
	}
	return whole
}

// violations returns how a result breaks the invariants, given how often servers
// ran its request.
func violations(r result, runs int) []string {
	var out []string
	stream := strings.HasPrefix(r.path, "/stream") || strings.HasPrefix(r.path, "/resumable")
	once := strings.HasPrefix(r.path, "/once") || strings.HasPrefix(r.path, "/stream")
	if once && runs > 1 {
		out = append(out, fmt.Sprintf("ran %d times", runs))
	}
	refused := r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421
	if refused && runs > 0 && once {
		out = append(out, "was refused as not run, but ran")
	}
	if r.status >= 200 && r.status < 300 && !r.proven {
		out = append(out, "has no proof of its request")
	}
	if r.status == http.StatusOK && r.complete && !stream && r.body != plainAnswer(r.id, "body of "+r.id) {
		out = append(out, "received "+r.body)
	}
	if r.status == http.StatusOK && stream {
		whole := wholeStream(r)
		if !strings.HasPrefix(whole, r.body) || r.complete && r.body != whole {
			out = append(out, "received the events "+r.body)
		}
	}
	if r.status == http.StatusNotFound {
		out = append(out, "its route was not found")
	}
	return out
}
