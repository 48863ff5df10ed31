package entry

import (
	"bytes"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/ingress"
	"github.com/samphirestream/samphirestream/internal/membudget"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/release"
)

// defaultMaxTokens is the token limit of a request that sets none.
const defaultMaxTokens = 256

// completionRequest holds the fields of OpenAI's completion and chat requests
// that the entry reads. Sampling parameters are accepted and ignored.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// usage is the token usage of a request.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func badRequest(format string, args ...any) *apierror.Error {
	return apierror.NotRun(apierror.KindBadRequest, fmt.Sprintf(format, args...), "correct the request")
}

// readRequest decodes the body of a completion or chat request.
func (e *Entry) readRequest(w http.ResponseWriter, r *http.Request) (completionRequest, *apierror.Error) {
	var in completionRequest
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return in, refusal
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if refusal := decodeBody(dec, &in); refusal != nil {
		return in, refusal
	}
	if _, err := dec.Token(); err != io.EOF {
		return in, badRequest("the body goes on after its JSON object")
	}
	if in.N != nil && *in.N != 1 {
		return in, badRequest("n is %d; one answer is given for each request", *in.N)
	}
	return in, nil
}

func decodeBody(dec *json.Decoder, v any) *apierror.Error {
	if err := dec.Decode(v); err != nil {
		return badRequest("the body is not a valid JSON request: %v", err)
	}
	return nil
}

const (
	// bodyTimeout bounds the time to receive a request body.
	bodyTimeout = time.Minute
	// bodyCopies is the number of copies of a body that are made of it: a prompt and the message
	// to an agent.
	bodyCopies = 2
)

// readBody reads the body of a request into memory that is taken first.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apierror.Error) {
	body, err := ingress.ReadBody(w, r, ingress.BodyOptions{Limit: int(e.cfg.MaxBodyBytes), Timeout: bodyTimeout, Copies: bodyCopies, Memory: ingress.Memory(r)})
	var noMemory *membudget.Refusal
	switch {
	case err == nil:
		return body, nil
	case stderrors.As(err, &noMemory):
		return nil, apierror.NotRun(apierror.KindOverloaded, err.Error(), "retry after the delay").WithRetryAfter(overloadRetry)
	case stderrors.Is(err, ingress.ErrBodyTooLarge):
		return nil, apierror.NotRun(apierror.KindBodyTooLarge, fmt.Sprintf("the body exceeds %d bytes", e.cfg.MaxBodyBytes), "send a shorter request")
	case stderrors.Is(err, os.ErrDeadlineExceeded):
		return nil, apierror.NotRun(apierror.KindRequestTimeout, "the body did not come in time", "send the request again")
	default:
		return nil, badRequest("the body was not sent whole: %v", err)
	}
}

// prompt returns the prompt of a completion request: a string, or an array of
// one string.
func (in *completionRequest) prompt() (string, *apierror.Error) {
	var text string
	if json.Unmarshal(in.Prompt, &text) == nil && text != "" {
		return text, nil
	}
	var only string
	n, err := eachElement(in.Prompt, func(dec *json.Decoder) error { return dec.Decode(&only) })
	if err == nil && n == 1 && only != "" {
		return only, nil
	}
	return "", badRequest("prompt is not a string or an array of one string")
}

// eachElement calls decode for each element of a JSON array, and returns their number. The
// elements are not all held at once: short ones would take many times the memory of their text.
func eachElement(array json.RawMessage, decode func(*json.Decoder) error) (n int, err error) {
	dec := json.NewDecoder(bytes.NewReader(array))
	if begin, err := dec.Token(); err != nil || begin != json.Delim('[') {
		return 0, stderrors.New("not an array")
	}
	for ; dec.More(); n++ {
		if err := decode(dec); err != nil {
			return n, err
		}
	}
	return n, nil
}

// chatPrompt returns the messages of a chat request as one prompt.
func (in *completionRequest) chatPrompt() (string, *apierror.Error) {
	if len(in.Messages) == 0 || string(in.Messages) == "null" {
		return "", badRequest("messages is missing or empty")
	}
	var b strings.Builder
	n, err := eachElement(in.Messages, func(dec *json.Decoder) error {
		var m chatMessage
		if err := dec.Decode(&m); err != nil {
			return err
		}
		text, ok := m.text()
		if !ok || m.Role == "" {
			return stderrors.New("no role or no text content")
		}
		fmt.Fprintf(&b, "%s: %s\n", m.Role, text)
		return nil
	})
	switch {
	case err != nil:
		return "", badRequest("message %d: %v", n, err)
	case n == 0:
		return "", badRequest("messages is missing or empty")
	default:
		return b.String(), nil
	}
}

// text returns the content of a message: a string, or an array of text parts.
func (m chatMessage) text() (string, bool) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, true
	}
	var b strings.Builder
	_, err := eachElement(m.Content, func(dec *json.Decoder) error {
		var part contentPart
		if err := dec.Decode(&part); err != nil {
			return err
		}
		if part.Type != "text" {
			return stderrors.New("not a text part")
		}
		b.WriteString(part.Text)
		return nil
	})
	return b.String(), err == nil
}

// newJob validates a request against the release note in force and returns its
// job.
func (e *Entry) newJob(id string, p release.Provider, in completionRequest, prompt string) (*job, *apierror.Error) {
	state := e.store.Current()
	model, ok := state.Model(in.Model)
	if !ok && state.WasWithdrawn(in.Model) {
		return nil, apierror.NotRun(apierror.KindWithdrawnVersion, fmt.Sprintf("model %q was withdrawn", in.Model), "name a model that GET /v1/models lists")
	}
	if !ok {
		return nil, apierror.NotRun(apierror.KindUnknownModel, fmt.Sprintf("model %q is unknown", in.Model), "name a model that GET /v1/models lists")
	}
	j := &job{id: id, provider: p, model: model, prompt: prompt, promptTokens: len(strings.Fields(prompt))}
	if in.Model != model.Name && in.Model != model.Key() {
		j.adapter = in.Model
	}
	j.prefixes = placement.PrefixHashes(model.Key(), prompt)
	j.maxTokens = min(defaultMaxTokens, model.WindowTokens-j.promptTokens)
	for _, limit := range []*int{in.MaxTokens, in.MaxCompletionTokens} {
		if limit != nil {
			j.maxTokens = *limit
		}
	}
	return j, j.checkLength()
}

func (j *job) checkLength() *apierror.Error {
	if j.promptTokens >= j.model.WindowTokens {
		return apierror.NotRun(apierror.KindPromptTooLong,
			fmt.Sprintf("the prompt has %d tokens; the window of %s has %d", j.promptTokens, j.model.Key(), j.model.WindowTokens), "send a shorter prompt")
	}
	if j.maxTokens < 1 {
		return badRequest("max_tokens is %d; it must be positive", j.maxTokens)
	}
	if j.promptTokens+j.maxTokens > j.model.WindowTokens {
		return apierror.NotRun(apierror.KindPromptTooLong,
			fmt.Sprintf("prompt and max_tokens need %d tokens; the window of %s has %d", j.promptTokens+j.maxTokens, j.model.Key(), j.model.WindowTokens),
			"send a shorter prompt or a smaller max_tokens")
	}
	return nil
}

func (j *job) usage() *usage {
	return &usage{PromptTokens: j.promptTokens, CompletionTokens: len(j.delivered), TotalTokens: j.promptTokens + len(j.delivered)}
}

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, p release.Provider) {
	e.serveModel(w, r, p, completionFormat{}, (*completionRequest).prompt)
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, p release.Provider) {
	e.serveModel(w, r, p, chatFormat{}, (*completionRequest).chatPrompt)
}

// serveModel serves a completion or chat request.
func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request, p release.Provider, f format, promptOf func(*completionRequest) (string, *apierror.Error)) {
	in, refusal := e.readRequest(w, r)
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	prompt, refusal := promptOf(&in)
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	_ = ingress.Memory(r).Resize(time.Now(), membudget.Bodies, int64(bodyCopies*len(prompt))) // no more than is held
	j, refusal := e.newJob(requestID(r.Context()), p, in, prompt)
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	if refusal := j.parseGrace(r.Header.Get(headerResume)); refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	j.record = newResumeRecord(j, in, f)
	head := answerHead{id: j.id, model: in.Model, created: time.Now().Unix()}
	if in.Stream {
		s := &sseWriter{w: w, rc: http.NewResponseController(w), format: f, head: head, includeUsage: in.StreamOptions.IncludeUsage}
		e.serveStream(w, r, j, s, nil)
		return
	}
	e.serveBuffered(w, r, j, f, head, nil)
}

// bufferedWriter is the answerWriter of an answer that is not streamed. The job
// buffers the tokens.
type bufferedWriter struct{}

func (bufferedWriter) write([]string) error { return nil }

// streams implements answerWriter.
func (bufferedWriter) streams() bool { return false }

// sendResumeTicket implements answerWriter. It sends no ticket, since the header is
// sent only with the complete answer.
func (bufferedWriter) sendResumeTicket(string) {}

func (e *Entry) serveBuffered(w http.ResponseWriter, r *http.Request, j *job, f format, head answerHead, running *reservation) {
	j.out = bufferedWriter{}
	reason, err := e.runJob(r.Context(), j, running)
	if err != nil {
		e.writeError(w, r, apierror.From(err))
		return
	}
	e.count.completed.Add(1)
	writeJSON(w, f.complete(head, strings.Join(j.delivered, " "), reason, j.usage()))
}

func (e *Entry) serveStream(w http.ResponseWriter, r *http.Request, j *job, s *sseWriter, running *reservation) {
	j.out = s
	reason, err := e.runJob(r.Context(), j, running)
	if err != nil && !s.headerSent {
		e.writeError(w, r, apierror.From(err))
		return
	}
	if err != nil {
		e.count.failed.Add(1)
		s.fail(newErrorBody(r.Context(), apierror.From(err)))
		return
	}
	if s.finish(reason, j.usage()) == nil {
		e.count.completed.Add(1)
	}
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID            string `json:"id"`
	Object        string `json:"object"`
	OwnedBy       string `json:"owned_by"`
	ContextWindow int    `json:"context_window"`
}

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, _ release.Provider) {
	out := modelList{Object: "list", Data: []modelItem{}}
	add := func(id string, m release.Model) {
		out.Data = append(out.Data, modelItem{ID: id, Object: "model", OwnedBy: "samphirestream", ContextWindow: m.WindowTokens})
	}
	state := e.store.Current()
	for _, m := range state.Models() {
		add(m.Key(), m)
		if m.Default {
			add(m.Name, m)
		}
	}
	for _, a := range state.Adapters() {
		if m, ok := state.Model(a.Name); ok {
			add(a.Name, m)
		}
	}
	writeJSON(w, out)
}
