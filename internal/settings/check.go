package settings

import (
	"encoding/hex"
	"math"
	"net"
	"net/netip"
	"net/url"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// check returns all problems of settings whose defaults are set.
func (s *Settings) check() error {
	var ps strictyaml.Problems
	if s.Role != RoleEntry && s.Role != RoleAgent {
		ps.Add("role", "write entry or agent", "%q is not a role", s.Role)
	}
	s.checkNames(&ps)
	s.checkListen(&ps)
	s.checkPlatform(&ps)
	s.checkBackend(&ps)
	s.checkTLS(&ps)
	s.checkTimeouts(&ps)
	s.checkLimits(&ps)
	if key, err := hex.DecodeString(s.TicketKey); err != nil || len(key) < MinTicketKeyBytes {
		ps.Add("ticket_key", "give the fleet's key: at least 32 hexadecimal digits", "missing, too short or not hexadecimal")
	}
	if _, err := level.Parse(s.LogLevel); err != nil {
		ps.Add("log_level", "write debug, info, warn or error", "%q is not a level", s.LogLevel)
	}
	return ps.Err()
}

// checkNames checks the names of the process and its data centre.
func (s *Settings) checkNames(ps *strictyaml.Problems) {
	if s.Node == "" {
		ps.Add("node", "name this process; the name is unique in the fleet", "missing")
	}
	if s.DataCentre == "" {
		ps.Add("data_centre", "name the data centre of this VM", "missing")
	}
}

// listenAddress is an address that the process listens on, with its settings key.
type listenAddress struct{ key, value string }

// checkListen checks that the addresses to listen on fit the role, are valid and do not
// repeat.
func (s *Settings) checkListen(ps *strictyaml.Problems) {
	addresses := []listenAddress{{"listen.peers", s.Listen.Peers}, {"listen.admin", s.Listen.Admin}}
	switch {
	case s.Role == RoleEntry:
		addresses = append(addresses, listenAddress{"listen.callers", s.Listen.Callers})
	case s.Listen.Callers != "":
		ps.Add("listen.callers", "remove it, or write role: entry", "only entries accept callers")
	}
	if s.Backend.WriterLock != "" {
		addresses = append(addresses, listenAddress{"backend.writer_lock", s.Backend.WriterLock})
	}
	usedBy := map[string]string{}
	for _, a := range addresses {
		addr, err := netip.ParseAddrPort(a.value)
		if err != nil {
			ps.Add(a.key, "give an IP address and a port, such as 10.0.0.7:7000", "%q", a.value)
			continue
		}
		if other, ok := usedBy[a.value]; ok && addr.Port() != 0 {
			ps.Add(a.key, "choose another port", "%s is the address of %s already", a.value, other)
		}
		usedBy[a.value] = a.key
	}
}

func (s *Settings) checkPlatform(ps *strictyaml.Problems) {
	checkURL(ps, "platform.config_service", s.Platform.ConfigService)
	if s.Platform.VMList != "" {
		checkURL(ps, "platform.vm_list", s.Platform.VMList)
	}
	if s.Platform.WeightStore != "" {
		checkURL(ps, "platform.weight_store", s.Platform.WeightStore)
	}
	rate := s.Platform.WeightStoreRate
	if rate < 0 || math.IsInf(rate, 0) || math.IsNaN(rate) {
		ps.Add("platform.weight_store_rate", "give bytes per second, or leave it out", "not a positive number")
	}
	if rate > 0 && s.Platform.WeightStore == "" {
		ps.Add("platform.weight_store_rate", "give platform.weight_store as well, or remove it", "a rate without a weight store")
	}
}

// checkURL verifies that a value is an HTTP or HTTPS URL whose host is an IP address.
func checkURL(ps *strictyaml.Problems, key, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || net.ParseIP(u.Hostname()) == nil {
		ps.Add(key, "give a URL with an IP address, such as http://10.0.0.1:9000", "%q", value)
	}
}

func (s *Settings) checkBackend(ps *strictyaml.Problems) {
	b := s.Backend
	if s.Role != RoleAgent {
		if b != (Backend{}) {
			ps.Add("backend", "remove it, or write role: agent", "only agents have a backend server")
		}
		return
	}
	if b.Name == "" {
		ps.Add("backend.name", "name the backend server as release notes do", "missing")
	}
	if b.Kind != KindEngine && b.Kind != KindService {
		ps.Add("backend.kind", "write engine or service", "%q is not a kind of backend server", b.Kind)
	}
	checkURL(ps, "backend.url", b.URL)
	if b.Kind == KindService && b.WriterLock != "" {
		ps.Add("backend.writer_lock", "remove it", "plain services take no orders")
	}
}

// checkTLS checks that connections between processes are either authenticated or
// explicitly insecure.
func (s *Settings) checkTLS(ps *strictyaml.Problems) {
	t := s.TLS
	complete := t.Certificate != "" && t.Key != "" && t.Authority != ""
	switch {
	case t != (TLS{}) && !complete:
		ps.Add("tls", "give certificate, key and authority together", "incomplete")
	case complete && s.InsecurePlaintext:
		ps.Add("insecure_plaintext", "keep one of them", "contradicts tls")
	case !complete && !s.InsecurePlaintext:
		ps.Add("tls", "give certificate, key and authority, or set insecure_plaintext: true on a trusted network", "missing")
	}
}

func (s *Settings) checkTimeouts(ps *strictyaml.Problems) {
	t := s.Timeouts
	if t.Heartbeat < 0 || t.Lease < 0 || t.Request < 0 || t.Drain < 0 || t.Notice < 0 {
		ps.Add("timeouts", "give positive durations, or leave them out", "a negative duration")
		return
	}
	if t.Lease < 2*t.Heartbeat {
		ps.Add("timeouts.lease", "make the lease at least two heartbeats", "%v with a heartbeat of %v", t.Lease, t.Heartbeat)
	}
	if t.Notice >= t.Drain {
		ps.Add("timeouts.notice", "make it shorter than timeouts.drain", "%v of a shutdown of %v", t.Notice, t.Drain)
	}
}

func (s *Settings) checkLimits(ps *strictyaml.Problems) {
	l := s.Limits
	if l.MemoryBytes < 0 || l.Descriptors < 0 || l.BodyBytes < 0 || l.HeaderBytes < 0 || l.Queue < 0 {
		ps.Add("limits", "give positive values, or leave them out", "a negative value")
	}
}
