package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// logOf returns the log of one process with the given lines, a second apart.
func logOf(lines ...string) string {
	var b strings.Builder
	for i, l := range lines {
		fmt.Fprintf(&b, `{"ts":"2026-01-02T03:04:%02dZ","node":"n",%s}`+"\n", i, l)
	}
	return b.String()
}

func read(t *testing.T, text string) []Line {
	t.Helper()
	lines, _, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestLastFailureDecisionIsTheCause(t *testing.T) {
	for name, tc := range map[string]struct{ text, outcome, cause string }{
		"answered after a retry": {logOf(`"msg":"attempt failed","request":"r"`, `"msg":"answered","request":"r"`), "answered", ""},
		"another request's":      {logOf(`"msg":"decode failed","request":"q"`, `"msg":"failed","request":"r","outcome":"not_run"`), "not_run", "failed"},
		"two decisions":          {logOf(`"msg":"stream broken","request":"r"`, `"msg":"retry refused","request":"r"`, `"msg":"aborted","request":"r"`), "aborted", "retry refused"},
		"the caller left":        {logOf(`"msg":"assigned","request":"r"`, `"msg":"caller gone","request":"r"`), "caller gone", "caller gone"},
		"the server's own":       {logOf(`"msg":"server failure","request":"r"`, `"msg":"server failed","request":"r"`), "server failed", "server failure"},
		"no end":                 {logOf(`"msg":"assigned","request":"r"`), "unfinished", ""},
		"freed after the end":    {logOf(`"msg":"refused by prediction","request":"r"`, `"msg":"failed","request":"r"`, `"msg":"prefill wasted","request":"r"`), "failed", "refused by prediction"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tl, ok := Reconstruct("r", read(t, tc.text))
			is.True(ok)
			is.Equal(tl.Outcome, tc.outcome)
			cause := ""
			if tl.Cause != nil {
				cause = tl.Cause.Msg
			}
			is.Equal(cause, tc.cause)
		})
	}
}

func TestContextHasServersOfTheRequestAndDependencies(t *testing.T) {
	is := is.New(t)
	tl, ok := Reconstruct("r", read(t, logOf(
		`"msg":"store lost"`, `"msg":"server suspected","server":"a","request":"q"`, `"msg":"server suspected","server":"b","request":"q"`,
		`"msg":"log lines left out","kind":"assigned","count":3`, `"msg":"answered","server":"a","request":"q"`,
		`"msg":"assigned","prefill":"a","decode":"c","request":"r"`, `"msg":"failed","request":"r"`, `"msg":"store regained"`)))
	is.True(ok)
	is.Equal(len(tl.Context), 2)
	is.Equal(tl.Context[0].Msg, "store lost")
	is.Equal(tl.Context[1].Server, "a")
	is.Equal(tl.Dropped, map[string]int{"assigned": 3})
	_, ok = Reconstruct("x", nil)
	is.True(!ok)
}

func TestInvalidLinesAreSkipped(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := Read(strings.NewReader("front-1| {\"msg\":\"started\"}\npanic: x\n{\"msg\":7}\n{}\n"))
	is.NoErr(err)
	is.Equal(len(lines), 1)
	is.Equal(skipped, 3)
}
