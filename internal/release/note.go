// Package release defines release notes, the chain that they form, and the fleet
// state that results from applying them in order.
package release

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// Schema is the version of the release note format that this package reads.
const Schema = "samphirestream/v1"

// MaxNoteBytes is the maximum size of a published note. The platform's configuration
// service accepts values of up to a megabyte.
const MaxNoteBytes = 1 << 20

// Note is one release note: a delta to the state of the fleet.
type Note struct {
	// Schema names the format version.
	Schema string `yaml:"schema"`
	// Number is the position in the chain, starting at 1.
	Number uint64 `yaml:"number"`
	// Previous is the digest of the note before this one; empty for note 1.
	Previous string `yaml:"previous,omitempty"`
	// Summary describes the purpose of the note to operators.
	Summary   string   `yaml:"summary,omitempty"`
	Added     Items    `yaml:"added,omitempty"`
	Changed   Items    `yaml:"changed,omitempty"`
	Withdrawn ItemKeys `yaml:"withdrawn,omitempty"`
}

// Items lists whole items that a note adds or changes.
type Items struct {
	Models         []Model         `yaml:"models,omitempty"`
	Adapters       []Adapter       `yaml:"adapters,omitempty"`
	BackendServers []BackendServer `yaml:"backend_servers,omitempty"`
	Services       []Service       `yaml:"services,omitempty"`
	Providers      []Provider      `yaml:"providers,omitempty"`
}

// ItemKeys lists the keys of items that a note withdraws.
type ItemKeys struct {
	Models         []string `yaml:"models,omitempty"`
	Adapters       []string `yaml:"adapters,omitempty"`
	BackendServers []string `yaml:"backend_servers,omitempty"`
	Services       []string `yaml:"services,omitempty"`
	Providers      []string `yaml:"providers,omitempty"`
}

// Model is one version of a language model. Its key is NAME@VERSION.
type Model struct {
	Name    string `yaml:"name"`
	Version string `yaml:"version"`
	// WindowTokens bounds the tokens of prompt and answer together.
	WindowTokens int `yaml:"window_tokens"`
	// WeightsBytes is the size of the weights in the weight store.
	WeightsBytes int64 `yaml:"weights_bytes,omitempty"`
	// Default marks the version that serves requests without a version.
	Default bool `yaml:"default,omitempty"`
}

// Key returns NAME@VERSION.
func (m Model) Key() string { return m.Name + "@" + m.Version }

// Adapter is a fine-tuned variant of a model. In requests it is named like a model.
type Adapter struct {
	Name string `yaml:"name"`
	// Model is the key of the base model.
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
}

// Role is the part that a backend server plays in serving requests.
type Role string

// Roles of backend servers.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleService Role = "service"
)

// BackendServer is one server with its agent.
type BackendServer struct {
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region,omitempty"`
	// Agent is the IP address and port of the agent of this server.
	Agent string `yaml:"agent"`
	Role  Role   `yaml:"role"`
	// Models are the keys of the models that the server holds.
	Models []string `yaml:"models,omitempty"`
	// Service names the plain service, for RoleService.
	Service string `yaml:"service,omitempty"`
}

// Service is a plain service: one that serves declared HTTP calls, not a language
// model.
type Service struct {
	Name string `yaml:"name"`
	// Prefix is the path prefix under which callers reach the service.
	Prefix string `yaml:"prefix"`
	// Calls lists the permitted calls; others are refused.
	Calls []ServiceCall `yaml:"calls"`
}

// ServiceCall is one kind of call to a plain service.
type ServiceCall struct {
	Method string `yaml:"method"`
	// Path is a pattern for path.Match, relative to the prefix.
	Path string `yaml:"path"`
	// Idempotent calls may be repeated; others run at most once.
	Idempotent bool `yaml:"idempotent,omitempty"`
}

// Provider is a customer whose callers send requests.
type Provider struct {
	Name string `yaml:"name"`
	// KeyDigests are hexadecimal SHA-256 digests of bearer keys.
	KeyDigests []string `yaml:"key_digests"`
	// Weight is the relative share of capacity under contention.
	Weight float64 `yaml:"weight"`
	// Priority orders requests at engines; higher goes first.
	Priority  int            `yaml:"priority,omitempty"`
	Limits    Limits         `yaml:"limits,omitempty"`
	Targets   LatencyTargets `yaml:"targets,omitempty"`
	Objective Objective      `yaml:"objective,omitempty"`
}

// Limits bound the use of a provider at each entry. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	Burst             int     `yaml:"burst,omitempty"`
	Concurrent        int     `yaml:"concurrent,omitempty"`
}

// LatencyTargets are the latency targets of a provider.
type LatencyTargets struct {
	FirstToken    time.Duration `yaml:"first_token,omitempty"`
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"`
}

// Objective holds the relative weights of the measures by which a provider's requests
// are scheduled.
type Objective struct {
	Goodput       float64 `yaml:"goodput,omitempty"`
	WastedPrefill float64 `yaml:"wasted_prefill,omitempty"`
}

// Document is a note with the bytes that were published and their digest.
type Document struct {
	Note   Note
	Raw    []byte
	Digest string
}

// Parse decodes and checks a published note. The error is strictyaml.Problems, which
// lists unknown keys, wrong types, and missing or contradictory values with line, key
// and remedy.
func Parse(raw []byte) (Document, error) {
	if len(raw) > MaxNoteBytes {
		var ps strictyaml.Problems
		ps.Add("", "split it into several notes", "note of %d bytes: the limit is %d bytes", len(raw), MaxNoteBytes)
		return Document{}, ps
	}
	var note Note
	if err := strictyaml.Unmarshal(raw, &note); err != nil {
		return Document{}, err
	}
	if err := note.validate(); err != nil {
		return Document{}, addLines(raw, err)
	}
	return Document{Note: note, Raw: raw, Digest: Digest(raw)}, nil
}

// addLines sets the line numbers in a note for the problems in an error.
func addLines(raw []byte, err error) error {
	if ps, ok := strictyaml.ProblemsOf(err); ok {
		strictyaml.Locate(raw, ps)
	}
	return err
}

// Digest returns the hexadecimal SHA-256 digest of b.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
