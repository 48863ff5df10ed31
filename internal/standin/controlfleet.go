package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/surroundings"
)

// ControlOptions size a ControlFleet.
type ControlOptions struct {
	Processes, DataCentres, Regions int
	// EntryEvery is the number of processes for each entry among them.
	EntryEvery int
	Loss       float64
	Seed       uint64
	Tuning     gossip.Tuning
	// Note returns the content of a note, by number.
	Note func(number uint64) release.Note
}

// Delays of the network between processes, one way.
const (
	delayWithin  = time.Millisecond
	delayBetween = 30 * time.Millisecond
	delayService = 2 * time.Millisecond
)

// ControlFleet is the control side of a fleet in virtual time: the real gossip
// nodes and stores, on a network in memory, before a configuration service and
// a VM list in memory.
type ControlFleet struct {
	Events  *Events
	Network *Network
	Nodes   []*ControlNode
	VMs     []surroundings.VM
	// Published are the notes at the configuration service.
	Published []release.Document
	// Visible is the number of notes that the service shows.
	Visible int
	// Down makes the service refuse calls; ListDown makes the VM list do so.
	Down, ListDown bool
	// Unreachable tells which processes can not call the service.
	Unreachable func(*ControlNode) bool
	// Calls counts the calls on the service by second since the start; a
	// waiting watch counts as one when it starts.
	Calls []int

	options ControlOptions
	start   time.Time
	watches []*watch
}

// ControlNode is one process of a ControlFleet.
type ControlNode struct {
	Node     *gossip.Node
	VM       surroundings.VM
	Endpoint *Endpoint
	// Paused processes neither tick nor receive.
	Paused bool
	// InForce is the time at which each note came into force, by number.
	InForce map[uint64]time.Time
	// PlatformBytes counts what was read from the platform.
	PlatformBytes int64

	fleet *ControlFleet
	gone  bool
}

type watch struct {
	node  *ControlNode
	after uint64
	done  func(uint64, error)
}

// epoch is the start of virtual time.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// NewControlFleet returns a fleet without running processes, whose VMs are
// listed.
func NewControlFleet(o ControlOptions) *ControlFleet {
	f := &ControlFleet{Events: NewEvents(epoch), options: o, start: epoch}
	f.Network = &Network{
		After: f.Events.After, Rand: rand.New(rand.NewPCG(o.Seed, 1)), Loss: o.Loss, Delay: f.delay,
	}
	for i := range o.Processes {
		f.VMs = append(f.VMs, f.vm(i))
	}
	return f
}

func (f *ControlFleet) vm(i int) surroundings.VM {
	dc := i % f.options.DataCentres
	vm := surroundings.VM{
		Name: fmt.Sprintf("agent-%d", i), DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc%max(f.options.Regions, 1)),
		Role: "agent", Peers: fmt.Sprintf("10.%d.%d.%d:7000", dc, i>>8, i&0xff), Backend: fmt.Sprintf("server-%d", i), State: surroundings.VMLive,
	}
	if every := f.options.EntryEvery; every > 0 && (i/f.options.DataCentres)%every == 0 {
		vm.Name, vm.Role, vm.Backend = fmt.Sprintf("entry-%d", i), "entry", ""
	}
	return vm
}

func (f *ControlFleet) delay(from, to string) time.Duration {
	base := delayWithin
	if dataCentreOf(from) != dataCentreOf(to) {
		base = delayBetween
	}
	return base/2 + time.Duration(f.Network.Rand.Int64N(int64(base)))
}

// dataCentreOf returns the part of an address that names the data centre.
func dataCentreOf(addr string) string {
	dots := 0
	for i, c := range addr {
		if c == '.' {
			dots++
		}
		if dots == 2 {
			return addr[:i]
		}
	}
	return addr
}

// StartAll starts a process on each VM.
func (f *ControlFleet) StartAll() {
	for _, vm := range f.VMs {
		f.Start(vm)
	}
}

// Start starts a process that knows nothing on a VM, in place of a former one.
func (f *ControlFleet) Start(vm surroundings.VM) *ControlNode {
	c := &ControlNode{VM: vm, fleet: f, Endpoint: f.Network.Endpoint(vm.Peers), InForce: map[uint64]time.Time{}}
	for i, old := range f.Nodes {
		if old.VM.Name == vm.Name {
			old.Stop()
			f.Nodes = append(f.Nodes[:i], f.Nodes[i+1:]...)
			break
		}
	}
	rnd := rand.New(rand.NewPCG(f.options.Seed, uint64(f.Events.count)<<16+uint64(len(f.Nodes))+2))
	now := f.Events.Now()
	c.Node = gossip.New(gossip.Config{
		Self:       membership.Member{Name: vm.Name, Addr: vm.Peers, Backend: vm.Backend, Life: uint64(now.UnixMilli()) + 1, Version: 1},
		DataCentre: vm.DataCentre, Region: vm.Region, Key: []byte("control fleet"),
		Store: release.NewStore(), Transport: c.Endpoint, Bulk: c, Platform: c,
		Rand: rnd, Log: log.NewNopLogger(), Now: now, Tuning: f.options.Tuning,
	})
	f.Nodes = append(f.Nodes, c)
	f.Network.Attach(vm.Peers, Host{Receive: c.receive, Notes: &gossip.NotesQueries{Self: vm.Name, Store: c.Node.Store()}})
	f.Events.After(time.Duration(rnd.Int64N(int64(gossip.TickInterval))), c.tick)
	return c
}

// decodeSlots is the number of slots of a decode engine, all of which change
// all the time.
const decodeSlots = 20

// Stop ends the process without a word to its peers.
func (c *ControlNode) Stop() {
	c.gone = true
	c.fleet.Network.Detach(c.VM.Peers)
}

func (c *ControlNode) tick() {
	if c.gone {
		return
	}
	if !c.Paused {
		now := c.fleet.Events.Now()
		c.Node.Tick(now)
		if c.VM.Backend != "" {
			c.Node.SetLoad(now, uint32(c.fleet.Network.Rand.IntN(decodeSlots)), decodeSlots)
		}
		c.observe()
	}
	c.fleet.Events.After(gossip.TickInterval, c.tick)
}

func (c *ControlNode) receive(from string, payload []byte) {
	if c.Paused {
		return
	}
	c.Node.Receive(c.fleet.Events.Now(), from, payload)
	c.observe()
}

// observe records when notes come into force.
func (c *ControlNode) observe() {
	number := c.Node.Store().Current().Number
	if _, known := c.InForce[number]; !known && number > 0 {
		c.InForce[number] = c.fleet.Events.Now()
	}
}

// Publish publishes the next note and shows it.
func (f *ControlFleet) Publish() release.Document {
	number := uint64(len(f.Published)) + 1
	note := f.options.Note(number)
	note.Schema, note.Number = release.Schema, number
	if number > 1 {
		note.Previous = f.Published[number-2].Digest
	}
	doc := MustDocument(note)
	f.Published = append(f.Published, doc)
	f.Show(len(f.Published))
	return doc
}

// MustDocument encodes a note as operators would publish it.
func MustDocument(note release.Note) release.Document {
	raw, err := yaml.Marshal(note)
	if err != nil {
		panic(err)
	}
	doc, err := release.Parse(raw)
	if err != nil {
		panic(err)
	}
	return doc
}

// Show makes the service show the first n notes, and answers watches.
func (f *ControlFleet) Show(n int) {
	f.Visible = n
	for _, w := range slices.Clone(f.watches) {
		if uint64(n) > w.after && !f.blocked(w.node) {
			f.answer(w)
		}
	}
}

// answer ends a watch.
func (f *ControlFleet) answer(w *watch) {
	f.forget(w)
	f.Events.After(delayService, func() { w.finish(uint64(f.Visible), nil) })
}

func (f *ControlFleet) forget(w *watch) bool {
	i := slices.Index(f.watches, w)
	if i >= 0 {
		f.watches = slices.Delete(f.watches, i, i+1)
	}
	return i >= 0
}

func (w *watch) finish(number uint64, err error) {
	w.node.do(func() { w.done(number, err) })
}

func (f *ControlFleet) blocked(c *ControlNode) bool {
	return f.Down || c.gone || f.Unreachable != nil && f.Unreachable(c)
}

// errDown is the answer of a platform service that is down.
const errDown = errors.ConstError("the service is down")

func (f *ControlFleet) countCall() {
	second := int(f.Events.Now().Sub(f.start) / time.Second)
	for len(f.Calls) <= second {
		f.Calls = append(f.Calls, 0)
	}
	f.Calls[second]++
}

// headBytes is the size of a call for the head with its answer.
const headBytes = 400

// Head implements gossip.Platform.
func (c *ControlNode) Head(after uint64, wait time.Duration, done func(uint64, error)) {
	f := c.fleet
	f.countCall()
	c.PlatformBytes += headBytes
	w := &watch{node: c, after: after, done: done}
	switch {
	case f.blocked(c):
		f.Events.After(delayService, func() { w.finish(0, errDown) })
	case wait == 0 || uint64(f.Visible) > after:
		f.answer(w)
	default:
		f.watches = append(f.watches, w)
		f.Events.After(wait, func() { f.expire(w) })
	}
}

func (f *ControlFleet) expire(w *watch) {
	if f.forget(w) {
		w.finish(uint64(f.Visible), nil)
	}
}

// Note implements gossip.Platform.
func (c *ControlNode) Note(number uint64, done func([]byte, error)) {
	f := c.fleet
	f.countCall()
	c.PlatformBytes += headBytes
	f.Events.After(2*delayService, func() {
		if f.blocked(c) || number > uint64(f.Visible) {
			c.do(func() { done(nil, errDown) })
			return
		}
		raw := f.Published[number-1].Raw
		c.PlatformBytes += int64(len(raw))
		c.do(func() { done(raw, nil) })
	})
}

// Pull implements gossip.Bulk.
func (c *ControlNode) Pull(addr string, after uint64, done func(gossip.SinceReply, error)) {
	c.Endpoint.Pull(addr, after, func(r gossip.SinceReply, err error) {
		c.do(func() { done(r, err) })
	})
}

// do runs an answer as the node's own event. A paused process gets its answers
// when it wakes.
func (c *ControlNode) do(f func()) {
	switch {
	case c.gone:
	case c.Paused:
		c.fleet.Events.After(gossip.TickInterval, func() { c.do(f) })
	default:
		c.Node.Do(c.fleet.Events.Now(), f)
		c.observe()
	}
}

// vmBytes is the size of one VM in the encoded list.
const vmBytes = 150

// VMs implements gossip.Platform.
func (c *ControlNode) VMs(done func([]surroundings.VM, error)) {
	f := c.fleet
	f.Events.After(delayService, func() {
		if f.ListDown {
			c.do(func() { done(nil, errDown) })
			return
		}
		c.PlatformBytes += int64(vmBytes * len(f.VMs))
		c.do(func() { done(f.VMs, nil) })
	})
}

// Run runs the fleet for a time.
func (f *ControlFleet) Run(d time.Duration) { f.Events.RunUntil(f.Events.Now().Add(d), nil) }

// RunUntil runs the fleet until a condition holds, at most for a time, and
// reports whether it held. It looks at the condition once in each step.
func (f *ControlFleet) RunUntil(limit time.Duration, condition func() bool) bool {
	const step = 10 * time.Millisecond
	for end := f.Events.Now().Add(limit); f.Events.Now().Before(end); {
		if condition() {
			return true
		}
		f.Run(step)
	}
	return condition()
}

// InForce reports whether a note, or a later one, is in force at all running
// processes.
func (f *ControlFleet) InForce(number uint64) bool {
	for _, c := range f.Nodes {
		if !c.gone && !c.Paused && c.Node.Store().Current().Number < number {
			return false
		}
	}
	return true
}

// PeakCalls returns the largest number of calls on the service in one second.
func (f *ControlFleet) PeakCalls() int {
	peak := 0
	for _, n := range f.Calls {
		peak = max(peak, n)
	}
	return peak
}
