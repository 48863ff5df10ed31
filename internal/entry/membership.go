package entry

import (
	"slices"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
)

// maxFullyConnectedServers is the number of backend servers up to which an
// entry connects to all of them.
const maxFullyConnectedServers = 64

// membershipView returns the membership, or nil if the entry has none.
func (e *Entry) membershipView() *membership.View {
	if e.cfg.Membership == nil {
		return nil
	}
	return e.cfg.Membership()
}

// available reports whether the membership allows this entry to send new work
// to a server. The server must not be unavailable. If it is in another data
// centre that has entries, it must also have more free slots than it reserves
// for those.
func (e *Entry) available(s release.BackendServer, l *protocol.Load) bool {
	v := e.membershipView()
	if v == nil {
		return true
	}
	if _, unavailable := v.Unavailable[s.Name]; unavailable {
		return false
	}
	noReserve := s.DataCentre == e.cfg.DataCentre || len(v.RemoteEntries[s.DataCentre]) == 0
	return noReserve || membership.AcceptsRemoteWork(l.SlotsTotal-l.SlotsUsed, l.SlotsTotal, s.Region == e.cfg.Region)
}

// subset returns those servers of a fleet state that the entry connects to. In a
// large fleet a server has connections from a few entries of each data centre in
// its region, and of one data centre beyond. All entries connect to plain services,
// since a ticket names its server and may arrive at any entry.
func (e *Entry) subset(servers []release.BackendServer) []release.BackendServer {
	v := e.membershipView()
	if v == nil || len(servers) <= maxFullyConnectedServers || len(v.Entries) == 0 {
		return servers
	}
	chosen, regions := map[string]bool{}, map[string]string{}
	for _, s := range servers {
		regions[s.DataCentre] = s.Region
	}
	for _, g := range groupByPool(servers) {
		for _, name := range e.chooseServers(v, g, regions) {
			chosen[name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s release.BackendServer) bool {
		return s.Role != release.RoleService && !chosen[s.Name]
	})
}

// serverGroup holds the servers of one role in one data centre.
type serverGroup struct {
	dataCentre, region string
	role               release.Role
	names              []string
}

// groupByPool groups servers by data centre and role, in the order of the
// servers.
func groupByPool(servers []release.BackendServer) []serverGroup {
	var out []serverGroup
	for _, s := range servers {
		i := slices.IndexFunc(out, func(g serverGroup) bool { return g.dataCentre == s.DataCentre && g.role == s.Role })
		if i < 0 {
			i = len(out)
			out = append(out, serverGroup{dataCentre: s.DataCentre, region: s.Region, role: s.Role})
		}
		out[i].names = append(out[i].names, s.Name)
	}
	return out
}

// chooseServers returns the servers of a group that this entry connects to. regions are the
// regions of data centres.
func (e *Entry) chooseServers(v *membership.View, g serverGroup, regions map[string]string) []string {
	self := e.cfg.Self.Node
	switch {
	case g.dataCentre == e.cfg.DataCentre:
		return membership.Subset(self, v.Entries, g.names)
	case g.region == e.cfg.Region:
		return membership.RemoteSubset(self, v.Entries, g.names)
	}
	centres := []string{e.cfg.DataCentre}
	for dc := range v.RemoteEntries {
		if regions[dc] != g.region {
			centres = append(centres, dc)
		}
	}
	failover := membership.FailoverServers(e.cfg.DataCentre, centres, g.names)
	return membership.RemoteSubset(self, v.Entries, failover)
}
