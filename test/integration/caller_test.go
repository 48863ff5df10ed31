package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// expectedAnswer returns the answer of the stand-in engines and its finish reason.
func expectedAnswer(model, prompt string, maxTokens int) (string, string) {
	tokens, finish := standin.Answer(model, "", prompt, maxTokens)
	return strings.Join(tokens, " "), finish
}

var contentCount atomic.Int64

// newContent returns a prompt of a number of words, or a payment reference, that
// no other call has.
func newContent(words int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "content-%d", contentCount.Add(1))
	for i := 1; i < words; i++ {
		fmt.Fprintf(&b, " word%d", i)
	}
	return b.String()
}

// minLongAnswerTokens is the min number of tokens in a long answer.
const minLongAnswerTokens = 40

// newLongContent returns a new prompt whose answer has at least
// minLongAnswerTokens.
func newLongContent(words int) string {
	for {
		prompt := newContent(words)
		if standin.AnswerLength(model, "", prompt) >= minLongAnswerTokens {
			return prompt
		}
	}
}

// result is the result of a call. The field repeated is set if the answer was
// replayed from an earlier attempt under the same ticket.
type result struct {
	invariant.Call
	ticket   string
	repeated bool
	status   int
}

// pendingCall is a call in progress.
type pendingCall struct {
	id         string
	cancel     context.CancelFunc
	done       chan result
	firstToken chan struct{} // closed when the first token arrives
}

// wait waits for the result. It may be called more than once.
func (p *pendingCall) wait(f *fleet) result {
	f.t.Helper()
	select {
	case r := <-p.done:
		p.done <- r
		return r
	case <-time.After(pollTimeout):
		f.t.Errorf("%s: %s did not end within %v", f.scenario, p.id, pollTimeout)
		return result{}
	}
}

// errorBody is the body of an error answer.
type errorBody struct {
	Error struct {
		Outcome invariant.Outcome `json:"outcome"`
		Message string            `json:"message"`
	} `json:"error"`
}

// request is a caller's HTTP request.
type request struct {
	entry  int
	path   string
	body   any
	ticket string
	method string
}

// requestStream sends a model request with a streamed answer. If maxTokens is 0,
// the request has no max_tokens, and the default of the entry, 256, applies.
func (f *fleet) requestStream(entry int, prompt string, maxTokens int) *pendingCall {
	body := map[string]any{"model": "reader", "prompt": prompt, "stream": true}
	if maxTokens > 0 {
		body["max_tokens"] = maxTokens
	} else {
		maxTokens = 256
	}
	call := invariant.Call{Content: prompt, Model: model, MaxTokens: maxTokens}
	return f.send(request{entry: entry, method: http.MethodPost, path: "/v1/completions", body: body}, call, readStream)
}

// requestWhole sends a model request without streaming.
func (f *fleet) requestWhole(entry int, prompt string) *pendingCall {
	body := map[string]any{"model": "reader", "prompt": prompt}
	call := invariant.Call{Content: prompt, Model: model, MaxTokens: 256}
	return f.send(request{entry: entry, method: http.MethodPost, path: "/v1/completions", body: body}, call, readWhole)
}

// pay sends a payment, a non-idempotent call, under a ticket. If the ticket is
// empty, the entry assigns one.
func (f *fleet) pay(entry int, reference, ticket string) *pendingCall {
	call := invariant.Call{Content: reference, NonIdempotent: true}
	body := standin.Payment{Contract: "C1", Amount: 5, Reference: reference}
	return f.send(request{entry: entry, method: http.MethodPost, path: "/ledger/payments", body: body, ticket: ticket}, call, readPayment)
}

// getContract sends an idempotent call that reads a contract.
func (f *fleet) getContract(entry int) *pendingCall {
	contract := newContent(1)
	return f.send(request{entry: entry, method: http.MethodGet, path: "/ledger/contracts/" + contract}, invariant.Call{Content: contract}, readContract)
}

// newTicket requests a ticket for the ledger from an entry.
func (f *fleet) newTicket(entry int) string {
	f.t.Helper()
	var out struct {
		Ticket string `json:"ticket"`
	}
	f.await("a ticket", func() bool {
		req, err := http.NewRequest(http.MethodPost, f.callerURLs[entry]+"/v1/tickets", strings.NewReader(`{"service":"ledger"}`))
		if err != nil {
			return false
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := f.http.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&out) == nil
	})
	return out.Ticket
}

var callCount atomic.Int64

// send makes a call in the background. It records the start and the result.
func (f *fleet) send(r request, call invariant.Call, read func(io.Reader, *result, func()) error) *pendingCall {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pendingCall{cancel: cancel, done: make(chan result, 1), firstToken: make(chan struct{})}
	call.ID = fmt.Sprintf("call-%d", callCount.Add(1))
	p.id = call.ID
	call.Entry = fmt.Sprintf("entry-%d", r.entry+1)
	f.recorder.Record(invariant.Event{Kind: invariant.CallSent, Call: &call})
	go func() {
		defer cancel()
		out := result{Call: call}
		f.roundTrip(ctx, r, &out, read, sync.OnceFunc(func() { close(p.firstToken) }))
		if ctx.Err() != nil {
			out.Outcome = invariant.OutcomeCallerDisconnected
		}
		end := out.Call
		f.recorder.Record(invariant.Event{Kind: invariant.CallEnded, Call: &end})
		p.done <- out
	}()
	return p
}

// roundTrip sends a request and stores its result in out.
func (f *fleet) roundTrip(ctx context.Context, r request, out *result, read func(io.Reader, *result, func()) error, first func()) {
	var body bytes.Buffer
	if r.body != nil {
		_ = json.NewEncoder(&body).Encode(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, f.callerURLs[r.entry]+r.path, &body)
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // prevents retries by net/http
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if r.ticket != "" {
		req.Header.Set("Samphire-Ticket", r.ticket)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		out.Outcome, out.Reason = invariant.OutcomeConnectionLost, err.Error()
		if errors.Is(err, syscall.ECONNREFUSED) {
			out.Outcome = invariant.OutcomeUnreachable
		}
		return
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	out.ticket = resp.Header.Get("Samphire-Ticket")
	out.repeated = resp.Header.Get("Samphire-Repeated") == "true"
	if resp.StatusCode >= http.StatusBadRequest {
		readError(resp.Body, out)
		return
	}
	out.Outcome = invariant.OutcomeConnectionLost
	if err := read(resp.Body, out, first); err != nil {
		out.Reason = err.Error()
	}
}

func readError(body io.Reader, out *result) {
	var e errorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		out.Outcome, out.Reason = invariant.OutcomeConnectionLost, err.Error()
		return
	}
	out.Outcome, out.Reason = e.Error.Outcome, e.Error.Message
}

// completion holds the fields of an answer, or of a chunk of one, that the tests
// read.
type completion struct {
	errorBody
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

func (c completion) addTo(out *result) {
	for _, choice := range c.Choices {
		out.Text += choice.Text
		if choice.Finish != nil {
			out.Finish = *choice.Finish
			out.EndMarkers++
		}
	}
}

// readStream reads server-sent events until the connection ends. It calls first
// after each chunk with tokens.
func readStream(body io.Reader, out *result, first func()) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.Outcome = invariant.OutcomeWhole
			continue
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return err
		}
		if c.Error.Outcome != "" {
			out.Outcome, out.Reason = c.Error.Outcome, c.Error.Message
			continue
		}
		c.addTo(out)
		first()
	}
	return lines.Err()
}

func readWhole(body io.Reader, out *result, _ func()) error {
	var c completion
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return err
	}
	c.addTo(out)
	out.Outcome = invariant.OutcomeWhole
	return nil
}

func readPayment(body io.Reader, out *result, _ func()) error {
	var p standin.PaymentReceipt
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		return err
	}
	out.Outcome, out.Text, out.EndMarkers = invariant.OutcomeWhole, p.Reference, 1
	return nil
}

func readContract(body io.Reader, out *result, _ func()) error {
	var c standin.Contract
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return err
	}
	out.Outcome, out.Text, out.EndMarkers = invariant.OutcomeWhole, c.Contract, 1
	return nil
}
