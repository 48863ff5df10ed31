package agent

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Bounds on plain calls and on the stored answers of non-idempotent ones.
const (
	maxRememberedCalls = 100_000
	maxRememberedBytes = 32 << 20
	// expectedAnswerBytes is reserved for the answer of each call in progress.
	expectedAnswerBytes = 64 << 10
	// maxPlainInProgress is the maximum number of calls in progress at the plain
	// service.
	maxPlainInProgress = 256
)

// callDigest identifies the content of a call.
type callDigest [sha256.Size]byte

// callRecord is a non-idempotent call that runs or has run.
type callRecord struct {
	digest  callDigest
	expires time.Duration // uptime of the agent at which the ticket expires
	done    chan struct{} // closed when reply is set
	reply   protocol.CallReply
	bytes   int // size of reply, or expectedAnswerBytes while the call runs
}

// callTable stores calls and their answers until their tickets expire, so that
// no call runs twice. When it is full, new calls are refused; no record is
// evicted early.
type callTable struct {
	maxCalls, maxBytes int
	uptime             func() time.Duration

	mu    sync.Mutex
	calls map[string]*callRecord
	bytes int
}

func newCallTable(maxCalls, maxBytes int, uptime func() time.Duration) *callTable {
	return &callTable{maxCalls: maxCalls, maxBytes: maxBytes, uptime: uptime, calls: map[string]*callRecord{}}
}

// beginResult is the result of callTable.begin.
type beginResult int

const (
	beginNew       beginResult = iota // the caller must run the call
	beginDuplicate                    // the call runs or has run
	beginExpired                      // the ticket has expired
	beginFull                         // the table has no free memory for the answer
)

// begin returns the record of a ticket's call, adding it if needed. It checks
// the expiry of the ticket under the lock that expire also holds. Otherwise a
// process that was paused after an earlier check could run a call a second time
// after its record had been removed.
func (t *callTable) begin(id string, digest callDigest, expires time.Duration) (*callRecord, beginResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.uptime() > expires {
		return nil, beginExpired
	}
	if c, ok := t.calls[id]; ok {
		return c, beginDuplicate
	}
	if len(t.calls) >= t.maxCalls || t.bytes+expectedAnswerBytes > t.maxBytes {
		return nil, beginFull
	}
	c := &callRecord{digest: digest, expires: expires, done: make(chan struct{}), bytes: expectedAnswerBytes}
	t.calls[id] = c
	t.bytes += c.bytes
	return c, beginNew
}

// complete stores the answer of a call.
func (t *callTable) complete(c *callRecord, reply protocol.CallReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.reply = reply
	t.bytes -= c.bytes
	c.bytes = answerBytes(reply)
	t.bytes += c.bytes
	close(c.done)
}

func answerBytes(r protocol.CallReply) int {
	n := len(r.Body)
	for _, h := range r.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// remove deletes the record of a call that did not run, and passes reply to
// duplicates that wait for it.
func (t *callTable) remove(id string, c *callRecord, reply protocol.CallReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, id)
	t.bytes -= c.bytes
	c.reply = reply
	close(c.done)
}

// expire removes the finished calls whose tickets have expired.
func (t *callTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	uptime := t.uptime()
	for id, c := range t.calls {
		select {
		case <-c.done:
		default:
			continue
		}
		if uptime > c.expires {
			t.bytes -= c.bytes
			delete(t.calls, id)
		}
	}
}

// has reports whether the table has a record of a call.
func (t *callTable) has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.calls[id]
	return ok
}

// size returns the number of stored calls.
func (t *callTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}
