package membership

import "slices"

// Numbers of connections between entries and agents.
const (
	// minEntriesPerServer is the minimum number of entries of its data centre that
	// connect to each server.
	minEntriesPerServer = 4
	// targetServersPerEntry is the minimum average number of servers of a pool
	// that an entry of the same data centre connects to. Entries connect to all
	// servers of smaller pools.
	targetServersPerEntry = 24
	// remoteEntriesPerServer is the number of entries that connect to each server
	// for failover: of each other data centre of its region, and of all data
	// centres in other regions together.
	remoteEntriesPerServer = 1
)

// Subset returns those servers of one pool of its own data centre that an entry
// connects to. The entries of each server are chosen by rendezvous hashing, so that
// every server has some, and adding or removing an entry moves only its share.
func Subset(entry string, entries, servers []string) []string {
	n := entriesPerServer(len(entries), len(servers))
	if n >= len(entries) {
		return servers
	}
	return serversChoosing(entry, entries, servers, n)
}

// entriesPerServer returns the number of entries that connect to each server of a
// pool. It is higher for small pools, so that an entry still connects to
// targetServersPerEntry servers on average or to the whole pool.
func entriesPerServer(entries, servers int) int {
	if servers == 0 {
		return minEntriesPerServer
	}
	return max(minEntriesPerServer, (entries*targetServersPerEntry+servers-1)/servers)
}

// RemoteSubset returns those servers of another data centre, or of all data centres
// in other regions, that an entry connects to for failover.
func RemoteSubset(entry string, entries, servers []string) []string {
	return serversChoosing(entry, entries, servers, remoteEntriesPerServer)
}

// serversChoosing returns the servers for which name is among the n candidates with
// the highest rendezvous weights.
func serversChoosing(name string, candidates, servers []string, n int) []string {
	var out []string
	for _, s := range servers {
		if slices.Contains(TopByRendezvous(s, candidates, n), name) {
			out = append(out, s)
		}
	}
	return out
}

// FailoverServers returns those servers in other regions that are assigned to a
// data centre for failover: each is assigned to one of centres.
func FailoverServers(dataCentre string, centres, servers []string) []string {
	return serversChoosing(dataCentre, centres, servers, 1)
}
