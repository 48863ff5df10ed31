package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/demo"
	"github.com/samphirestream/samphirestream/internal/explain"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

const note1 = `schema: samphirestream/v1
number: 1
added:
  models:
    - {name: reader, version: "1", window_tokens: 64000, default: true}
  backend_servers:
    - {name: s1, data_centre: dc-a, agent: 10.0.0.7:7000, role: prefill, models: [reader@1]}
    - {name: s2, data_centre: dc-a, agent: 10.0.0.8:7000, role: decode, models: [reader@1]}
`

const note2Body = `added:
  models:
    - {name: reader, version: "2", window_tokens: 64000}
changed:
  backend_servers:
    - {name: s1, data_centre: dc-a, agent: 10.0.0.7:7000, role: decode, models: [reader@1]}
`

const validSettings = `role: entry
node: entry-1
data_centre: dc-a
listen: {callers: 10.0.0.8:8080, peers: 10.0.0.8:7000, admin: 10.0.0.8:7001}
platform: {config_service: "http://10.0.0.2:9000"}
insecure_plaintext: true
ticket_key: 00112233445566778899aabbccddeeff
`

const platformSettings = `node_name = "front-1"
ip = "10.0.0.1"
zone = "dc-a"
internal_ports = [7000, 7009]
listen = {front = "10.0.0.1:1", ready = "10.0.0.1:2"}
limits = {memory_mb = 128}
bounds = {drain_ms = 2000, budget_window_s = 10, grace_s = 8}
platform = {address = "10.0.0.9:1"}
`

const frontLog = `front-1| {"level":"info","msg":"started","node":"front-1","ts":"2026-01-02T03:04:00Z"}
front-1| not a log line
front-1| {"level":"warn","msg":"server suspected","node":"front-1","request":"r6","server":"s2","ts":"2026-01-02T03:04:05Z"}
front-1| {"level":"warn","msg":"server suspected","node":"front-1","request":"r6","server":"s9","ts":"2026-01-02T03:04:05Z"}
front-1| {"err":"reset","level":"warn","msg":"attempt failed","node":"front-1","request":"r7","server":"s2","ts":"2026-01-02T03:04:06Z"}
front-1| {"level":"warn","msg":"failed","node":"front-1","outcome":"outcome_unknown","request":"r7","ts":"2026-01-02T03:04:07Z"}
`

// fixture holds the files and services that commands are run on.
type fixture struct {
	dir, service, vmList string
	// ready and late are the admin addresses of a process with the latest note in
	// force and of one without it.
	ready, late string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{dir: t.TempDir()}
	note2 := "schema: samphirestream/v1\nnumber: 2\nprevious: " + release.Digest([]byte(note1)) + "\n" + note2Body
	experiment, err := os.ReadFile(filepath.Join("testdata", "experiment.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"engine.yaml": string(experiment), "idle.yaml": strings.Replace(string(experiment), "slots: 16", "slots: 0", 1),
		"exact.yaml": strings.Replace(string(experiment), "max_slowdown: 100", "max_slowdown: 1", 1),
		"fast.yaml":  strings.Replace(string(experiment), "max_slowdown: 100", "max_slowdown: 0.9", 1),
		"1.yaml":     note1, "2.yaml": note2, "front.log": frontLog,
		"node.toml": platformSettings, "bad.toml": strings.Replace(platformSettings, ", grace_s = 8", "", 1),
		"typo.yaml":  strings.Replace(note1, "window_tokens", "window", 1),
		"wrong.yaml": strings.Replace(note2, "name: s1", "name: s9", 1),
		"entry.yaml": validSettings, "bad.yaml": strings.Replace(validSettings, "role: entry", "role: entree", 1),
	} {
		if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config, vms := standin.NewConfigService(), standin.NewVMList(0)
	config.Publish([]byte(note1))
	config.Publish([]byte(note2))
	f.service, f.vmList = serve(t, config.Handler()), serve(t, vms.Handler())
	f.ready = serveState(t, `{"node": {"node": "agent-1"}, "backend": "s1", "state": "serving", "note": 2, "note_digest": "b", "orders": {"note": 2, "in_force": true, "pending": [{"action": "unload", "key": "reader@0", "reason": "draining"}]}}`)
	f.late = serveState(t, `{"node": {"node": "agent-2"}, "backend": "s2", "state": "serving", "note": 1, "note_digest": "a", "control": {"best_note": 2}, "orders": {"note": 1, "pending": [{"action": "load", "key": "reader@1", "reason": "the engine is loading the weights"}]}}`)
	vms.Set(controlplane.VM{Name: "agent-1", Role: "agent", Peers: "127.0.0.1:1", State: controlplane.VMLive})
	return f
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func serveState(t *testing.T, state string) string {
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/debug/state" {
			http.NotFound(w, r)
			return
		}
		_, _ = fmt.Fprint(w, state)
	}))
	return strings.TrimPrefix(url, "http://")
}

// run runs a command line in which @NAME stands for a file, and SERVICE, VMS,
// READY and LATE for addresses.
func (f *fixture) run(t *testing.T, line string) (code int, out, errOut string) {
	t.Helper()
	line = strings.NewReplacer("@", f.dir+"/", "SERVICE", f.service, "VMS", f.vmList, "READY", f.ready, "LATE", f.late).Replace(line)
	var o, e bytes.Buffer
	code = Main(t.Context(), strings.Fields(line), &o, &e)
	return code, o.String(), e.String()
}

func TestCommands(t *testing.T) {
	f := newFixture(t)
	port := f.ready[strings.LastIndex(f.ready, ":")+1:]
	cases := []struct {
		line string
		code int
		out  string // a part of the output
		err  string // a part of the error
	}{
		{"", ExitUsage, "", "SUBCOMMANDS"},
		{"-h", ExitOK, "", "EXIT CODES"},
		{"nte", ExitUsage, "", `unknown command "nte": use one of note,`},
		{"note", ExitUsage, "", "SUBCOMMANDS"},
		{"note check -h", ExitOK, "", "EXAMPLES"},
		{"note check -bad @1.yaml", ExitUsage, "", "not defined: -bad"},
		{"note check", ExitUsage, "", "no file"},
		{"experiment", ExitUsage, "", "0 files: give one"},
		{"experiment @none.yaml", ExitFailure, "", "no such file"},
		{"experiment @idle.yaml", ExitInvalid, "", "idle.yaml: engine.slots: 0 is not possible"},
		{"experiment @1.yaml", ExitInvalid, "", "unknown key"},
		{"experiment -plot @plot.xyz @engine.yaml", ExitFailure, "", "xyz"},
		{"experiment @fast.yaml", ExitInvalid, "", "fast.yaml: max_slowdown: 0.9 is not possible"},
		{"experiment @exact.yaml", ExitFailure, "on time", "the machine could not keep up"},
		{"experiment @engine.yaml", ExitOK, "on time", ""},
		{"experiment -json -plot @plot.svg @engine.yaml", ExitOK, `"on_time": 19,`, ""},
		{"note check @1.yaml", ExitOK, "valid: note 1", ""},
		{"note check @1.yaml @2.yaml", ExitOK, "warning: model reader@1 has 0 prefill and 2 decode servers", ""},
		{"note check -fold @1.yaml @2.yaml", ExitOK, "valid: note 2", ""},
		{"note check -fold @1.yaml -service SERVICE @2.yaml", ExitUsage, "", "contradict"},
		{"note check -service SERVICE @2.yaml", ExitInvalid, "", "publish note 3 next"},
		{"note check -service http://127.0.0.1:1 @2.yaml", ExitFailure, "", "-service"},
		{"note check @2.yaml", ExitInvalid, "", "2.yaml:2: number: note 2 after note 0; publish note 1 next"},
		{"note check @none.yaml", ExitFailure, "", "no such file"},
		{"note check @typo.yaml", ExitInvalid, "", "typo.yaml:5: added.models[0].window: unknown key"},
		{"note check @1.yaml @wrong.yaml", ExitInvalid, "", `wrong.yaml:9: changed.backend_servers[0]: "s9" does not exist; list it under added`},
		{"note check -json @1.yaml @wrong.yaml", ExitInvalid, `"line": 9`, "s9"},
		{"note check -json @1.yaml", ExitOK, `"valid": true`, ""},
		{"note show @2.yaml", ExitOK, "changed   backend_server s1", ""},
		{"note show -service SERVICE", ExitOK, "note      2", ""},
		{"note show -service SERVICE -number 1 -json", ExitOK, `"number": 1`, ""},
		{"note show -service SERVICE -number 9", ExitFailure, "", "number of a published note"},
		{"note show", ExitUsage, "", "give one file, or -service"},
		{"note diff @1.yaml @1.yaml,@2.yaml", ExitOK, "changed backend_server s1\n  role: prefill -> decode\nadded model reader@2\n", ""},
		{"note diff -json -service SERVICE 1 2", ExitOK, `"before": "prefill"`, ""},
		{"note diff -service SERVICE 2 2", ExitOK, "no differences", ""},
		{"note diff -service SERVICE 1 x", ExitUsage, "", "number of a published note"},
		{"note diff @1.yaml", ExitUsage, "", "give A and B"},
		{"settings check", ExitUsage, "", "no file"},
		{"settings check @entry.yaml", ExitOK, "entry entry-1 in dc-a", ""},
		{"settings check @bad.yaml", ExitInvalid, "", `bad.yaml:1: role: "entree" is not a role; write entry or agent`},
		{"settings check -json @entry.yaml @bad.yaml", ExitInvalid, `"key": "role"`, "entree"},
		{"settings check @none.yaml", ExitFailure, "", "no such file"},
		{"settings check -platform @node.toml", ExitOK, "entry front-1 in dc-a", ""},
		{"settings check -platform @bad.toml", ExitInvalid, "", "bad.toml: bounds.grace_s: missing or wrong; give the time from SIGTERM to SIGKILL"},
		{"settings check -platform -json @node.toml @bad.toml", ExitInvalid, `"key": "bounds.grace_s"`, ""},
		{"dump", ExitUsage, "", "listen.admin"},
		{"dump host:1", ExitUsage, "", "give an IP address"},
		{"dump 127.0.0.1:1", ExitFailure, "", "listen.admin address of a running process"},
		{"dump READY", ExitOK, `"agent-1"`, ""},
		{"explain", ExitUsage, "", "give the ID"},
		{"explain r7 @none.log", ExitFailure, "", "no such file"},
		{"explain r9 @front.log", ExitFailure, "", "give the logs of all entries"},
		{"explain r7 @front.log", ExitOK, "request r7: outcome_unknown\ndecided by: attempt failed err=reset server=s2\n", "passed over 1 lines"},
		{"explain r7 @front.log", ExitOK, "server suspected server=s2\n", ""},
		{"explain -json r7 @front.log", ExitOK, `"outcome": "outcome_unknown"`, ""},
		{"status", ExitUsage, "", "-vm-list"},
		{"status READY", ExitOK, "note 2 is in force at 1 of 1 processes", ""},
		{"status READY", ExitOK, "unload reader@0: draining", ""},
		{"status -service SERVICE READY", ExitOK, "note 2", ""},
		{"status READY LATE", ExitLate, "it has note 1 of 2, and has heard of note 2; load reader@1: the engine is loading", "1 of 2 processes are late"},
		{"status -late READY LATE", ExitLate, "note 2: 1 processes\nnote 1: 1 processes\n", "late"},
		{"status -late -json READY LATE", ExitLate, `"in_force": 1`, "late"},
		{"status -vm-list VMS -admin-port " + port, ExitOK, "agent-1", ""},
		{"status -vm-list http://127.0.0.1:1", ExitFailure, "", "-vm-list"},
		{"status 127.0.0.1:1", ExitLate, "no answer", "late"},
		{"demo x", ExitUsage, "", "unexpected argument"},
		{"demo -log-level loud", ExitUsage, "", "debug, info"},
		{"demo -listen nowhere:x", ExitFailure, "", "listen.callers"},
		{"version", ExitOK, "samphirectl", ""},
		{"version -json", ExitOK, `"go": "go1.`, ""},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			code, out, errOut := f.run(t, c.line)
			if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errOut, c.err) {
				t.Errorf("exit code %d, want %d\noutput %q\nwant a part %q\nerror %q\nwant a part %q", code, c.code, out, c.out, errOut, c.err)
			}
			if strings.Contains(c.line, "-json") && !json.Valid([]byte(out)) {
				t.Errorf("not JSON: %s", out)
			}
		})
	}
}

func TestFlagsFromTheEnvironment(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	t.Setenv("SAMPHIRECTL_SERVICE", f.service)
	code, out, _ := f.run(t, "note show")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "note      2"))
}

// TestEachCommandHelpHasExamplesAndExitCodes checks the help of every command.
func TestEachCommandHelpHasExamplesAndExitCodes(t *testing.T) {
	f := newFixture(t)
	for _, command := range []string{"note check", "note diff", "note show", "settings check", "status", "dump", "explain", "demo", "version"} {
		_, _, help := f.run(t, command+" -h")
		if !strings.Contains(help, "EXAMPLES") || !strings.Contains(help, "EXIT CODES") {
			t.Errorf("%s: %s", command, help)
		}
	}
}

// TestLeftOutLinesAreListedInOrder prints the kinds of lines that the logs left out.
func TestLeftOutLinesAreListedInOrder(t *testing.T) {
	is := is.New(t)
	for range 20 {
		var out bytes.Buffer
		p := &printer{out: &out}
		p.showTimeline(&explain.Timeline{Dropped: map[string]int{"c": 1, "a": 1, "b": 1}})
		text := out.String()
		is.True(strings.Index(text, `"a"`) < strings.Index(text, `"b"`))
		is.True(strings.Index(text, `"b"`) < strings.Index(text, `"c"`))
	}
}

// TestCutDumpIsNamed reads state dumps that are longer than allowed and that break off.
func TestCutDumpIsNamed(t *testing.T) {
	is := is.New(t)
	long := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := bytes.Repeat([]byte(" "), 1<<20)
		for range maxDumpBytes>>20 + 1 {
			_, _ = w.Write(block)
		}
	}))
	_, err := readState(t.Context(), strings.TrimPrefix(long, "http://"))
	is.True(err != nil && strings.Contains(err.Error(), "longer than 64 MiB"))
	short := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = fmt.Fprint(w, "{")
	}))
	_, err = readState(t.Context(), strings.TrimPrefix(short, "http://"))
	is.True(err != nil && strings.Contains(err.Error(), "broke off"))
}

// TestStatusOfARunningFleet runs status on the processes of the demo fleet.
func TestStatusOfARunningFleet(t *testing.T) {
	is := is.New(t)
	fleet, err := demo.Start(context.Background(), "127.0.0.1:0", log.NewNopLogger())
	is.NoErr(err)
	defer fleet.Stop()
	var out, errOut bytes.Buffer
	code := Main(t.Context(), append([]string{"status", "-json"}, fleet.AdminAddrs()...), &out, &errOut)
	if code != ExitOK {
		t.Fatalf("exit code %d: %s %s", code, &out, &errOut)
	}
	var status fleetStatus
	is.NoErr(json.Unmarshal(out.Bytes(), &status))
	is.Equal(status.InForce, len(fleet.AdminAddrs()))
	is.Equal(status.Note, uint64(1))
}
