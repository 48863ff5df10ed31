// Package dispatch admits the requests of one process, queues them and assigns each a
// prefill and a decode server. It applies the decisions of packages schedule and
// placement. It sees servers only as placement.Server views and does no I/O.
package dispatch

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// Server is a backend server that requests are assigned to.
type Server interface {
	Name() string
	// View returns the state of the server that decisions use. The dispatcher's lock
	// guards it.
	View() *placement.Server
}

// Fleet appends the servers of a model to out. It sets Unavailable in the views of
// those that take no new work.
type Fleet[S Server] interface {
	PrefillServers(model string, out []S) []S
	DecodeServers(model string, out []S) []S
	// Assigned is called when a job is assigned to a server, before another one is. It may
	// set Unavailable in the view of the server.
	Assigned(s S)
}

// Options configure a dispatcher.
type Options struct {
	// MaxQueued is the maximum number of waiting requests of each pool.
	MaxQueued int
	// NewPlanner returns the planner of the pool of a model.
	NewPlanner func(model string) *placement.Planner
	Policy     admission.Policy
	Order      schedule.Order
	// MemoryShare is the fraction of the decode memory that is assigned, for servers
	// whose load is counted by this process; 0 for servers that report their load.
	MemoryShare float64
	// RefuseWhileDown refuses jobs that can not meet their targets also while no
	// prefill or no decode server takes work. Without it, jobs wait until one does, and
	// their targets count from then on.
	RefuseWhileDown bool
	// Seed is that of the random choices between equal servers; 0 draws one.
	Seed uint64
	// SharedLengths predicts the lengths of answers by model alone, not by provider, for
	// processes that see few answers of each.
	SharedLengths bool
	// Processes, if not nil, returns the number of processes that share the servers.
	Processes func() int
	// Announce, if not nil, is called with the jobs that wait in a pool when they change.
	// The dispatcher's lock is held during the call.
	Announce func(model string, waiting []Waiting)
}

// Waiting is a job that waits in a pool of this or another process.
type Waiting struct {
	// Priority is the rank in the order among processes; see Job.Priority.
	Priority int
	Arrived  time.Duration
	// Prompt is the length of the prompt in tokens.
	Prompt int
}

// Dispatcher holds the queues of one process, in one pool per model. It is safe for
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
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Dispatcher[S]{
		options: o, fleet: fleet, started: time.Now(), pools: map[string]*pool[S]{},
		rnd: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Now returns the current time on the dispatcher's monotonic clock.
func (d *Dispatcher[S]) Now() time.Duration { return time.Since(d.started) }

// FromWallClock converts a wall clock time to the dispatcher's clock.
func (d *Dispatcher[S]) FromWallClock(t time.Time) time.Duration { return t.Sub(d.started) }

// ToWallClock converts a time on the dispatcher's clock to wall clock time.
func (d *Dispatcher[S]) ToWallClock(at time.Duration) time.Time { return d.started.Add(at) }

// Refusal is the error for a job that is refused on arrival or while it waits.
type Refusal struct {
	Reason string
	// RetryAfter is the advised delay before a retry.
	RetryAfter time.Duration
	// State is the state of the pool that the refusal is based on.
	State PoolState
}

// PoolState is the known state of a pool at a refusal.
type PoolState struct {
	// LocalWaiting and RemoteWaiting are the numbers of jobs that wait at this
	// process and at the others.
	LocalWaiting, RemoteWaiting int
	// PrefillServers and DecodeServers are the numbers of servers that take work.
	PrefillServers, DecodeServers int
	// Wait is the predicted wait for decode memory, and TimeToFirstToken the
	// predicted time from dispatch to the first token; 0 for jobs that were in the
	// queue.
	Wait, TimeToFirstToken time.Duration
}

// LogFields returns the state as the keys and values of a log line.
func (s PoolState) LogFields() []any {
	return []any{
		"here", s.LocalWaiting, "elsewhere", s.RemoteWaiting, "prefill_servers", s.PrefillServers, "decode_servers", s.DecodeServers,
		"wait_ms", s.Wait.Milliseconds(), "path_ms", s.TimeToFirstToken.Milliseconds(),
	}
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s; retry after %v", r.Reason, r.RetryAfter)
}

// Assignment is the pair of servers that a job was assigned to. The views of the
// servers count the job until Requeue, or until EndDecode and EndPrefill.
type Assignment[S Server] struct {
	Prefill, Decode S
	Use             Use
	// LocalRuns and RemoteRuns are the requests of this process and of the others
	// at the decode server, and PeakMemory is the projected peak of its memory
	// including this one; 0 for servers that report their load.
	LocalRuns, RemoteRuns, PeakMemory int
	// StepMillis is the expected time between the tokens of the answer in milliseconds.
	StepMillis float64
	// TimeToPrefillEnd is the predicted time until the prefill ends and decode memory is
	// needed, shortened by the caution of the job's goal.
	TimeToPrefillEnd time.Duration
	// MaxWait is the longest acceptable wait at the prefill server.
	MaxWait time.Duration

	refusal *Refusal
}

// Use is the capacity that a job uses at its two servers.
type Use struct{ Prefill, Decode placement.Use }

// Offer admits a job to the queue or refuses it. The error is a *Refusal.
func (d *Dispatcher[S]) Offer(j *Job) (*Waiter[S], error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(j.Model)
	w := p.newWaiter(j)
	if p.sched.Len() >= d.options.MaxQueued && !j.Urgent {
		p.refresh()
		p.prepare(w)
		return nil, &Refusal{Reason: "the queue is full", RetryAfter: p.retryAfter(w), State: p.state()}
	}
	if j.MayDecode != nil {
		p.pinned = append(p.pinned, w)
		p.pump()
		return w, nil
	}
	if refusal := p.offer(w); refusal != nil {
		return nil, refusal
	}
	p.addWaiting(w)
	p.pump()
	return w, nil
}

// lateReason is the reason of a refusal because the job would miss its target.
const lateReason = "the first token would come too late"

// cutReason is the reason of a refusal because the job's caller would give up during the
// answer.
const cutReason = "the answer would not end in time"

// Acquire waits until a job is assigned. The error is a *Refusal or that of the
// context; in both cases the job has left the queue.
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

// RetryAfter returns the advised delay before a retry of a job that was not served.
func (d *Dispatcher[S]) RetryAfter(j *Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, w := d.waiterLocked(j)
	return p.retryAfter(w)
}

// Requeue puts a job that its decode server refused back into the queue, with its
// former rank and target.
func (d *Dispatcher[S]) Requeue(w *Waiter[S], a Assignment[S]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseLocked(a)
	if w.request.MayDecode != nil {
		w.pool.pinned = append(w.pool.pinned, w)
	} else {
		w.pool.sched.Requeue(d.Now(), &w.job)
		w.pool.addWaiting(w)
	}
	w.pool.pump()
}

// Withdraw cancels a job that its caller no longer waits for, and releases the
// servers if it was assigned meanwhile.
func (d *Dispatcher[S]) Withdraw(w *Waiter[S]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.request.MayDecode != nil {
		w.pool.removePinned(w)
	} else {
		w.pool.sched.Remove(&w.job)
		w.pool.removeWaiting(w)
	}
	select {
	case a := <-w.result:
		if a.refusal == nil {
			d.releaseLocked(a)
		}
	default:
	}
	w.pool.pump()
}

// releaseLocked removes a job from the views of both servers.
func (d *Dispatcher[S]) releaseLocked(a Assignment[S]) {
	now := d.Now()
	a.Decode.View().RecordEnd(now, a.Use.Decode)
	a.Prefill.View().RecordEnd(now, a.Use.Prefill)
}

// RecordReport records a load report of a server and dispatches the jobs that fit
// now.
func (d *Dispatcher[S]) RecordReport(s S, r placement.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.View().RecordReport(d.Now(), r)
	d.pumpLocked()
}

// Update changes or reads the view of a server with the lock held.
func (d *Dispatcher[S]) Update(s S, change func(now time.Duration, v *placement.Server)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.Now(), s.View())
}

// Locked calls change with the lock held that guards the views of all servers.
func (d *Dispatcher[S]) Locked(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// VisitServers calls visit with the servers of a pool. The lock is held during the
// call.
func (d *Dispatcher[S]) VisitServers(model string, visit func(now time.Duration, prefills, decodes []S)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(model)
	p.refresh()
	visit(d.Now(), p.prefills, p.decodes)
}

// Pump dispatches the jobs that fit now.
func (d *Dispatcher[S]) Pump() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pumpLocked()
}

func (d *Dispatcher[S]) pumpLocked() {
	for _, p := range d.pools {
		p.pumpIfWaiting()
	}
}

func (d *Dispatcher[S]) poolLocked(model string) *pool[S] {
	p, ok := d.pools[model]
	if !ok {
		d.pruneLocked()
		p = newPool(d, model)
		d.pools[model] = p
	}
	return p
}

// pruneLocked forgets the pools without servers and waiting jobs.
func (d *Dispatcher[S]) pruneLocked() {
	maps.DeleteFunc(d.pools, func(_ string, p *pool[S]) bool {
		p.refresh()
		return len(p.prefills)+len(p.decodes)+p.sched.Len()+len(p.pinned)+len(p.moving)+len(p.remoteWaiting) == 0
	})
}

// QueueLength returns the number of queued jobs.
func (d *Dispatcher[S]) QueueLength() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.pools {
		n += p.sched.Len() + len(p.pinned)
	}
	return n
}

// VisitWaiting calls visit with each job that waits. The lock is held during the call.
func (d *Dispatcher[S]) VisitWaiting(visit func(*Job)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		for w := range p.waiting {
			visit(w.request)
		}
		for _, w := range slices.Concat(p.pinned, p.moving) {
			visit(w.request)
		}
	}
}

// RecordAnswerLength records the length of a complete answer, for predictions.
func (d *Dispatcher[S]) RecordAnswerLength(j *Job, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(j.Model)
	p.observedAt = d.Now()
	p.lengths.Add(d.lengthKey(j), tokens)
}

// SetRemoteWaiting stores the jobs that wait at other processes for servers of a pool.
// It sorts waiting.
func (d *Dispatcher[S]) SetRemoteWaiting(model string, waiting []Waiting) {
	slices.SortFunc(waiting, Waiting.compare)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.poolLocked(model)
	p.remoteWaiting = waiting
	p.pumpIfWaiting()
}

// RecordReservation records the answer of a decode server to a reservation.
func (d *Dispatcher[S]) RecordReservation(s S, u Use, granted bool) {
	d.Update(s, func(now time.Duration, v *placement.Server) {
		v.RecordReply(u.Decode)
		if !granted {
			v.RecordRefusal(now)
		}
	})
}

// EndDecode records the end of a job at its decode server.
func (d *Dispatcher[S]) EndDecode(s S, u Use) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.View().RecordEnd(d.Now(), u.Decode)
	d.pumpLocked()
}

// PrefillStatus is the outcome of a prefill, with the reason for which it failed.
type PrefillStatus int

// Results of a prefill.
const (
	// PrefillDone means that the prefill succeeded.
	PrefillDone PrefillStatus = iota
	// PrefillOverloaded means that the server refused because it was at capacity.
	PrefillOverloaded
	// PrefillRefused means that the server refused for a reason other than its load.
	PrefillRefused
	// PrefillFailed means that the server failed.
	PrefillFailed
)

// PrefillResult is the outcome of a prefill at a server.
type PrefillResult struct {
	Status PrefillStatus
	// Computed is the number of tokens that were not cached, and ComputeTime the
	// time that their prefill took; zero when unknown.
	Computed    int
	ComputeTime time.Duration
}

// EndPrefill records the outcome of a prefill. A success updates the prefix index and
// the prefill rates; a failure marks the server as one that refused.
func (d *Dispatcher[S]) EndPrefill(j *Job, s S, u Use, r PrefillResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, p, view := d.Now(), d.poolLocked(j.Model), s.View()
	view.RecordEnd(now, u.Prefill)
	if r.Status != PrefillDone {
		view.RecordReply(u.Prefill)
		view.RecordRefusal(now)
		if r.Status == PrefillRefused {
			view.RecordDecline(now)
		}
		return
	}
	p.observedAt = now
	p.index.Add(j.Prefixes, view.ID)
	if r.Computed > 0 && r.ComputeTime > 0 {
		view.ObservePrefill(now, r.Computed, r.ComputeTime)
		p.planner.Rate.Add(float64(r.Computed) / (float64(r.ComputeTime) / float64(time.Millisecond)))
	}
}

// waiterLocked returns the pool of a job that was dispatched before, with its servers
// up to date, and a waiter to choose another server with. The waiter is not queued.
func (d *Dispatcher[S]) waiterLocked(j *Job) (*pool[S], *Waiter[S]) {
	p := d.poolLocked(j.Model)
	p.refresh()
	w := p.newWaiter(j)
	p.prepare(w)
	return p, w
}

// ReassignPrefill chooses another prefill server after a refusal or failure, and
// counts the job there. maxWait is the longest acceptable wait at that server. It
// reports false when there is none.
func (d *Dispatcher[S]) ReassignPrefill(j *Job, u Use) (s S, maxWait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, w := d.waiterLocked(j)
	c, ok := p.planner.ChoosePrefill(d.rnd, &w.need, p.prefillViews)
	if !ok {
		return s, 0, false
	}
	s = p.prefills[c.Index]
	maxWait = time.Duration(s.View().WaitMillis(d.Now())*float64(time.Millisecond)) + placement.WaitTolerance
	if run := u.Decode.Run; run != nil { // its decode begins later now
		run.Began = d.Now() + time.Duration(c.Cost*float64(time.Millisecond))
	}
	d.recordSend(s, u.Prefill)
	return s, maxWait, true
}

// ReassignDecode chooses another decode server after a refusal or failure. It counts
// the job there and no longer at from. It reports false when no other has capacity until ctx ends:
// the prompt is prefilled, so that the job gets what comes free before jobs that have not begun.
func (d *Dispatcher[S]) ReassignDecode(ctx context.Context, j *Job, from S, u Use) (s S, ok bool) {
	d.mu.Lock()
	p, w := d.waiterLocked(j)
	w.job.Arrived = d.Now() - j.Waited
	w.from, w.use = from, u
	if s, ok = p.move(w); ok {
		d.mu.Unlock()
		return s, ok
	}
	p.moving = append(p.moving, w)
	p.queueChanged = true
	p.pumpAfter(maxPumpWait)
	p.announce()
	d.mu.Unlock()
	select {
	case a := <-w.result:
		return a.Decode, true
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p.removeMoving(w)
	p.announce()
	select {
	case a := <-w.result: // assigned meanwhile
		return a.Decode, true
	default:
		return s, false
	}
}

// recordSend counts a job at a server that it is assigned to.
func (d *Dispatcher[S]) recordSend(s S, u placement.Use) {
	s.View().RecordSend(d.Now(), u)
	d.fleet.Assigned(s)
}

// Job describes a request for admission and placement.
type Job struct {
	Model    string
	Provider string
	// Priority is the rank of the job among those of the model; 0 is the most urgent.
	// MostUrgent is the lowest rank that jobs of the model have. Jobs with a higher one
	// are less urgent; see aging.
	Priority, MostUrgent int
	// Competing is set for the jobs of a deployment that distinguishes its callers, so that
	// none of them is starved: large jobs then go ahead of their arrival.
	Competing bool
	// Weight is the provider's weight in fair sharing.
	Weight float64
	Goal   admission.Goal
	// Waited is the time since the request arrived.
	Waited time.Duration
	// TimeLeft is the time until the caller gives up; 0 when unknown. A job whose answer
	// would not end by then is refused.
	TimeLeft time.Duration
	// MaxRetryAfter is the longest delay that the caller follows after a refusal; 0 when
	// unknown.
	MaxRetryAfter time.Duration
	// PromptTokens is the length of the prompt to prefill.
	PromptTokens int
	// MaxTokens is the longest allowed answer, and ExpectedTokens the caller's
	// estimate of the answer's length; 0 without one.
	MaxTokens, ExpectedTokens int
	// Pieces is the memory of the prompt and the longest answer, in pieces; in tokens
	// for servers whose load is counted by this process.
	Pieces int
	// Prefixes are the hashes of those prefixes of the prompt that fill whole pieces.
	Prefixes []uint64
	// Urgent jobs continue an earlier attempt. They go first and are not refused for
	// missing their target.
	Urgent bool
	// FailedServers holds the names of the servers at which an attempt failed. They
	// are chosen only if no other server fits.
	FailedServers map[string]bool
	// MayDecode, if not nil, reports whether a decode server may take the job. Such a job
	// waits apart from the queue, since it would hold up those that may go elsewhere, and is
	// not refused for missing its target.
	MayDecode func(server string) bool
}

func (d *Dispatcher[S]) lengthKey(j *Job) predict.LengthKey {
	if d.options.SharedLengths {
		return predict.LengthKey{Model: j.Model}
	}
	return predict.LengthKey{Model: j.Model, Provider: j.Provider}
}
