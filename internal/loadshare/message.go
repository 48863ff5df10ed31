package loadshare

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BrokenFor is the time for which a broken call is told.
const BrokenFor = time.Second

// Usage is what one entry has in use at one server.
type Usage struct {
	// Calls are the plain calls in progress.
	Calls int `cbor:"1,keyasint,omitempty"`
	// PrefillTokens are the prompt tokens that wait to be read or are being read.
	PrefillTokens int `cbor:"2,keyasint,omitempty"`
	// Runs are the requests that decode or are about to.
	Runs []Run `cbor:"3,keyasint,omitempty"`
	// AwayUntil is the end of the time for which the server takes no work, since
	// the entry ordered it to change its stage; zero without an order.
	AwayUntil time.Time `cbor:"-"`
	// Away is the rest of that time in milliseconds, in messages only.
	Away int64 `cbor:"4,keyasint,omitempty"`
	// Unreachable is set while the server does not answer the entry.
	Unreachable bool `cbor:"5,keyasint,omitempty"`
	// BrokenAt are the times of the calls that the server took and broke off without
	// an answer, of the last second.
	BrokenAt []time.Time `cbor:"-"`
	// BrokenAges are the times in milliseconds since then, in messages only.
	BrokenAges []int64 `cbor:"6,keyasint,omitempty"`
}

// Run is one request at a decode server.
type Run struct {
	Prompt int `cbor:"1,keyasint"`
	// Answer is the expected length in tokens.
	Answer int `cbor:"2,keyasint"`
	// Began is when the answer began or will begin.
	Began time.Time `cbor:"-"`
	// Age is the time in milliseconds since then, in messages only; negative
	// before.
	Age int64 `cbor:"3,keyasint"`
}

// at returns the usage for a message that is sent now. Messages hold lengths of
// time, since the clocks of VMs differ.
func (u Usage) at(now time.Time) Usage {
	runs := make([]Run, len(u.Runs))
	for i, r := range u.Runs {
		r.Age = now.Sub(r.Began).Milliseconds()
		runs[i] = r
	}
	u.Runs = runs
	broken := u.BrokenAt
	u.BrokenAt, u.BrokenAges = nil, nil
	for _, t := range broken {
		if age := now.Sub(t); age <= BrokenFor {
			u.BrokenAt = append(u.BrokenAt, t)
			u.BrokenAges = append(u.BrokenAges, age.Milliseconds())
		}
	}
	if !u.AwayUntil.IsZero() {
		u.Away = max(0, u.AwayUntil.Sub(now).Milliseconds())
	}
	return u
}

// received sets the times of a usage from those of a message that arrived now.
func (u Usage) received(now time.Time) Usage {
	for i, r := range u.Runs {
		u.Runs[i].Began = now.Add(-time.Duration(r.Age) * time.Millisecond)
	}
	u.BrokenAt = nil
	for _, age := range u.BrokenAges {
		u.BrokenAt = append(u.BrokenAt, now.Add(-time.Duration(age)*time.Millisecond))
	}
	if u.Away > 0 {
		u.AwayUntil = now.Add(time.Duration(u.Away) * time.Millisecond)
	}
	return u
}

func (u Usage) empty() bool {
	return u.Calls == 0 && u.PrefillTokens == 0 && u.AwayUntil.IsZero() && !u.Unreachable && len(u.Runs)+len(u.BrokenAt) == 0
}

// message is one datagram.
type message struct {
	// Boot tells the lives of a sender apart: the time of its start in Unix
	// milliseconds.
	Boot int64 `cbor:"1,keyasint"`
	// Seq rises with each message of one life.
	Seq uint64 `cbor:"2,keyasint"`
	// Full messages name all servers that the sender uses; others only those whose
	// use changed.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Members are the addresses that the sender knows; in full messages only.
	Members []string         `cbor:"4,keyasint,omitempty"`
	Uses    map[string]Usage `cbor:"5,keyasint,omitempty"`
	// Waits holds, by pool, the time in milliseconds since the arrival of each
	// request that waits.
	Waits map[string][]int64 `cbor:"7,keyasint,omitempty"`
	// Leaving is set by a process that stops.
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

// peer is what is known of one other entry.
type peer struct {
	boot  int64
	seq   uint64
	heard time.Time
	uses  map[string]Usage
	// waits are the arrivals of the requests that wait, by pool.
	waits    map[string][]time.Time
	waitSeqs map[string]uint64
	// seqs are the numbers of the messages that last told each use.
	seqs map[string]uint64
}

func newPeer(boot int64) *peer {
	return &peer{
		boot: boot, uses: map[string]Usage{}, seqs: map[string]uint64{},
		waits: map[string][]time.Time{}, waitSeqs: map[string]uint64{},
	}
}

// lives reports whether the peer was heard lately.
func (p *peer) lives(now time.Time) bool { return now.Sub(p.heard) < silence }

// former reports whether a message is of a life before the one that is known. A
// peer that was silent for long may have started again with its clock set back.
func (p *peer) former(m *message, now time.Time) bool {
	return m.Boot < p.boot && p.lives(now)
}

// takeWaits applies what a message tells of queues and reports whether anything
// changed.
func (p *peer) takeWaits(m *message, now time.Time) bool {
	changed := false
	for pool, ages := range m.Waits {
		if p.waitSeqs[pool] >= m.Seq {
			continue
		}
		p.waitSeqs[pool] = m.Seq
		p.waits[pool] = p.waits[pool][:0]
		for _, age := range ages {
			p.waits[pool] = append(p.waits[pool], now.Add(-time.Duration(age)*time.Millisecond))
		}
		changed = true
	}
	return changed
}

// take applies a message and returns the servers whose use may have changed. A
// message that was overtaken changes only what nothing newer told.
func (p *peer) take(m *message, now time.Time) []string {
	if p.former(m, now) {
		return nil
	}
	var changed []string
	if m.Boot != p.boot {
		for s := range p.uses {
			changed = append(changed, s)
		}
		*p = *newPeer(m.Boot)
	}
	p.heard = now
	p.seq = max(p.seq, m.Seq)
	for s, u := range m.Uses {
		if p.seqs[s] < m.Seq {
			p.uses[s], p.seqs[s] = u.received(now), m.Seq
			changed = append(changed, s)
		}
	}
	if !m.Full {
		return changed
	}
	for s := range p.uses {
		if _, named := m.Uses[s]; !named && p.seqs[s] < m.Seq {
			delete(p.uses, s)
			delete(p.seqs, s)
			changed = append(changed, s)
		}
	}
	return changed
}
