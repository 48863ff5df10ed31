// Package dispatch runs the decisions of package schedule and package placement
// for the requests that wait at one process: it admits them, keeps them in
// order, and gives each its pair of servers. It knows servers only by their
// views; it sends nothing.
package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// queueFullRetry is the advised delay when the queue is at its bound, in which
// a backlog of typical length is served.
const queueFullRetry = 2 * time.Second

// Server is a backend server that requests are placed at.
type Server interface {
	Name() string
	// View is what decisions know of the server. The dispatcher's lock guards it.
	View() *placement.Server
}

// Fleet lists the servers of a model, appended to out. It sets Down in the views
// of those that take no new work.
type Fleet[S Server] interface {
	Prefills(model string, out []S) []S
	Decodes(model string, out []S) []S
}

// Options configure a dispatcher.
type Options struct {
	// Queue bounds the requests that wait.
	Queue int
	// NewPlanner returns the planner of one pool.
	NewPlanner func() *placement.Planner
	Policy     admission.Policy
	Order      schedule.Order
	// MemoryShare is the part of the memory of counted servers that is given out;
	// 0 where servers report.
	MemoryShare float64
	// WaitTrust is the part of the predicted wait for such memory that counts
	// against a job on arrival. A job that is refused misses its target for sure,
	// one that waits in vain is refused later.
	WaitTrust float64
	// GiveUpWhileDown has jobs given up by their targets also while no prefill or
	// no decode server takes work. Without it they wait for one, and their targets
	// count from its return.
	GiveUpWhileDown bool
	// Announce, if not nil, is told the arrivals of the jobs that wait in a pool
	// when they change. It is called with the dispatcher's lock held.
	Announce func(model string, arrivals []time.Duration)
}

// Dispatcher holds the queues of all pools of one process. It is safe for
// concurrent use.
type Dispatcher[S Server] struct {
	options Options
	fleet   Fleet[S]
	started time.Time

	mu    sync.Mutex // guards the fields below and the views of all servers
	pools map[string]*pool[S]
	rnd   *rand.Rand
}

// New returns a dispatcher without requests.
func New[S Server](fleet Fleet[S], o Options) *Dispatcher[S] {
	return &Dispatcher[S]{
		options: o, fleet: fleet, started: time.Now(), pools: map[string]*pool[S]{},
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Now is the time on the clock of the decisions.
func (d *Dispatcher[S]) Now() time.Duration { return time.Since(d.started) }

// At is the time of the wall clock on the clock of the decisions, and Time the
// reverse.
func (d *Dispatcher[S]) At(t time.Time) time.Duration { return t.Sub(d.started) }

// Time is the wall clock's time at a time of the decisions.
func (d *Dispatcher[S]) Time(at time.Duration) time.Time { return d.started.Add(at) }

// Refusal is the error for a job that is given up before it was dispatched.
type Refusal struct {
	Reason string
	// RetryAfter is the time after which the job may find room.
	RetryAfter time.Duration
	// Belief is what decided.
	Belief Belief
}

// Belief is what is known of a pool at a refusal.
type Belief struct {
	// Here and Elsewhere are the jobs that wait at this process and at others.
	Here, Elsewhere int
	// Prefills and Decodes are the servers that take work.
	Prefills, Decodes int
	// Wait is the predicted wait for decode memory, and Path the predicted time
	// from dispatch to the first token; 0 for jobs that were in the queue.
	Wait, Path time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s; retry after %v", r.Reason, r.RetryAfter)
}

// Assignment is the pair of servers that a job was given. The servers count the
// job until GiveBack, or until EndDecode and PrefillEnded.
type Assignment[S Server] struct {
	Prefill, Decode S
	Use             Use
	// OwnRuns and OtherRuns are the requests at the decode server, and Memory the
	// projected peak of its memory with this one; 0 for servers that report.
	OwnRuns, OtherRuns, Memory int
	// PrefillIn is the time ahead for which decode room is asked for.
	PrefillIn time.Duration
	// MaxWait is the wait that is tolerated at the prefill server.
	MaxWait time.Duration

	refusal *Refusal
}

// Use is what a job takes at its two servers.
type Use struct{ Prefill, Decode placement.Use }

// Offer asks to admit a job. The error is a *Refusal.
func (d *Dispatcher[S]) Offer(j *Job) (*Waiter[S], error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(j.Model)
	if p.sched.Len() >= d.options.Queue {
		return nil, &Refusal{Reason: "the queue is full", RetryAfter: queueFullRetry, Belief: p.belief()}
	}
	w := p.newWaiter(j)
	if refusal := p.offer(w); refusal != nil {
		return nil, refusal
	}
	p.enter(w)
	p.pump()
	return w, nil
}

// lateReason is the reason of a refusal by prediction.
const lateReason = "the first token would come too late"

// Acquire waits until a job may be dispatched. The error is a *Refusal or that
// of the context, after which the job no longer waits.
func (d *Dispatcher[S]) Acquire(ctx context.Context, w *Waiter[S]) (Assignment[S], error) {
	select {
	case a := <-w.result:
		if a.refusal != nil {
			return a, a.refusal
		}
		return a, nil
	case <-ctx.Done():
		d.Withdraw(w)
		return Assignment[S]{}, ctx.Err()
	}
}

// GiveBack returns a job that its decode server refused to its place in the
// queue.
func (d *Dispatcher[S]) GiveBack(w *Waiter[S], a Assignment[S]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseLocked(a)
	w.pool.sched.Return(d.Now(), &w.job)
	w.pool.enter(w)
	w.pool.pump()
}

// Withdraw takes back a job whose caller waits no longer.
func (d *Dispatcher[S]) Withdraw(w *Waiter[S]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.pool.sched.Remove(&w.job)
	w.pool.leave(w)
	select {
	case a := <-w.result:
		if a.refusal == nil {
			d.releaseLocked(a)
		}
	default:
	}
	w.pool.pump()
}

// releaseLocked ends the accounting of a job at both servers.
func (d *Dispatcher[S]) releaseLocked(a Assignment[S]) {
	now := d.Now()
	a.Decode.View().Ended(now, a.Use.Decode)
	a.Prefill.View().Ended(now, a.Use.Prefill)
}

// Learn takes a load report and dispatches what has room now.
func (d *Dispatcher[S]) Learn(s S, r placement.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.View().Learn(d.Now(), r)
	d.pumpLocked()
}

// Update changes the view of a server.
func (d *Dispatcher[S]) Update(s S, change func(now time.Duration, v *placement.Server)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.Now(), s.View())
}

// Look shows the servers of a pool with the lock held.
func (d *Dispatcher[S]) Look(model string, see func(now time.Duration, prefills, decodes []S)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(model)
	p.refresh()
	see(d.Now(), p.prefills, p.decodes)
}

// Pump dispatches what has room now.
func (d *Dispatcher[S]) Pump() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pumpLocked()
}

func (d *Dispatcher[S]) pumpLocked() {
	for _, p := range d.pools {
		if p.sched.Len() > 0 {
			p.pump()
		}
	}
}

func (d *Dispatcher[S]) poolLocked(model string) *pool[S] {
	p, ok := d.pools[model]
	if !ok {
		p = newPool(d, model)
		d.pools[model] = p
	}
	return p
}

// Waiting returns the number of queued jobs.
func (d *Dispatcher[S]) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.pools {
		n += p.sched.Len()
	}
	return n
}

// Answered learns the length of a whole answer.
func (d *Dispatcher[S]) Answered(j *Job, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poolLocked(j.Model).lengths.Add(j.lengthKey(), tokens)
}

// WaitElsewhere stores the arrivals of the jobs that wait at other processes for
// servers of a pool.
func (d *Dispatcher[S]) WaitElsewhere(model string, arrivals []time.Duration) {
	slices.Sort(arrivals)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(model)
	p.ahead = arrivals
	if p.sched.Len() > 0 {
		p.pump()
	}
}

// Reserved accounts for the answer of a decode server to a reservation.
func (d *Dispatcher[S]) Reserved(s S, u Use, granted bool) {
	d.Update(s, func(now time.Duration, v *placement.Server) {
		v.Answered(u.Decode)
		if !granted {
			v.Refused(now)
		}
	})
}

// EndDecode accounts for the end of a job at its decode server.
func (d *Dispatcher[S]) EndDecode(s S, u Use) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.View().Ended(d.Now(), u.Decode)
	d.pumpLocked()
}

// PrefillFailure says why a prefill server did not run a prefill.
type PrefillFailure int

// Results of a prefill.
const (
	PrefillDone PrefillFailure = iota
	// PrefillFull means that the server had no room.
	PrefillFull
	// PrefillUnwilling means that the server refused for another reason.
	PrefillUnwilling
	// PrefillBroken means that the server failed.
	PrefillBroken
)

// PrefillResult is the end of a prefill at a server.
type PrefillResult struct {
	Failure PrefillFailure
	// Computed is the number of tokens that were not cached, and Took the time
	// they needed; zero when unknown.
	Computed int
	Took     time.Duration
}

// PrefillEnded accounts for the end of a prefill and learns from it.
func (d *Dispatcher[S]) PrefillEnded(j *Job, s S, u Use, r PrefillResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, p, view := d.Now(), d.poolLocked(j.Model), s.View()
	view.Ended(now, u.Prefill)
	if r.Failure != PrefillDone {
		view.Answered(u.Prefill)
		view.Refused(now)
		if r.Failure == PrefillUnwilling {
			view.Unwilling(now)
		}
		return
	}
	p.index.Learn(j.Prefixes, view.ID)
	if r.Computed > 0 && r.Took > 0 {
		view.ObservePrefill(r.Computed, r.Took)
		p.planner.Rate.Add(float64(r.Computed) / (float64(r.Took) / float64(time.Millisecond)))
	}
}

// describeLocked describes a job that was dispatched before to the decisions.
func (d *Dispatcher[S]) describeLocked(j *Job) (*pool[S], *Waiter[S]) {
	p := d.poolLocked(j.Model)
	p.refresh()
	w := p.newWaiter(j)
	p.describe(w)
	return p, w
}

// PrefillElsewhere chooses a prefill server again, after a refusal. It reports
// false when there is none.
func (d *Dispatcher[S]) PrefillElsewhere(j *Job, u Use) (s S, maxWait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, w := d.describeLocked(j)
	c, ok := p.planner.ChoosePrefill(d.rnd, &w.need, p.prefillViews)
	if !ok {
		return s, 0, false
	}
	s = p.prefills[c.Index]
	maxWait = time.Duration(s.View().Wait(d.Now())*float64(time.Millisecond)) + placement.WaitTolerance
	s.View().Sent(d.Now(), u.Prefill)
	return s, maxWait, true
}

// DecodeElsewhere chooses a decode server again, after a refusal. It counts the
// job there and no longer at from. It reports false when no other has room.
func (d *Dispatcher[S]) DecodeElsewhere(j *Job, from S, u Use) (s S, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, w := d.describeLocked(j)
	c, ok := p.planner.Decode.Choose(d.rnd, &w.need, p.decodeViews)
	if !ok {
		return s, false
	}
	s = p.decodes[c.Index]
	from.View().Ended(d.Now(), u.Decode)
	s.View().Sent(d.Now(), u.Decode)
	return s, true
}

// Job describes a request to the decisions.
type Job struct {
	Model    string
	Provider string
	// Weight is the share of the provider.
	Weight float64
	Goal   admission.Goal
	// Waited is the time since the request arrived.
	Waited time.Duration
	// PromptTokens is the length of what a prefill reads.
	PromptTokens int
	// MaxTokens bounds the answer, and Expected is its length as the caller
	// estimates it; 0 when it does not.
	MaxTokens, Expected int
	// Pieces is the memory of the prompt and the longest answer.
	Pieces int
	// Prefixes are the hashes of the prompt's whole-piece prefixes.
	Prefixes []uint64
	// Reserve is the part of a decode server's memory that the job leaves to
	// others, from 0 to 1.
	Reserve float64
	// Urgent jobs continue an earlier attempt.
	Urgent bool
	// Failed names the servers that an attempt failed at.
	Failed map[string]bool
}

func (j *Job) lengthKey() predict.LengthKey {
	return predict.LengthKey{Model: j.Model, Provider: j.Provider}
}
