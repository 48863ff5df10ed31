// Package membudget keeps one budget of bytes for what a process holds on behalf of its
// callers: headers and bodies of requests, and answers that callers have not taken yet. It does
// no I/O and is told the time.
//
// Load answered: callers that read or send slowly, many at once or of one organisation, and
// requests that are large, have many fields or no end.
package membudget

import (
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Holder is whom bytes are held for.
type Holder struct {
	// Caller is the address of the caller's host, and Organisation the name of its
	// organisation; each is "" where there is none, and has no share then.
	Caller, Organisation string
}

// Use is what bytes are held for.
type Use int

// Uses of the budget.
const (
	// Headers and Bodies are those of requests. A request that does not fit has not begun.
	Headers Use = iota
	Bodies
	// Answers are parts of answers. They may use the whole budget, since the work on them
	// is done already.
	Answers
	uses
)

const (
	// requestShare is the fraction of the budget up to which requests are taken in. The rest is
	// for the answers to those that are running.
	requestShare = 0.75
	// freeFactor bounds the bytes of one holder to this multiple of the bytes that are free
	// (dynamic thresholds: Choudhury and Hahne, IEEE/ACM ToN 1998). One holder gets at most
	// 2/3 of the budget, two get 2/5 each, and there is always a part left for the others;
	// a fixed share would refuse the only busy organisation while most of the budget is free.
	freeFactor = 2
	// minBlocked is the time for which a reader must have been behind before it may be
	// disconnected in favour of others: a lost packet delays a sound caller by 200 ms or more.
	minBlocked = 500 * time.Millisecond
	// evictShare is the fraction of the budget that answers must hold before a body that does
	// not fit disconnects a reader. Below it the readers are not what fills the budget, and
	// large bodies must not end the answers of others.
	evictShare = 0.5
	// progressWindow is the time over which the progress of readers is compared.
	progressWindow = 2 * time.Second
)

// Scope is the part of the budget that was exhausted.
type Scope string

// Scopes of a refusal.
const (
	ScopeProcess      Scope = "process"
	ScopeCaller       Scope = "caller"
	ScopeOrganisation Scope = "organisation"
)

// Refusal is the error of bytes that do not fit.
type Refusal struct {
	Scope  Scope
	Holder Holder
	// Bytes were asked for, while Used bytes of Limit were in use in the scope.
	Bytes, Used, Limit int64
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d bytes do not fit into the memory for the %s: %d of %d are in use", r.Bytes, r.Scope, r.Used, r.Limit)
}

// Stats are the figures of a budget.
type Stats struct {
	Limit, Headers, Bodies, Answers, Peak int64
	// Readers are the callers that are behind with their answers.
	Readers int
	// Refused counts the refusals by scope, and Evicted the readers that were disconnected
	// in favour of others.
	Refused map[Scope]int64
	Evicted int64
	// Senders are the requests that are awaited, and SendersEvicted those that were disconnected
	// in favour of others.
	Senders        int
	SendersEvicted int64
}

// Budget is safe for concurrent use.
type Budget struct {
	limit int64

	mu            sync.Mutex // guards the fields below
	used          [uses]int64
	peak          int64
	callers       map[string]int64
	organisations map[string]int64
	readers       map[*Reader]struct{}
	refused       map[Scope]int64
	evicted       int64

	senders        map[*Sender]struct{}
	sendersEvicted int64
}

// New returns an empty budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{
		limit: limit, callers: map[string]int64{}, organisations: map[string]int64{},
		readers: map[*Reader]struct{}{}, refused: map[Scope]int64{}, senders: map[*Sender]struct{}{},
	}
}

// Reserve takes n bytes. The error is a *Refusal.
func (b *Budget) Reserve(h Holder, use Use, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := b.totalLocked()
	limit := b.limit
	if use != Answers {
		limit = int64(requestShare * float64(b.limit))
	}
	if total+n > limit {
		return b.refuseLocked(&Refusal{Scope: ScopeProcess, Holder: h, Bytes: n, Used: total, Limit: limit})
	}
	threshold := freeFactor * (b.limit - total - n)
	if used := b.callers[h.Caller]; h.Caller != "" && used+n > threshold {
		return b.refuseLocked(&Refusal{Scope: ScopeCaller, Holder: h, Bytes: n, Used: used, Limit: threshold})
	}
	if used := b.organisations[h.Organisation]; h.Organisation != "" && used+n > threshold {
		return b.refuseLocked(&Refusal{Scope: ScopeOrganisation, Holder: h, Bytes: n, Used: used, Limit: threshold})
	}
	b.addLocked(h, use, n)
	return nil
}

// ReserveOrEvict is Reserve, but if the bytes do not fit it disconnects slow senders until they
// do (see EvictSender), then the slowest reader (see Evict), and tries again.
func (b *Budget) ReserveOrEvict(now time.Time, h Holder, use Use, n int64) error {
	err := b.Reserve(h, use, n)
	var refusal *Refusal
	for errors.As(err, &refusal) && b.EvictSender(now, refusal) {
		err = b.Reserve(h, use, n)
	}
	if !errors.As(err, &refusal) || use != Answers && !b.filledByAnswers() || !b.Evict(now, refusal) {
		return err
	}
	return b.Reserve(h, use, n)
}

// EvictReader disconnects the slowest reader, and reports false if none is behind for long enough.
func (b *Budget) EvictReader(now time.Time) bool { return b.Evict(now, &Refusal{Scope: ScopeProcess}) }

func (b *Budget) filledByAnswers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.used[Answers]) >= evictShare*float64(b.limit)
}

// Force takes n bytes whether or not they fit. It is meant for small amounts without which
// others could not be released.
func (b *Budget) Force(h Holder, use Use, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(h, use, n)
}

// Release returns n bytes that were taken for the same holder and use.
func (b *Budget) Release(h Holder, use Use, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(h, use, -n)
}

func (b *Budget) totalLocked() int64 { return b.used[Headers] + b.used[Bodies] + b.used[Answers] }

func (b *Budget) refuseLocked(r *Refusal) error {
	b.refused[r.Scope]++
	return r
}

func (b *Budget) addLocked(h Holder, use Use, n int64) {
	b.used[use] += n
	b.peak = max(b.peak, b.totalLocked())
	addTo(b.callers, h.Caller, n)
	addTo(b.organisations, h.Organisation, n)
}

// addTo changes a holder's sum. Holders without bytes are not kept.
func addTo(sums map[string]int64, name string, n int64) {
	if name == "" {
		return
	}
	if sum := sums[name] + n; sum != 0 {
		sums[name] = sum
		return
	}
	delete(sums, name)
}

// Stats returns the present figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Stats{
		Limit: b.limit, Headers: b.used[Headers], Bodies: b.used[Bodies], Answers: b.used[Answers], Peak: b.peak,
		Readers: len(b.readers), Refused: map[Scope]int64{}, Evicted: b.evicted,
		Senders: len(b.senders), SendersEvicted: b.sendersEvicted,
	}
	for scope, n := range b.refused {
		out.Refused[scope] = n
	}
	return out
}

// Request is what one request holds. A nil Request has no bound. It is safe for concurrent use.
type Request struct {
	budget *Budget
	holder Holder

	mu   sync.Mutex // guards the fields below
	held [uses]int64
	// sender is nil if the request has been received whole.
	sender *Sender
	// ended is set by End.
	ended bool
}

// Open returns the account of a request that holds nothing yet.
func (b *Budget) Open(h Holder) *Request { return &Request{budget: b, holder: h} }

// Reserve takes n bytes until Close, as Budget.ReserveOrEvict does.
func (r *Request) Reserve(now time.Time, use Use, n int64) error {
	if r == nil {
		return nil
	}
	if err := r.budget.ReserveOrEvict(now, r.holder, use, n); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		r.budget.Release(r.holder, use, n)
		return &Refusal{Scope: ScopeProcess, Holder: r.holder, Bytes: n, Limit: r.budget.limit}
	}
	r.held[use] += n
	return nil
}

// Resize changes what the request holds for a use to n bytes.
func (r *Request) Resize(now time.Time, use Use, n int64) error {
	if r == nil {
		return nil
	}
	more := n - r.Held(use)
	if more > 0 {
		return r.Reserve(now, use, more)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if less := r.held[use] - n; less > 0 {
		r.budget.Release(r.holder, use, less)
		r.held[use] = n
	}
	return nil
}

// Held returns the bytes that the request holds for a use.
func (r *Request) Held(use Use) int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[use]
}

// Close releases all that the request holds.
func (r *Request) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseLocked()
}

// End is Close, after which the request can not reserve any more.
func (r *Request) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseLocked()
	r.ended = true
}

func (r *Request) releaseLocked() {
	for use, n := range r.held {
		if n > 0 {
			r.budget.Release(r.holder, Use(use), n)
		}
	}
	r.held = [uses]int64{}
	r.sender.Remove()
	r.sender = nil
}
