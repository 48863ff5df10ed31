package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// deadline bounds polling in tests on sockets.
const deadline = 30 * time.Second

// process is a runner with its store and its VM as on the VM list, on loopback
// sockets.
type process struct {
	runner *gossip.Runner
	store  *release.Store
	vm     controlplane.VM
}

// newProcess listens for TCP and UDP on one port. run starts the protocol.
func newProcess(t *testing.T, name string, client *controlplane.Client) (p *process, run func()) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	udp, err := gossip.ListenUDP(addr)
	is.NoErr(err)
	p = &process{store: release.NewStore(), vm: controlplane.VM{Name: name, DataCentre: "dc-a", Role: "agent", Peers: addr.String(), Backend: "s-" + name, State: controlplane.VMLive}}
	self := protocol.NodeRef{Node: name, Incarnation: "1"}
	server := &transport.Server{Self: self, Security: &transport.Security{}, RPC: rpc.NewServer(), IdleTimeout: time.Second, Log: log.NewNopLogger()}
	is.NoErr(server.RPC.RegisterName(gossip.ServiceNotes, &gossip.NotesService{Self: name, Store: p.store}))
	dialer := &transport.Dialer{Self: self, Security: &transport.Security{}, IdleTimeout: time.Second}
	p.runner = gossip.NewRunner(ctx, gossip.Config{
		Self:       membership.Member{Name: name, Addr: p.vm.Peers, Backend: p.vm.Backend, Incarnation: 1, Version: 1},
		DataCentre: "dc-a", Key: []byte("key"), Store: p.store, Transport: udp, Log: log.NewNopLogger(),
		Rand: rand.New(rand.NewPCG(testSeed, 1)), Tuning: gossip.DefaultTuning(),
	}, client, dialer, nil)
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return p, func() {
		wg.Go(func() { _ = server.Serve(ctx, ln) })
		wg.Go(func() { udp.Serve(ctx, p.runner.Receive) })
		wg.Go(p.runner.Run)
	}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(deadline); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not hold before the deadline")
		}
	}
}

func TestNotesSpreadOverSocketsByDatagramAndBulkPull(t *testing.T) {
	is := is.New(t)
	config, list := standin.NewConfigService(), standin.NewVMList(0)
	configServer, listServer := httptest.NewServer(config.Handler()), httptest.NewServer(list.Handler())
	t.Cleanup(configServer.Close)
	t.Cleanup(listServer.Close)
	t.Cleanup(configServer.CloseClientConnections)
	client := controlplane.NewClient(configServer.URL, listServer.URL)
	var all []*process
	var vms []controlplane.VM
	var runs []func()
	for i := range 6 {
		p, run := newProcess(t, fmt.Sprintf("p%d", i), client)
		all, vms, runs = append(all, p), append(vms, p.vm), append(runs, run)
	}
	list.Set(vms...)
	chain := release.NewStore()
	for number := range uint64(3) {
		note := providerNote(number + 1)
		note.Schema, note.Number, note.Previous = release.Schema, number+1, chain.Latest().Digest
		if number == 1 {
			note.Summary = strings.Repeat("large ", 20_000) // does not fit a datagram
		}
		doc := standin.MustDocument(note)
		is.NoErr(chain.Apply(doc))
		config.Publish(doc.Raw)
		for _, run := range runs {
			run()
		}
		runs = nil
		eventually(t, func() bool {
			for _, p := range all {
				if p.store.Current().Number != number+1 {
					return false
				}
			}
			return true
		})
	}
	bulk := int64(0)
	for _, p := range all {
		bulk += p.runner.Counters().BulkPulls.Value()
		is.True(p.runner.UpToDate())
	}
	is.True(bulk > 0)
	all[0].runner.Leave()
	eventually(t, func() bool { return all[5].runner.View().Unavailable["s-p0"] == membership.Leaving })
}
