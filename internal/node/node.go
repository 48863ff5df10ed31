// Package node assembles one process of the agent deployment, an entry or an
// agent by the role in its settings.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"github.com/oklog/ulid/v2"

	"github.com/samphirestream/samphirestream/internal/admin"
	"github.com/samphirestream/samphirestream/internal/agent"
	"github.com/samphirestream/samphirestream/internal/entry"
	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/ingress"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/orders"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// role is implemented by entry.Entry and agent.Agent.
type role interface {
	Run(ctx context.Context)
	WaitIdle(ctx context.Context) error
}

// Node is one process of the agent deployment.
type Node struct {
	settings  *settings.Settings
	self      protocol.NodeRef
	store     *release.Store
	lifecycle *lifecycle.Machine
	log       log.Logger
	role      role
	// drain refuses new work: lifecycle.Drain for an entry, Agent.Drain for an agent.
	drain func() error
	// usable counts the usable backend servers of an entry; nil for an agent.
	usable func() int

	wrapCallers func(http.Handler) http.Handler
	guard       *ingress.Guard

	// listeners are peersLn, that of callers for an entry, and that of the admin
	// interface, in this order.
	listeners []net.Listener
	callers   *ingress.Server
	admin     *ingress.Server
	peers     *transport.Server
	peersLn   net.Listener

	// control is nil when the settings name no VM list.
	control *control
	// load returns the load of an agent's backend server; nil for an entry.
	load func() protocol.Load
}

// Option configures a node.
type Option func(*Node)

// WrapCallers wraps the HTTP handler that an entry serves to callers.
func WrapCallers(wrap func(http.Handler) http.Handler) Option {
	return func(n *Node) { n.wrapCallers = wrap }
}

// New assembles a node and listens on the addresses in its settings. Run serves
// them.
func New(s *settings.Settings, logger log.Logger, options ...Option) (*Node, error) {
	security, err := transport.NewSecurity(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if s.InsecurePlaintext {
		_ = level.Warn(logger).Log("msg", "connections between processes are neither encrypted nor authenticated; set tls to change that")
	}
	n := &Node{
		settings: s,
		self:     protocol.NodeRef{Node: s.Node, Incarnation: ulid.Make().String()},
		store:    release.NewStore(),
		log:      logger,

		wrapCallers: func(h http.Handler) http.Handler { return h },
	}
	for _, o := range options {
		o(n)
	}
	n.lifecycle = lifecycle.New(func(from, to string) {
		_ = level.Info(logger).Log("msg", "lifecycle", "from", from, "to", to)
	})
	n.drain = n.lifecycle.Drain
	n.guard = ingress.New(ingress.Limits{Memory: s.Limits.MemoryBytes, Descriptors: s.Limits.Descriptors}, s.Node+"/ingress", logger)
	n.peers = &transport.Server{Self: n.self, Security: security, RPC: rpc.NewServer(), IdleTimeout: s.Timeouts.Lease, Log: logger}
	var udp *gossip.UDP
	if n.peersLn, udp, err = n.listenPeers(); err != nil {
		return nil, errors.Trace(err)
	}
	n.peersLn = n.guard.Listener(ingress.Options{Name: "peers", Main: s.Role == settings.RoleAgent}, n.peersLn)
	n.listeners = append(n.listeners, n.peersLn)
	if udp != nil {
		if n.control, err = n.newControl(udp, security); err != nil {
			n.closeListeners()
			return nil, errors.Trace(err)
		}
	}
	if err := n.assemble(security); err != nil {
		n.closeListeners()
		return nil, errors.Trace(err)
	}
	return n, nil
}

func (n *Node) listenOn(key, addr string) (net.Listener, error) {
	ln, err := ingress.Listen(addr)
	if err != nil {
		return nil, errors.Annotatef(err, "%s %s; choose a free address of this VM", key, addr)
	}
	n.listeners = append(n.listeners, ln)
	return ln, nil
}

func (n *Node) closeListeners() {
	if n.control != nil {
		n.control.close()
	}
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
}

// Timeouts for callers that send slowly or keep idle connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// newCallersServer returns the HTTP server for callers. Its timeouts bound slow
// senders; the handler bounds slow readers.
func newCallersServer(guard *ingress.Guard, h http.Handler, headerBytes int) *ingress.Server {
	return guard.NewServer(ingress.Options{
		Name: "callers", Main: true, Limits: limits(headerBytes),
	}, h)
}

// limits returns what clients may send.
func limits(headerBytes int) func() ingress.RequestLimits {
	return ingress.Fixed(ingress.RequestLimits{HeaderBytes: headerBytes, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout})
}

// assemble creates the entry or agent and the HTTP servers.
func (n *Node) assemble(security *transport.Security) error {
	s := n.settings
	var snapshot func() any
	switch s.Role {
	case settings.RoleEntry:
		dialer := &transport.Dialer{Self: n.self, Security: security, IdleTimeout: s.Timeouts.Lease}
		e := entry.New(n.entryConfig(), n.store, n.lifecycle, dialer, n.log)
		n.role, n.usable = e, e.UsableServers
		snapshot = func() any { return entryState{e.Snapshot(), n.controlDump()} }
		n.callers = newCallersServer(n.guard, n.wrapCallers(e.Handler()), s.Limits.HeaderBytes)
		if _, err := n.listenOn("listen.callers", s.Listen.Callers); err != nil {
			return err
		}
	case settings.RoleAgent:
		a := agent.New(n.agentConfig(), n.store, n.lifecycle, n.log)
		n.role, n.drain = a, a.Drain
		snapshot = func() any { return agentState{a.Snapshot(), n.controlDump()} }
		n.load = func() protocol.Load { return a.Snapshot().Load }
		n.peers.Stream = a.ServeStream
		if err := a.Register(n.peers.RPC); err != nil {
			return errors.Trace(err)
		}
	}
	n.admin = n.guard.NewServer(ingress.Options{Name: "admin", Limits: limits(s.Limits.HeaderBytes)}, admin.Handler(n.lifecycle, snapshot))
	_, err := n.listenOn("listen.admin", s.Listen.Admin)
	return err
}

func (n *Node) entryConfig() entry.Config {
	s := n.settings
	cfg := entry.Config{
		Self: n.self, DataCentre: s.DataCentre, Region: s.Region,
		HeartbeatInterval: s.Timeouts.Heartbeat, LeaseDuration: s.Timeouts.Lease, RequestTimeout: s.Timeouts.Request,
		MaxBodyBytes: s.Limits.BodyBytes, MaxQueued: s.Limits.Queue, TicketKey: s.TicketKeyBytes(),
	}
	if n.control != nil {
		cfg.Membership, cfg.OnNoteReported, cfg.StateFresh = n.control.runner.View, n.control.runner.NoteReported, n.control.runner.UpToDate
	}
	return cfg
}

func (n *Node) agentConfig() agent.Config {
	s := n.settings
	cfg := agent.Config{
		Self: n.self, Backend: s.Backend.Name, IsEngine: s.Backend.Kind == settings.KindEngine, BackendURL: s.Backend.URL,
		LeaseDuration: s.Timeouts.Lease, TicketKey: s.TicketKeyBytes(),
		Orders: n.ordersConfig(), WriterLock: s.Backend.WriterLock,
	}
	if n.control != nil {
		cfg.OnNoteReported, cfg.StateFresh = n.control.runner.NoteReported, n.control.runner.UpToDate
		cfg.Leaving = n.listedLeaving
	}
	return cfg
}

// listedLeaving reports whether the VM list marks this VM as leaving.
func (n *Node) listedLeaving() bool {
	return n.control.runner.View().Unavailable[n.settings.Backend.Name] == membership.Leaving
}

func (n *Node) ordersConfig() orders.Config {
	s := n.settings
	return orders.Config{
		DataCentre: s.DataCentre, WeightStore: s.Platform.WeightStore, WeightRate: s.Platform.WeightStoreRate,
		UnloadGrace: s.Timeouts.Request, Seed: rand.Uint64(),
	}
}

// CallersAddr returns the address on which an entry serves callers, "" for an
// agent.
func (n *Node) CallersAddr() string {
	if n.callers == nil {
		return ""
	}
	return n.listeners[1].Addr().String()
}

// UsableServers returns the number of backend servers that accept new work from
// this entry; 0 for an agent.
func (n *Node) UsableServers() int {
	if n.usable == nil {
		return 0
	}
	return n.usable()
}

// Note returns the number of the release note in force.
func (n *Node) Note() uint64 { return n.store.Current().Number }

// AdminAddr returns the address of the admin interface.
func (n *Node) AdminAddr() string { return n.listeners[len(n.listeners)-1].Addr().String() }

// Ready reports whether the node accepts work.
func (n *Node) Ready() bool { return n.lifecycle.Accepting() }

// Run serves until ctx ends, then shuts down gracefully: it accepts no new work
// and finishes the work in progress.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { n.runControl(work) })
	wg.Go(func() { n.role.Run(work) })
	wg.Go(func() {
		if err := n.peers.Serve(work, n.peersLn); err != nil {
			_ = level.Error(n.log).Log("msg", "serving peers failed", "err", err)
		}
	})
	n.serveHTTP(&wg)
	<-ctx.Done()
	err := n.shutdown()
	stop()
	_ = n.admin.Close()
	wg.Wait()
	_ = n.lifecycle.Stop()
	return err
}

// serveHTTP serves the callers' and the admin address.
func (n *Node) serveHTTP(wg *sync.WaitGroup) {
	rest := n.listeners[1:]
	if n.callers != nil {
		ln := rest[0]
		rest = rest[1:]
		wg.Go(func() { _ = n.callers.Serve(ln) })
	}
	ln := rest[0]
	wg.Go(func() { _ = n.admin.Serve(ln) })
}

// shutdown drains the node within Timeouts.Drain. It first announces that it is
// draining by /readyz, gossip and heartbeats, and keeps listening for
// Timeouts.Notice, since load balancers and entries react with a delay. Then it
// finishes the work in progress, to the last response.
func (n *Node) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Timeouts.Drain)
	defer cancel()
	if n.control != nil {
		n.control.runner.Leave()
	}
	if err := n.drain(); err != nil {
		_ = level.Warn(n.log).Log("msg", "draining", "err", err)
	}
	notice := time.NewTimer(n.settings.Timeouts.Notice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	return errors.Annotate(n.finish(ctx), "requests were cut at the end of timeouts.drain; raise it")
}

// finish closes the callers' address and waits for all work in progress.
func (n *Node) finish(ctx context.Context) error {
	if n.callers != nil {
		if err := n.callers.Shutdown(ctx); err != nil {
			return errors.Annotate(err, "closing the callers' address")
		}
	}
	if err := n.role.WaitIdle(ctx); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(n.peers.WaitIdle(ctx))
}
