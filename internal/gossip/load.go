package gossip

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/membership"
)

// Bounds of load reports. Reports only feed the summaries for other data centres,
// so they may be coarse; agents report exact loads to their entries directly.
const (
	// loadSteps is the number of steps between no and all slots to which free slots
	// are rounded down.
	loadSteps = 4
	// minLoadInterval is the minimum time between reports of one process.
	minLoadInterval = time.Minute
	// loadRefreshInterval is the time after which an unchanged report is
	// repeated, for processes that have become contacts since.
	loadRefreshInterval = 5 * time.Minute
	// maxLoadReports bounds the reports that a process stores.
	maxLoadReports = 4096
)

// loadReports holds the report of this process and, at contacts, those received
// from the agents of the data centre.
type loadReports struct {
	// lastReport and sent are the time of the last report of this process. Before
	// the first one, lastReport is a random time in the past, so that processes
	// that start together do not report together, and sent is zero.
	lastReport, sent time.Time
	reported         membership.Slots
	// slots holds the latest report of each process, by its name.
	slots map[string]membership.Slots
}

func (l *loadReports) init(cfg Config) {
	l.slots = map[string]membership.Slots{}
	l.lastReport = cfg.Now.Add(-time.Duration(cfg.Rand.Int64N(int64(minLoadInterval))))
}

// ReportSlots sets the decode slots of the backend server. It reports them to the
// contacts of the data centre when the rounded number of free slots has changed, or
// after loadRefreshInterval, and at most once in minLoadInterval.
func (n *Node) ReportSlots(now time.Time, free, total uint32) {
	n.beginEvent(now)
	l := &n.load
	if total == 0 || now.Sub(l.lastReport) < minLoadInterval {
		return
	}
	coarse := membership.Slots{Free: free * loadSteps / total * total / loadSteps, Total: total}
	if coarse == l.reported && now.Sub(l.sent) < loadRefreshInterval {
		return
	}
	l.lastReport, l.sent, l.reported = now, now, coarse
	l.slots[n.cfg.Self.Name] = coarse
	for _, name := range n.vms.localContacts {
		if m, ok := n.table.Get(name); ok && name != n.cfg.Self.Name {
			n.sendWithoutRumors(m.Addr, &packet{Kind: kindAnnounce, Slots: &coarse})
		}
	}
}

// recordSlots stores the report of an agent.
func (n *Node) recordSlots(p *packet) {
	if len(n.load.slots) >= maxLoadReports {
		clear(n.load.slots)
	}
	n.load.slots[p.From] = *p.Slots
}

// localSummary returns the summary of this data centre for others.
func (n *Node) localSummary() membership.Summary {
	return n.table.Summary(n.cfg.DataCentre, n.cfg.Region, n.load.slots, n.now)
}
