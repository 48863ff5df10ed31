package entry

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestShortValuesTakeLittleMemory guards against bodies of very many short values that take many
// times the memory of their text when they are decoded.
func TestShortValuesTakeLittleMemory(t *testing.T) {
	for _, field := range []string{`"messages":[`, `"prompt":[`} {
		is := is.New(t)
		text := "{" + field + strings.Repeat("{},", 1<<20) + "{}]}"
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var in completionRequest
		is.True(decodeBody(json.NewDecoder(strings.NewReader(text)), &in) == nil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) <= int64(2*len(text)))
		_, refusal := in.chatPrompt()
		is.True(refusal != nil)
		runtime.KeepAlive(in)
	}
}
