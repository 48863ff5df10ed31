package strictyaml

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

type item struct {
	Name string `yaml:"name"`
	N    int    `yaml:"n"`
}

type document struct {
	Text  string        `yaml:"text"`
	Item  item          `yaml:"item"`
	Items []item        `yaml:"items"`
	Wait  time.Duration `yaml:"wait"`
	Rate  float64       `yaml:"rate"`
	On    bool          `yaml:"on"`
}

func TestUnmarshal(t *testing.T) {
	cases := []struct {
		name, raw string
		line      int
		key       string
		message   string // a substring; empty for a valid document
	}{
		{"empty", "", 0, "", ""},
		{"only a comment", "# text\n", 0, "", ""},
		{"whole", "text: |\n  a\nitem: {name: b, n: 1}\nitems:\n  - name: c\nwait: 1.4s\nrate: 2\non: true\n", 0, "", ""},
		{"unknown key", "text: x\ntxet: y\n", 2, "txet", "unknown key"},
		{"unknown key in a list", "items:\n  - name: x\n    m: 1\n", 3, "items[0].m", "unknown key"},
		{"repeated key", "text: x\ntext: y\n", 2, "", "already defined"},
		{"text for a number", "item:\n  n: abc\n", 2, "item.n", "text where a whole number"},
		{"fraction for a whole number", "item: {n: 1.5}\n", 1, "item.n", "1.5 where a whole number"},
		{"number for text", "text: 1.10\n", 1, "text", "1.10 where text"},
		{"truth for text", "text: no\nitem: {name: true}\n", 2, "item.name", "where text"},
		{"not a number", "rate: .nan\n", 1, "rate", "where a number"},
		{"infinity", "rate: .inf\n", 1, "rate", "where a number"},
		{"duration without a unit", "wait: 3\n", 1, "wait", "where a duration"},
		{"wrong duration", "wait: soon\n", 1, "wait", "not a duration"},
		{"text for truth", "on: maybe\n", 1, "on", "true or false"},
		{"no value", "item:\n", 1, "item", "no value"},
		{"list for keys", "item: [1]\n", 1, "item", "a list where keys"},
		{"keys for list", "items: {a: b}\n", 1, "items", "keys with values where a list"},
		{"text for the document", "just text\n", 1, "", "text where keys"},
		{"anchor", "text: &a x\n", 1, "", "anchors"},
		{"alias", "text: *a\n", 1, "", "anchors"},
		{"merge key", "<<: {text: x}\n", 1, "", "anchors"},
		{"tag", "text: !!binary eA==\n", 1, "", "not supported"},
		{"explicit key", "? text\n: x\n", 1, "", "not supported"},
		{"second document", "text: x\n---\ntext: y\n", 3, "", "a second document"},
		{"syntax", "text: [x\n", 1, "", "not found"},
		{"tab", "\ttext: x\n", 1, "", "tab"},
		{"nested lists", strings.Repeat("[", 100_000), 1, "", "too deeply"},
		{"nested entries", strings.Repeat("- ", 50_000), 1, "", "too deeply"},
		{"nested keys", nestedKeys(400), 130, "", "too deeply"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var d document
			err := Unmarshal([]byte(c.raw), &d)
			if c.message == "" {
				is.NoErr(err)
				return
			}
			ps, ok := ProblemsOf(err)
			is.True(ok)
			is.True(errors.Is(err, errors.NotValid))
			is.Equal(ps[0].Line, c.line)
			is.Equal(ps[0].Key, c.key)
			is.True(strings.Contains(ps[0].Message, c.message))
			is.True(ps[0].Remedy != "")
		})
	}
}

func nestedKeys(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return b.String()
}

func TestAllProblemsAreReported(t *testing.T) {
	is := is.New(t)
	var d document
	err := SetFile(Unmarshal([]byte("txet: x\nitem:\n  n: a\nwait: 3\n"), &d), "f.yaml")
	is.Equal(strings.Count(err.Error(), "\n"), 2)
	is.True(strings.HasPrefix(err.Error(), "f.yaml:1: txet: unknown key; "))
}

func TestLocate(t *testing.T) {
	is := is.New(t)
	raw := []byte("# head\ntext: x\nitems:\n  - name: a\n  - name: b\n")
	ps := Problems{{Key: "items[1].name"}, {Key: "items[1].n"}, {Key: "items[7].n"}, {Key: "rate"}, {Key: "item.n"}}
	Locate(raw, ps)
	lines := []int{}
	for _, p := range ps {
		lines = append(lines, p.Line)
	}
	is.Equal(lines, []int{5, 5, 3, 1, 1})
}
