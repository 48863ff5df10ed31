package placement

import (
	"testing"

	"github.com/matryer/is"
)

// TestPrefillQueueStaysWithinTheMemory guards against a prefill server that is sent more
// prompts than it has memory for, by this entry and the others together.
func TestPrefillQueueStaysWithinTheMemory(t *testing.T) {
	is := is.New(t)
	s := &Server{}
	s.SetCounted(16, 68_000)
	f := PrefillMemory{MemoryShare: 0.8}
	sent := 0
	for r := (&Request{PromptTokens: 5200}); f.Keep(r, s); sent++ {
		s.RecordSend(0, Use{Tokens: r.PromptTokens})
	}
	is.Equal(sent, 10)
	s.SetRemoteUse(Use{Tokens: 1200}, nil)
	is.True(f.Keep(&Request{PromptTokens: 1200}, s))
	is.True(!f.Keep(&Request{PromptTokens: 1201}, s))
	is.True(f.Keep(&Request{PromptTokens: 1201}, &Server{})) // reports its own load
}
