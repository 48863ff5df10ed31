package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/internal/surroundings"
)

// contactsPerDataCentre is the number of processes of a data centre that
// exchange heads and summaries with other data centres.
const contactsPerDataCentre = 3

// Intervals between reads of the VM list.
const (
	minListInterval = 5 * time.Second
	// smallListInterval applies to entries and lists of up to smallListVMs VMs,
	// so that a VM that the list calls leaving gets no work after a few
	// seconds.
	smallListInterval = 2 * time.Second
	smallListVMs      = 24
	// listIntervalPerVM keeps the reads of a long list within the bandwidth
	// for control.
	listIntervalPerVM = 400 * time.Millisecond
	// joinListInterval applies while the list lacks this process, for a
	// number of reads.
	joinListInterval = time.Second
	maxJoinReads     = 10
)

// vmList is what the VM list tells.
type vmList struct {
	next  time.Time
	busy  bool
	reads int
	known bool
	// total is the number of VMs on the list.
	total int
	// listed is set when the list holds this process.
	listed bool
	// ranked are the live VMs of the data centre that may become readers, in
	// order.
	ranked []string
	// contacts are the contacts of other data centres.
	contacts map[string][]surroundings.VM
	centres  []string
	// entries are the entries of other data centres, for entries only.
	entries map[string][]string
	// own are the contacts of this data centre.
	own []string
	// leaving are the backend servers of other data centres whose VMs are
	// leaving.
	leaving []string
	// contact is set when this process is a contact of its data centre.
	contact bool
}

func (v *vmList) init(cfg Config) { v.next = cfg.Now }

// refreshList reads the VM list now and then.
func (n *Node) refreshList() {
	v := &n.vms
	if v.busy || n.now.Before(v.next) {
		return
	}
	v.busy = true
	v.reads++
	n.count.ListCalls.Add(1)
	n.cfg.Platform.VMs(func(vms []surroundings.VM, err error) {
		v.busy = false
		v.next = n.now.Add(n.listInterval(len(vms), err))
		if err != nil {
			_ = level.Warn(n.cfg.Log).Log("msg", "reading the VM list failed; peers go on observing each other", "err", err)
			return
		}
		n.setList(vms)
		v.next = n.now.Add(n.listInterval(len(vms), nil))
	})
}

func (n *Node) listInterval(length int, err error) time.Duration {
	joining := (err != nil || !n.vms.listed) && n.vms.reads < maxJoinReads
	if joining {
		return joinListInterval
	}
	length = max(length, n.vms.total)
	interval := max(minListInterval, time.Duration(length)*listIntervalPerVM)
	if length <= smallListVMs && n.cfg.Self.Backend == "" {
		interval = smallListInterval
	}
	return interval + time.Duration(n.cfg.Rand.Int64N(int64(interval/8)))
}

// setList takes in the VM list.
func (n *Node) setList(vms []surroundings.VM) {
	v := &n.vms
	v.known, v.total = true, len(vms)
	v.listed = false
	var local []string
	v.contacts, v.entries = map[string][]surroundings.VM{}, map[string][]string{}
	var members []membership.Member
	remote := map[string][]string{}
	byName := map[string]surroundings.VM{}
	for _, vm := range vms {
		if vm.DataCentre != n.cfg.DataCentre {
			if vm.State == surroundings.VMLive {
				remote[vm.DataCentre] = append(remote[vm.DataCentre], vm.Name)
				byName[vm.Name] = vm
			}
			continue
		}
		v.listed = v.listed || vm.Name == n.cfg.Self.Name
		if vm.State == surroundings.VMLive {
			local = append(local, vm.Name)
		}
		members = append(members, memberOf(vm))
	}
	n.table.SetListed(members, n.now)
	v.ranked = membership.Top("reader/"+n.cfg.DataCentre, local, maxListedRank)
	for dc, names := range remote {
		for _, name := range membership.Top(contactKey(dc), names, contactsPerDataCentre) {
			v.contacts[dc] = append(v.contacts[dc], byName[name])
		}
	}
	v.centres = slices.Sorted(maps.Keys(v.contacts))
	n.setRemoteEntries(vms)
	n.setRemoteLeaving(vms)
}

// setRemoteLeaving remembers which servers of other data centres leave and have
// no new VM.
func (n *Node) setRemoteLeaving(vms []surroundings.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.DataCentre == n.cfg.DataCentre || vm.Backend == "" {
			continue
		}
		live := vm.State == surroundings.VMLive
		if known, ok := leaving[vm.Backend]; !ok || known {
			leaving[vm.Backend] = !live
		}
	}
	maps.DeleteFunc(leaving, func(_ string, leaves bool) bool { return !leaves })
	n.vms.leaving = slices.Sorted(maps.Keys(leaving))
}

// setRemoteEntries remembers the entries of other data centres, which entries
// need to share backend servers for failover.
func (n *Node) setRemoteEntries(vms []surroundings.VM) {
	if n.cfg.Self.Backend != "" {
		return
	}
	for _, vm := range vms {
		if vm.Role == settings.RoleEntry && vm.DataCentre != n.cfg.DataCentre && vm.State == surroundings.VMLive {
			n.vms.entries[vm.DataCentre] = append(n.vms.entries[vm.DataCentre], vm.Name)
		}
	}
}

func memberOf(vm surroundings.VM) membership.Member {
	m := membership.Member{Name: vm.Name, Addr: vm.Peers, Backend: vm.Backend}
	if vm.State == surroundings.VMLeaving {
		m.State = membership.Leaving
	}
	return m
}

func contactKey(dataCentre string) string { return "contact/" + dataCentre }

// choose works out from the present members whether this process is a contact
// and which rank it has among the readers.
func (n *Node) choose() {
	present := n.table.Present()
	self := n.cfg.Self.Name
	n.vms.own = membership.Top(contactKey(n.cfg.DataCentre), present, contactsPerDataCentre)
	n.vms.contact = slices.Contains(n.vms.own, self)
	n.reader.choose(self, n.vms.ranked, present, n.cfg.Tuning.Readers)
}

// contact tells another data centre the head and summaries.
func (n *Node) contact() {
	if n.now.Before(n.nextContact) {
		return
	}
	n.nextContact = n.now.Add(contactInterval)
	if n.vms.contact {
		n.announceRemote(1)
	}
}

// announceRemote announces to one contact of each of some data centres.
func (n *Node) announceRemote(centres int) {
	v := &n.vms
	for _, i := range n.cfg.Rand.Perm(len(v.centres))[:min(centres, len(v.centres))] {
		contacts := v.contacts[v.centres[i]]
		p := &packet{Kind: kindAnnounce}
		p.Summaries = append(p.Summaries, n.summary())
		if s, ok := n.randomSummary(); ok {
			p.Summaries = append(p.Summaries, s)
		}
		n.sendRemote(contacts[n.cfg.Rand.IntN(len(contacts))].Peers, p)
	}
}

// mergeSummary keeps the latest summary of each listed data centre.
func (n *Node) mergeSummary(s membership.Summary) {
	_, listed := n.vms.contacts[s.DataCentre]
	if listed && s.Made > n.summaries[s.DataCentre].Made {
		n.summaries[s.DataCentre] = s
		n.summariesChanged = true
	}
}

func (n *Node) randomSummary() (membership.Summary, bool) {
	if len(n.vms.centres) == 0 {
		return membership.Summary{}, false
	}
	s, ok := n.summaries[n.vms.centres[n.cfg.Rand.IntN(len(n.vms.centres))]]
	return s, ok
}
