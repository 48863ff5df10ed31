package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/gossip"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
)

// ControlOptions configures a ControlFleet.
type ControlOptions struct {
	Processes, DataCentres, Regions int
	// EntryEvery makes each EntryEvery-th process of a data centre an entry. The
	// others are agents; with 0 all are agents.
	EntryEvery int
	// Loss is the probability that a datagram is lost.
	Loss   float64
	Seed   uint64
	Tuning gossip.Tuning
	// Note returns the content of the note with a number.
	Note func(number uint64) release.Note
}

// Network delays. Those between processes are mean one-way delays.
const (
	localDelay   = time.Millisecond      // within a data centre
	remoteDelay  = 30 * time.Millisecond // between data centres
	serviceDelay = 2 * time.Millisecond  // until the platform answers
)

// ControlFleet simulates the control plane of a fleet in virtual time. It runs
// the real gossip nodes and stores of release notes on an in-memory network, with
// an in-memory configuration service and VM list.
type ControlFleet struct {
	Clock   *VirtualClock
	Network *Network
	Nodes   []*ControlNode
	VMs     []controlplane.VM
	// Published are all notes of the configuration service, note 1 first.
	Published []release.Document
	// Visible is the number of notes that the service shows to its readers.
	Visible int
	// ConfigServiceDown makes calls to the configuration service fail; VMListDown
	// makes calls to the VM list fail.
	ConfigServiceDown, VMListDown bool
	// Unreachable, if set, reports whether a process can't reach the
	// configuration service.
	Unreachable func(*ControlNode) bool
	// Calls counts the calls to the configuration service in each second since
	// the start. A long poll counts once, when it starts.
	Calls []int

	options ControlOptions
	start   time.Time
	watches []*watch
}

// ControlNode is one process of a ControlFleet.
type ControlNode struct {
	Node     *gossip.Node
	VM       controlplane.VM
	Endpoint *Endpoint
	// Paused processes neither tick nor receive.
	Paused bool
	// InForce is the time at which each note came into force, by number.
	InForce map[uint64]time.Time
	// PlatformBytes counts the bytes of calls to the platform and their answers.
	PlatformBytes int64

	fleet   *ControlFleet
	stopped bool
}

// watch is a long poll for a note with a number above after.
type watch struct {
	node  *ControlNode
	after uint64
	done  func(uint64, error)
}

// epoch is the start of virtual time.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// NewControlFleet returns a fleet whose VMs are listed but run no processes yet.
func NewControlFleet(o ControlOptions) *ControlFleet {
	f := &ControlFleet{Clock: NewVirtualClock(epoch), options: o, start: epoch}
	f.Network = &Network{
		After: f.Clock.After, Rand: rand.New(rand.NewPCG(o.Seed, 1)), Loss: o.Loss, Delay: f.delay,
	}
	for i := range o.Processes {
		f.VMs = append(f.VMs, f.vm(i))
	}
	return f
}

// vm returns the VM of the process with an index.
func (f *ControlFleet) vm(i int) controlplane.VM {
	dc := i % f.options.DataCentres
	vm := controlplane.VM{
		Name: fmt.Sprintf("agent-%d", i), DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc%max(f.options.Regions, 1)),
		Role: "agent", Peers: fmt.Sprintf("10.%d.%d.%d:7000", dc, i>>8, i&0xff), Backend: fmt.Sprintf("server-%d", i), State: controlplane.VMLive,
	}
	if every := f.options.EntryEvery; every > 0 && (i/f.options.DataCentres)%every == 0 {
		vm.Name, vm.Role, vm.Backend = fmt.Sprintf("entry-%d", i), "entry", ""
	}
	return vm
}

func (f *ControlFleet) delay(from, to string) time.Duration {
	base := localDelay
	if dataCentreOf(from) != dataCentreOf(to) {
		base = remoteDelay
	}
	return base/2 + time.Duration(f.Network.Rand.Int64N(int64(base)))
}

// dataCentreOf returns the first two octets of an address, which identify the
// data centre.
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

// Start starts a process with an empty store on a VM. It stops the former process
// of the VM, if there is one.
func (f *ControlFleet) Start(vm controlplane.VM) *ControlNode {
	c := &ControlNode{VM: vm, fleet: f, Endpoint: f.Network.Endpoint(vm.Peers), InForce: map[uint64]time.Time{}}
	for i, old := range f.Nodes {
		if old.VM.Name == vm.Name {
			old.Stop()
			f.Nodes = append(f.Nodes[:i], f.Nodes[i+1:]...)
			break
		}
	}
	rnd := rand.New(rand.NewPCG(f.options.Seed, uint64(f.Clock.count)<<16+uint64(len(f.Nodes))+2))
	now := f.Clock.Now()
	c.Node = gossip.New(gossip.Config{
		Self:       membership.Member{Name: vm.Name, Addr: vm.Peers, Backend: vm.Backend, Incarnation: uint64(now.UnixMilli()) + 1, Version: 1},
		DataCentre: vm.DataCentre, Region: vm.Region, Key: []byte("control fleet"),
		Store: release.NewStore(), Transport: c.Endpoint, BulkPuller: c, Service: c,
		Rand: rnd, Log: log.NewNopLogger(), Now: now, Tuning: f.options.Tuning,
	})
	f.Nodes = append(f.Nodes, c)
	f.Network.Attach(vm.Peers, Host{Receive: c.receiveDatagram, Notes: &gossip.NotesService{Self: vm.Name, Store: c.Node.Store()}})
	f.Clock.After(time.Duration(rnd.Int64N(int64(gossip.TickInterval))), c.tick)
	return c
}

// decodeSlots is the number of slots of a decode engine. Each tick sets a random
// number of them as used, so that the load that gossip spreads changes all the time.
const decodeSlots = 20

// Stop ends the process without notice to its peers, like a crash.
func (c *ControlNode) Stop() {
	c.stopped = true
	c.fleet.Network.Detach(c.VM.Peers)
}

func (c *ControlNode) tick() {
	if c.stopped {
		return
	}
	if !c.Paused {
		now := c.fleet.Clock.Now()
		c.Node.Tick(now)
		if c.VM.Backend != "" {
			c.Node.ReportSlots(now, uint32(c.fleet.Network.Rand.IntN(decodeSlots)), decodeSlots)
		}
		c.recordInForce()
	}
	c.fleet.Clock.After(gossip.TickInterval, c.tick)
}

func (c *ControlNode) receiveDatagram(from string, payload []byte) {
	if c.Paused {
		return
	}
	c.Node.Receive(c.fleet.Clock.Now(), from, payload)
	c.recordInForce()
}

// recordInForce records the time at which the current note came into force.
func (c *ControlNode) recordInForce() {
	number := c.Node.Store().Current().Number
	if _, known := c.InForce[number]; !known && number > 0 {
		c.InForce[number] = c.fleet.Clock.Now()
	}
}

// Publish adds the next note to the configuration service and makes it visible.
func (f *ControlFleet) Publish() release.Document {
	number := uint64(len(f.Published)) + 1
	note := f.options.Note(number)
	note.Schema, note.Number = release.Schema, number
	if number > 1 {
		note.Previous = f.Published[number-2].Digest
	}
	doc := MustDocument(note)
	f.Published = append(f.Published, doc)
	f.SetVisible(len(f.Published))
	return doc
}

// MustDocument encodes a note as operators would publish it. It panics if the note
// is invalid.
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

// SetVisible makes the first n notes visible and answers the watches that wait for
// one of them.
func (f *ControlFleet) SetVisible(n int) {
	f.Visible = n
	for _, w := range slices.Clone(f.watches) {
		if uint64(n) > w.after && !f.callsFail(w.node) {
			f.answerWatch(w)
		}
	}
}

// answerWatch ends a watch with the number of the latest visible note.
func (f *ControlFleet) answerWatch(w *watch) {
	f.removeWatch(w)
	f.Clock.After(serviceDelay, func() { w.finish(uint64(f.Visible), nil) })
}

// removeWatch removes a watch and reports whether it was still pending.
func (f *ControlFleet) removeWatch(w *watch) bool {
	i := slices.Index(f.watches, w)
	if i >= 0 {
		f.watches = slices.Delete(f.watches, i, i+1)
	}
	return i >= 0
}

func (w *watch) finish(number uint64, err error) {
	w.node.do(func() { w.done(number, err) })
}

// callsFail reports whether calls of a process to the configuration service fail.
func (f *ControlFleet) callsFail(c *ControlNode) bool {
	return f.ConfigServiceDown || c.stopped || f.Unreachable != nil && f.Unreachable(c)
}

// errDown is the error of a call to a platform service that is down.
const errDown = errors.ConstError("the service is down")

func (f *ControlFleet) countCall() {
	second := int(f.Clock.Now().Sub(f.start) / time.Second)
	for len(f.Calls) <= second {
		f.Calls = append(f.Calls, 0)
	}
	f.Calls[second]++
}

// headBytes is the size of a call to the configuration service and its answer,
// without the content of a note.
const headBytes = 400

// Head implements gossip.ServiceReader.
func (c *ControlNode) Head(after uint64, wait time.Duration, done func(uint64, error)) {
	f := c.fleet
	f.countCall()
	c.PlatformBytes += headBytes
	w := &watch{node: c, after: after, done: done}
	switch {
	case f.callsFail(c):
		f.Clock.After(serviceDelay, func() { w.finish(0, errDown) })
	case wait == 0 || uint64(f.Visible) > after:
		f.answerWatch(w)
	default:
		f.watches = append(f.watches, w)
		f.Clock.After(wait, func() { f.expireWatch(w) })
	}
}

func (f *ControlFleet) expireWatch(w *watch) {
	if f.removeWatch(w) {
		w.finish(uint64(f.Visible), nil)
	}
}

// Note implements gossip.ServiceReader.
func (c *ControlNode) Note(number uint64, done func([]byte, error)) {
	f := c.fleet
	f.countCall()
	c.PlatformBytes += headBytes
	f.Clock.After(2*serviceDelay, func() {
		if f.callsFail(c) || number > uint64(f.Visible) {
			c.do(func() { done(nil, errDown) })
			return
		}
		raw := f.Published[number-1].Raw
		c.PlatformBytes += int64(len(raw))
		c.do(func() { done(raw, nil) })
	})
}

// Pull implements gossip.BulkPuller.
func (c *ControlNode) Pull(addr string, after uint64, done func(gossip.SinceReply, error)) {
	c.Endpoint.Pull(addr, after, func(r gossip.SinceReply, err error) {
		c.do(func() { done(r, err) })
	})
}

// do runs f, which handles an answer, as an event of the node. A paused process
// handles its answers within a tick after it resumes.
func (c *ControlNode) do(f func()) {
	switch {
	case c.stopped:
	case c.Paused:
		c.fleet.Clock.After(gossip.TickInterval, func() { c.do(f) })
	default:
		c.Node.RunEvent(c.fleet.Clock.Now(), f)
		c.recordInForce()
	}
}

// vmBytes is the size of one VM in the encoded VM list.
const vmBytes = 150

// VMs implements gossip.ServiceReader.
func (c *ControlNode) VMs(done func([]controlplane.VM, error)) {
	f := c.fleet
	f.Clock.After(serviceDelay, func() {
		if f.VMListDown {
			c.do(func() { done(nil, errDown) })
			return
		}
		c.PlatformBytes += int64(vmBytes * len(f.VMs))
		c.do(func() { done(f.VMs, nil) })
	})
}

// Run advances virtual time by d.
func (f *ControlFleet) Run(d time.Duration) { f.Clock.RunUntil(f.Clock.Now().Add(d), nil) }

// RunUntil runs the fleet until a condition holds or limit has passed, and reports
// whether the condition holds. It checks the condition once in each step.
func (f *ControlFleet) RunUntil(limit time.Duration, condition func() bool) bool {
	const step = 10 * time.Millisecond
	for end := f.Clock.Now().Add(limit); f.Clock.Now().Before(end); {
		if condition() {
			return true
		}
		f.Run(step)
	}
	return condition()
}

// InForce reports whether a note, or a later one, is in force at all processes
// that are neither stopped nor paused.
func (f *ControlFleet) InForce(number uint64) bool {
	for _, c := range f.Nodes {
		if !c.stopped && !c.Paused && c.Node.Store().Current().Number < number {
			return false
		}
	}
	return true
}

// PeakCalls returns the largest number of calls to the configuration service in
// one second.
func (f *ControlFleet) PeakCalls() int {
	peak := 0
	for _, n := range f.Calls {
		peak = max(peak, n)
	}
	return peak
}
