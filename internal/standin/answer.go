// Package standin provides stand-ins, which are small fake servers for tests and
// the demo: model engines, a plain service and the platform's services. It also
// simulates the gossip nodes of a whole fleet in virtual time.
package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// An answer has minAnswerTokens to minAnswerTokens+answerTokensSpan-1 tokens.
const (
	minAnswerTokens  = 8
	answerTokensSpan = 56
)

// TokenAt returns the token at an index of the answer to a prompt. It depends
// only on its arguments, so that tests can verify an answer. A token is one word.
func TokenAt(model, adapter, prompt string, index int) string {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	_, _ = h.WriteString("\x00" + adapter + "\x00")
	_, _ = h.WriteString(prompt)
	_, _ = h.WriteString("\x00" + strconv.Itoa(index))
	return "w" + strconv.FormatUint(h.Sum64()>>32, 36)
}

// AnswerLength returns the number of tokens in the full answer to a prompt.
func AnswerLength(model, adapter, prompt string) int {
	h := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	return minAnswerTokens + int(h%answerTokensSpan)
}

// Answer returns the tokens of the answer to a prompt and its finish reason. A
// positive maxTokens truncates the answer.
func Answer(model, adapter, prompt string, maxTokens int) ([]string, string) {
	n, reason := AnswerLength(model, adapter, prompt), "stop"
	if maxTokens > 0 && maxTokens < n {
		n, reason = maxTokens, "length"
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = TokenAt(model, adapter, prompt, i)
	}
	return tokens, reason
}

// CountTokens returns the length of a text in tokens.
func CountTokens(text string) int { return len(strings.Fields(text)) }
