package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// rolloutTimeout bounds the wait for a note to be in force, or for more answers.
const rolloutTimeout = 60 * time.Second

// rolloutCallers is the number of concurrent callers.
const rolloutCallers = 40

// operator publishes notes to a fleet and waits until they are in force.
type operator struct {
	t        *testing.T
	f        *Fleet
	number   uint64
	previous string
}

func newOperator(t *testing.T, f *Fleet) *operator {
	raw, err := yaml.Marshal(f.note)
	if err != nil {
		t.Fatal(err)
	}
	return &operator{t: t, f: f, number: 1, previous: release.Digest(raw)}
}

func (o *operator) publish(n release.Note) {
	o.t.Helper()
	o.number++
	n.Schema, n.Number, n.Previous = release.Schema, o.number, o.previous
	raw, err := yaml.Marshal(n)
	if err != nil {
		o.t.Fatal(err)
	}
	if _, err := release.Parse(raw); err != nil {
		o.t.Fatal(err)
	}
	o.previous = release.Digest(raw)
	o.f.Config.Publish(raw)
}

// processState is the part of /debug/state that the operator reads.
type processState struct {
	Note   uint64 `json:"note"`
	Orders *struct {
		Note    uint64 `json:"note"`
		InForce bool   `json:"in_force"`
	} `json:"orders"`
}

// awaitInForce waits until all processes have the latest note and every engine
// has applied it.
func (o *operator) awaitInForce() {
	o.t.Helper()
	deadline := time.Now().Add(rolloutTimeout)
	for !o.inForce() {
		if time.Now().After(deadline) {
			o.t.Fatalf("note %d is not in force", o.number)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// inForce reports whether all processes have the latest note and every engine has
// applied it.
func (o *operator) inForce() bool {
	for _, addr := range o.f.AdminAddrs() {
		var s processState
		resp, err := http.Get("http://" + addr + "/debug/state")
		if err != nil {
			o.t.Fatal(err)
		}
		err = json.NewDecoder(resp.Body).Decode(&s)
		_ = resp.Body.Close()
		if err != nil || s.Note != o.number {
			return false
		}
		if s.Orders != nil && (s.Orders.Note != o.number || !s.Orders.InForce) {
			return false
		}
	}
	return true
}

// callers count the outcomes of the requests that concurrent callers send.
type callers struct {
	failed, completed atomic.Int64
	firstError        atomic.Pointer[string]
	wg                sync.WaitGroup
}

// startCallers starts callers that send requests until ctx is done.
func startCallers(ctx context.Context, base string, count int) *callers {
	c := &callers{}
	for i := range count {
		c.wg.Go(func() {
			for seq := 0; ctx.Err() == nil; seq++ {
				c.sendRequest(base, fmt.Sprintf("contract %d of crew %d", seq, i))
			}
		})
	}
	return c
}

// awaitAnswers waits for rolloutCallers more answers, on average one for each
// caller.
func (c *callers) awaitAnswers(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(rolloutTimeout)
	for target := c.completed.Load() + rolloutCallers; c.completed.Load() < target && c.failed.Load() == 0; {
		if time.Now().After(deadline) {
			t.Fatal("no more answers")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendRequest sends one request and checks that the answer is the full answer of
// one of the two versions.
func (c *callers) sendRequest(base, prompt string) {
	text, err := requestCompletion(base, prompt)
	if err == nil && text != answerOf("reader@1", prompt) && text != answerOf("reader@2", prompt) {
		err = fmt.Errorf("answer %q", text)
	}
	if err != nil {
		message := err.Error()
		c.firstError.CompareAndSwap(nil, &message)
		c.failed.Add(1)
		return
	}
	c.completed.Add(1)
}

func answerOf(model, prompt string) string {
	tokens, _ := standin.Answer(model, "", prompt, 0)
	return strings.Join(tokens, " ")
}

func requestCompletion(base, prompt string) (string, error) {
	body, err := json.Marshal(map[string]string{"model": "reader", "prompt": prompt})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+KeyNileBark)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(raw, &answer) != nil || len(answer.Choices) != 1 {
		return "", fmt.Errorf("%s: %s", resp.Status, raw)
	}
	return answer.Choices[0].Text, nil
}

// engineServers returns the backend servers of the fleet's engines, with their
// models replaced.
func engineServers(f *Fleet, models ...string) []release.BackendServer {
	var out []release.BackendServer
	for _, s := range f.note.Added.BackendServers {
		if s.Role != release.RoleService {
			s.Models = models
			out = append(out, s)
		}
	}
	return out
}

// TestRolloutAbortsNoRequest publishes a new version of the model, makes it the
// default, changes the role of a server and withdraws the old version, while
// callers keep sending requests. No request may fail, and no engine may abort one.
func TestRolloutAbortsNoRequest(t *testing.T) {
	is := is.New(t)
	f, err := Start(context.Background(), "127.0.0.1:0", log.NewNopLogger())
	is.NoErr(err)
	defer f.Stop()
	ctx, stop := context.WithCancel(t.Context())
	base := "http://" + f.CallersAddr()
	c := startCallers(ctx, base, rolloutCallers)
	op := newOperator(t, f)
	version := func(v string, isDefault bool) release.Model {
		return release.Model{Name: "reader", Version: v, WindowTokens: 64_000, Default: isDefault}
	}
	op.publish(release.Note{
		Added:   release.Items{Models: []release.Model{version("2", false)}},
		Changed: release.Items{BackendServers: engineServers(f, "reader@1", "reader@2")},
	})
	op.awaitInForce()
	c.awaitAnswers(t)
	op.publish(release.Note{Changed: release.Items{Models: []release.Model{version("1", false), version("2", true)}}})
	op.awaitInForce()
	c.awaitAnswers(t)
	text, err := requestCompletion(base, "a b c")
	is.NoErr(err)
	is.Equal(text, answerOf("reader@2", "a b c"))
	servers := engineServers(f, "reader@1", "reader@2")
	servers[2].Role = release.RolePrefill // the first decode server
	op.publish(release.Note{Changed: release.Items{BackendServers: servers[2:3]}})
	op.awaitInForce()
	c.awaitAnswers(t)
	servers = engineServers(f, "reader@2")
	servers[2].Role = release.RolePrefill
	op.publish(release.Note{
		Changed:   release.Items{BackendServers: servers},
		Withdrawn: release.ItemKeys{Models: []string{"reader@1"}},
	})
	op.awaitInForce()
	c.awaitAnswers(t)
	stop()
	c.wg.Wait()
	if c.failed.Load() > 0 {
		t.Fatalf("%d of %d requests failed, the first: %s", c.failed.Load(), c.failed.Load()+c.completed.Load(), *c.firstError.Load())
	}
	aborted := 0
	for _, e := range f.Engines {
		aborted += e.AbortedRequests()
	}
	is.Equal(aborted, 0)
	t.Logf("%d complete answers", c.completed.Load())
}
