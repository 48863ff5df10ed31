package router_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/memnet"
	"github.com/samphirestream/samphirestream/internal/router"
)

// region is several entries before the same servers.
type region struct {
	servers     *fakeServers
	entries     []*router.Router
	directories []*directory.Directory
	registries  []*registry
	network     *memnet.Network
	// alike is set if all streams of beginStreams ask the same, and unnamed if callers that take
	// them up do not name the call that began them.
	alike, unnamed bool
	// stop stops the load exchange of each entry.
	stop []context.CancelFunc
	// start starts an entry, or starts it again with nothing that it knew, before a directory.
	start func(i int, d *directory.Directory, first bool)
	// startKeeper starts the process beside a server.
	startKeeper func(addr string) context.CancelFunc
	stopKeeper  map[string]context.CancelFunc // by server
	// observe, if not nil, sees each request that arrives at a server, and returns what its
	// answer says of the server.
	observe func(entry int, server string) advisory.Notice
}

// entryAddr returns the address at which an entry shares its load.
func entryAddr(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }

// withRegion runs a test in virtual time with entries that know each other.
func withRegion(t *testing.T, entries int, test func(t *testing.T, g *region)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &region{servers: newFakeServers(), network: memnet.New(memnet.EntryLatency), stopKeeper: map[string]context.CancelFunc{}}
		ctx, cancel := context.WithCancel(context.Background())
		var background sync.WaitGroup
		g.entries, g.directories, g.stop = make([]*router.Router, entries), make([]*directory.Directory, entries), make([]context.CancelFunc, entries)
		g.registries = make([]*registry, entries)
		g.start = func(i int, d *directory.Directory, first bool) {
			x := loadexchange.New(g.network.Listen(entryAddr(i)), loadexchange.Options{Self: entryAddr(i), Seeds: []string{entryAddr(0)}}, nopLogger)
			o := testOptions
			g.registries[i] = newRegistry(d, first)
			o.Peers, o.FirstStart, o.Registry = x, first, g.registries[i]
			r := router.New(d, &entryServers{fakeServers: g.servers, region: g, entry: i}, o, nopLogger)
			x.SetHandler(r)
			own, stop := context.WithCancel(ctx)
			g.entries[i], g.directories[i], g.stop[i] = r, d, stop
			background.Go(func() { x.Run(own) })
			background.Go(func() { r.FollowServers(own.Done()) })
		}
		g.startKeeper = func(addr string) context.CancelFunc {
			k := loadexchange.NewKeeper(g.network.Listen(addr), nopLogger)
			own, stop := context.WithCancel(ctx)
			background.Go(func() { k.Run(own) })
			return stop
		}
		for i := range entries {
			g.start(i, newDirectory(), true)
		}
		for _, id := range slices.Concat(prefillServers, decodeServers) {
			g.stopKeeper[id] = g.startKeeper(agentOf(id))
		}
		defer func() {
			cancel()
			g.network.Close()
			background.Wait()
			time.Sleep(20 * time.Second) // requests and probes of the test end
		}()
		time.Sleep(5 * time.Second) // the entries find each other
		test(t, g)
	})
}

// killAll ends all entries at once, without a last message, and starts them again. change is
// applied to what the registry holds meanwhile.
func (g *region) killAll(change func(d *directory.Directory)) {
	g.network.SetDrop(func(string, string) bool { return true })
	for _, stop := range g.stop {
		stop()
	}
	time.Sleep(2 * time.Second)
	g.network.SetDrop(nil)
	for i, former := range g.directories {
		change(former)
		g.restart(i)
	}
	time.Sleep(100 * time.Millisecond)
}

// restart starts an entry again that has ended. It reads the registry anew.
func (g *region) restart(i int) {
	d := newConfiguredDirectory()
	for _, s := range g.directories[i].Current().Servers {
		d.Put(s)
	}
	g.start(i, d, false)
}

// balance has all entries order servers to other stages until stop is called.
func (g *region) balance() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var balanced sync.WaitGroup
	for _, r := range g.entries {
		balanced.Go(func() { r.Balance(ctx) })
	}
	return func() { cancel(); balanced.Wait() }
}

// orders returns the servers that were ordered to decode.
func (g *region) orders() (servers []string) {
	for _, call := range g.servers.recorded() {
		if f := strings.Fields(call); f[0] == "order" && f[2] == fmt.Sprint(directory.Decode) {
			servers = append(servers, f[1])
		}
	}
	return servers
}

// load sends requests to random entries at a steady rate, and returns their answers.
func (g *region) load(path string, perSecond float64, d time.Duration) []*recordedAnswer {
	var all sync.WaitGroup
	answers := make([]*recordedAnswer, int(perSecond*d.Seconds()))
	for i := range answers {
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		entry := g.entries[i*i%len(g.entries)] // uneven: some entries get more
		all.Go(func() { answers[i] = serve(context.Background(), entry, newCall(path)) })
	}
	all.Wait()
	return answers
}

// served returns the number of answers with status 200.
func served(answers []*recordedAnswer) int {
	return len(answers) - len(slices.DeleteFunc(slices.Clone(answers), func(a *recordedAnswer) bool { return a.status == 200 }))
}

// entryServers are the servers as one entry of a region reaches them.
type entryServers struct {
	*fakeServers
	region *region
	entry  int
}

// answered passes on what an answer says of its server.
func (s *entryServers) answered(at *directory.Server) func() {
	if s.region.observe == nil {
		return func() {}
	}
	n := s.region.observe(s.entry, at.ID)
	n.ToRequest, n.Sent = true, time.Now()
	return func() {
		n.Received = time.Now()
		s.region.entries[s.entry].Observe(at, n)
	}
}

func (s *entryServers) Call(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
	answered := s.answered(o.Server)
	reply, err := s.fakeServers.Call(ctx, o)
	if err == nil {
		answered()
	}
	return reply, err
}

func (s *entryServers) Prefill(ctx context.Context, o *router.OutgoingCall) (*router.Handle, *router.Reply, error) {
	answered := s.answered(o.Server)
	h, reply, err := s.fakeServers.Prefill(ctx, o)
	if err == nil {
		answered()
	}
	return h, reply, err
}
