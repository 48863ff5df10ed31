package agent

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Bounds on the tokens that an attempt buffers.
const (
	// maxUnacked is the maximum number of unacknowledged tokens of one attempt.
	// A slow caller thus blocks only its own engine stream.
	maxUnacked = 256
	// maxHistory replaces maxUnacked for a resumable attempt, which keeps its
	// tokens from the first one on.
	maxHistory = 16 << 10
	// maxChunkBytes is the maximum size of the tokens in one chunk. A longer
	// token is sent in a chunk of its own.
	maxChunkBytes = 16 << 10
)

// errTokenGap reports that tokens are missing before an engine's event.
const errTokenGap = errors.ConstError("the engine skipped a token")

// Phases of an attempt at an agent. A prefill passes through phasePrefill and
// phaseResult; a decode through phaseReserved, phaseImporting, phaseDecoding and
// phaseFinished. phaseEnded is set when the agent removes the attempt.
const (
	phaseReserved  = "reserved"
	phasePrefill   = "prefill"
	phaseResult    = "result"
	phaseImporting = "importing"
	phaseDecoding  = "decoding"
	phaseFinished  = "finished"
	phaseEnded     = "ended"
)

// attempt is an attempt that the agent holds resources for. The agent's lock
// guards the fields up to cancel; mu guards the rest.
type attempt struct {
	id       string
	request  string
	provider string
	owner    protocol.NodeRef // zero while the attempt is parked
	// seq is the number of the owner's last heartbeat before the command that
	// opened or resumed the attempt.
	seq      uint64
	deadline time.Time
	grace    time.Duration
	parked   time.Time // when the agent removed the owner
	resume   []byte    // StartArgs.ResumeState
	slots    int
	pieces   int
	tokens   int // prompt tokens of an unfinished prefill
	phase    string
	// reserved is set if the slot and the pieces were reserved; holdsMemory and
	// holdsSlot are set once the reservation has been claimed.
	reserved, holdsMemory, holdsSlot bool
	// opened and claimed are uptimes of the agent.
	opened, claimed time.Duration
	// prefillEnded is the time at which the prefill ended.
	prefillEnded time.Time
	ctx          context.Context
	cancel       context.CancelFunc

	mu        sync.Mutex
	base      int // offset of buffer[0] in the answer
	buffer    []string
	acked     int // offset below which all tokens are acknowledged
	sent      int // offset of the next token to send
	resumable bool
	end       *protocol.End
	sink      *sink
	epoch     uint64 // epoch of the sink's stream
	// spaceFreed is closed and replaced when an acknowledgement arrives.
	spaceFreed chan struct{}
}

func newAttempt(at protocol.Attempt, c protocol.CommandHeader, timeout time.Duration) *attempt {
	t := &attempt{
		id: at.ID, request: at.Request, provider: at.Provider, grace: min(at.Grace, maxGrace),
		owner: c.From, seq: c.Seq, deadline: time.Now().Add(timeout), spaceFreed: make(chan struct{}),
	}
	t.resumable = t.grace > 0
	t.ctx, t.cancel = context.WithDeadline(context.Background(), t.deadline)
	return t
}

// setStart sets the offset of the first token that this attempt decodes. For a
// resumable attempt, delivered holds the tokens before that offset.
func (t *attempt) setStart(offset int, delivered []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.base, t.sent, t.acked = offset, offset, offset
	if t.resumable && len(delivered) == offset {
		t.base, t.buffer = 0, append(t.buffer, delivered...)
	}
}

// next returns the offset of the next token expected from the engine.
func (t *attempt) next() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextLocked()
}

func (t *attempt) nextLocked() int { return t.base + len(t.buffer) }

// push appends a token and blocks while the buffer is full. A token that is
// already buffered is dropped. The error is errTokenGap if an earlier token is
// missing.
func (t *attempt) push(offset int, token string) error {
	for {
		t.mu.Lock()
		if next := t.nextLocked(); offset != next {
			t.mu.Unlock()
			if offset > next {
				return errors.Trace(errTokenGap)
			}
			return nil
		}
		if t.nextLocked()-t.acked < t.maxBuffered() {
			t.buffer = append(t.buffer, token)
			sink := t.sink
			t.mu.Unlock()
			sink.enqueue(t)
			return nil
		}
		freed := t.spaceFreed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-t.ctx.Done():
			return t.ctx.Err()
		}
	}
}

func (t *attempt) maxBuffered() int {
	if t.resumable {
		return maxHistory
	}
	return maxUnacked
}

// finish sets the end of the answer, unless it is already set.
func (t *attempt) finish(end protocol.End) {
	t.mu.Lock()
	if t.end == nil {
		t.end = &end
	}
	sink := t.sink
	t.mu.Unlock()
	sink.enqueue(t)
}

// attach sends the tokens from an offset on to a sink, which replaces the former
// one. An attach on an older stream has no effect. The owner has acknowledged
// the tokens below acked, so unless the attempt is resumable, a lower offset is
// raised to acked. attach reports false if the offset is not buffered.
func (t *attempt) attach(s *sink, at protocol.Attach) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Epoch < t.epoch {
		return true
	}
	offset := at.Offset
	if !t.resumable {
		offset = max(offset, t.acked)
	}
	if offset < t.base || offset > t.nextLocked() {
		return false
	}
	t.sink, t.epoch = s, at.Epoch
	t.sent = offset
	return true
}

// ack drops the tokens below an offset. A resumable attempt drops them only
// when its history is full.
func (t *attempt) ack(offset int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset <= t.acked || offset > t.nextLocked() {
		return
	}
	t.acked = offset
	t.sent = max(t.sent, offset)
	if drop := offset - t.base; !t.resumable || len(t.buffer) >= maxHistory {
		t.buffer = append(t.buffer[:0], t.buffer[drop:]...)
		t.base = offset
	}
	close(t.spaceFreed)
	t.spaceFreed = make(chan struct{})
}

// nextChunk returns the next unsent tokens, up to maxChunkBytes, and whether
// more are left. The chunk with the last token carries the end. ok is false if
// there is nothing to send or s is not the attempt's current sink.
func (t *attempt) nextChunk(s *sink) (c protocol.Chunk, ok, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sink != s {
		return protocol.Chunk{}, false, false
	}
	c = protocol.Chunk{Attempt: t.id, Offset: t.sent}
	size := 0
	for _, token := range t.buffer[t.sent-t.base:] {
		if size += len(token); size > maxChunkBytes && len(c.Tokens) > 0 {
			break
		}
		c.Tokens = append(c.Tokens, token)
	}
	t.sent += len(c.Tokens)
	more = t.sent < t.nextLocked()
	if !more {
		c.End = t.end
	}
	return c, len(c.Tokens) > 0 || c.End != nil, more
}

func (t *attempt) currentSink() *sink {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sink
}

// handOver prepares the attempt for another owner whose caller has received the
// tokens below an offset. It returns these tokens and the sink of the former
// owner. It reports false if the attempt is not resumable or does not buffer all
// its tokens up to the offset any more.
func (t *attempt) handOver(offset int) (delivered []string, former *sink, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.resumable || t.base != 0 || offset < 0 || offset > t.nextLocked() {
		return nil, nil, false
	}
	former = t.sink
	t.sink, t.epoch = nil, 0
	t.acked, t.sent = offset, offset
	return append(delivered, t.buffer[:offset]...), former, true
}

// cancelledEnd returns the end of a cancelled attempt.
func cancelledEnd(reason string) protocol.End {
	return protocol.End{Error: &apierror.Error{
		Kind:    apierror.KindCancelled,
		Outcome: apierror.OutcomePartial,
		Message: "the attempt was cancelled: " + reason,
		Remedy:  "send the request again",
	}}
}
