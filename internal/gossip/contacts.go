package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/settings"
)

// contactsPerDataCentre is the number of contacts of a data centre: processes
// that exchange heads and summaries with other data centres.
const contactsPerDataCentre = 3

// Intervals between reads of the VM list.
const (
	minListInterval = 5 * time.Second
	// smallListInterval applies at entries, while the list has up to smallListVMs
	// VMs. It bounds the time during which an entry still sends work to a VM that
	// the list marks as leaving to a few seconds.
	smallListInterval = 2 * time.Second
	smallListVMs      = 24
	// listIntervalPerVM makes the interval grow with the length of the list, to
	// keep the reads within the bandwidth budget of control traffic.
	listIntervalPerVM = 400 * time.Millisecond
	// joinListInterval applies until the list contains this process, but to the
	// first maxJoinReads reads only.
	joinListInterval = time.Second
	maxJoinReads     = 10
)

// vmList is the state derived from the last VM list, and the schedule of reads.
type vmList struct {
	nextRead time.Time
	reading  bool
	reads    int
	// loaded is set once a list has been read.
	loaded bool
	// total is the number of VMs on the list.
	total int
	// listed is set when the list contains this process.
	listed bool
	// readerCandidates are the live VMs of this data centre that may become
	// readers, in order of preference.
	readerCandidates []string
	// remoteContacts are the contacts of each other data centre.
	remoteContacts map[string][]controlplane.VM
	// remoteCentres are the keys of remoteContacts, sorted.
	remoteCentres []string
	// remoteEntries are the names of the live entries of each other data centre.
	// Only entries fill it.
	remoteEntries map[string][]string
	// localContacts are the contacts of this data centre.
	localContacts []string
	// remoteLeaving are the backend servers of other data centres all of whose
	// VMs are leaving.
	remoteLeaving []string
	// isContact is set when this process is a contact of its data centre.
	isContact bool
}

func (v *vmList) init(cfg Config) { v.nextRead = cfg.Now }

// refreshList reads the VM list when the next read is due.
func (n *Node) refreshList() {
	v := &n.vms
	if v.reading || n.now.Before(v.nextRead) {
		return
	}
	v.reading = true
	v.reads++
	n.count.ListCalls.Add(1)
	n.cfg.Service.VMs(func(vms []controlplane.VM, err error) {
		v.reading = false
		v.nextRead = n.now.Add(n.listInterval(len(vms), err))
		if err != nil {
			_ = level.Warn(n.cfg.Log).Log("msg", "reading the VM list failed; membership relies on probes between peers until the next read", "err", err)
			return
		}
		n.applyList(vms)
		v.nextRead = n.now.Add(n.listInterval(len(vms), nil))
	})
}

// listInterval returns the time to the next read, after a read that returned a
// list of this length or an error.
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

// applyList updates the membership table and the sets of remote processes from a
// VM list.
func (n *Node) applyList(vms []controlplane.VM) {
	v := &n.vms
	v.loaded, v.total = true, len(vms)
	v.listed = false
	var local []string
	v.remoteContacts, v.remoteEntries = map[string][]controlplane.VM{}, map[string][]string{}
	var members []membership.Member
	remote := map[string][]string{}
	byName := map[string]controlplane.VM{}
	for _, vm := range vms {
		if vm.DataCentre != n.cfg.DataCentre {
			if vm.State == controlplane.VMLive {
				remote[vm.DataCentre] = append(remote[vm.DataCentre], vm.Name)
				byName[vm.Name] = vm
			}
			continue
		}
		v.listed = v.listed || vm.Name == n.cfg.Self.Name
		if vm.State == controlplane.VMLive {
			local = append(local, vm.Name)
		}
		members = append(members, memberOf(vm))
	}
	n.table.ApplyVMList(members, n.now)
	v.readerCandidates = membership.TopByRendezvous("reader/"+n.cfg.DataCentre, local, maxListedRank)
	for dc, names := range remote {
		for _, name := range membership.TopByRendezvous(contactKey(dc), names, contactsPerDataCentre) {
			v.remoteContacts[dc] = append(v.remoteContacts[dc], byName[name])
		}
	}
	v.remoteCentres = slices.Sorted(maps.Keys(v.remoteContacts))
	n.setRemoteEntries(vms)
	n.setRemoteLeaving(vms)
}

// setRemoteLeaving records the backend servers of other data centres that have
// leaving VMs only. A server that also has a live VM stays available.
func (n *Node) setRemoteLeaving(vms []controlplane.VM) {
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.DataCentre == n.cfg.DataCentre || vm.Backend == "" {
			continue
		}
		live := vm.State == controlplane.VMLive
		if onlyLeaving, ok := leaving[vm.Backend]; !ok || onlyLeaving {
			leaving[vm.Backend] = !live
		}
	}
	maps.DeleteFunc(leaving, func(_ string, leaves bool) bool { return !leaves })
	n.vms.remoteLeaving = slices.Sorted(maps.Keys(leaving))
}

// setRemoteEntries records the live entries of other data centres. Entries need
// them to divide the backend servers for failover among each other.
func (n *Node) setRemoteEntries(vms []controlplane.VM) {
	if n.cfg.Self.Backend != "" {
		return
	}
	for _, vm := range vms {
		if vm.Role == settings.RoleEntry && vm.DataCentre != n.cfg.DataCentre && vm.State == controlplane.VMLive {
			n.vms.remoteEntries[vm.DataCentre] = append(n.vms.remoteEntries[vm.DataCentre], vm.Name)
		}
	}
}

func memberOf(vm controlplane.VM) membership.Member {
	m := membership.Member{Name: vm.Name, Addr: vm.Peers, Backend: vm.Backend}
	if vm.State == controlplane.VMLeaving {
		m.State = membership.Leaving
	}
	return m
}

// contactKey returns the rendezvous key by which the contacts of a data centre are
// chosen.
func contactKey(dataCentre string) string { return "contact/" + dataCentre }

// updateRoles decides from the alive members whether this process is a contact
// and whether it is a reader.
func (n *Node) updateRoles() {
	present := n.table.AliveNames()
	self := n.cfg.Self.Name
	n.vms.localContacts = membership.TopByRendezvous(contactKey(n.cfg.DataCentre), present, contactsPerDataCentre)
	n.vms.isContact = slices.Contains(n.vms.localContacts, self)
	n.reader.updateRole(self, n.vms.readerCandidates, present, n.cfg.Tuning.Readers)
}

// announceRemoteIfDue sends the head and summaries to one other data centre in
// each interval, if this process is a contact.
func (n *Node) announceRemoteIfDue() {
	if n.now.Before(n.nextRemoteAnnounce) {
		return
	}
	n.nextRemoteAnnounce = n.now.Add(remoteAnnounceInterval)
	if n.vms.isContact {
		n.announceRemote(1)
	}
}

// announceRemote sends an announcement to one random contact each of up to
// maxCentres random data centres.
func (n *Node) announceRemote(maxCentres int) {
	v := &n.vms
	for _, i := range n.cfg.Rand.Perm(len(v.remoteCentres))[:min(maxCentres, len(v.remoteCentres))] {
		contacts := v.remoteContacts[v.remoteCentres[i]]
		p := &packet{Kind: kindAnnounce}
		p.Summaries = append(p.Summaries, n.localSummary())
		if s, ok := n.randomSummary(); ok {
			p.Summaries = append(p.Summaries, s)
		}
		n.sendWithoutRumors(contacts[n.cfg.Rand.IntN(len(contacts))].Peers, p)
	}
}

// mergeSummary stores a summary if it is later than the stored one of its data
// centre. Data centres without a contact on the VM list are ignored.
func (n *Node) mergeSummary(s membership.Summary) {
	_, listed := n.vms.remoteContacts[s.DataCentre]
	if listed && s.CreatedMillis > n.summaries[s.DataCentre].CreatedMillis {
		n.summaries[s.DataCentre] = s
		n.summariesChanged = true
	}
}

// randomSummary returns the stored summary of a random other data centre.
func (n *Node) randomSummary() (membership.Summary, bool) {
	if len(n.vms.remoteCentres) == 0 {
		return membership.Summary{}, false
	}
	s, ok := n.summaries[n.vms.remoteCentres[n.cfg.Rand.IntN(len(n.vms.remoteCentres))]]
	return s, ok
}
