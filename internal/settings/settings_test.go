package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

const agentSettings = `role: agent
node: agent-7
data_centre: dc-a
region: coast
listen:
  peers: 10.0.0.7:7000
  admin: 10.0.0.7:7001
platform:
  config_service: http://10.0.0.2:9000
  vm_list: http://10.0.0.2:9001
  weight_store: http://10.0.0.3:9002
  weight_store_rate: 1e9
backend:
  name: dc-a-decode-1
  kind: engine
  url: http://127.0.0.1:9100
tls: {certificate: cert.pem, key: key.pem, authority: ca.pem}
ticket_key: 00112233445566778899aabbccddeeff
timeouts: {heartbeat: 1s, lease: 3s}
`

const entrySettings = `role: entry
node: entry-1
data_centre: dc-a
listen: {callers: 10.0.0.8:8080, peers: 10.0.0.8:7000, admin: 10.0.0.8:7001}
platform: {config_service: http://10.0.0.2:9000}
insecure_plaintext: true
ticket_key: 00112233445566778899aabbccddeeff
`

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(agentSettings))
	is.NoErr(err)
	is.Equal(s.Platform.WeightStoreRate, 1e9)
	is.Equal(s.Timeouts.Drain, DefaultDrain)
	_, err = Parse([]byte(entrySettings))
	is.NoErr(err)
}

// TestParseReportsProblems changes a valid file in one place and checks the line, the key
// and a substring of the text of the first problem.
func TestParseReportsProblems(t *testing.T) {
	cases := []struct {
		name, base, old, new string
		line                 int
		key, text            string
	}{
		{"unknown key", agentSettings, "region:", "regoin:", 4, "regoin", "unknown key"},
		{"wrong type", agentSettings, "lease: 3s", "lease: 3", 19, "timeouts.lease", "with its unit"},
		{"role", agentSettings, "role: agent", "role: agnet", 1, "role", "write entry or agent"},
		{"no node", agentSettings, "node: agent-7\n", "", 1, "node", "name this process"},
		{"no data centre", agentSettings, "data_centre: dc-a\n", "", 1, "data_centre", "name the data centre"},
		{"no admin address", agentSettings, "  admin: 10.0.0.7:7001\n", "", 5, "listen.admin", "give an IP address"},
		{"host name", agentSettings, "10.0.0.7:7000", "host:7000", 6, "listen.peers", "give an IP address"},
		{"one address twice", agentSettings, ":7001", ":7000", 7, "listen.admin", "listen.peers already"},
		{"callers at an agent", agentSettings, "  admin:", "  callers: 10.0.0.7:80\n  admin:", 7, "listen.callers", "write role: entry"},
		{"no config service", agentSettings, "  config_service: http://10.0.0.2:9000\n", "", 8, "platform.config_service", "give a URL"},
		{"URL by name", agentSettings, "http://10.0.0.2:9001", "http://vms:9001", 10, "platform.vm_list", "give a URL"},
		{"rate without a store", agentSettings, "  weight_store: http://10.0.0.3:9002\n", "", 11, "platform.weight_store_rate", "as well"},
		{"negative rate", agentSettings, "1e9", "-1.0", 12, "platform.weight_store_rate", "bytes per second"},
		{"backend without a name", agentSettings, "  name: dc-a-decode-1\n", "", 13, "backend.name", "as release notes do"},
		{"kind", agentSettings, "kind: engine", "kind: motor", 15, "backend.kind", "write engine or service"},
		{"backend URL", agentSettings, "http://127.0.0.1:9100", "127.0.0.1:9100", 16, "backend.url", "give a URL"},
		{"lock for a service", agentSettings, "  kind: engine", "  writer_lock: 127.0.0.1:1\n  kind: service", 15, "backend.writer_lock", "remove it"},
		{"partial TLS", agentSettings, ", key: key.pem", "", 17, "tls", "together"},
		{"TLS and plaintext", agentSettings, "tls:", "insecure_plaintext: true\ntls:", 17, "insecure_plaintext", "keep one"},
		{"no TLS", entrySettings, "insecure_plaintext: true\n", "", 1, "tls", "insecure_plaintext: true"},
		{"short ticket key", agentSettings, "00112233445566778899aabbccddeeff", "00aa", 18, "ticket_key", "hexadecimal digits"},
		{"numeric ticket key", agentSettings, "00112233445566778899aabbccddeeff", "11", 18, "ticket_key", "quotes"},
		{"short lease", agentSettings, "lease: 3s", "lease: 1500ms", 19, "timeouts.lease", "two heartbeats"},
		{"long notice", agentSettings, "lease: 3s", "drain: 3s", 19, "timeouts.notice", "shorter than timeouts.drain"},
		{"negative timeout", agentSettings, "heartbeat: 1s", "heartbeat: -1s", 19, "timeouts", "positive"},
		{"log level", entrySettings, "role:", "log_level: loud\nrole:", 1, "log_level", "debug, info"},
		{"negative limit", entrySettings, "role:", "limits: {queue: -1}\nrole:", 1, "limits", "positive"},
		{"backend at an entry", entrySettings, "role:", "backend: {name: x}\nrole:", 1, "backend", "write role: agent"},
		{"empty", entrySettings, entrySettings, "", 1, "role", "write entry or agent"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := strings.Replace(c.base, c.old, c.new, 1)
			is.True(raw != c.base) // the case changes the file
			_, err := Parse([]byte(raw))
			ps, ok := strictyaml.ProblemsOf(err)
			is.True(ok)
			is.Equal(ps[0].Line, c.line)
			is.Equal(ps[0].Key, c.key)
			is.True(strings.Contains(ps[0].Error(), c.text))
		})
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "agent.yaml")
	is.NoErr(os.WriteFile(file, []byte("role: agent\nnod: x\n"), 0o600))
	_, err := Load(file)
	is.True(strings.HasPrefix(err.Error(), file+":2: nod: unknown key; "))
	_, err = Load("")
	is.True(strings.Contains(err.Error(), "-settings"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(agentSettings))
	f.Add([]byte(entrySettings))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil {
			if err := s.check(); err != nil {
				t.Fatal(err)
			}
			return
		}
		if _, ok := strictyaml.ProblemsOf(err); !ok {
			t.Fatalf("not a list of problems: %v", err)
		}
	})
}
