// Package settings reads and checks the settings file of one process. Configuration
// of the whole fleet is in release notes instead.
package settings

import (
	"encoding/hex"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// MinTicketKeyBytes is the minimum length of the decoded ticket key.
const MinTicketKeyBytes = 16

// Settings configure one samphired process.
type Settings struct {
	// Role is RoleEntry or RoleAgent.
	Role string `yaml:"role"`
	// Node is the name of this process, unique in the fleet.
	Node       string   `yaml:"node"`
	DataCentre string   `yaml:"data_centre"`
	Region     string   `yaml:"region,omitempty"`
	Listen     Listen   `yaml:"listen"`
	Platform   Platform `yaml:"platform"`
	Backend    Backend  `yaml:"backend,omitempty"`
	TLS        TLS      `yaml:"tls,omitempty"`
	// InsecurePlaintext permits unauthenticated connections between processes.
	InsecurePlaintext bool `yaml:"insecure_plaintext,omitempty"`
	// TicketKey is the hexadecimal key, common to the fleet, that authenticates
	// tickets for non-idempotent calls and the datagrams of package gossip.
	TicketKey string   `yaml:"ticket_key"`
	Timeouts  Timeouts `yaml:"timeouts,omitempty"`
	Limits    Limits   `yaml:"limits,omitempty"`
	LogLevel  string   `yaml:"log_level,omitempty"`
}

// Listen holds the addresses that the process listens on, as IP:PORT.
type Listen struct {
	// Callers is the address for HTTP requests of callers; entries only.
	Callers string `yaml:"callers,omitempty"`
	// Peers is the address for connections of other processes of the fleet.
	Peers string `yaml:"peers,omitempty"`
	// Admin is the address for metrics, health and state dumps.
	Admin string `yaml:"admin"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	ConfigService string `yaml:"config_service"`
	VMList        string `yaml:"vm_list,omitempty"`
	// WeightStore is the base URL of the weight store; agents only.
	WeightStore string `yaml:"weight_store,omitempty"`
	// WeightStoreRate is the rate of the weight store for the data centre, in
	// bytes per second.
	WeightStoreRate float64 `yaml:"weight_store_rate,omitempty"`
}

// Backend describes the backend server of an agent.
type Backend struct {
	// Name is the name of the backend server in release notes.
	Name string `yaml:"name,omitempty"`
	// Kind is KindEngine or KindService.
	Kind string `yaml:"kind,omitempty"`
	// URL is the base URL of the engine or plain service.
	URL string `yaml:"url,omitempty"`
	// WriterLock is an IP:PORT of this VM. The process that listens on it is the
	// only one on the VM that sends orders to the engine. The default is derived
	// from URL.
	WriterLock string `yaml:"writer_lock,omitempty"`
}

// TLS holds the names of the certificate and key files for connections between
// processes.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	// Authority is the certificate authority that signs the certificates of all
	// processes.
	Authority string `yaml:"authority,omitempty"`
}

// Timeouts hold intervals and time limits. Zero means the default.
type Timeouts struct {
	// Heartbeat is the interval between heartbeats to a peer.
	Heartbeat time.Duration `yaml:"heartbeat,omitempty"`
	// Lease is how long an agent keeps an attempt without a heartbeat of its
	// entry.
	Lease time.Duration `yaml:"lease,omitempty"`
	// Request is the maximum duration of a request.
	Request time.Duration `yaml:"request,omitempty"`
	// Notice is how long a process still accepts connections after a graceful
	// shutdown began, so that others can stop sending to it.
	Notice time.Duration `yaml:"notice,omitempty"`
	// Drain bounds the duration of a graceful shutdown, including Notice.
	Drain time.Duration `yaml:"drain,omitempty"`
}

// Limits bound the resources that the process uses. Zero means the default.
type Limits struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64 `yaml:"memory_bytes,omitempty"`
	// Descriptors is the number of descriptors that the process may have open; 0 for the
	// kernel's limit.
	Descriptors int `yaml:"descriptors,omitempty"`
	// BodyBytes bounds the size of the body of a caller's request.
	BodyBytes int64 `yaml:"body_bytes,omitempty"`
	// HeaderBytes bounds the size of the header of a caller's request.
	HeaderBytes int `yaml:"header_bytes,omitempty"`
	// Queue bounds the requests that wait for capacity at an entry.
	Queue int `yaml:"queue,omitempty"`
}

// Default values.
const (
	DefaultHeartbeat   = time.Second
	DefaultLease       = 3 * time.Second
	DefaultRequest     = 2 * time.Minute
	DefaultNotice      = 3 * time.Second
	DefaultDrain       = 2 * time.Minute
	DefaultMemoryBytes = 512 << 20
	DefaultBodyBytes   = 4 << 20
	DefaultHeaderBytes = 32 << 10
	DefaultQueue       = 1024
)

// Load reads a settings file, sets defaults and checks the result.
func Load(file string) (*Settings, error) {
	if file == "" {
		return nil, errors.NotValidf("no settings file: give one with -settings;")
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings; give the file with -settings")
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, strictyaml.SetFile(err, file)
	}
	return s, nil
}

// Parse decodes settings, sets defaults and checks the result. The error is
// strictyaml.Problems, which lists unknown keys, wrong types, and missing or
// contradictory values with line, key and remedy.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := strictyaml.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	if err := s.Complete(); err != nil {
		if ps, ok := strictyaml.ProblemsOf(err); ok {
			strictyaml.Locate(raw, ps)
		}
		return nil, err
	}
	return &s, nil
}

// Complete sets the defaults and checks the settings.
func (s *Settings) Complete() error {
	s.setDefaults()
	return s.check()
}

func (s *Settings) setDefaults() {
	setDefault(&s.Timeouts.Heartbeat, DefaultHeartbeat)
	setDefault(&s.Timeouts.Lease, DefaultLease)
	setDefault(&s.Timeouts.Request, DefaultRequest)
	setDefault(&s.Timeouts.Notice, DefaultNotice)
	setDefault(&s.Timeouts.Drain, DefaultDrain)
	setDefault(&s.Limits.MemoryBytes, DefaultMemoryBytes)
	setDefault(&s.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&s.Limits.HeaderBytes, DefaultHeaderBytes)
	setDefault(&s.Limits.Queue, DefaultQueue)
	setDefault(&s.LogLevel, "info")
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// TicketKeyBytes returns the decoded ticket key of checked settings.
func (s *Settings) TicketKeyBytes() []byte {
	key, _ := hex.DecodeString(s.TicketKey)
	return key
}
