package demo_test

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/demo"
	"github.com/samphirestream/samphirestream/internal/release"
)

// keyLimited is the key of a provider that may send one request in 1,000 seconds.
const keyLimited = "limited"

func withLimitedProvider(n *release.Note) {
	n.Added.Providers = append(n.Added.Providers, release.Provider{
		Name: "limited", KeyDigests: []string{release.Digest([]byte(keyLimited))}, Weight: 1,
		Limits: release.Limits{RequestsPerSecond: 0.001, Burst: 1},
	})
	n.Added.Models = append(n.Added.Models, release.Model{Name: "reader", Version: "0", WindowTokens: 1000})
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Type      apierror.Kind    `json:"type"`
		Outcome   apierror.Outcome `json:"outcome"`
		Message   string           `json:"message"`
		Remedy    string           `json:"remedy"`
		Retry     bool             `json:"retry"`
		RequestID string           `json:"request_id"`
	} `json:"error"`
}

func send(t *testing.T, method, url, key, body string, header http.Header) (*http.Response, errorBody) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out errorBody
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return resp, out
}

func TestInvalidRequestIsRejectedWithoutSideEffects(t *testing.T) {
	f, err := demo.Start(context.Background(), "127.0.0.1:0", log.NewNopLogger(), demo.TuneNote(withLimitedProvider))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	base := "http://" + f.CallersAddr()
	withdrawOldVersion(t, f)

	const completions, payments = "/v1/completions", "/ledger/payments"
	cases := []struct {
		name, method, path, key, body string
		header                        http.Header
		status                        int
		kind                          apierror.Kind
		outcome                       apierror.Outcome // not_run where empty
	}{
		{name: "no key", path: completions, body: `{}`, status: 401, kind: apierror.KindUnauthenticated},
		{name: "wrong key", path: completions, key: "x", body: `{}`, status: 401, kind: apierror.KindUnauthenticated},
		{name: "malformed JSON", path: completions, key: demo.KeyNileBark, body: `{"model":`, status: 400, kind: apierror.KindBadRequest},
		{name: "two objects", path: completions, key: demo.KeyNileBark, body: `{"model":"reader","prompt":"a"}{}`, status: 400, kind: apierror.KindBadRequest},
		{name: "no prompt", path: completions, key: demo.KeyNileBark, body: `{"model":"reader"}`, status: 400, kind: apierror.KindBadRequest},
		{name: "two prompts", path: completions, key: demo.KeyNileBark, body: `{"model":"reader","prompt":["a","b"]}`, status: 400, kind: apierror.KindBadRequest},
		{name: "two answers", path: completions, key: demo.KeyNileBark, body: `{"model":"reader","prompt":"a","n":2}`, status: 400, kind: apierror.KindBadRequest},
		{name: "no tokens", path: completions, key: demo.KeyNileBark, body: `{"model":"reader","prompt":"a","max_tokens":0}`, status: 400, kind: apierror.KindBadRequest},
		{name: "no messages", path: "/v1/chat/completions", key: demo.KeyNileBark, body: `{"model":"reader"}`, status: 400, kind: apierror.KindBadRequest},
		{name: "an image", path: "/v1/chat/completions", key: demo.KeyNileBark, body: `{"model":"reader","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, status: 400, kind: apierror.KindBadRequest},
		{name: "unknown model", path: completions, key: demo.KeyNileBark, body: `{"model":"writer","prompt":"a"}`, status: 404, kind: apierror.KindUnknownModel},
		{name: "withdrawn version", path: completions, key: demo.KeyNileBark, body: `{"model":"reader@0","prompt":"a"}`, status: 410, kind: apierror.KindWithdrawnVersion},
		{name: "long prompt", path: completions, key: demo.KeyNileBark, body: `{"model":"reader","prompt":"` + strings.Repeat("a ", 64_000) + `"}`, status: 400, kind: apierror.KindPromptTooLong},
		{name: "prompt and answer too long", path: completions, key: demo.KeyNileBark, body: `{"model":"reader","prompt":"a","max_tokens":64000}`, status: 400, kind: apierror.KindPromptTooLong},
		{name: "large body", path: completions, key: demo.KeyNileBark, body: `{"model":"reader","prompt":"` + strings.Repeat("a", 5<<20) + `"}`, status: 413, kind: apierror.KindBodyTooLarge},
		{name: "large payment", path: payments, key: demo.KeyNileBark, body: strings.Repeat("a", 5<<20), status: 413, kind: apierror.KindBodyTooLarge},
		{name: "unknown path", path: "/nothing", key: demo.KeyNileBark, status: 404, kind: apierror.KindNotFound},
		{name: "undeclared call", method: http.MethodDelete, path: "/ledger/contracts/C1", key: demo.KeyNileBark, status: 404, kind: apierror.KindNotFound},
		{name: "ticket for an unknown service", path: "/v1/tickets", key: demo.KeyNileBark, body: `{"service":"x"}`, status: 404, kind: apierror.KindNotFound},
		{name: "forged ticket", path: payments, key: demo.KeyNileBark, body: `{"contract":"C1","amount":1}`, header: http.Header{"Samphire-Ticket": {"AAAA"}}, status: 400, kind: apierror.KindInvalidTicket, outcome: apierror.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			method := c.method
			if method == "" {
				method = http.MethodPost
			}
			resp, got := send(t, method, base+c.path, c.key, c.body, c.header)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(got.Error.Type, c.kind)
			is.Equal(got.Error.Outcome, cmp.Or(c.outcome, apierror.OutcomeNotRun))
			is.True(got.Error.Message != "" && got.Error.Remedy != "")
			is.Equal(got.Error.RequestID, resp.Header.Get("X-Request-Id"))
			is.Equal(resp.Header.Get("X-Should-Retry"), "false")
		})
	}
	is := is.New(t)
	for _, e := range f.Engines {
		is.Equal(e.RequestsHeld(), 0)
		is.Equal(e.PiecesHeld(), 0)
	}
	is.Equal(f.Ledger.Executions(), 0)
}

// withdrawOldVersion publishes a note that withdraws reader@0, and waits until it
// is in force at every process.
func withdrawOldVersion(t *testing.T, f *demo.Fleet) {
	t.Helper()
	note := release.Note{
		Schema: release.Schema, Number: 2, Previous: f.FirstNoteDigest(),
		Withdrawn: release.ItemKeys{Models: []string{"reader@0"}},
	}
	raw, err := yaml.Marshal(note)
	if err != nil {
		t.Fatal(err)
	}
	f.Config.Publish(raw)
	const limit = 19 * time.Second // max time until a note is in force at every process
	deadline := time.Now().Add(limit)
	for f.NoteInForce() != 2 {
		if time.Now().After(deadline) {
			t.Fatal("the note is not in force")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestQuotaErrorHasRetryAfter(t *testing.T) {
	is := is.New(t)
	f, err := demo.Start(context.Background(), "127.0.0.1:0", log.NewNopLogger(), demo.TuneNote(withLimitedProvider))
	is.NoErr(err)
	defer f.Stop()
	url := "http://" + f.CallersAddr() + "/v1/models"
	first, _ := send(t, http.MethodGet, url, keyLimited, "", nil)
	is.Equal(first.StatusCode, http.StatusOK)
	second, got := send(t, http.MethodGet, url, keyLimited, "", nil)
	is.Equal(second.StatusCode, http.StatusTooManyRequests)
	is.Equal(got.Error.Type, apierror.KindQuotaExceeded)
	is.Equal(got.Error.Outcome, apierror.OutcomeNotRun)
	is.True(got.Error.Retry)
	is.True(second.Header.Get("Retry-After") != "")
	is.Equal(second.Header.Get("X-Should-Retry"), "true")
}

func TestLargeHeaderIsRejected(t *testing.T) {
	is := is.New(t)
	_, base := startFleet(t)
	resp, _ := send(t, http.MethodGet, base+"/v1/models", demo.KeyNileBark, "", http.Header{"X-Large": {strings.Repeat("a", 64<<10)}})
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
