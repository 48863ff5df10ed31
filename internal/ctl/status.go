package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/orders"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// maxStatusCalls bounds the concurrent requests to processes.
const maxStatusCalls = 64

const statusHelp = `Shows which process has which release note, and what is late and why: processes
behind the latest note, processes that do not answer, and engines that do not yet
serve what the note asks, with the order that is pending and its reason. An engine
that still has to unload what the note no longer lists has the note in force.

The processes are given by their listen.admin addresses, or taken from the VM
list, with the port -admin-port at the IP address of each VM. The latest note is
the highest that a process has or has heard of, or that of the configuration
service.

EXAMPLES
  samphirectl status 10.0.0.7:7001 10.0.0.8:7001
  samphirectl status -vm-list http://10.0.0.2:9001 -service http://10.0.0.2:9000
  samphirectl status -vm-list http://10.0.0.2:9001 -late -json

EXIT CODES
  0 all have the latest note in force, 1 the VM list or the service can not be
  read, 2 wrong usage, 4 a part is late or does not answer`

// statusFlags are the flags of status.
type statusFlags struct {
	vmList    string
	service   string
	adminPort uint
	timeout   time.Duration
	late      bool
	json      bool
}

// fleetStatus is the result of status.
type fleetStatus struct {
	// Note is the number of the latest note.
	Note uint64 `json:"note"`
	// InForce is the number of processes that have the latest note in force, also
	// with -late, which removes them from Processes.
	InForce   int             `json:"in_force"`
	Notes     []noteCount     `json:"notes"`
	Processes []processStatus `json:"processes"`
}

// noteCount is the number of processes that have a note. Note 0 stands for
// processes without a note or without an answer.
type noteCount struct {
	Note      uint64 `json:"note"`
	Processes int    `json:"processes"`
}

// processStatus is the status of one process.
type processStatus struct {
	Address string `json:"address"`
	Node    string `json:"node,omitempty"`
	Backend string `json:"backend,omitempty"`
	State   string `json:"state,omitempty"`
	Note    uint64 `json:"note"`
	Digest  string `json:"note_digest,omitempty"`
	InForce bool   `json:"in_force"`
	// Reasons state what is late and why or, if InForce is set, what else remains
	// to be done.
	Reasons []string         `json:"reasons,omitempty"`
	Orders  *orders.Snapshot `json:"orders,omitempty"`

	control controlDump
}

func (p *printer) statusCommand() *ffcli.Command {
	fs := p.flags("samphirectl status")
	var f statusFlags
	fs.StringVar(&f.vmList, "vm-list", "", "URL of the VM list")
	fs.StringVar(&f.service, "service", "", "URL of the configuration service")
	fs.UintVar(&f.adminPort, "admin-port", 7001, "port of listen.admin on the VMs of the list")
	fs.DurationVar(&f.timeout, "timeout", 5*time.Second, "time to wait for each process")
	fs.BoolVar(&f.late, "late", false, "show only what is late")
	fs.BoolVar(&f.json, "json", false, "write the result as JSON")
	return p.command("status", "samphirectl status [flags] ADDR... | -vm-list URL", "show which part of the fleet has which release note", statusHelp, fs,
		func(ctx context.Context, args []string) error {
			if len(args) == 0 && f.vmList == "" {
				return usagef("give listen.admin addresses, or -vm-list")
			}
			return p.status(ctx, f, args)
		})
}

func (p *printer) status(ctx context.Context, f statusFlags, addrs []string) error {
	addrs, err := f.addresses(ctx, addrs)
	if err != nil {
		return err
	}
	fleet := fleetStatus{Processes: fetchAll(ctx, addrs, f.timeout)}
	if f.service != "" {
		if fleet.Note, err = newPublishedChain(f.service).head(ctx); err != nil {
			return err
		}
	}
	fleet.evaluate()
	late := len(fleet.Processes) - fleet.InForce
	total := len(fleet.Processes)
	if f.late {
		fleet.Processes = slices.DeleteFunc(fleet.Processes, func(s processStatus) bool { return s.InForce })
	}
	if f.json {
		err = p.writeJSON(fleet)
	} else {
		err = p.showStatus(fleet, total)
	}
	if err == nil && late > 0 {
		return errors.WithType(errors.Errorf("%d of %d processes are late or do not answer; the reasons are in the table", late, total), errLate)
	}
	return err
}

// addresses returns the admin addresses given and those of the VM list.
func (f statusFlags) addresses(ctx context.Context, addrs []string) ([]string, error) {
	if f.vmList == "" {
		return addrs, nil
	}
	vms, err := controlplane.NewClient("", strings.TrimSuffix(f.vmList, "/")).VMs(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "give the URL of the VM list with -vm-list")
	}
	for _, vm := range vms {
		peers, err := netip.ParseAddrPort(vm.Peers)
		if err != nil {
			return nil, errors.NotValidf("address %q of VM %q in the VM list:", vm.Peers, vm.Name)
		}
		addrs = append(addrs, netip.AddrPortFrom(peers.Addr(), uint16(f.adminPort)).String())
	}
	return addrs, nil
}

// fetchAll reads the status of all processes, in order of their nodes.
func fetchAll(ctx context.Context, addrs []string, timeout time.Duration) []processStatus {
	out := make([]processStatus, len(addrs))
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	for i, addr := range addrs {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			out[i] = fetchStatus(ctx, addr)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortStableFunc(out, func(a, b processStatus) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Address, b.Address))
	})
	return out
}

// stateDump is the part of the state dump of an entry or agent that status uses.
type stateDump struct {
	Node    protocol.NodeRef `json:"node"`
	Backend string           `json:"backend"`
	State   string           `json:"state"`
	Note    uint64           `json:"note"`
	Digest  string           `json:"note_digest"`
	Orders  *orders.Snapshot `json:"orders"`
	Control controlDump      `json:"control"`
}

// controlDump is the part of a gossip.Dump that status uses.
type controlDump struct {
	State       string `json:"state"`
	BestNote    uint64 `json:"best_note"`
	ServiceNote uint64 `json:"service_note"`
	Forks       int64  `json:"forks"`
}

// fetchStatus reads the status of one process. If that fails, the reason is in the
// result, whose Node is empty.
func fetchStatus(ctx context.Context, addr string) processStatus {
	s := processStatus{Address: addr}
	data, err := readState(ctx, addr)
	if err != nil {
		s.Reasons = []string{err.Error()}
		return s
	}
	var d stateDump
	if err := json.Unmarshal(data, &d); err != nil {
		s.Reasons = []string{fmt.Sprintf("its dump can not be read: %v", err)}
		return s
	}
	s.Node, s.Backend, s.State, s.Note, s.Digest, s.Orders = d.Node.Node, d.Backend, d.State, d.Note, d.Digest, d.Orders
	s.control = d.Control
	return s
}

// evaluate finds the latest note, and which processes are late and why.
func (f *fleetStatus) evaluate() {
	for _, s := range f.Processes {
		f.Note = max(f.Note, s.Note, s.control.BestNote, s.control.ServiceNote)
	}
	digests := map[uint64]string{}
	for i := range f.Processes {
		s := &f.Processes[i]
		s.evaluate(f.Note, digests)
		if s.InForce {
			f.InForce++
		}
	}
	f.countNotes()
}

// countNotes sets Notes, in order from the latest note.
func (f *fleetStatus) countNotes() {
	counts := map[uint64]int{}
	for _, s := range f.Processes {
		counts[s.Note]++
	}
	for _, note := range slices.Backward(slices.Sorted(maps.Keys(counts))) {
		f.Notes = append(f.Notes, noteCount{note, counts[note]})
	}
}

// evaluate sets InForce and the reasons of a process. digests holds the digest that
// the first process had for each note; it reveals a fork.
func (s *processStatus) evaluate(latest uint64, digests map[uint64]string) {
	if s.Node == "" {
		return
	}
	if s.State != lifecycle.Serving {
		s.addReason("it is %s", s.State)
	}
	if s.Note < latest {
		s.addReason("it has note %d of %d, and has heard of note %d", s.Note, latest, max(s.control.BestNote, s.control.ServiceNote))
	}
	if s.control.Forks > 0 {
		s.addReason("it refused %d conflicting notes: two notes carry one number; publish the later one again as the next note", s.control.Forks)
	}
	if first, ok := digests[s.Note]; ok && first != s.Digest {
		s.addReason("another process has a different note %d: two notes carry one number", s.Note)
	} else {
		digests[s.Note] = s.Digest
	}
	if o := s.Orders; o != nil && !o.InForce {
		s.addOrderReasons(*o)
	}
	s.InForce = len(s.Reasons) == 0
	if s.InForce && s.Orders != nil {
		s.addPendingReasons(*s.Orders)
		if s.Orders.Reason != "" {
			s.addReason("%s", s.Orders.Reason)
		}
	}
}

// addPendingReasons adds a reason for each pending order.
func (s *processStatus) addPendingReasons(o orders.Snapshot) {
	for _, p := range o.Pending {
		s.addReason("%s", strings.TrimSpace(p.Action+" "+p.Key+": "+p.Reason))
	}
}

// addOrderReasons adds the reasons why an engine does not yet serve what the note
// asks.
func (s *processStatus) addOrderReasons(o orders.Snapshot) {
	s.addPendingReasons(o)
	if o.Error != "" {
		s.addReason("%s", o.Error)
	}
	if len(o.Pending) == 0 && o.Error == "" {
		s.addReason("%s", cmp.Or(o.Reason, "the engine is not as the note asks"))
	}
}

// addReason formats a reason and adds it to Reasons.
func (s *processStatus) addReason(format string, args ...any) {
	s.Reasons = append(s.Reasons, fmt.Sprintf(format, args...))
}

func (p *printer) showStatus(f fleetStatus, total int) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tADDRESS\tBACKEND\tSTATE\tNOTE\tIN FORCE\tWHAT REMAINS")
	for _, s := range f.Processes {
		inForce := "yes"
		if !s.InForce {
			inForce = "no"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", cmp.Or(s.Node, "?"), s.Address, cmp.Or(s.Backend, "-"), cmp.Or(s.State, "?"), s.Note, inForce, cmp.Or(strings.Join(s.Reasons, "; "), "-"))
	}
	fmt.Fprintf(w, "note %d is in force at %d of %d processes\n", f.Note, f.InForce, total)
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, n := range f.Notes {
		p.printf("note %d: %d processes\n", n.Note, n.Processes)
	}
	return nil
}
