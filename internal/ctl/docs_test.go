package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/emulator"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/settings"
)

const operations = "../../docs/OPERATIONS.md"

// example returns the indented block of a page that starts with a key.
func example(t *testing.T, page, key string) string {
	t.Helper()
	const indent = "    "
	_, rest, ok := strings.Cut(page, "\n"+indent+key+":")
	if !ok {
		t.Fatalf("no example with %s", key)
	}
	block := key + ":"
	for i, line := range strings.Split(rest, "\n") {
		if i > 0 && line != "" && !strings.HasPrefix(line, indent) {
			break
		}
		block += strings.TrimPrefix(line, indent) + "\n"
	}
	return block
}

// TestDocumentedExamples checks that the examples of the operators' page are
// valid, and that the page names every key.
func TestDocumentedExamples(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(filepath.FromSlash(operations))
	is.NoErr(err)
	page := string(raw)
	_, err = settings.Parse([]byte(example(t, page, "role")))
	is.NoErr(err)
	doc, err := release.Parse([]byte(example(t, page, "schema")))
	is.NoErr(err)
	_, err = release.EmptyState().Apply(doc)
	is.NoErr(err)
	for _, typ := range []reflect.Type{reflect.TypeFor[settings.Settings](), reflect.TypeFor[release.Note]()} {
		for _, key := range yamlKeys(typ) {
			if !regexp.MustCompile("\\b" + key + "\\b").MatchString(page) {
				t.Errorf("%s does not describe the key %s of %s", operations, key, typ)
			}
		}
	}
}

// yamlKeys lists the keys of a type and of the types below it.
func yamlKeys(t reflect.Type) []string {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var out []string
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if key != "" {
			out = append(out, key)
		}
		out = append(out, yamlKeys(t.Field(i).Type)...)
	}
	return out
}

// TestDocumentedExplanations follows the operators' page from the IDs of failed
// requests to their causes, with the logs of the runs that it shows.
func TestDocumentedExplanations(t *testing.T) {
	raw, err := os.ReadFile(filepath.FromSlash(operations))
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ request, log, cause string }{
		{"fd5c22e9d7c69c8e", "refused.log", "refused by prediction"},
		{"77c8470ba9db42fb", "unsafe.log", "attempt failed"},
		{"386d7d4cf816edf4", "stream.log", "retry refused"},
	} {
		t.Run(tc.log, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			code := Main(t.Context(), []string{"explain", tc.request, filepath.Join("testdata", tc.log)}, &out, &errOut)
			is.Equal(code, ExitOK)
			is.True(strings.Contains(out.String(), "\ndecided by: "+tc.cause+" "))
			for line := range strings.Lines(out.String()) {
				if line = strings.TrimSpace(line); !strings.Contains(string(raw), "    "+line) {
					t.Errorf("%s does not show %q", operations, line)
				}
			}
		})
	}
}

// TestDocumentedExperiment checks that the example of the operators' page is valid.
func TestDocumentedExperiment(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(filepath.FromSlash(operations))
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "engine.yaml")
	is.NoErr(os.WriteFile(file, []byte(example(t, string(raw), "entries")), 0o600))
	x, err := emulator.LoadExperiment(file)
	is.NoErr(err)
	is.Equal(len(x.Load.Bursts), 1)
}
