package release

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"path"
	"strings"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

const digestBytes = 32 // of SHA-256

// validate checks a note without the notes before it.
func (n Note) validate() error {
	var ps strictyaml.Problems
	n.checkHeader(&ps)
	n.Added.check("added", &ps)
	n.Changed.check("changed", &ps)
	n.checkDuplicates(&ps)
	return ps.Err()
}

// checkHeader checks the schema and the place in the chain.
func (n Note) checkHeader(ps *strictyaml.Problems) {
	if n.Schema != Schema {
		ps.Add("schema", "write "+Schema, "%q is not a schema that this version reads", n.Schema)
	}
	if n.Number == 0 {
		ps.Add("number", "number the notes from 1", "missing or 0")
	}
	switch {
	case n.Number == 1 && n.Previous != "":
		ps.Add("previous", "remove it", "note 1 has no note before it")
	case n.Number > 1 && !isDigest(n.Previous):
		ps.Add("previous", "samphirectl note show prints the digest of the note in force",
			"%q is not the digest of note %d", n.Previous, n.Number-1)
	}
}

// checkDuplicates reports items that a note names more than once.
func (n Note) checkDuplicates(ps *strictyaml.Problems) {
	added, changed, withdrawn := n.Added, n.Changed, n.Withdrawn
	checkDuplicateKeys(ps, "models", added.Models, changed.Models, withdrawn.Models, Model.Key)
	checkDuplicateKeys(ps, "adapters", added.Adapters, changed.Adapters, withdrawn.Adapters, adapterName)
	checkDuplicateKeys(ps, "backend_servers", added.BackendServers, changed.BackendServers, withdrawn.BackendServers, serverName)
	checkDuplicateKeys(ps, "services", added.Services, changed.Services, withdrawn.Services, serviceName)
	checkDuplicateKeys(ps, "providers", added.Providers, changed.Providers, withdrawn.Providers, providerName)
}

// checkDuplicateKeys reports the items of one section that a note names more than once.
func checkDuplicateKeys[T any](ps *strictyaml.Problems, section string, added, changed []T, withdrawn []string, key func(T) string) {
	first := map[string]string{}
	check := func(at, name string) {
		if earlier, ok := first[name]; ok {
			ps.Add(at, "keep one of the two", "%q is in this note already, as %s", name, earlier)
		}
		first[name] = at
	}
	for i, item := range added {
		check(itemPath("added", section, i), key(item))
	}
	for i, item := range changed {
		check(itemPath("changed", section, i), key(item))
	}
	for i, name := range withdrawn {
		check(itemPath("withdrawn", section, i), name)
	}
}

// itemPath returns the path of an item in a note, such as added.models[0].
func itemPath(part, section string, i int) string { return fmt.Sprintf("%s.%s[%d]", part, section, i) }

func adapterName(a Adapter) string      { return a.Name }
func serverName(s BackendServer) string { return s.Name }
func serviceName(s Service) string      { return s.Name }
func providerName(p Provider) string    { return p.Name }

// validate checks items without their references to others.
func (items Items) validate() error {
	var ps strictyaml.Problems
	items.check("added", &ps)
	return ps.Err()
}

// check reports the problems of items that a note lists under part, added or changed.
func (items Items) check(part string, ps *strictyaml.Problems) {
	for i, m := range items.Models {
		m.check(itemPath(part, "models", i), ps)
	}
	for i, a := range items.Adapters {
		a.check(itemPath(part, "adapters", i), ps)
	}
	for i, s := range items.BackendServers {
		s.check(itemPath(part, "backend_servers", i), ps)
	}
	for i, s := range items.Services {
		s.check(itemPath(part, "services", i), ps)
	}
	for i, p := range items.Providers {
		p.check(itemPath(part, "providers", i), ps)
	}
}

// checkName checks that a name or a version is present and has permitted characters.
func checkName(ps *strictyaml.Problems, at, key, value string) {
	switch {
	case value == "":
		ps.Add(at+"."+key, "give one", "missing or empty")
	case strings.ContainsFunc(value, isInvalidInName):
		ps.Add(at+"."+key, "use letters, digits and the signs - _ . / : +", "%q", value)
	}
}

func isInvalidInName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-_./:+", r)
	}
}

// checkModelKey checks the form of a reference to a model.
func checkModelKey(ps *strictyaml.Problems, at, value string) {
	if name, version, ok := strings.Cut(value, "@"); !ok || name == "" || version == "" {
		ps.Add(at, "write NAME@VERSION", "%q is not the key of a model", value)
	}
}

func (m Model) check(at string, ps *strictyaml.Problems) {
	checkName(ps, at, "name", m.Name)
	checkName(ps, at, "version", m.Version)
	if m.WindowTokens <= 0 {
		ps.Add(at+".window_tokens", "give a positive number of tokens", "missing or not positive")
	}
	if m.WeightsBytes < 0 {
		ps.Add(at+".weights_bytes", "give the size of the weights in bytes, or leave it out", "negative")
	}
}

func (a Adapter) check(at string, ps *strictyaml.Problems) {
	checkName(ps, at, "name", a.Name)
	checkName(ps, at, "version", a.Version)
	checkModelKey(ps, at+".model", a.Model)
}

func (s BackendServer) check(at string, ps *strictyaml.Problems) {
	checkName(ps, at, "name", s.Name)
	checkName(ps, at, "data_centre", s.DataCentre)
	if addr, err := netip.ParseAddrPort(s.Agent); err != nil || addr.Port() == 0 {
		ps.Add(at+".agent", "give the IP address and port of the agent, such as 10.0.0.7:7000", "%q", s.Agent)
	}
	switch s.Role {
	case RolePrefill, RoleDecode:
		s.checkEngine(at, ps)
	case RoleService:
		s.checkService(at, ps)
	default:
		ps.Add(at+".role", "write prefill, decode or service", "%q is not a role", s.Role)
	}
}

func (s BackendServer) checkEngine(at string, ps *strictyaml.Problems) {
	if len(s.Models) == 0 {
		ps.Add(at+".models", "list at least one model as NAME@VERSION", "missing for a %s server", s.Role)
	}
	seen := map[string]bool{}
	for i, m := range s.Models {
		key := fmt.Sprintf("%s.models[%d]", at, i)
		checkModelKey(ps, key, m)
		if seen[m] {
			ps.Add(key, "keep one of the two", "%q is listed twice", m)
		}
		seen[m] = true
	}
	if s.Service != "" {
		ps.Add(at+".service", "remove it, or write role: service", "a %s server has no service", s.Role)
	}
}

func (s BackendServer) checkService(at string, ps *strictyaml.Problems) {
	if s.Service == "" {
		ps.Add(at+".service", "name the plain service", "missing")
	}
	if len(s.Models) > 0 {
		ps.Add(at+".models", "remove them, or write role: prefill or role: decode", "a server of a plain service has no models")
	}
}

func (s Service) check(at string, ps *strictyaml.Problems) {
	checkName(ps, at, "name", s.Name)
	switch {
	case !strings.HasPrefix(s.Prefix, "/") || len(s.Prefix) < 2 || path.Clean(s.Prefix) != s.Prefix:
		ps.Add(at+".prefix", "give a path such as /ledger", "%q is not a path prefix", s.Prefix)
	case s.Prefix == "/v1" || strings.HasPrefix(s.Prefix, "/v1/"):
		ps.Add(at+".prefix", "choose another", "/v1 belongs to the language models")
	}
	if len(s.Calls) == 0 {
		ps.Add(at+".calls", "list what callers may call", "missing")
	}
	for i, c := range s.Calls {
		c.check(fmt.Sprintf("%s.calls[%d]", at, i), ps)
	}
}

func (c ServiceCall) check(at string, ps *strictyaml.Problems) {
	if _, err := http.NewRequest(c.Method, "/", nil); err != nil || c.Method == "" || c.Method != strings.ToUpper(c.Method) {
		ps.Add(at+".method", "write a method such as GET or POST", "%q", c.Method)
	}
	if _, err := path.Match(c.Path, "/"); err != nil || !strings.HasPrefix(c.Path, "/") {
		ps.Add(at+".path", "write a path pattern such as /contracts/*", "%q", c.Path)
	}
}

func (p Provider) check(at string, ps *strictyaml.Problems) {
	checkName(ps, at, "name", p.Name)
	if len(p.KeyDigests) == 0 {
		ps.Add(at+".key_digests", "give the SHA-256 digest of each bearer key", "missing")
	}
	for i, d := range p.KeyDigests {
		if !isDigest(d) {
			ps.Add(fmt.Sprintf("%s.key_digests[%d]", at, i), "give 64 hexadecimal digits: printf %s KEY | sha256sum", "not a SHA-256 digest")
		}
	}
	if !isPositive(p.Weight) {
		ps.Add(at+".weight", "give a positive number", "missing or not positive")
	}
	checkNotNegative(ps, at+".limits.requests_per_second", p.Limits.RequestsPerSecond)
	checkNotNegative(ps, at+".limits.burst", float64(p.Limits.Burst))
	checkNotNegative(ps, at+".limits.concurrent", float64(p.Limits.Concurrent))
	if p.Limits.Burst > 0 && p.Limits.RequestsPerSecond == 0 {
		ps.Add(at+".limits.burst", "give requests_per_second as well, or remove burst", "a burst without a rate")
	}
	checkNotNegative(ps, at+".targets.first_token", float64(p.Targets.FirstToken))
	checkNotNegative(ps, at+".targets.between_tokens", float64(p.Targets.BetweenTokens))
	checkNotNegative(ps, at+".objective.goodput", p.Objective.Goodput)
	checkNotNegative(ps, at+".objective.wasted_prefill", p.Objective.WastedPrefill)
}

// isPositive reports whether x is positive and finite.
func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

// checkNotNegative reports a value that is negative or not finite.
func checkNotNegative(ps *strictyaml.Problems, key string, x float64) {
	if x != 0 && !isPositive(x) {
		ps.Add(key, "give a positive value, or leave it out", "negative or not finite")
	}
}

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == digestBytes && s == strings.ToLower(s)
}
