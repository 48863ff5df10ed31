package benchmodel

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
)

// leaseTTL is the time after which the slots and the memory of the attempts of a
// dead entry are freed.
const leaseTTL = 3 * time.Second

// drainTime is the time that a run continues after the last arrival, so that
// requests can end.
const drainTime = 40 * time.Second

// simulation is the state of one run.
type simulation struct {
	fleet    Fleet
	scenario Scenario
	policy   Policy
	clock    clock
	prefills []*prefillServer
	decodes  []*decodeServer
	entries  []*entryModel
	totals   prefillTotals

	// While frozen is set, all servers report the loads below.
	frozen        bool
	frozenPrefill []placement.Report
	frozenDecode  []placement.Report
}

// prefillTotals are the computing time of all prefills, and the part of it whose
// results were never decoded.
type prefillTotals struct {
	spent, wasted time.Duration
}

// Run simulates a policy in a scenario.
func Run(f Fleet, s Scenario, p Policy) Result {
	requests := generate(f, s)
	sim := newSimulation(f, s, p)
	for _, r := range requests {
		sim.clock.at(r.arrived, func() { sim.routeRequest(r) })
	}
	sim.scheduleFaults()
	sim.clock.run(f.Duration + drainTime)
	return sim.summarise(requests)
}

func newSimulation(f Fleet, s Scenario, p Policy) *simulation {
	sim := &simulation{fleet: f, scenario: s, policy: p}
	for i := range f.Prefills {
		sim.prefills = append(sim.prefills, newPrefillServer(sim, i, i%f.DataCentres))
	}
	for i := range f.Decodes {
		sim.decodes = append(sim.decodes, &decodeServer{sim: sim, id: i, centre: i % f.DataCentres})
	}
	for i := range f.Entries {
		sim.entries = append(sim.entries, newEntry(sim, i))
	}
	for i, e := range sim.entries {
		sim.startHeartbeats(e, heartbeatInterval*time.Duration(i)/time.Duration(f.Entries))
	}
	return sim
}

// delay returns the one-way network delay between two data centres.
func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return remoteDelay
}

// routeRequest passes a request to its entry or, if that is dead, to the next one
// that is alive.
func (sim *simulation) routeRequest(r *request) {
	for i := range sim.entries {
		if e := sim.entries[(r.entry+i)%len(sim.entries)]; !e.dead {
			e.arrive(r)
			return
		}
	}
}

// startHeartbeats starts the periodic load reports of all servers to an entry.
func (sim *simulation) startHeartbeats(e *entryModel, first time.Duration) {
	sim.clock.at(first, func() { sim.sendReports(e) })
}

// sendReports sends an entry the load reports of all servers and schedules the next
// ones, until half of drainTime has passed after the last arrival.
func (sim *simulation) sendReports(e *entryModel) {
	if sim.clock.now > sim.fleet.Duration+drainTime/2 {
		return
	}
	for i, s := range sim.prefills {
		sim.deliverReport(s.dead, e.prefills[i], sim.prefillReport(s))
	}
	for i, s := range sim.decodes {
		sim.deliverReport(s.dead, e.decodes[i], sim.decodeReport(s))
	}
	e.dispatchQueued()
	sim.clock.after(heartbeatInterval, func() { sim.sendReports(e) })
}

// deliverReport delivers a load report, which also marks the server as up.
func (sim *simulation) deliverReport(dead bool, view *placement.Server, report placement.Report) {
	if dead {
		return
	}
	sim.clock.after(view.Distance, func() {
		view.Unavailable = false
		view.RecordReport(sim.clock.now, report)
	})
}

func (sim *simulation) prefillReport(s *prefillServer) placement.Report {
	if sim.frozen {
		return sim.frozenPrefill[s.id]
	}
	return s.report()
}

func (sim *simulation) decodeReport(s *decodeServer) placement.Report {
	if sim.frozen {
		return sim.frozenDecode[s.id]
	}
	return s.report()
}

// freezeReports keeps all load reports at their present values.
func (sim *simulation) freezeReports() {
	for _, s := range sim.prefills {
		sim.frozenPrefill = append(sim.frozenPrefill, s.report())
	}
	for _, s := range sim.decodes {
		sim.frozenDecode = append(sim.frozenDecode, s.report())
	}
	sim.frozen = true
}

// scheduleFaults schedules the begin and the end of the faults of the scenario.
func (sim *simulation) scheduleFaults() {
	span := sim.scenario.faultWindow(sim.fleet)
	s := sim.scenario
	duringFault := func(begin, end func()) {
		sim.clock.at(span.From, begin)
		sim.clock.at(span.To, end)
	}
	if s.SlowDecode {
		duringFault(func() { sim.decodes[0].slow = true }, func() { sim.decodes[0].slow = false })
	}
	if s.CrashDecode {
		duringFault(func() { sim.crashDecode(0) }, sim.decodes[0].restart)
	}
	if s.CrashPrefill {
		duringFault(func() { sim.crashPrefill(0) }, sim.prefills[0].restart)
	}
	if s.StallLink {
		duringFault(func() { sim.prefills[0].link.setStalled(true) }, func() { sim.prefills[0].link.setStalled(false) })
	}
	if s.FreezeReports {
		duringFault(sim.freezeReports, func() { sim.frozen = false })
	}
	if s.LoseDataCentre {
		duringFault(func() { sim.crashDataCentre(0) }, func() { sim.restartDataCentre(0) })
	}
}

func (sim *simulation) crashDecode(i int) {
	sim.decodes[i].crash()
	sim.clock.after(detectionTime, func() {
		for _, e := range sim.entries {
			e.decodes[i].Unavailable = sim.decodes[i].dead
		}
	})
}

func (sim *simulation) crashPrefill(i int) {
	sim.prefills[i].crash()
	sim.clock.after(detectionTime, func() {
		for _, e := range sim.entries {
			e.prefills[i].Unavailable = sim.prefills[i].dead
		}
	})
}

// crashDataCentre crashes all processes of a data centre. A fleet of one data
// centre loses a third of its processes.
func (sim *simulation) crashDataCentre(centre int) {
	for i := range sim.prefills {
		if sim.inLostDataCentre(i, centre) {
			sim.crashPrefill(i)
		}
	}
	for i := range sim.decodes {
		if sim.inLostDataCentre(i, centre) {
			sim.crashDecode(i)
		}
	}
	for i, e := range sim.entries {
		if sim.inLostDataCentre(i, centre) {
			e.dead = true
		}
	}
	sim.clock.after(leaseTTL, sim.expireLeases)
}

// inLostDataCentre reports whether the process with an index is among those that
// crash with a data centre.
func (sim *simulation) inLostDataCentre(i, centre int) bool {
	return i%max(sim.fleet.DataCentres, 3) == centre
}

// expireLeases releases the attempts of dead entries at decode servers.
func (sim *simulation) expireLeases() {
	for _, s := range sim.decodes {
		for _, t := range append([]*decodeTask(nil), s.tasks...) {
			if t.orphaned() {
				s.release(t)
			}
		}
	}
}

// restartDataCentre restarts the processes that crashed with a data centre. Entries
// restart without state.
func (sim *simulation) restartDataCentre(centre int) {
	for i, s := range sim.prefills {
		if sim.inLostDataCentre(i, centre) {
			s.restart()
		}
	}
	for i, s := range sim.decodes {
		if sim.inLostDataCentre(i, centre) {
			s.restart()
		}
	}
	for i := range sim.entries {
		if sim.inLostDataCentre(i, centre) {
			sim.entries[i] = newEntry(sim, i)
			sim.startHeartbeats(sim.entries[i], sim.clock.now)
		}
	}
}
