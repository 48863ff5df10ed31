package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// maxQueuedEvents bounds the events that wait for the goroutine of the node. When
// the queue is full, datagrams are dropped, as with a full socket buffer.
const maxQueuedEvents = 1024

// Runner runs a node on one goroutine. The methods of Runner are safe for
// concurrent use.
type Runner struct {
	node   *Node
	events chan func(now time.Time)
	// noteReported is the highest number passed to NoteReported.
	noteReported atomic.Uint64
	lastTick     atomic.Pointer[time.Time]
	slots        func() (free, total uint32)
	done         <-chan struct{}
	ctx          context.Context
}

// NewRunner returns a runner. Its calls to peers, the configuration service and the
// VM list are cancelled with ctx. It sets Config.BulkPuller, Config.Service and
// Config.Now. slots, if not nil, returns the decode slots of the backend server.
func NewRunner(ctx context.Context, cfg Config, client *controlplane.Client, dialer *transport.Dialer, slots func() (free, total uint32)) *Runner {
	r := &Runner{events: make(chan func(time.Time), maxQueuedEvents), done: ctx.Done(), ctx: ctx, slots: slots}
	cfg.BulkPuller = &rpcBulk{runner: r, dialer: dialer}
	cfg.Service = &platformReads{runner: r, client: client}
	cfg.Now = time.Now()
	r.node = New(cfg)
	r.lastTick.Store(&cfg.Now)
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
	r.lastTick.Store(&now)
	r.node.Tick(now)
	if number := r.noteReported.Load(); number > r.node.notes.head.Number {
		r.node.NoteReported(now, number)
	}
	if r.slots != nil {
		free, total := r.slots()
		r.node.ReportSlots(now, free, total)
	}
}

// post queues f for the goroutine of the node. It waits while the queue is full.
func (r *Runner) post(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// Receive queues a datagram for the node, or drops it when the queue is full.
func (r *Runner) Receive(from string, payload []byte) {
	select {
	case r.events <- func(now time.Time) { r.node.Receive(now, from, payload) }:
	default:
	}
}

// NoteReported reports that a peer works under a note of this number. The node pulls
// it with the next tick if it is missing.
func (r *Runner) NoteReported(number uint64) {
	for old := r.noteReported.Load(); number > old; old = r.noteReported.Load() {
		if r.noteReported.CompareAndSwap(old, number) {
			return
		}
	}
}

// Leave announces to peers that the process accepts no new work.
func (r *Runner) Leave() { r.post(r.node.Leave) }

// View returns the membership as last published.
func (r *Runner) View() *membership.View { return r.node.View() }

// Dump returns the state for operators.
func (r *Runner) Dump() Dump { return r.node.Dump() }

// Counters returns the counters of the node.
func (r *Runner) Counters() *Counters { return r.node.Counters() }

// UpToDate reports whether the node is Current and the process was not paused since
// its last tick. So it detects a pause before the node itself runs again.
func (r *Runner) UpToDate() bool {
	return r.node.UpToDate() && elapsed(*r.lastTick.Load(), time.Now()) < pauseThreshold
}

// rpcBulk implements BulkPuller by RPC, with one connection for each pull.
type rpcBulk struct {
	runner *Runner
	dialer *transport.Dialer
}

// Pull implements BulkPuller.
func (b *rpcBulk) Pull(addr string, after uint64, done func(SinceReply, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(b.runner.ctx, bulkTimeout)
		defer cancel()
		peer := b.dialer.NewPeer(addr)
		defer peer.Close()
		var reply SinceReply
		err := peer.Call(ctx, ServiceNotes+".Since", SinceArgs{After: after}, &reply)
		b.runner.postResult(func() { done(reply, err) })
	}()
}

// platformReads implements ServiceReader, with one goroutine for each read.
type platformReads struct {
	runner *Runner
	client *controlplane.Client
}

// Head implements ServiceReader.
func (p *platformReads) Head(after uint64, wait time.Duration, done func(uint64, error)) {
	go func() {
		number, err := p.client.Head(p.runner.ctx, after, wait)
		p.runner.postResult(func() { done(number, err) })
	}()
}

// Note implements ServiceReader.
func (p *platformReads) Note(number uint64, done func([]byte, error)) {
	go func() {
		raw, err := p.client.Note(p.runner.ctx, number)
		p.runner.postResult(func() { done(raw, err) })
	}()
}

// VMs implements ServiceReader.
func (p *platformReads) VMs(done func([]controlplane.VM, error)) {
	go func() {
		vms, err := p.client.VMs(p.runner.ctx)
		p.runner.postResult(func() { done(vms, err) })
	}()
}

// postResult runs the callback of a read on the goroutine of the node.
func (r *Runner) postResult(done func()) {
	r.post(func(now time.Time) { r.node.RunEvent(now, done) })
}
