package loadexchange

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/quota"
)

// BrokenCallWindow is the time for which a broken call is included in messages.
const BrokenCallWindow = time.Second

// Usage is one entry's use of one server, and its observations of that server.
type Usage struct {
	// Calls is the number of plain calls in progress.
	Calls int `cbor:"1,keyasint,omitempty"`
	// PrefillTokens is the number of prompt tokens that wait for a prefill or are in
	// prefill.
	PrefillTokens int `cbor:"2,keyasint,omitempty"`
	// Runs are the requests that decode or will decode at the server.
	Runs []Run `cbor:"3,keyasint,omitempty"`
	// StageChangeUntil is the end of the time in which the server is unavailable
	// because the entry ordered it to change its stage; zero without an order.
	StageChangeUntil time.Time `cbor:"-"`
	// StageChangeLeft is the remainder of that time in milliseconds, in messages
	// only.
	StageChangeLeft int64 `cbor:"4,keyasint,omitempty"`
	// StageChangeTo is the stage that was ordered. The change is over once the server is registered
	// with it.
	StageChangeTo directory.Stage `cbor:"12,keyasint,omitempty"`
	// Unreachable is set while the entry can not reach the server.
	Unreachable bool `cbor:"5,keyasint,omitempty"`
	// ReplacedUntil is the end of the time in which the server gets no work because
	// another server answered this entry at its address; zero if none did.
	ReplacedUntil time.Time `cbor:"-"`
	// ReplacedLeft is the remainder of that time in milliseconds, in messages only.
	ReplacedLeft int64 `cbor:"7,keyasint,omitempty"`
	// Started is the start, in Unix milliseconds, of the server that was replaced or that
	// said something of itself: a later one under the same ID is not meant.
	Started int64 `cbor:"8,keyasint,omitempty"`
	// LeavingSince is the time at which the server stated to the entry that it leaves; zero if it
	// did not, or long ago. LeavingAge is the time since then in milliseconds, in messages
	// only; nil if it did not.
	LeavingSince time.Time `cbor:"-"`
	LeavingAge   *int64    `cbor:"10,keyasint,omitempty"`
	// Limit is what the newest answer to the entry said of a limit; nil if none did lately.
	Limit *Limit `cbor:"9,keyasint,omitempty"`
	// Pace is what the server last stated to the entry of its pace; nil if it stated none
	// lately.
	Pace *Pace `cbor:"11,keyasint,omitempty"`
	// BrokenCallTimes are the times of the calls within BrokenCallWindow that the
	// server accepted and whose connection it closed without an answer.
	BrokenCallTimes []time.Time `cbor:"-"`
	// BrokenCallAges are the ages of BrokenCallTimes in milliseconds, in messages
	// only.
	BrokenCallAges []int64 `cbor:"6,keyasint,omitempty"`
}

// Limit is what an answer of a server said of the requests that it takes.
type Limit struct {
	// PerSecond is the limit in requests a second; nil if the answer named none.
	PerSecond *float64 `cbor:"1,keyasint,omitempty"`
	// Asked is the time at which the answered request was sent, and Heard that of the answer.
	Asked time.Time `cbor:"-"`
	Heard time.Time `cbor:"-"`
	// AskedAge and HeardAge are the times since then in milliseconds, in messages only.
	AskedAge int64 `cbor:"2,keyasint"`
	HeardAge int64 `cbor:"3,keyasint"`
}

// Pace is how long work takes at a server for the moment.
type Pace struct {
	// Percent is in percent of the usual time.
	Percent int `cbor:"1,keyasint"`
	// Heard is the time of the answer that stated it.
	Heard time.Time `cbor:"-"`
	// Age is the time since Heard in milliseconds, in messages only.
	Age int64 `cbor:"2,keyasint"`
}

// paceTTL is the time for which messages hold the pace of a server. Later it counts no more
// (see predict.Pace).
const paceTTL = 600 * time.Millisecond

// adviceTTL is the time for which messages hold what a server said of itself. Later it has
// reached all entries, and those that start receive it from the server.
const adviceTTL = 30 * time.Second

// Run is one request at a decode server.
type Run struct {
	// Prompt is the length of the prompt in tokens.
	Prompt int `cbor:"1,keyasint"`
	// Answer is the expected length of the answer in tokens.
	Answer int `cbor:"2,keyasint"`
	// Began is the time at which the answer began or will begin.
	Began time.Time `cbor:"-"`
	// Age is the time since Began in milliseconds, in messages only; negative before
	// the begin.
	Age int64 `cbor:"3,keyasint"`
	// Priority is the rank of the request; 0, the default, is the most urgent.
	Priority int `cbor:"4,keyasint,omitempty"`
}

// withAges returns the usage for a message that is sent now, with the times converted
// to ages. Messages hold no times, since the clocks of VMs differ.
func (u Usage) withAges(now time.Time) Usage {
	runs := make([]Run, len(u.Runs))
	for i, r := range u.Runs {
		r.Age = now.Sub(r.Began).Milliseconds()
		runs[i] = r
	}
	u.Runs = runs
	broken := u.BrokenCallTimes
	u.BrokenCallTimes, u.BrokenCallAges = nil, nil
	for _, t := range broken {
		if age := now.Sub(t); age <= BrokenCallWindow {
			u.BrokenCallTimes = append(u.BrokenCallTimes, t)
			u.BrokenCallAges = append(u.BrokenCallAges, age.Milliseconds())
		}
	}
	if !u.StageChangeUntil.IsZero() {
		u.StageChangeLeft = max(0, u.StageChangeUntil.Sub(now).Milliseconds())
	}
	if u.ReplacedLeft = u.ReplacedUntil.Sub(now).Milliseconds(); u.ReplacedLeft <= 0 {
		u.ReplacedUntil, u.ReplacedLeft = time.Time{}, 0
	}
	if u.Limit != nil {
		l := *u.Limit
		l.AskedAge, l.HeardAge = now.Sub(l.Asked).Milliseconds(), now.Sub(l.Heard).Milliseconds()
		if u.Limit = &l; now.Sub(l.Heard) > adviceTTL {
			u.Limit = nil
		}
	}
	if age := now.Sub(u.LeavingSince); !u.LeavingSince.IsZero() && age <= adviceTTL {
		millis := age.Milliseconds()
		u.LeavingAge = &millis
	} else {
		u.LeavingSince, u.LeavingAge = time.Time{}, nil
	}
	if u.Pace != nil {
		p := *u.Pace
		p.Age = max(0, now.Sub(p.Heard).Milliseconds())
		if u.Pace = &p; now.Sub(p.Heard) >= paceTTL {
			u.Pace = nil
		}
	}
	if u.ReplacedUntil.IsZero() && u.Limit == nil && u.LeavingSince.IsZero() && u.Pace == nil {
		u.Started = 0
	}
	return u
}

// withTimes returns the usage of a message that arrived now, with the ages converted
// to times of the local clock.
func (u Usage) withTimes(now time.Time) Usage {
	for i, r := range u.Runs {
		u.Runs[i].Began = now.Add(-time.Duration(r.Age) * time.Millisecond)
	}
	u.BrokenCallTimes = nil
	for _, age := range u.BrokenCallAges {
		u.BrokenCallTimes = append(u.BrokenCallTimes, now.Add(-time.Duration(age)*time.Millisecond))
	}
	if u.StageChangeLeft > 0 {
		u.StageChangeUntil = now.Add(time.Duration(u.StageChangeLeft) * time.Millisecond)
	}
	if u.LeavingAge != nil {
		u.LeavingSince = now.Add(-time.Duration(*u.LeavingAge) * time.Millisecond)
	}
	if u.Limit != nil {
		u.Limit.Asked = now.Add(-time.Duration(u.Limit.AskedAge) * time.Millisecond)
		u.Limit.Heard = now.Add(-time.Duration(u.Limit.HeardAge) * time.Millisecond)
	}
	if u.Pace != nil {
		if u.Pace.Age < 0 || u.Pace.Age >= paceTTL.Milliseconds() {
			u.Pace = nil
		} else {
			u.Pace.Heard = now.Add(-time.Duration(u.Pace.Age) * time.Millisecond)
		}
	}
	if u.ReplacedLeft > 0 {
		u.ReplacedUntil = now.Add(time.Duration(u.ReplacedLeft) * time.Millisecond)
	}
	return u
}

func (u Usage) empty() bool {
	return u.ReplacedUntil.IsZero() && u.Limit == nil && u.Pace == nil && u.LeavingSince.IsZero() && u.Calls == 0 && u.PrefillTokens == 0 && u.StageChangeUntil.IsZero() && !u.Unreachable && len(u.Runs)+len(u.BrokenCallTimes) == 0
}

// Waiting is a request that waits for a server.
type Waiting struct {
	// Prompt is the length of the prompt in tokens.
	Prompt int `cbor:"1,keyasint"`
	// Arrived is the time at which the request arrived.
	Arrived time.Time `cbor:"-"`
	// Age is the time since Arrived in milliseconds, in messages only.
	Age int64 `cbor:"2,keyasint"`
	// Priority is the rank in the order among entries; 0, the default, is the most urgent.
	Priority int `cbor:"3,keyasint,omitempty"`
}

// message is one datagram.
type message struct {
	// Incarnation is the time at which the sender's process started, in Unix
	// milliseconds.
	Incarnation int64 `cbor:"1,keyasint"`
	// Seq increases with each message of one incarnation.
	Seq uint64 `cbor:"2,keyasint"`
	// Full is set in messages with all servers that the sender uses; others hold only
	// those whose use changed.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Members are the addresses of the sender's live peers; in complete messages only.
	Members []string         `cbor:"4,keyasint,omitempty"`
	Uses    map[string]Usage `cbor:"5,keyasint,omitempty"`
	// Waits are the waiting requests, by pool.
	Waits map[string][]Waiting `cbor:"11,keyasint,omitempty"`
	// Speeds are what the sender has observed of the speeds of servers, by service.
	Speeds map[string]predict.SpeedSums `cbor:"8,keyasint,omitempty"`
	// RegistryEra and RegistryRevision are the newest state of the registry that the sender has
	// read in which servers changed, and ConfigRevision that in which the configuration did; in
	// full messages only.
	RegistryEra      uint64 `cbor:"9,keyasint,omitempty"`
	RegistryRevision uint64 `cbor:"10,keyasint,omitempty"`
	ConfigRevision   uint64 `cbor:"26,keyasint,omitempty"`
	// Origins are what began streams, and AskedOrigins the streams of which the sender wants to
	// know; in messages to some peers and to keepers only. Field 12 was another format.
	Origins      []originReport `cbor:"23,keyasint,omitempty"`
	AskedOrigins []origin.Key   `cbor:"13,keyasint,omitempty"`
	// Keeper is set in the messages of keepers.
	Keeper bool `cbor:"24,keyasint,omitempty"`
	// ConfigVersion is the version of the sender's configuration; in full messages, and in
	// those that announce a new one.
	ConfigVersion uint64 `cbor:"14,keyasint,omitempty"`
	// Capacity is the bandwidth of the sender's link; in full messages only.
	Capacity float64 `cbor:"27,keyasint,omitempty"`
	// Config is a part of a configuration, or asks for one; in messages to one peer only.
	Config *configPart `cbor:"15,keyasint,omitempty"`
	// Ends are servers that ended without a plan, and Survived the causes that servers have
	// survived; in messages of evidence only.
	Ends     []endReport      `cbor:"16,keyasint,omitempty"`
	Survived []survivedReport `cbor:"17,keyasint,omitempty"`
	// AskedEvidence asks a keeper for all that it has of these.
	AskedEvidence bool `cbor:"25,keyasint,omitempty"`
	// Freshness is about the age of what is known of the registry; in messages to some peers
	// only.
	Freshness *freshnessPart `cbor:"18,keyasint,omitempty"`
	// Quotas are what the sender has used of quotas, and Levels the levels of its buckets; those
	// only in messages to peers that were found or silent.
	Quotas []quota.Use   `cbor:"19,keyasint,omitempty"`
	Levels *quota.Levels `cbor:"20,keyasint,omitempty"`
	// Known is the number of entries that the sender has recorded lately; 0 if it does not state
	// it.
	Known int `cbor:"21,keyasint,omitempty"`
	// ServerSpeeds are what the sender has observed of the speeds of single servers; in
	// messages of their own.
	ServerSpeeds map[string]serverSums `cbor:"22,keyasint,omitempty"`
	// Order is about an order to the server beside a keeper; in messages of their own.
	Order *orderPart `cbor:"28,keyasint,omitempty"`
	// Leaving is set in the last message of a process that stops.
	Leaving bool `cbor:"6,keyasint,omitempty"`
}

func encode(m *message) ([]byte, error) { return cbor.Marshal(m) }

func decode(b []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

// peer is the state that was received from one other entry.
type peer struct {
	incarnation  int64
	seq          uint64
	lastReceived time.Time
	lastActive   time.Time // when a message last reported a use
	lastFull     time.Time // when a full message was last received; zero if none was
	uses         map[string]Usage
	// waits are the waiting requests, by pool, and waitSeqs the sequence numbers of the
	// messages that last set them.
	waits    map[string][]Waiting
	waitSeqs map[string]uint64
	// speeds are the observations of the speeds of servers, by service.
	speeds map[string]predict.SpeedSums
	// serverSpeeds are the observations of the speeds of single servers.
	serverSpeeds map[string]receivedSpeeds
	// seqs are the sequence numbers of the messages that last set each use.
	seqs map[string]uint64
	// capacity is the bandwidth of the peer's link, and configVersion the last version that it
	// was known to have in force.
	capacity      float64
	configVersion uint64
}

func newPeer(incarnation int64) *peer {
	return &peer{
		incarnation: incarnation, uses: map[string]Usage{}, seqs: map[string]uint64{},
		waits: map[string][]Waiting{}, waitSeqs: map[string]uint64{}, speeds: map[string]predict.SpeedSums{},
		serverSpeeds: map[string]receivedSpeeds{},
	}
}

// alive reports whether a message of the peer was received within a time.
func (p *peer) alive(now time.Time, timeout time.Duration) bool {
	return now.Sub(p.lastReceived) < timeout
}

// fromOldIncarnation reports whether a message is from an incarnation before the
// recorded one. A peer that timed out may have restarted with its clock set back, so
// any incarnation is accepted from it.
func (p *peer) fromOldIncarnation(m *message, now time.Time, timeout time.Duration) bool {
	return m.Incarnation < p.incarnation && p.alive(now, timeout)
}

// applyWaits records the waiting requests of a message and reports whether anything
// changed. Messages older than the recorded state are ignored.
func (p *peer) applyWaits(m *message, now time.Time) bool {
	changed := false
	for pool, waiting := range m.Waits {
		if p.waitSeqs[pool] >= m.Seq {
			continue
		}
		p.waitSeqs[pool] = m.Seq
		changed = changed || len(waiting)+len(p.waits[pool]) > 0
		p.waits[pool] = p.waits[pool][:0]
		for _, w := range waiting {
			w.Arrived = now.Add(-time.Duration(w.Age) * time.Millisecond)
			p.waits[pool] = append(p.waits[pool], w)
		}
	}
	return changed
}

// apply records a message and returns the servers whose use may have changed. A
// message that arrives out of order does not change what a later message has set.
func (p *peer) apply(m *message, now time.Time, timeout time.Duration) []string {
	if p.fromOldIncarnation(m, now, timeout) {
		return nil
	}
	var changed []string
	if m.Incarnation != p.incarnation {
		for s := range p.uses {
			changed = append(changed, s)
		}
		*p = *newPeer(m.Incarnation)
	}
	p.lastReceived = now
	if len(m.Uses) > 0 {
		p.lastActive = now
	}
	p.seq = max(p.seq, m.Seq)
	p.configVersion = max(p.configVersion, m.ConfigVersion)
	for s, u := range m.Uses {
		if p.seqs[s] < m.Seq {
			p.uses[s], p.seqs[s] = u.withTimes(now), m.Seq
			changed = append(changed, s)
		}
	}
	if !m.Full {
		return changed
	}
	p.lastFull, p.capacity = now, m.Capacity
	for s := range p.uses {
		if _, listed := m.Uses[s]; !listed && p.seqs[s] < m.Seq {
			delete(p.uses, s)
			delete(p.seqs, s)
			changed = append(changed, s)
		}
	}
	return changed
}
