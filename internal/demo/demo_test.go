package demo_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/samphirestream/samphirestream/internal/demo"
	"github.com/samphirestream/samphirestream/internal/standin"
)

func startFleet(t *testing.T) (*demo.Fleet, string) {
	t.Helper()
	f, err := demo.Start(context.Background(), "127.0.0.1:0", log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f, "http://" + f.CallersAddr()
}

func client(base, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(base+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func wantAnswer(prompt string) string {
	tokens, _ := standin.Answer(demo.Model, "", prompt, 0)
	return strings.Join(tokens, " ")
}

func TestWholeAnswer(t *testing.T) {
	is := is.New(t)
	_, base := startFleet(t)
	c := client(base, demo.KeyNileBark)
	got, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "reader", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("a b c")},
	})
	is.NoErr(err)
	is.Equal(got.Choices[0].Text, wantAnswer("a b c"))
	is.Equal(string(got.Choices[0].FinishReason), "stop")
	is.Equal(got.Usage.PromptTokens, int64(3))
}

func TestStreamedChat(t *testing.T) {
	is := is.New(t)
	_, base := startFleet(t)
	c := client(base, demo.KeyRegistry)
	stream := c.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:    "reader@1",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("survey log nine")},
	})
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text.String(), wantAnswer("user: survey log nine\n"))
}

func TestRepeatedPaymentRunsOnce(t *testing.T) {
	is := is.New(t)
	f, base := startFleet(t)
	post := func(ticket string) *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/ledger/payments", strings.NewReader(`{"contract":"C1","amount":5}`))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+demo.KeyNileBark)
		if ticket != "" {
			req.Header.Set("Samphire-Ticket", ticket)
		}
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp
	}
	first := post("")
	is.Equal(first.StatusCode, http.StatusCreated)
	second := post(first.Header.Get("Samphire-Ticket"))
	is.Equal(second.StatusCode, http.StatusCreated)
	is.Equal(second.Header.Get("Samphire-Repeated"), "true")
	is.Equal(f.Ledger.Executions(), 1)
}

func TestCancelledStreamFreesEngineMemory(t *testing.T) {
	is := is.New(t)
	f, base := startFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := client(base, demo.KeyNileBark)
	stream := c.Completions.NewStreaming(ctx, openai.CompletionNewParams{
		Model: "reader", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(longAnswerPrompt)},
	})
	is.True(stream.Next())
	cancel()
	for stream.Next() {
	}
	is.True(stream.Err() != nil)
	awaitFree(t, f)
}

// longAnswerPrompt has an answer of at least 50 tokens.
var longAnswerPrompt = func() string {
	for prompt := "bundle"; ; prompt += " bundle" {
		if standin.AnswerLength(demo.Model, "", prompt) >= 50 {
			return prompt
		}
	}
}()

// awaitFree waits until no engine holds memory.
func awaitFree(t *testing.T, f *demo.Fleet) {
	t.Helper()
	const limit = 5 * time.Second // max time to free the memory of disconnected callers
	deadline := time.Now().Add(limit)
	for {
		held := 0
		for _, e := range f.Engines {
			held += e.PiecesHeld() + e.RequestsHeld()
		}
		if held == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("engines still hold %d pieces and requests", held)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
