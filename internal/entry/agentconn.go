package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/sleep"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// streamRetryDelay is the delay between attempts to open a stream.
const streamRetryDelay = 100 * time.Millisecond

// agentConn is the entry's connection to one agent. It sends calls and
// heartbeats, receives the token stream and records the agent's load.
type agentConn struct {
	entry  *Entry
	server release.BackendServer
	peer   *transport.Peer

	// load is the last reported load. It may be stale; the agent makes the
	// binding decision.
	load atomic.Pointer[protocol.Load]
	// advice is what the agent has reported of what its server says of itself.
	advice   advisory.State
	identity atomic.Pointer[identity]
	// view is the scheduler's recorded state of the server, guarded by the
	// scheduler's lock.
	view     placement.Server
	inFlight atomic.Int64
	removed  atomic.Bool
	// firstHeartbeatDone is closed after the first heartbeat, whether or not
	// the agent replied.
	firstHeartbeatDone chan struct{}

	mu     sync.Mutex // guards the fields below
	relays map[string]*relay
	stream *transport.Stream
	// epoch is the number of the current stream, seq that of the last
	// heartbeat.
	epoch, seq uint64
	// attemptRefs counts the references to each attempt. Heartbeats list the
	// attempts that have one, so that the agent keeps them.
	attemptRefs map[string]int
	// acks are the pending acknowledgements by attempt ID.
	acks     map[string]protocol.Ack
	ackReady chan struct{}
	// streamRequested is signalled when an attempt needs the stream.
	streamRequested chan struct{}
}

// identity identifies the running agent, as of its last heartbeat reply.
type identity struct {
	agent      protocol.NodeRef
	uptime     time.Duration
	receivedAt time.Time
}

func newAgentConn(e *Entry, s release.BackendServer) *agentConn {
	c := &agentConn{
		entry: e, server: s, peer: e.dialer.NewPeer(s.Agent), relays: map[string]*relay{}, firstHeartbeatDone: make(chan struct{}),
		attemptRefs: map[string]int{}, acks: map[string]protocol.Ack{},
		ackReady: make(chan struct{}, 1), streamRequested: make(chan struct{}, 1),
	}
	c.view.ID = e.lastServerID.Add(1)
	c.view.Distance = e.oneWayDelay(s)
	return c
}

// run renews the lease and maintains the token stream until the server is
// withdrawn and has no requests in flight.
func (c *agentConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var streams sync.WaitGroup
	streams.Go(func() { c.keepStream(ctx) })
	_ = c.heartbeat(ctx) // the next one follows
	close(c.firstHeartbeatDone)
	for ctx.Err() == nil && !c.finished() {
		c.checkIdleRelays()
		sleep.WithContext(ctx, c.entry.cfg.HeartbeatInterval)
		_ = c.heartbeat(ctx)
	}
	cancel()
	c.close()
	streams.Wait()
}

func (c *agentConn) finished() bool { return c.removed.Load() && c.inFlight.Load() == 0 }

// heartbeat renews the lease. On failure it retries once on a new connection,
// early enough for the lease not to expire.
func (c *agentConn) heartbeat(ctx context.Context) error {
	err := c.renew(ctx)
	if err != nil && ctx.Err() == nil {
		c.peer.ReplaceConn()
		err = c.renew(ctx)
	}
	if err != nil {
		_ = level.Debug(c.entry.log).Log("msg", "heartbeat failed", "server", c.server.Name, "err", err)
	}
	return err
}

// renewsPerLease is the number of renewal attempts that fit into one lease.
const renewsPerLease = 3

func (c *agentConn) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.entry.cfg.LeaseDuration/renewsPerLease)
	defer cancel()
	var reply protocol.RenewReply
	if err := c.peer.Call(ctx, protocol.ServiceLease+".Renew", c.renewal(ctx), &reply); err != nil {
		return err
	}
	if reply.Backend != c.server.Name {
		_ = level.Error(c.entry.log).Log("msg", "the agent is configured for another backend server; correct the release note or the agent's settings",
			"server", c.server.Name, "agent_backend", reply.Backend)
		return nil
	}
	c.identity.Store(&identity{agent: reply.Agent, uptime: reply.Uptime, receivedAt: time.Now()})
	c.recordLoad(reply.Load)
	return nil
}

// renewal returns the arguments of the next heartbeat: its number and the
// referenced attempts.
func (c *agentConn) renewal(ctx context.Context) protocol.RenewArgs {
	args := protocol.RenewArgs{Header: c.header(ctx)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	args.Header.Seq = c.seq
	for id := range c.attemptRefs {
		args.Attempts = append(args.Attempts, id)
	}
	return args
}

// header returns the fields common to all commands. The deadline on the agent's
// clock is computed from the uptime in the last heartbeat reply, which is a
// lower bound of the agent's uptime when the reply arrived.
func (c *agentConn) header(ctx context.Context) protocol.CommandHeader {
	out := c.entry.header(ctx)
	if id := c.identity.Load(); id != nil {
		out.ToIncarnation = id.agent.Incarnation
		out.ExpiresAt = id.uptime + time.Since(id.receivedAt) + out.Timeout
	}
	return out
}

// addAttemptRef adds a reference to an attempt. It returns the number of the
// latest heartbeat, which may not list the attempt; the agent keeps the attempt
// until a later heartbeat omits it.
func (c *agentConn) addAttemptRef(id string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptRefs[id]++
	return c.seq
}

// removeAttemptRef removes a reference to an attempt. Once none is left, the
// next heartbeat ends the attempt.
func (c *agentConn) removeAttemptRef(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attemptRefs[id]--; c.attemptRefs[id] <= 0 {
		delete(c.attemptRefs, id)
	}
}

// recordLoad stores a load report and passes it to the scheduler.
func (c *agentConn) recordLoad(l protocol.Load) {
	c.load.Store(&l)
	if l.ClosedFor > 0 {
		c.advice.Record(advisory.Notice{RetryAfter: l.ClosedFor, Received: time.Now()})
	}
	if c.entry.cfg.OnNoteReported != nil {
		c.entry.cfg.OnNoteReported(l.Note)
	}
	c.updateScheduler(l)
}

// usable reports whether the agent answered a heartbeat within the lease and
// accepts new work.
func (c *agentConn) usable() bool {
	id, l := c.identity.Load(), c.load.Load()
	leaseValid := id != nil && l != nil && time.Since(id.receivedAt) < c.entry.cfg.LeaseDuration
	return leaseValid && !c.removed.Load() && !l.Draining && c.advice.Admits(time.Now(), advisory.Alone) && c.entry.available(c.server, l)
}

// software returns the version of the software of the agent's server; "" if unknown.
func (c *agentConn) software() string {
	if l := c.load.Load(); l != nil {
		return l.Software
	}
	return ""
}

// call makes an RPC call and records the load in the reply. The error is an
// *apierror.Error. A command that opens an attempt adds a reference to it
// beforehand, which is removed again if the command fails.
func (c *agentConn) call(ctx context.Context, method string, args any, reply protocol.Reply) error {
	args, opened := c.withAttemptRef(args)
	err := c.exchange(ctx, method, args, reply)
	if err != nil && opened != "" {
		c.removeAttemptRef(opened)
	}
	return err
}

func (c *agentConn) exchange(ctx context.Context, method string, args any, reply protocol.Reply) error {
	if err := c.peer.Call(ctx, method, args, reply); err != nil {
		return callFailure(ctx, err)
	}
	c.recordLoad(reply.CurrentLoad())
	if failure := reply.Failure(); failure != nil {
		return failure
	}
	return nil
}

// withAttemptRef adds a reference to the attempt that a command opens, and sets
// the command's heartbeat number. It returns the command and the attempt's ID,
// which is empty for other commands.
func (c *agentConn) withAttemptRef(args any) (any, string) {
	switch a := args.(type) {
	case protocol.ReserveArgs:
		a.Header.Seq = c.addAttemptRef(a.Attempt.ID)
		return a, a.Attempt.ID
	case protocol.PrefillArgs:
		a.Header.Seq = c.addAttemptRef(a.Attempt.ID)
		return a, a.Attempt.ID
	case protocol.ResumeArgs:
		a.Header.Seq = c.addAttemptRef(a.Attempt)
		return a, a.Attempt
	default:
		return args, ""
	}
}

// callFailure converts a transport error to an *apierror.Error.
func callFailure(ctx context.Context, err error) *apierror.Error {
	kind := apierror.KindUnavailable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = apierror.KindDeadlineExceeded
	case ctx.Err() != nil:
		kind = apierror.KindCancelled
	}
	if errors.Is(err, transport.ErrNotSent) {
		return apierror.NotRun(kind, err.Error(), "try another backend server")
	}
	return apierror.Unknown(kind, err.Error(), "try another backend server")
}

// attach registers a relay for the tokens of its attempt, and fails the
// previous relay of that attempt.
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
	signal(c.streamRequested)
}

func movedError() *apierror.Error {
	return apierror.Unknown(apierror.KindMoved, "the caller resumed the request on another connection", "read the answer there")
}

// detach removes a relay.
func (c *agentConn) detach(r *relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relays[r.attempt] == r {
		delete(c.relays, r.attempt)
	}
}

// sendAttach requests the tokens of relays from their next offset on. The
// caller holds c.mu.
func (c *agentConn) sendAttach(relays ...*relay) {
	s, f := c.stream, &protocol.StreamFrame{}
	for _, r := range relays {
		f.Attach = append(f.Attach, protocol.Attach{Attempt: r.attempt, Offset: r.nextOffset(), Epoch: c.epoch})
	}
	if s != nil && len(relays) > 0 {
		go func() { _ = s.Send(f) }()
	}
}

// ack queues an acknowledgement of tokens. If it is lost, the attempt's next
// acknowledgement replaces it. If the last one is lost, the next heartbeat ends
// the attempt.
func (c *agentConn) ack(a protocol.Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acks[a.Attempt] = a
	signal(c.ackReady)
}

// sendAcks sends pending acknowledgements, batched into frames, until the
// stream closes.
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

// keepStream opens a stream while attempts need one, and reopens it after a
// failure.
func (c *agentConn) keepStream(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.streamRequested:
			c.streamWhileNeeded(ctx)
		}
	}
}

// streamWhileNeeded keeps a stream open while there are relays. It fails them when
// no stream could be opened for longer than a lease.
func (c *agentConn) streamWhileNeeded(ctx context.Context) {
	lastConnected := time.Now()
	for ctx.Err() == nil && c.streamNeeded() {
		stream, _, err := c.entry.dialer.OpenStream(ctx, c.server.Agent)
		if err != nil {
			if time.Since(lastConnected) > c.entry.cfg.LeaseDuration {
				c.failRelays(err)
			}
			sleep.WithContext(ctx, streamRetryDelay)
			continue
		}
		stop := context.AfterFunc(ctx, stream.Close)
		c.useStream(stream)
		stop()
		lastConnected = time.Now()
		c.entry.count.streamReopens.Add(1)
	}
}

func (c *agentConn) streamNeeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.relays) > 0
}

// useStream receives frames from a stream until it fails.
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
			c.recordLoad(*frame.Load)
		}
	}
	writer.Wait()
	c.mu.Lock()
	c.stream = nil
	if len(c.relays) > 0 {
		signal(c.streamRequested)
	}
	c.mu.Unlock()
}

// deliver passes a chunk to the relay of its attempt. Chunks without a relay or
// without new tokens are counted and dropped. After a gap the missing tokens
// are requested again.
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

// relayIdleTimeout is the time without a token after which an attempt fails. An
// agent abandons an unresponsive engine before that.
const relayIdleTimeout = 10 * time.Second

// checkIdleRelays requests the tokens again for relays that have been idle for
// longer than a heartbeat interval, and fails those that exceed
// relayIdleTimeout.
func (c *agentConn) checkIdleRelays() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var idle []*relay
	for _, r := range c.relays {
		idleTime := r.idleTime(now)
		if idleTime > relayIdleTimeout {
			r.fail(apierror.Unknown(apierror.KindUnavailable, "no token came from "+c.server.Name, "continue on another backend server"))
		} else if idleTime > c.entry.cfg.HeartbeatInterval {
			idle = append(idle, r)
		}
	}
	c.sendAttach(idle...)
}

// failRelays fails all attempts at an agent that is unreachable.
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

// signal notifies the receiver of a channel that buffers one signal. It does
// nothing if a signal is pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
