package integration

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

// A caller disconnects at each step of a request. The engines must release the
// memory of the request.
func TestCallerDisconnectsAtEachStep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	for _, s := range steps[:len(steps)-1] {
		f.scenario = "caller disconnected while " + s.name
		f.awaitReady()
		call, _ := f.advanceTo(s)
		call.cancel()
		is.Equal(call.wait(f).Outcome, invariant.OutcomeCallerDisconnected)
		f.await("released memory", f.memoryFree)
		f.releaseStep(s)
	}
	f.checkInvariants()
}

// A caller disconnects while its entry is paused and can't cancel the attempt. The
// memory must be released when the lease expires.
func TestCallerDisconnectsFromPausedEntryAtEachStep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, redundantPlan())
	for _, s := range steps[:len(steps)-1] {
		f.scenario = "caller disconnected from a paused entry while " + s.name
		f.awaitReady()
		call, _ := f.advanceTo(s)
		f.processByName["entry-1"].pause()
		call.cancel()
		is.Equal(call.wait(f).Outcome, invariant.OutcomeCallerDisconnected)
		f.await("released memory", f.memoryFree)
		f.processByName["entry-1"].resume()
		f.releaseStep(s)
	}
	f.checkInvariants()
}

// A caller disconnects just after the agent that holds its memory was killed. The
// restarted agent must find the memory at its engine and release it.
func TestCallerDisconnectsWhileAgentRestarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, redundantPlan())
	for _, role := range []release.Role{release.RolePrefill, release.RoleDecode} {
		for _, s := range steps[1 : len(steps)-1] {
			f.scenario = "caller disconnected and " + string(role) + " agent killed while " + s.name
			f.awaitReady()
			call, holder := f.advanceTo(s)
			agent := f.targetProcess(component{agent: true, role: role}, holder)
			agent.kill()
			call.cancel()
			agent.start(t)
			f.await("released memory", f.memoryFree)
			f.releaseStep(s)
		}
	}
	f.checkInvariants()
}

// openAIClient returns a client of an entry that does not retry.
func (f *fleet) openAIClient(entry int) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.callerURLs[entry]+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func completionParams(prompt string) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model: "reader", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	}
}

func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallPlan())
	c := f.openAIClient(0)
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		prompt := newContent(20)
		got, err := c.Completions.New(t.Context(), completionParams(prompt))
		is.NoErr(err)
		want, finish := expectedAnswer(model, prompt, 0)
		is.Equal(got.Choices[0].Text, want)
		is.Equal(string(got.Choices[0].FinishReason), finish)
		is.Equal(got.Usage.PromptTokens, int64(20))
	})
	t.Run("streamed", func(t *testing.T) {
		is := is.New(t)
		prompt := newContent(20)
		stream := c.Completions.NewStreaming(t.Context(), completionParams(prompt))
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Text)
		}
		is.NoErr(stream.Err())
		want, _ := expectedAnswer(model, prompt, 0)
		is.Equal(text.String(), want)
	})
	t.Run("error", func(t *testing.T) {
		is := is.New(t)
		params := completionParams(newContent(3))
		params.Model = "unheard-of"
		_, err := c.Completions.New(t.Context(), params)
		var failure *openai.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.StatusCode, 404)
		is.Equal(failure.Code, "unknown_model")
	})
	t.Run("cancelled", func(t *testing.T) {
		is := is.New(t)
		f.holdAt(release.RoleDecode, standin.StepDecode)
		ctx, cancel := context.WithCancel(t.Context())
		stream := c.Completions.NewStreaming(ctx, completionParams(newLongContent(20)))
		is.True(stream.Next()) // the answer has begun
		is.True(!f.memoryFree())
		cancel()
		f.await("released memory", f.memoryFree)
		f.releaseHeld(release.RoleDecode, standin.StepDecode)
	})
	f.checkInvariants()
}
