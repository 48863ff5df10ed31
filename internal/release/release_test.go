package release

import (
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

var keyDigest = Digest([]byte("key"))

var firstNote = `schema: samphirestream/v1
number: 1
summary: first
added:
  models:
    - {name: reader, version: "1", window_tokens: 64000, weights_bytes: 1000, default: true}
    - {name: reader, version: "2", window_tokens: 64000}
  adapters:
    - {name: legal, model: reader@1, version: "1"}
  backend_servers:
    - name: s1
      data_centre: dc-a
      agent: 10.0.0.7:7000
      role: prefill
      models: [reader@1]
    - name: s2
      data_centre: dc-a
      agent: 10.0.0.8:7000
      role: service
      service: ledger
  services:
    - name: ledger
      prefix: /ledger
      calls:
        - {method: POST, path: /payments}
        - {method: GET, path: /contracts/*, idempotent: true}
  providers:
    - name: nile-bark
      key_digests: [` + keyDigest + `]
      weight: 2
      limits: {requests_per_second: 10, burst: 20}
      targets: {first_token: 1.4s, between_tokens: 74ms}
`

// secondNote returns the text of a note 2 with the given parts, to follow firstNote.
func secondNote(t testing.TB, parts string) string {
	t.Helper()
	doc, err := Parse([]byte(firstNote))
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("schema: samphirestream/v1\nnumber: 2\nprevious: %s\n%s", doc.Digest, parts)
}

func TestParseReportsProblems(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		key, text      string
	}{
		{"unknown key", "window_tokens", "window_token", 6, "added.models[0].window_token", "unknown key"},
		{"number for a version", `version: "1"`, `version: 1`, 6, "added.models[0].version", `as in "1"`},
		{"schema", "samphirestream/v1", "samphirestream/v9", 1, "schema", "write samphirestream/v1"},
		{"number", "number: 1", "number: 0", 2, "number", "from 1"},
		{"previous of note 1", "summary: first", "previous: x", 3, "previous", "remove it"},
		{"previous of note 2", "number: 1", "number: 2", 1, "previous", "note show"},
		{"model without a version", `version: "1", `, "", 6, "added.models[0].version", "missing"},
		{"model with a sign", "name: reader", `name: "re@der"`, 6, "added.models[0].name", "use letters"},
		{"window", "64000", "-1", 6, "added.models[0].window_tokens", "positive"},
		{"weights", "1000", "-1", 6, "added.models[0].weights_bytes", "size of the weights"},
		{"one model twice", `version: "2"`, `version: "1"`, 7, "added.models[1]", "keep one"},
		{"adapter", "model: reader@1, version", "model: reader, version", 9, "added.adapters[0].model", "NAME@VERSION"},
		{"agent", "10.0.0.7:7000", "vm7:7000", 13, "added.backend_servers[0].agent", "IP address"},
		{"role", "role: prefill", "role: prefil", 14, "added.backend_servers[0].role", "write prefill"},
		{"server without models", "      models: [reader@1]\n", "", 11, "added.backend_servers[0].models", "at least one"},
		{"model listed twice", "[reader@1]", "[reader@1, reader@1]", 15, "added.backend_servers[0].models[1]", "keep one"},
		{"service of an engine", "models: [reader@1]", "models: [reader@1]\n      service: ledger", 16, "added.backend_servers[0].service", "remove it"},
		{"models of a service", "service: ledger", "service: ledger\n      models: [reader@1]", 21, "added.backend_servers[1].models", "remove them"},
		{"prefix", "prefix: /ledger", "prefix: /v1", 23, "added.services[0].prefix", "belongs to the language models"},
		{"call", "path: /payments", "path: payments", 25, "added.services[0].calls[0].path", "path pattern"},
		{"method", "method: POST", "method: post", 25, "added.services[0].calls[0].method", "such as GET"},
		{"key digest", keyDigest, "secret", 29, "added.providers[0].key_digests[0]", "sha256sum"},
		{"weight", "weight: 2", "weight: 0", 30, "added.providers[0].weight", "positive"},
		{"burst without a rate", "requests_per_second: 10, ", "", 31, "added.providers[0].limits.burst", "requests_per_second"},
		{"target without a unit", "74ms", "74", 32, "added.providers[0].targets.between_tokens", "unit"},
		{"negative target", "1.4s", "-1.4s", 32, "added.providers[0].targets.first_token", "positive"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := strings.Replace(firstNote, c.old, c.new, 1)
			is.True(raw != firstNote) // the case changes the note
			_, err := Parse([]byte(raw))
			checkProblem(t, err, c.line, c.key, c.text)
		})
	}
}

// checkProblem checks the line, the key and a substring of the text of the first
// problem.
func checkProblem(t *testing.T, err error, line int, key, text string) {
	t.Helper()
	is := is.NewRelaxed(t)
	ps, ok := strictyaml.ProblemsOf(err)
	if !ok {
		t.Fatalf("not a list of problems: %v", err)
	}
	is.True(errors.Is(err, errors.NotValid))
	is.Equal(ps[0].Line, line)
	is.Equal(ps[0].Key, key)
	is.True(strings.Contains(ps[0].Error(), text))
	is.True(ps[0].Remedy != "")
}

func TestApplyRejectsInconsistentNote(t *testing.T) {
	cases := []struct {
		name, parts string
		line        int
		key, text   string
	}{
		{"withdraws nothing", "withdrawn:\n  models: [x@1]\n", 5, "withdrawn.models[0]", "remove it"},
		{"changes nothing", "changed:\n  adapters:\n    - {name: x, model: reader@1, version: \"1\"}\n", 6, "changed.adapters[0]", "under added"},
		{"adds again", "added:\n  models:\n    - {name: reader, version: \"1\", window_tokens: 1}\n", 6, "added.models[0]", "under changed"},
		{"model still in use", "withdrawn:\n  models: [reader@1]\n", 5, "withdrawn.models[0]", "withdraw the adapter"},
		{"model that is not there", "changed:\n  backend_servers:\n    - {name: s1, data_centre: dc-a, agent: 10.0.0.7:7000, role: decode, models: [x@1]}\n", 6, "changed.backend_servers[0]", "change the server"},
		{"service still in use", "withdrawn:\n  services: [ledger]\n", 5, "withdrawn.services[0]", "withdraw the server"},
		{"agent address in use", "added:\n  backend_servers:\n    - {name: s0, data_centre: dc-a, agent: 10.0.0.7:7000, role: decode, models: [reader@1]}\n", 6, "added.backend_servers[0]", "own address"},
		{"prefix in use", "added:\n  services:\n    - {name: a, prefix: /ledger, calls: [{method: GET, path: /}]}\n", 6, "added.services[0]", "another prefix"},
		{"key in use", "added:\n  providers:\n    - {name: a, key_digests: [" + keyDigest + "], weight: 1}\n", 6, "added.providers[0]", "separate keys"},
		{"second default", "changed:\n  models:\n    - {name: reader, version: \"2\", window_tokens: 1, default: true}\n", 6, "changed.models[0]", "keep one"},
		{"adapter with the name of a model", "added:\n  adapters:\n    - {name: reader, model: reader@1, version: \"1\"}\n", 6, "added.adapters[0]", "another name"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := NewStore()
			applyRaw(t, store, firstNote)
			doc, err := Parse([]byte(secondNote(t, c.parts)))
			is.NoErr(err)
			err = store.Apply(doc)
			checkProblem(t, err, c.line, c.key, c.text)
			is.Equal(store.Current().Number, uint64(1)) // the note had no effect
		})
	}
}

func applyRaw(t *testing.T, store *Store, raw string) {
	t.Helper()
	doc, err := Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Apply(doc); err != nil {
		t.Fatal(err)
	}
}

func TestApplyContinuesTheChain(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	applyRaw(t, store, firstNote)
	doc, err := Parse([]byte(strings.Replace(secondNote(t, "summary: x\n"), "number: 2", "number: 3", 1)))
	is.NoErr(err)
	checkProblem(t, store.Apply(doc), 2, "number", "publish note 2 next")
	wrong, err := Parse([]byte(strings.Replace(secondNote(t, "summary: x\n"), "previous: ", "previous: "+keyDigest+" # ", 1)))
	is.NoErr(err)
	checkProblem(t, store.Apply(wrong), 3, "previous", "write \"")
	applyRaw(t, store, secondNote(t, "summary: x\n"))
	applyRaw(t, store, secondNote(t, "summary: x\n")) // again, without effect
	fork, err := Parse([]byte(secondNote(t, "summary: y\n")))
	is.NoErr(err)
	is.True(errors.Is(store.Apply(fork), ErrFork))
}

func TestFleetStateQueries(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	applyRaw(t, store, firstNote)
	applyRaw(t, store, secondNote(t, "withdrawn:\n  adapters: [legal]\n"))
	state := store.Current()
	m, ok := state.Model("reader")
	is.True(ok)
	is.Equal(m.Key(), "reader@1")
	is.True(state.WasWithdrawn("legal"))
	_, ok = state.Model("legal")
	is.True(!ok)
	is.Equal(len(state.Pool(RolePrefill, "reader@1")), 1)
	is.Equal(len(state.Pool(RoleDecode, "reader@1")), 0)
	_, ok = state.ProviderByKey("key")
	is.True(ok)
	service, rest, ok := state.ServiceFor("/ledger/payments")
	is.True(ok)
	call, ok := service.Call("POST", rest)
	is.True(ok)
	is.True(!call.Idempotent)
	_, ok = service.Call("DELETE", rest)
	is.True(!ok)
}

// TestNestedPrefixesGoToTheLongest routes paths below two services, one below the other.
func TestNestedPrefixesGoToTheLongest(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	doc, err := Parse([]byte(`schema: samphirestream/v1
number: 1
added:
  services:
    - {name: a, prefix: /files, calls: [{method: GET, path: /*}]}
    - {name: b, prefix: /files/archive, calls: [{method: GET, path: /*}]}
`))
	is.NoErr(err)
	is.NoErr(store.Apply(doc))
	for path, want := range map[string]string{"/files/x": "a", "/files/archive": "b", "/files/archive/x": "b", "/files/archives": "a"} {
		s, rest, ok := store.Current().ServiceFor(path)
		is.True(ok)
		is.Equal(s.Name, want)
		is.Equal(s.Prefix+rest, path)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Add([]byte(secondNote(f, "withdrawn:\n  adapters: [legal]\n")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, err := Parse(raw)
		if err != nil {
			if _, ok := strictyaml.ProblemsOf(err); !ok {
				t.Fatalf("not a list of problems: %v", err)
			}
			return
		}
		if doc.Digest != Digest(raw) {
			t.Fatal("the digest is not that of the published bytes")
		}
		// Applying a valid note succeeds or fails with problems, and leaves the
		// former state unchanged.
		empty := EmptyState()
		if _, err := empty.Apply(doc); err != nil {
			if _, ok := strictyaml.ProblemsOf(err); !ok {
				t.Fatalf("not a list of problems: %v", err)
			}
		}
		if empty.Number != 0 || len(empty.Servers()) != 0 {
			t.Fatal("the empty state changed")
		}
	})
}
