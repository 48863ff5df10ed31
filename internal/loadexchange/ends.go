package loadexchange

import (
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/blame"
)

// maxEndBytes is the approximate size of the evidence in one message in bytes. Each report has
// reportBytes beside its names and keys. A message with one request may be larger, and still
// fits into a datagram.
const (
	maxEndBytes = 4 << 10
	keyBytes    = len(blame.Key{}) + 1
	reportBytes = 48
)

// endReport is the unplanned end of a server in messages.
type endReport struct {
	Server     string `cbor:"1,keyasint"`
	Started    int64  `cbor:"2,keyasint,omitempty"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
	// Age is the time since the end in milliseconds.
	Age      int64           `cbor:"4,keyasint"`
	Requests []blame.Request `cbor:"5,keyasint"`
}

// survivedReport is the age in milliseconds of the last survival of a request with a cause.
type survivedReport struct {
	Cause blame.Key `cbor:"1,keyasint"`
	Age   int64     `cbor:"2,keyasint"`
}

// evidence is what is reported to the other entries of servers that ended.
type evidence struct {
	ends     []blame.End
	survived map[blame.Key]time.Time
}

func (e *evidence) empty() bool { return len(e.ends)+len(e.survived) == 0 }

// messages returns the evidence in messages that fit into datagrams each.
func (e *evidence) messages(now time.Time) []*message {
	var out []*message
	size := maxEndBytes // of the last message
	add := func(bytes int) *message {
		if size += bytes; size > maxEndBytes {
			out, size = append(out, &message{}), bytes
		}
		return out[len(out)-1]
	}
	for _, end := range e.ends {
		var last *message // the message that has the beginning of this end
		for _, q := range end.Requests {
			m := add(reportBytes + len(end.Boot.ID) + len(end.DataCentre) + (len(q.Own)+len(q.Shared))*keyBytes)
			if m != last {
				m.Ends = append(m.Ends, endReport{Server: end.Boot.ID, Started: end.Boot.Started, DataCentre: end.DataCentre, Age: now.Sub(end.At).Milliseconds()})
				last = m
			}
			report := &m.Ends[len(m.Ends)-1]
			report.Requests = append(report.Requests, q)
		}
	}
	for c, at := range e.survived {
		m := add(reportBytes)
		m.Survived = append(m.Survived, survivedReport{Cause: c, Age: now.Sub(at).Milliseconds()})
	}
	return out
}

// ReportEnd reports to all peers that a server ended, at once, and once more with the next full
// message, since datagrams are lost.
func (x *Exchange) ReportEnd(e blame.End) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.newEvidence.ends = append(x.newEvidence.ends, e)
	x.requestFlush()
}

// ReportSurvived reports to all peers when servers last survived requests with some causes, like
// ReportEnd.
func (x *Exchange) ReportSurvived(causes map[blame.Key]time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.newEvidence.survived == nil {
		x.newEvidence.survived = map[blame.Key]time.Time{}
	}
	for c, at := range causes {
		x.newEvidence.survived[c] = at
	}
	x.requestFlush()
}

// sendEvidence sends new evidence to the live peers, and the former once more if again is
// set.
func (x *Exchange) sendEvidence(again bool) {
	x.mu.Lock()
	var out evidence
	if again {
		out, x.sentEvidence = x.sentEvidence, evidence{}
	}
	out.add(x.newEvidence)
	x.sentEvidence.add(x.newEvidence)
	x.newEvidence = evidence{}
	to := x.livePeersLocked(time.Now())
	if !out.empty() {
		for _, addr := range x.evidenceKeepers {
			to[addr] = true
			x.contactLocked(addr)
		}
	}
	x.mu.Unlock()
	x.sendAll(out, to)
}

// add appends evidence.
func (e *evidence) add(o evidence) {
	e.ends = append(e.ends, o.ends...)
	if len(o.survived) > 0 && e.survived == nil {
		e.survived = map[blame.Key]time.Time{}
	}
	for c, at := range o.survived {
		e.survived[c] = at
	}
}

// sendAll sends evidence to some peers.
func (x *Exchange) sendAll(e evidence, to map[string]bool) {
	if e.empty() || len(to) == 0 {
		return
	}
	for _, m := range e.messages(time.Now()) {
		x.mu.Lock()
		x.seq++
		m.Incarnation, m.Seq = x.incarnation, x.seq
		x.mu.Unlock()
		x.send(m, to)
	}
}

// SetEvidenceKeepers sets the keepers that remember the evidence for the case that all entries
// end at once. Those that were not set before are told all that is known here, and asked.
func (x *Exchange) SetEvidenceKeepers(addrs []string) {
	added := map[string]bool{}
	x.mu.Lock()
	for _, addr := range addrs {
		if !slices.Contains(x.evidenceKeepers, addr) {
			added[addr] = true
			x.contactLocked(addr)
		}
	}
	x.evidenceKeepers = addrs
	x.mu.Unlock()
	x.tellEvidence(added)
	x.sendOnce(&message{AskedEvidence: true}, added)
}

// tellRestarted sends all evidence to a process that started again, if it is a keeper of it.
func (x *Exchange) tellRestarted(addr string) {
	x.mu.Lock()
	keeps := slices.Contains(x.evidenceKeepers, addr)
	x.mu.Unlock()
	if keeps {
		x.tellEvidence(map[string]bool{addr: true})
	}
}

// tellEvidence sends all evidence to some processes.
func (x *Exchange) tellEvidence(to map[string]bool) {
	if len(to) > 0 {
		ends, survived := x.handler.Evidence()
		x.sendAll(evidence{ends: ends, survived: survived}, to)
	}
}

// evidencePeers is the number of entries that send all evidence to a new one.
const evidencePeers = 3

// sendAllEvidence sends all recorded ends to new peers, if this entry is one of those that do so
// for them. A peer that starts has none.
func (x *Exchange) sendAllEvidence(to map[string]bool) {
	chosen := map[string]bool{}
	x.mu.Lock()
	now := time.Now()
	for addr := range to {
		rank, own := 0, rendezvousWeight(addr, x.options.Self)
		for other, p := range x.peers {
			if other != addr && p.alive(now, x.timeoutLocked()) && rendezvousWeight(addr, other) > own {
				rank++
			}
		}
		if rank < evidencePeers {
			chosen[addr] = true
		}
	}
	x.mu.Unlock()
	x.tellEvidence(chosen)
}

// applyEvidence passes on what a message reports of servers that ended.
func (x *Exchange) applyEvidence(m *message, now time.Time) {
	m.visitEvidence(now, x.handler.AddRemoteEnd, x.handler.AddRemoteSurvived)
}

// visitEvidence calls end with each server that ended, and survived with each cause that servers
// have survived.
func (m *message) visitEvidence(now time.Time, end func(blame.End), survived func(blame.Key, time.Time)) {
	ago := func(millis int64) time.Time { return now.Add(-time.Duration(max(millis, 0)) * time.Millisecond) }
	for _, e := range m.Ends {
		end(blame.End{Boot: advisory.Boot{ID: e.Server, Started: e.Started}, DataCentre: e.DataCentre, At: ago(e.Age), Requests: e.Requests})
	}
	for _, s := range m.Survived {
		survived(s.Cause, ago(s.Age))
	}
}
