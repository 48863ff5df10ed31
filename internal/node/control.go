package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/agent"
	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/entry"
	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/ingress"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// control runs the gossip of release notes and membership for one process.
type control struct {
	runner *gossip.Runner
	udp    *gossip.UDP
	stop   context.CancelFunc
}

// maxPortTries is the maximum number of attempts to find a port that is free for
// both TCP and UDP, if the settings set port 0.
const maxPortTries = 8

// listenPeers listens on listen.peers: on TCP and, if the settings name a VM list,
// on UDP with the same port for gossip.
func (n *Node) listenPeers() (net.Listener, *gossip.UDP, error) {
	var last error
	for range maxPortTries {
		ln, err := ingress.Listen(n.settings.Listen.Peers)
		if err != nil {
			return nil, nil, errors.Annotatef(err, "listen.peers %s; choose a free address of this VM", n.settings.Listen.Peers)
		}
		if n.settings.Platform.VMList == "" {
			return ln, nil, nil
		}
		udp, err := gossip.ListenUDP(addrPortOf(ln))
		if err == nil {
			return ln, udp, nil
		}
		_ = ln.Close()
		last = err
	}
	return nil, nil, errors.Trace(last)
}

func addrPortOf(ln net.Listener) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(ln.Addr().String())
	return addr
}

// newControl assembles the gossip and registers its RPC service with the peers'
// server.
func (n *Node) newControl(udp *gossip.UDP, security *transport.Security) (*control, error) {
	s := n.settings
	now := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	cfg := gossip.Config{
		Self: membership.Member{
			Name: s.Node, Addr: n.peersLn.Addr().String(), Backend: s.Backend.Name, Incarnation: uint64(now.UnixMilli()), Version: 1,
		},
		DataCentre: s.DataCentre, Region: s.Region, Key: s.TicketKeyBytes(),
		Store: n.store, Transport: udp, Log: n.log, Tuning: gossip.DefaultTuning(),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	dialer := &transport.Dialer{Self: n.self, Security: security, IdleTimeout: s.Timeouts.Lease}
	client := controlplane.NewClient(s.Platform.ConfigService, s.Platform.VMList)
	c := &control{udp: udp, stop: stop, runner: gossip.NewRunner(ctx, cfg, client, dialer, n.slots)}
	publishCounters(s.Node, c.runner.Counters())
	err := n.peers.RPC.RegisterName(gossip.ServiceNotes, &gossip.NotesService{Self: s.Node, Store: n.store})
	return c, errors.Trace(err)
}

// slots returns the decode slots of the agent's backend server; 0 for an entry.
func (n *Node) slots() (free, total uint32) {
	if n.load == nil {
		return 0, 0
	}
	l := n.load()
	return uint32(max(l.SlotsTotal-l.SlotsUsed, 0)), uint32(max(l.SlotsTotal, 0))
}

// run sends and receives gossip until ctx ends.
func (c *control) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, c.stop)
	defer stop()
	go c.udp.Serve(ctx, c.runner.Receive)
	c.runner.Run()
}

// close closes the socket and cancels the context of a control that never ran.
func (c *control) close() {
	c.stop()
	_ = c.udp.Close()
}

func publishCounters(node string, c *gossip.Counters) {
	set := metrics.NewSet(node + "/control")
	set.Gauge("datagrams_sent", func() any { return c.Sent.Value() })
	set.Gauge("datagrams_received", func() any { return c.Received.Value() })
	set.Gauge("datagrams_rejected", func() any { return c.Rejected.Value() })
	set.Gauge("bytes_sent", func() any { return c.SentBytes.Value() })
	set.Gauge("bytes_received", func() any { return c.ReceivedBytes.Value() })
	set.Gauge("config_service_calls", func() any { return c.ServiceCalls.Value() })
	set.Gauge("vm_list_calls", func() any { return c.ListCalls.Value() })
	set.Gauge("note_pulls", func() any { return c.Pulls.Value() })
	set.Gauge("note_bulk_pulls", func() any { return c.BulkPulls.Value() })
	set.Gauge("note_forks", func() any { return c.Forks.Value() })
	set.Gauge("pauses", func() any { return c.Pauses.Value() })
}

// entryState is the state dump of an entry.
type entryState struct {
	entry.Snapshot
	Control *gossip.Dump `json:"control,omitempty"`
}

// agentState is the state dump of an agent.
type agentState struct {
	agent.Snapshot
	Control *gossip.Dump `json:"control,omitempty"`
}

// controlDump returns the state of the gossip, nil without a VM list.
func (n *Node) controlDump() *gossip.Dump {
	if n.control == nil {
		return nil
	}
	d := n.control.runner.Dump()
	return &d
}

// runControl keeps the release notes up to date: by gossip if the settings name a
// VM list, else by reading the configuration service directly.
func (n *Node) runControl(ctx context.Context) {
	if n.control != nil {
		n.control.run(ctx)
		return
	}
	s := n.settings.Platform
	w := &controlplane.Watcher{Client: controlplane.NewClient(s.ConfigService, s.VMList), Store: n.store, Log: n.log}
	w.Run(ctx)
}
