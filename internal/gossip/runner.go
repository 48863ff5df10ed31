package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/surroundings"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// queueEvents bounds the events that wait for the goroutine of the node; more
// datagrams are dropped, as a full socket buffer would.
const queueEvents = 1024

// Runner runs a node on one goroutine. The methods of Runner are safe for
// concurrent use.
type Runner struct {
	node   *Node
	events chan func(now time.Time)
	seen   atomic.Uint64
	ticked atomic.Pointer[time.Time]
	load   func() (free, total uint32)
	done   <-chan struct{}
	ctx    context.Context
}

// NewRunner returns a runner whose calls to peers and platform end with ctx.
// Config.Bulk, Config.Platform and Config.Now are filled in. load, if not nil,
// returns the decode slots of the backend server.
func NewRunner(ctx context.Context, cfg Config, client *surroundings.Client, dialer *transport.Dialer, load func() (free, total uint32)) *Runner {
	r := &Runner{events: make(chan func(time.Time), queueEvents), done: ctx.Done(), ctx: ctx, load: load}
	cfg.Bulk = &rpcBulk{runner: r, dialer: dialer}
	cfg.Platform = &platformReads{runner: r, client: client}
	cfg.Now = time.Now()
	r.node = New(cfg)
	r.ticked.Store(&cfg.Now)
	return r
}

// Run runs the node until the context of the runner ends.
func (r *Runner) Run() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	r.tick(time.Now())
	for {
		select {
		case <-r.done:
			return
		case f := <-r.events:
			f(time.Now())
		case <-ticker.C:
			r.tick(time.Now())
		}
	}
}

func (r *Runner) tick(now time.Time) {
	r.ticked.Store(&now)
	r.node.Tick(now)
	if number := r.seen.Load(); number > r.node.notes.head.Number {
		r.node.NoteSeen(now, number)
	}
	if r.load != nil {
		free, total := r.load()
		r.node.SetLoad(now, free, total)
	}
}

// post runs f on the goroutine of the node.
func (r *Runner) post(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// Receive handles a datagram; it drops it when the node is behind.
func (r *Runner) Receive(from string, payload []byte) {
	select {
	case r.events <- func(now time.Time) { r.node.Receive(now, from, payload) }:
	default:
	}
}

// NoteSeen tells that a peer works under a note of this number.
func (r *Runner) NoteSeen(number uint64) {
	for old := r.seen.Load(); number > old; old = r.seen.Load() {
		if r.seen.CompareAndSwap(old, number) {
			return
		}
	}
}

// Leave tells peers that the process takes no new work.
func (r *Runner) Leave() { r.post(r.node.Leave) }

// View returns the members of the data centre.
func (r *Runner) View() *membership.View { return r.node.View() }

// Dump returns the state for operators.
func (r *Runner) Dump() Dump { return r.node.Dump() }

// Counters returns the counters of the node.
func (r *Runner) Counters() *Counters { return r.node.Counters() }

// Fresh reports whether the process has heard enough and was not paused since.
// It notices a pause before the node itself runs again.
func (r *Runner) Fresh() bool {
	return r.node.Fresh() && elapsed(*r.ticked.Load(), time.Now()) < pauseThreshold
}

// rpcBulk pulls from peers by RPC, one connection for each pull.
type rpcBulk struct {
	runner *Runner
	dialer *transport.Dialer
}

// Pull implements Bulk.
func (b *rpcBulk) Pull(addr string, after uint64, done func(SinceReply, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(b.runner.ctx, bulkTimeout)
		defer cancel()
		peer := b.dialer.NewPeer(addr)
		defer peer.Close()
		var reply SinceReply
		err := peer.Call(ctx, ServiceNotes+".Since", SinceArgs{After: after}, &reply)
		b.runner.finish(func() { done(reply, err) })
	}()
}

// platformReads reads the platform's services on goroutines of its own.
type platformReads struct {
	runner *Runner
	client *surroundings.Client
}

// Head implements Platform.
func (p *platformReads) Head(after uint64, wait time.Duration, done func(uint64, error)) {
	go func() {
		number, err := p.client.Head(p.runner.ctx, after, wait)
		p.runner.finish(func() { done(number, err) })
	}()
}

// Note implements Platform.
func (p *platformReads) Note(number uint64, done func([]byte, error)) {
	go func() {
		raw, err := p.client.Note(p.runner.ctx, number)
		p.runner.finish(func() { done(raw, err) })
	}()
}

// VMs implements Platform.
func (p *platformReads) VMs(done func([]surroundings.VM, error)) {
	go func() {
		vms, err := p.client.VMs(p.runner.ctx)
		p.runner.finish(func() { done(vms, err) })
	}()
}

// finish runs the answer of a read on the goroutine of the node.
func (r *Runner) finish(done func()) {
	r.post(func(now time.Time) { r.node.Do(now, done) })
}
