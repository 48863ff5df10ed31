package standin

import "strconv"

// ObservationKind is the kind of an event at a stand-in.
type ObservationKind string

// Kinds of observations.
const (
	// ObservedHeld: memory was reserved for a request, or a payment has arrived.
	ObservedHeld ObservationKind = "held"
	// ObservedRan: a prefill or a decode began, or a payment was recorded.
	ObservedRan ObservationKind = "ran"
	// ObservedFreed: all memory of a request was freed.
	ObservedFreed ObservationKind = "freed"
)

// Observation is one event at a stand-in. The observer receives the events in the
// order in which they happen.
type Observation struct {
	Kind ObservationKind
	// ID is the engine's request ID, or the number of a payment's arrival.
	ID    string
	Phase string
	// Content is the prompt or the payment's reference.
	Content string
	Pieces  int
	// The answer tokens from First to Next-1 were computed.
	First, Next int
}

// SetObserver sets the observer, a function that is called with each observation. It
// must return quickly and not call the engine, whose lock is held. Call SetObserver
// before the engine serves requests.
func (e *Engine) SetObserver(f func(Observation)) { e.observer = f }

// observeLocked passes an event of a request to the observer. The caller holds
// e.mu.
func (e *Engine) observeLocked(kind ObservationKind, r *request) {
	e.observer(Observation{
		Kind: kind, ID: r.id, Phase: r.phase, Content: r.prompt,
		Pieces: r.pieces, First: r.start, Next: r.next,
	})
}

func (e *Engine) observeRan(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeLocked(ObservedRan, r)
}

// SetObserver sets the observer, a function that is called with each observation. It
// must return quickly and not call the ledger, whose lock is held. Call SetObserver
// before the ledger serves requests.
func (l *Ledger) SetObserver(f func(Observation)) { l.observer = f }

// observeLocked passes an event of a payment to the observer. The caller holds
// l.mu.
func (l *Ledger) observeLocked(kind ObservationKind, id int, p Payment) {
	if l.observer != nil {
		l.observer(Observation{Kind: kind, ID: strconv.Itoa(id), Content: p.Reference})
	}
}
