package placement

import (
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// PrefixHashes returns the hashes of the prefixes of a prompt that fill whole
// pieces, the shortest first. Each word counts as one token.
func PrefixHashes(model, prompt string) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	var out []uint64
	words, start := 0, -1
	for i, c := range prompt {
		space := unicode.IsSpace(c)
		if !space && start < 0 {
			start = i
		}
		if !space || start < 0 {
			continue
		}
		_, _ = h.WriteString(prompt[start:i])
		_, _ = h.WriteString(" ")
		start = -1
		if words++; words%pieceTokens == 0 {
			out = append(out, h.Sum64())
		}
	}
	if start >= 0 && (words+1)%pieceTokens == 0 {
		_, _ = h.WriteString(prompt[start:])
		_, _ = h.WriteString(" ")
		out = append(out, h.Sum64())
	}
	return out
}
