package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/pause"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// streamRetry is the delay between attempts to open a stream.
const streamRetry = 100 * time.Millisecond

// agentConn is the entry's side of one agent: calls, heartbeats, the token
// stream, and hints about its load.
type agentConn struct {
	entry  *Entry
	server release.BackendServer
	peer   *transport.Peer

	// load is a hint; the agent decides.
	load     atomic.Pointer[protocol.Load]
	identity atomic.Pointer[identity]
	// view is what decisions know of the server; the scheduler's lock guards it.
	view     placement.Server
	inFlight atomic.Int64
	removed  atomic.Bool
	// tried is closed after the first heartbeat, answered or not.
	tried chan struct{}

	mu     sync.Mutex // guards the fields below
	relays map[string]*relay
	stream *transport.Stream
	// epoch numbers the streams, and seq the heartbeats.
	epoch, seq uint64
	// wanted counts the users of the attempts that the agent must keep.
	wanted map[string]int
	// acks wait to be sent on the stream.
	acks     map[string]protocol.Ack
	ackReady chan struct{}
	// needed is signalled when an attempt needs the stream.
	needed chan struct{}
}

// identity is what a heartbeat told about an agent.
type identity struct {
	agent  protocol.NodeRef
	uptime time.Duration
	seen   time.Time
}

func newAgentConn(e *Entry, s release.BackendServer) *agentConn {
	c := &agentConn{
		entry: e, server: s, peer: e.dialer.NewPeer(s.Agent), relays: map[string]*relay{}, tried: make(chan struct{}),
		wanted: map[string]int{}, acks: map[string]protocol.Ack{},
		ackReady: make(chan struct{}, 1), needed: make(chan struct{}, 1),
	}
	c.view.ID = e.serverIDs.Add(1)
	c.view.Distance = e.distanceTime(s)
	return c
}

// run renews the lease and keeps the token stream until the server is withdrawn
// and idle.
func (c *agentConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	streams.Go(func() { c.keepStream(ctx) })
	c.heartbeat(ctx)
	close(c.tried)
	for ctx.Err() == nil && !c.finished() {
		c.checkQuiet()
		pause.For(ctx, c.entry.cfg.Heartbeat)
		c.heartbeat(ctx)
	}
	cancel()
	c.close()
	streams.Wait()
}

func (c *agentConn) finished() bool { return c.removed.Load() && c.inFlight.Load() == 0 }

// heartbeat renews the lease. When the connection does not answer, it tries a
// new one before the lease ends.
func (c *agentConn) heartbeat(ctx context.Context) {
	err := c.renew(ctx)
	if err != nil && ctx.Err() == nil {
		c.peer.Redial()
		err = c.renew(ctx)
	}
	if err != nil {
		_ = level.Debug(c.entry.log).Log("msg", "heartbeat failed", "server", c.server.Name, "err", err)
	}
}

// renewsPerLease is the number of heartbeats that can fail within a lease.
const renewsPerLease = 3

func (c *agentConn) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.entry.cfg.Lease/renewsPerLease)
	defer cancel()
	var reply protocol.RenewReply
	if err := c.peer.Call(ctx, protocol.ServiceLease+".Renew", c.renewal(ctx), &reply); err != nil {
		return err
	}
	if reply.Backend != c.server.Name {
		_ = level.Error(c.entry.log).Log("msg", "the agent guards another backend server; correct the release note or its settings",
			"server", c.server.Name, "agent_backend", reply.Backend)
		return nil
	}
	c.identity.Store(&identity{agent: reply.Agent, uptime: reply.Uptime, seen: time.Now()})
	c.learn(reply.Load)
	return nil
}

// renewal lists the wanted attempts under a new heartbeat number.
func (c *agentConn) renewal(ctx context.Context) protocol.RenewArgs {
	args := protocol.RenewArgs{Caller: c.caller(ctx)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	args.Caller.Seq = c.seq
	for id := range c.wanted {
		args.Attempts = append(args.Attempts, id)
	}
	return args
}

// caller fills the part that all commands share. The deadline on the agent's
// clock is computed from the last heartbeat: the agent was at least that old
// when the reply came.
func (c *agentConn) caller(ctx context.Context) protocol.Caller {
	out := c.entry.caller(ctx)
	if id := c.identity.Load(); id != nil {
		out.To = id.agent.Incarnation
		out.ExpiresAt = id.uptime + time.Since(id.seen) + out.Timeout
	}
	return out
}

// want makes the agent keep an attempt, and returns the number of the last
// heartbeat that can not list it.
func (c *agentConn) want(id string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted[id]++
	return c.seq
}

// unwant takes one want back. After the last one the next heartbeat ends the
// attempt.
func (c *agentConn) unwant(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wanted[id]--; c.wanted[id] <= 0 {
		delete(c.wanted, id)
	}
}

// learn stores a load report.
func (c *agentConn) learn(l protocol.Load) {
	c.load.Store(&l)
	if c.entry.cfg.NoteSeen != nil {
		c.entry.cfg.NoteSeen(l.Note)
	}
	c.reported(l)
}

// usable reports whether the agent was heard of within the lease and takes new
// work.
func (c *agentConn) usable() bool {
	id, l := c.identity.Load(), c.load.Load()
	heard := id != nil && l != nil && time.Since(id.seen) < c.entry.cfg.Lease
	return heard && !c.removed.Load() && !l.Draining && c.entry.available(c.server, l)
}

// call makes an RPC call and learns the load from the reply. The error is an
// *apierror.Error. An attempt is wanted from before the command that opens it
// until that fails.
func (c *agentConn) call(ctx context.Context, method string, args any, reply protocol.Reply) error {
	args, opened := c.prepare(args)
	err := c.exchange(ctx, method, args, reply)
	if err != nil && opened != "" {
		c.unwant(opened)
	}
	return err
}

func (c *agentConn) exchange(ctx context.Context, method string, args any, reply protocol.Reply) error {
	if err := c.peer.Call(ctx, method, args, reply); err != nil {
		return callFailure(ctx, err)
	}
	c.learn(reply.CurrentLoad())
	if failure := reply.Failure(); failure != nil {
		return failure
	}
	return nil
}

// prepare completes the commands that open an attempt, and returns its ID.
func (c *agentConn) prepare(args any) (any, string) {
	switch a := args.(type) {
	case protocol.ReserveArgs:
		a.Caller.Seq = c.want(a.Attempt.ID)
		return a, a.Attempt.ID
	case protocol.PrefillArgs:
		a.Caller.Seq = c.want(a.Attempt.ID)
		return a, a.Attempt.ID
	case protocol.ResumeArgs:
		a.Caller.Seq = c.want(a.Attempt)
		return a, a.Attempt
	default:
		return args, ""
	}
}

// callFailure classifies an error of the transport.
func callFailure(ctx context.Context, err error) *apierror.Error {
	kind := apierror.KindUnavailable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = apierror.KindDeadline
	case ctx.Err() != nil:
		kind = apierror.KindCancelled
	}
	if errors.Is(err, transport.ErrNotSent) {
		return apierror.NotRun(kind, err.Error(), "try another backend server")
	}
	return apierror.Unknown(kind, err.Error(), "try another backend server")
}

// attach starts to receive the tokens of an attempt.
func (c *agentConn) attach(r *relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if former := c.relays[r.attempt]; former != nil {
		former.fail(movedError())
	}
	c.relays[r.attempt] = r
	if c.stream != nil {
		c.sendAttach(r)
		return
	}
	signal(c.needed)
}

func movedError() *apierror.Error {
	return apierror.Unknown(apierror.KindMoved, "the caller resumed the request on another connection", "read the answer there")
}

// detach stops receiving the tokens of an attempt.
func (c *agentConn) detach(r *relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relays[r.attempt] == r {
		delete(c.relays, r.attempt)
	}
}

// sendAttach asks for the tokens that relays need. The caller holds c.mu.
func (c *agentConn) sendAttach(relays ...*relay) {
	s, f := c.stream, &protocol.StreamFrame{}
	for _, r := range relays {
		f.Attach = append(f.Attach, protocol.Attach{Attempt: r.attempt, Offset: r.next(), Epoch: c.epoch})
	}
	if s != nil && len(relays) > 0 {
		go func() { _ = s.Send(f) }()
	}
}

// ack confirms tokens. A lost acknowledgement is repaired by the next one, and
// a lost last one by the next heartbeat.
func (c *agentConn) ack(a protocol.Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acks[a.Attempt] = a
	signal(c.ackReady)
}

// sendAcks sends acknowledgements, several in one frame, until a stream ends.
func (c *agentConn) sendAcks(s *transport.Stream) {
	for {
		select {
		case <-s.Closed():
			return
		case <-c.ackReady:
		}
		c.mu.Lock()
		f := &protocol.StreamFrame{}
		for _, a := range c.acks {
			f.Acks = append(f.Acks, a)
		}
		clear(c.acks)
		c.mu.Unlock()
		if len(f.Acks) > 0 && s.Send(f) != nil {
			return
		}
	}
}

// keepStream opens a stream when attempts need it, and again when it breaks.
func (c *agentConn) keepStream(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.needed:
			c.streamWhileNeeded(ctx)
		}
	}
}

func (c *agentConn) streamWhileNeeded(ctx context.Context) {
	lastGood := time.Now()
	for ctx.Err() == nil && c.streamNeeded() {
		stream, _, err := c.entry.dialer.OpenStream(ctx, c.server.Agent)
		if err != nil {
			if time.Since(lastGood) > c.entry.cfg.Lease {
				c.failRelays(err)
			}
			pause.For(ctx, streamRetry)
			continue
		}
		stop := context.AfterFunc(ctx, stream.Close)
		c.useStream(stream)
		stop()
		lastGood = time.Now()
		c.entry.count.streamReopens.Add(1)
	}
}

func (c *agentConn) streamNeeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.relays) > 0
}

// useStream receives from a stream until it breaks.
func (c *agentConn) useStream(s *transport.Stream) {
	c.mu.Lock()
	c.stream = s
	c.epoch++
	relays := make([]*relay, 0, len(c.relays))
	for _, r := range c.relays {
		relays = append(relays, r)
	}
	c.sendAttach(relays...)
	c.mu.Unlock()
	var writer sync.WaitGroup
	writer.Go(func() { c.sendAcks(s) })
	for {
		frame, err := s.Receive()
		if err != nil {
			break
		}
		for _, chunk := range frame.Chunks {
			c.deliver(chunk)
		}
		if frame.Load != nil {
			c.learn(*frame.Load)
		}
	}
	writer.Wait()
	c.mu.Lock()
	c.stream = nil
	if len(c.relays) > 0 {
		signal(c.needed)
	}
	c.mu.Unlock()
}

// deliver passes a chunk to its attempt. Chunks of attempts that are gone and
// chunks that bring nothing new are counted and dropped. After a gap the tokens
// are asked for again.
func (c *agentConn) deliver(chunk protocol.Chunk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.relays[chunk.Attempt]
	if !ok {
		c.entry.count.staleChunks.Add(1)
		return
	}
	switch r.deliver(chunk) {
	case deliveryStale:
		c.entry.count.staleChunks.Add(1)
	case deliveryGap:
		c.entry.count.gaps.Add(1)
		c.sendAttach(r)
	}
}

// maxQuiet is the time without a token after which an attempt is given up. The
// agent gives up a silent engine earlier.
const maxQuiet = 10 * time.Second

// checkQuiet asks again for the tokens of attempts that wait for long, and gives
// them up in the end.
func (c *agentConn) checkQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var quiet []*relay
	for _, r := range c.relays {
		waited := r.quiet(now)
		if waited > maxQuiet {
			r.fail(apierror.Unknown(apierror.KindUnavailable, "no token came from "+c.server.Name, "continue on another backend server"))
		} else if waited > c.entry.cfg.Heartbeat {
			quiet = append(quiet, r)
		}
	}
	c.sendAttach(quiet...)
}

// failRelays ends all attempts at an agent that can not be reached.
func (c *agentConn) failRelays(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.relays {
		r.fail(apierror.Unknown(apierror.KindUnavailable, "the agent of "+c.server.Name+" is lost: "+cause.Error(), "continue on another backend server"))
	}
}

func (c *agentConn) close() {
	c.peer.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream != nil {
		c.stream.Close()
	}
}

// signal wakes the receiver of a channel with room for one signal.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
