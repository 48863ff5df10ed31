package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/agent"
	"github.com/samphirestream/samphirestream/internal/entry"
	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/surroundings"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// control spreads release notes and membership for one process.
type control struct {
	runner *gossip.Runner
	udp    *gossip.UDP
	stop   context.CancelFunc
}

// maxPortTries bounds the search for a port that is free for TCP and UDP, when
// the settings leave the port open.
const maxPortTries = 8

// listenPeers listens on the peers' address by TCP and, when a VM list is set,
// by UDP.
func (n *Node) listenPeers() (net.Listener, *gossip.UDP, error) {
	var last error
	for range maxPortTries {
		ln, err := net.Listen("tcp", n.settings.Listen.Peers)
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

// newControl assembles the control of the process.
func (n *Node) newControl(udp *gossip.UDP, security *transport.Security) (*control, error) {
	s := n.settings
	now := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	cfg := gossip.Config{
		Self: membership.Member{
			Name: s.Node, Addr: n.peersLn.Addr().String(), Backend: s.Backend.Name, Life: uint64(now.UnixMilli()), Version: 1,
		},
		DataCentre: s.DataCentre, Region: s.Region, Key: s.TicketKeyBytes(),
		Store: n.store, Transport: udp, Log: n.log, Tuning: gossip.DefaultTuning(),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	dialer := &transport.Dialer{Self: n.self, Security: security, Silence: s.Timeouts.Lease}
	client := surroundings.NewClient(s.Platform.ConfigService, s.Platform.VMList)
	c := &control{udp: udp, stop: stop, runner: gossip.NewRunner(ctx, cfg, client, dialer, n.slots)}
	publishCounters(s.Node, c.runner.Counters())
	err := n.peers.RPC.RegisterName(gossip.ServiceNotes, &gossip.NotesQueries{Self: s.Node, Store: n.store})
	return c, errors.Trace(err)
}

// slots returns the decode slots of the backend server.
func (n *Node) slots() (free, total uint32) {
	if n.load == nil {
		return 0, 0
	}
	l := n.load()
	return uint32(max(l.SlotsTotal-l.SlotsUsed, 0)), uint32(max(l.SlotsTotal, 0))
}

// run runs the control until ctx ends.
func (c *control) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, c.stop)
	defer stop()
	go c.udp.Serve(ctx, c.runner.Receive)
	c.runner.Run()
}

// close releases what an unused control holds.
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
	set.Gauge("pauses", func() any { return c.Wakes.Value() })
}

// entryState is the dump of an entry.
type entryState struct {
	entry.Snapshot
	Control *gossip.Dump `json:"control,omitempty"`
}

// agentState is the dump of an agent.
type agentState struct {
	agent.Snapshot
	Control *gossip.Dump `json:"control,omitempty"`
}

// controlDump returns the state of the control, if it runs.
func (n *Node) controlDump() *gossip.Dump {
	if n.control == nil {
		return nil
	}
	d := n.control.runner.Dump()
	return &d
}

// runControl follows the release notes: with a VM list by gossip, without one by
// reading the configuration service directly.
func (n *Node) runControl(ctx context.Context) {
	if n.control != nil {
		n.control.run(ctx)
		return
	}
	s := n.settings.Platform
	w := &surroundings.Watcher{Client: surroundings.NewClient(s.ConfigService, s.VMList), Store: n.store, Log: n.log}
	w.Run(ctx)
}
