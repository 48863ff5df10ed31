package benchmodel

import "time"

// linkModel is the outgoing link of a prefill server.
type linkModel struct {
	sim         *simulation
	shared      bool
	stalled     bool
	generation  int // a scheduled end of an older generation is void
	queue       []*transfer
	lastAdvance time.Duration // time of the last call of advance
}

// transfer is the transfer of one KV cache.
type transfer struct {
	remaining time.Duration // time that it still needs alone on the link
	done      func()
	dropped   bool
}

// add starts a transfer. It shares the rate with the other transfers if the link is
// shared, and otherwise runs after them.
func (l *linkModel) add(pieces int, done func()) *transfer {
	t := &transfer{remaining: time.Duration(pieces) * pieceTransferTime, done: done}
	l.advance()
	l.queue = append(l.queue, t)
	l.scheduleNext()
	return t
}

// remainingTime returns the time until all present transfers have ended.
func (l *linkModel) remainingTime() time.Duration {
	var sum time.Duration
	for _, t := range l.queue {
		sum += t.remaining
	}
	return sum
}

// drop aborts a transfer.
func (l *linkModel) drop(t *transfer) {
	t.dropped = true
	l.advance()
	l.remove(t)
	l.scheduleNext()
}

func (l *linkModel) remove(t *transfer) {
	for i, x := range l.queue {
		if x == t {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return
		}
	}
}

func (l *linkModel) setStalled(stalled bool) {
	l.advance()
	l.stalled = stalled
	l.scheduleNext()
}

func (l *linkModel) reset() {
	l.queue = nil
	l.generation++
}

// advance subtracts the time since the last call from the remaining times.
func (l *linkModel) advance() {
	elapsed := l.sim.clock.now - l.lastAdvance
	l.lastAdvance = l.sim.clock.now
	if l.stalled || len(l.queue) == 0 {
		return
	}
	if !l.shared {
		l.queue[0].remaining -= elapsed
		return
	}
	for _, t := range l.queue {
		t.remaining -= elapsed / time.Duration(len(l.queue))
	}
}

// scheduleNext schedules the end of the transfer that ends next and invalidates the
// end that was scheduled before.
func (l *linkModel) scheduleNext() {
	l.generation++
	if l.stalled || len(l.queue) == 0 {
		return
	}
	first := l.queue[0]
	n := time.Duration(1)
	if l.shared {
		n = time.Duration(len(l.queue))
		for _, t := range l.queue {
			if t.remaining < first.remaining {
				first = t
			}
		}
	}
	generation := l.generation
	l.sim.clock.after(max(first.remaining, 0)*n, func() {
		if l.generation == generation {
			l.finish(first)
		}
	})
}

func (l *linkModel) finish(t *transfer) {
	l.advance()
	l.remove(t)
	l.scheduleNext()
	t.done()
}
