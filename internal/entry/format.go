package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout bounds one write to a caller, which may read slowly.
const writeTimeout = 30 * time.Second

// answerHead holds the fields that all objects of one answer share.
type answerHead struct {
	id      string
	model   string
	created int64 // Unix time in seconds
}

// format builds the JSON objects of one OpenAI API.
type format interface {
	// complete returns the object of an answer that is not streamed.
	complete(h answerHead, text, finish string, u *usage) any
	// chunk returns a part of a streamed answer; finish is empty except on the
	// last part.
	chunk(h answerHead, text, finish string, first bool) any
	// usageChunk returns the part that carries the token usage.
	usageChunk(h answerHead, u *usage) any
}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	Logprobs     *string `json:"logprobs"`
	FinishReason *string `json:"finish_reason"`
}

type completionObject struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

// completionFormat is the format of POST /v1/completions.
type completionFormat struct{}

func (completionFormat) object(h answerHead, u *usage, choices ...completionChoice) completionObject {
	if choices == nil {
		choices = []completionChoice{}
	}
	return completionObject{ID: "cmpl-" + h.id, Object: "text_completion", Created: h.created, Model: h.model, Choices: choices, Usage: u}
}

func (f completionFormat) complete(h answerHead, text, finish string, u *usage) any {
	return f.object(h, u, completionChoice{Text: text, FinishReason: optional(finish)})
}

func (f completionFormat) chunk(h answerHead, text, finish string, _ bool) any {
	return f.object(h, nil, completionChoice{Text: text, FinishReason: optional(finish)})
}

func (f completionFormat) usageChunk(h answerHead, u *usage) any { return f.object(h, u) }

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatObject struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}

// chatFormat is the format of POST /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) object(h answerHead, kind string, u *usage, choices ...chatChoice) chatObject {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatObject{ID: "chatcmpl-" + h.id, Object: kind, Created: h.created, Model: h.model, Choices: choices, Usage: u}
}

func (f chatFormat) complete(h answerHead, text, finish string, u *usage) any {
	return f.object(h, "chat.completion", u, chatChoice{
		Message: &chatContent{Role: "assistant", Content: text}, FinishReason: optional(finish),
	})
}

func (f chatFormat) chunk(h answerHead, text, finish string, first bool) any {
	delta := &chatContent{Content: text}
	if first {
		delta.Role = "assistant"
	}
	return f.object(h, "chat.completion.chunk", nil, chatChoice{Delta: delta, FinishReason: optional(finish)})
}

func (f chatFormat) usageChunk(h answerHead, u *usage) any {
	return f.object(h, "chat.completion.chunk", u)
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// sseWriter writes an answer as server-sent events. It sends the header with
// the first token, so that failures before it still have a status code.
type sseWriter struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	format       format
	head         answerHead
	includeUsage bool
	headerSent   bool
	// sent is the number of tokens written. Each event has it as its ID, and a
	// resuming caller returns it as the offset.
	sent int
}

// streams implements answerWriter.
func (*sseWriter) streams() bool { return true }

// sendResumeTicket implements answerWriter. The first ticket goes into the header.
// Later ones, for a request that moved to another server, go into SSE comments,
// which other clients ignore.
func (s *sseWriter) sendResumeTicket(ticket string) {
	if !s.headerSent {
		s.w.Header().Set(headerResumeTicket, ticket)
		return
	}
	_ = s.writeRaw([]byte(": " + headerResumeTicket + ": " + ticket + "\n\n"))
}

func (s *sseWriter) write(tokens []string) error {
	var text []byte
	first := s.sent == 0
	for i, t := range tokens {
		if !first || i > 0 {
			text = append(text, ' ')
		}
		text = append(text, t...)
	}
	s.sendHeader()
	s.sent += len(tokens)
	return s.writeEvent(s.format.chunk(s.head, string(text), "", first))
}

func (s *sseWriter) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// writeEvent writes v as one event and flushes it.
func (s *sseWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeData(data)
}

func (s *sseWriter) writeData(data []byte) error {
	out := make([]byte, 0, len(data)+len("id: \ndata: \n\n")+maxOffsetDigits)
	out = append(out, "id: "...)
	out = strconv.AppendInt(out, int64(s.sent), 10)
	out = append(out, "\ndata: "...)
	out = append(out, data...)
	out = append(out, "\n\n"...)
	return s.writeRaw(out)
}

// maxOffsetDigits is the maximum length of an offset in decimal.
const maxOffsetDigits = 20

// writeRaw writes bytes of the stream and flushes them.
func (s *sseWriter) writeRaw(out []byte) error {
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(out); err != nil {
		return err
	}
	return s.rc.Flush()
}

// finish writes the end of a complete answer.
func (s *sseWriter) finish(reason string, u *usage) error {
	first := s.sent == 0
	s.sendHeader()
	if err := s.writeEvent(s.format.chunk(s.head, "", reason, first)); err != nil {
		return err
	}
	if s.includeUsage {
		if err := s.writeEvent(s.format.usageChunk(s.head, u)); err != nil {
			return err
		}
	}
	return s.writeData([]byte("[DONE]"))
}

// fail ends an aborted answer with an error event. It sends no [DONE].
func (s *sseWriter) fail(body errorBody) { _ = s.writeEvent(body) }
