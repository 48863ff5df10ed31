package entry

import (
	"context"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// relay collects the tokens of one attempt in order.
type relay struct {
	attempt string

	mu     sync.Mutex
	offset int // offset of the next token to deliver
	tokens []string
	end    *protocol.End
	notify chan struct{}
	// idleSince is the time of the last token, or of the start of waiting if
	// that is later.
	idleSince time.Time
	waiting   bool
}

func newRelay(attempt string, offset int) *relay {
	return &relay{attempt: attempt, offset: offset, notify: make(chan struct{}, 1), idleSince: time.Now()}
}

// nextOffset returns the offset of the next token to receive.
func (r *relay) nextOffset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offset
}

// delivery is the result of deliver.
type delivery int

const (
	deliveryFresh delivery = iota
	deliveryStale          // nothing new
	deliveryGap            // tokens before the chunk are missing
)

// deliver accepts the part of a chunk that continues the answer.
func (r *relay) deliver(c protocol.Chunk) delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	skip := r.offset - c.Offset
	switch {
	case r.end != nil:
		return deliveryStale
	case c.End != nil && len(c.Tokens) == 0 && c.End.Error != nil:
		// An error ends the attempt, whatever its offset.
	case skip < 0:
		return deliveryGap
	case skip > len(c.Tokens), skip == len(c.Tokens) && c.End == nil:
		return deliveryStale
	default:
		fresh := c.Tokens[skip:]
		r.tokens = append(r.tokens, fresh...)
		r.offset += len(fresh)
	}
	r.end = c.End
	r.idleSince = time.Now()
	r.signal()
	return deliveryFresh
}

// idleTime returns how long the relay has waited for a token. It is zero while
// tokens are buffered for a slow caller.
func (r *relay) idleTime(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.waiting || r.end != nil || len(r.tokens) > 0 {
		return 0
	}
	return now.Sub(r.idleSince)
}

// fail ends the attempt with an error, unless it has ended.
func (r *relay) fail(e *apierror.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil {
		r.end = &protocol.End{Error: e}
	}
	r.signal()
}

func (r *relay) signal() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// receive waits for tokens or the end of the attempt.
func (r *relay) receive(ctx context.Context) ([]string, *protocol.End, error) {
	for {
		if tokens, end := r.dequeue(); len(tokens) > 0 || end != nil {
			return tokens, end, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-r.notify:
		}
	}
}

// dequeue returns the buffered tokens and the end. If there is neither, the
// relay starts to wait.
func (r *relay) dequeue() ([]string, *protocol.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens, end := r.tokens, r.end
	r.tokens = nil
	wait := len(tokens) == 0 && end == nil
	if wait && !r.waiting {
		r.idleSince = time.Now()
	}
	r.waiting = wait
	return tokens, end
}
