package quota

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bound of the users: in any window at most (rate x window + burst) x (1 + overage) + slack.
const (
	boundWindow  = 8 * time.Second
	boundOverage = 0.25
	boundSlack   = 73_000
	// simStep is the resolution of the virtual time.
	simStep = 5 * time.Millisecond
	// aliveTime is the time for which the exchange takes a silent peer to be alive.
	aliveTime = 2500 * time.Millisecond
	fullEvery = time.Second
	usualCost = 5200 // tokens of a request
	// seedsEnv is the environment variable that sets the number of seeds.
	seedsEnv = "QUOTA_SEEDS"
)

type simMessage struct {
	from, to    int
	incarnation int64
	seq         uint64
	uses        []Use
	levels      *Levels
	leaving     bool
	full        bool
	known       int
}

// simEntry is one entry as the exchange and the router use its table.
type simEntry struct {
	*Table
	incarnation        int64
	seq                uint64
	sent, full, ticked time.Time
	heard              map[int]time.Time
	unsent             bool
	group              int
	up                 bool
	weight             float64
	limits             int // index of the limits in force
}

type simRun struct {
	at   time.Time
	org  int
	cost float64
}

// sim is a fleet in virtual time.
type sim struct {
	rnd     *rand.Rand
	now     time.Time
	entries []*simEntry
	// pending are the messages on their way, by step of arrival.
	pending map[int64][]simMessage
	loss    float64
	delay   time.Duration
	limits  [][]Limit
	load    []float64 // tokens a second, by organisation
	cost    func() float64
	runs    []simRun
	refused int
	// ideal, if not nil, are buckets that callers do not exceed.
	ideal []*bucket
}

func newSim(seed uint64, entries int, limits ...[]Limit) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), pending: map[int64][]simMessage{}, limits: limits, delay: 10 * time.Millisecond, load: make([]float64, len(limits[0]))}
	s.cost = func() float64 { return usualCost }
	for range entries {
		s.entries = append(s.entries, &simEntry{})
	}
	for i := range entries {
		s.start(i)
	}
	return s
}

func (s *sim) start(i int) {
	e := s.entries[i]
	*e = simEntry{Table: NewTable(s.now, false), incarnation: s.now.UnixMilli(), heard: map[int]time.Time{}, up: true, group: e.group, weight: e.weight, limits: e.limits}
	e.Configure(s.now, uint64(e.limits+1), s.limits[e.limits])
	e.full = s.now.Add(-time.Duration(s.rnd.Float64() * float64(fullEvery)))
	e.Mention(s.now, s.addr(0)) // the seed
	s.send(i, simMessage{full: true}, nil)
}

// granted returns the limits that the entries enforce for some quotas.
func granted(quotas []Limit) []Limit {
	out := make([]Limit, len(quotas))
	for i, q := range quotas {
		out[i] = Tolerance{Overage: boundOverage, Slack: boundSlack}.Grant(q)
	}
	return out
}

func (s *sim) addr(i int) string { return fmt.Sprint("e", i) }

// send sends a message to all peers that are alive, to all entries if it is full, or to some.
func (s *sim) send(i int, m simMessage, to []int) {
	e := s.entries[i]
	e.seq++
	m.from, m.incarnation, m.seq, m.known = i, e.incarnation, e.seq, e.Known()
	if to == nil {
		e.sent = s.now
		for j := range s.entries {
			if j != i && (m.full || s.now.Sub(e.heard[j]) < aliveTime) {
				to = append(to, j)
			}
		}
	}
	for _, j := range to {
		if s.rnd.Float64() < s.loss {
			continue
		}
		m.to = j
		at := s.now.Add(time.Duration(s.rnd.Float64()*float64(s.delay)) + simStep)
		s.pending[at.UnixNano()/int64(simStep)] = append(s.pending[at.UnixNano()/int64(simStep)], m)
	}
}

func (s *sim) deliver(m simMessage) {
	e := s.entries[m.to]
	if !e.up || e.group != s.entries[m.from].group {
		return
	}
	r := e.remotes[s.addr(m.from)]
	if r != nil && m.incarnation < r.incarnation {
		return
	}
	found := s.now.Sub(e.heard[m.from]) >= aliveTime || r == nil || r.incarnation != m.incarnation
	e.heard[m.from] = s.now
	for j := range s.entries {
		if m.full && j != m.to && s.now.Sub(s.entries[m.from].heard[j]) < aliveTime {
			e.Mention(s.now, s.addr(j))
		}
	}
	wasSilent := e.Receive(s.now, s.addr(m.from), m.incarnation, m.seq, m.uses, m.known, m.leaving)
	if m.levels != nil {
		e.Adopt(s.now, s.addr(m.from), m.levels)
	}
	if wasSilent && !found {
		s.send(m.to, simMessage{uses: e.Since(s.now, false), levels: e.Levels(s.now)}, []int{m.from})
	}
	if found && !m.leaving {
		s.send(m.to, simMessage{full: true, uses: e.Since(s.now, true), levels: e.Levels(s.now)}, []int{m.from})
	}
}

// leave ends an entry, with a last message or without.
func (s *sim) leave(i int, announced bool) {
	if announced {
		s.send(i, simMessage{full: true, leaving: true, uses: s.entries[i].Recent(s.now)}, nil)
	}
	s.entries[i].up = false
}

func (s *sim) request(i, org int, cost float64) {
	e := s.entries[i]
	name := s.limits[0][org].Name
	d := e.Charge(s.now, name, cost)
	switch {
	case !d.Admitted:
		s.refused++
	case s.rnd.Float64() < 0.05: // not run
		e.Refund(s.now, name, cost)
	default:
		s.runs = append(s.runs, simRun{s.now, org, cost})
		e.unsent = true
	}
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	key := s.now.UnixNano() / int64(simStep)
	for _, m := range s.pending[key] {
		s.deliver(m)
	}
	delete(s.pending, key)
	total := 0.0
	for i, e := range s.entries {
		if !e.up {
			continue
		}
		total += e.weight
		if s.now.Sub(e.ticked) >= TickInterval {
			e.ticked = s.now
			e.Tick(s.now)
		}
		switch {
		case s.now.Sub(e.full) >= fullEvery:
			e.full = s.now
			s.send(i, simMessage{full: true, uses: e.Recent(s.now)}, nil)
		case e.unsent || s.now.Sub(e.sent) >= Pulse:
			s.send(i, simMessage{uses: e.News(s.now)}, nil)
		}
		e.unsent = false
	}
	for org, load := range s.load {
		mean := s.cost()
		for n := load * simStep.Seconds() / usualCost; n > 0; n-- {
			if s.rnd.Float64() >= n || total == 0 {
				continue
			}
			if s.ideal != nil {
				b := s.ideal[org]
				if b.refill(s.now, fleet{1, 1}); b.level <= 0 {
					continue
				}
				b.level -= mean
			}
			pick := s.rnd.Float64() * total
			for i, e := range s.entries {
				if !e.up {
					continue
				}
				if pick -= e.weight; pick < 0 {
					s.request(i, org, mean)
					break
				}
			}
		}
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// worst returns the largest use of an organisation in a window, as a fraction of the bound.
func (s *sim) worst(org int, limitAt func(from time.Time) Limit) float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, r := range s.runs {
		if r.org != org {
			continue
		}
		sum += r.cost
		for ; s.runs[first].at.Before(r.at.Add(-boundWindow)); first++ {
			if s.runs[first].org == org {
				sum -= s.runs[first].cost
			}
		}
		l := limitAt(r.at.Add(-boundWindow))
		worst = max(worst, sum/((l.Rate*boundWindow.Seconds()+l.Burst)*(1+boundOverage)+boundSlack))
	}
	return worst
}

// groupSize returns the number of entries that are up in a group.
func (s *sim) groupSize(group int) int {
	n := 0
	for _, e := range s.entries {
		if e.up && e.group == group {
			n++
		}
	}
	return n
}

func (s *sim) spread() {
	for _, e := range s.entries {
		f := s.rnd.Float64()
		e.weight = f * f * f * f
	}
}

var usualLimits = []Limit{{"large", 236_195, 236_195}, {"small", 18_000, 18_000}, {"middle", 60_000, 60_000}}

// TestUseStaysWithinTheBound guards against use beyond the bound over all entries together,
// through faults of the network and of entries, at up to eight times the rate.
func TestUseStaysWithinTheBound(t *testing.T) {
	seeds := 16
	if n, err := strconv.Atoi(os.Getenv(seedsEnv)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			lower := []Limit{{"large", 50_000, 50_000}, {"small", 18_000, 18_000}, {"middle", 20_000, 10_000}}
			rnd := rand.New(rand.NewPCG(uint64(seed), 1))
			entries := 1 + rnd.IntN(31)
			s := newSim(uint64(seed), entries, granted(usualLimits), granted(lower))
			s.loss = []float64{0, 0.02, 0.1, 0.3}[rnd.IntN(4)]
			s.spread()
			s.cost = func() float64 { return []float64{usualCost, 2 * usualCost * rnd.Float64()}[seed%2] }
			var lowered time.Time
			s.run(3 * time.Second) // the entries find each other
			for range 14 {         // faults
				for org, l := range [][]Limit{usualLimits, lower}[s.entries[0].limits] {
					s.load[org] = l.Rate * []float64{0, 0.5, 1, 2, 8, 8, 8}[rnd.IntN(7)]
				}
				switch kind := rnd.IntN(8); kind {
				case 0, 1, 2:
					groups, even := 1+rnd.IntN(entries), rnd.IntN(2) == 0
					for _, e := range s.entries {
						if e.group = rnd.IntN(groups); !even && rnd.IntN(3) > 0 {
							e.group = 0
						}
					}
				case 3:
					for _, e := range s.entries {
						e.group = 0
					}
				case 4:
					i := rnd.IntN(entries)
					if s.groupSize(s.entries[i].group) < 2 {
						continue // it can not know of the others
					}
					if s.entries[i].up {
						s.leave(i, rnd.IntN(2) == 0)
						s.run(time.Duration(rnd.IntN(3000)) * time.Millisecond)
					}
					s.start(i)
				case 5:
					if rnd.IntN(3) == 0 {
						for i, e := range s.entries {
							s.leave(i, false)
							e.group = 0
						}
						s.run(time.Second)
						for i := range s.entries {
							s.start(i)
						}
						s.run(3 * time.Second)
					}
				case 6:
					i := rnd.IntN(entries)
					if s.entries[i].up && rnd.IntN(2) == 0 {
						s.leave(i, true)
					} else if !s.entries[i].up && s.groupSize(s.entries[i].group) > 1 {
						s.start(i)
					}
				case 7:
					if lowered.IsZero() {
						for _, e := range s.entries {
							e.limits = 1
							e.Configure(s.now, 2, granted(lower))
							s.run(time.Duration(rnd.IntN(100)) * time.Millisecond)
						}
						lowered = s.now
						continue // with a load for these limits
					}
				}
				s.run(time.Duration(500+rnd.IntN(5000)) * time.Millisecond)
			}
			for org, l := range usualLimits {
				at := func(from time.Time) Limit {
					if !lowered.IsZero() && !from.Before(lowered) {
						return lower[org]
					}
					return l
				}
				got := s.worst(org, at)
				t.Logf("%s: %.2f of the bound, entries %d, loss %.2f", l.Name, got, entries, s.loss)
				is.New(t).True(got <= 1)
			}
		})
	}
}

// TestBelowTheQuotaNothingIsRefused guards against shares, late reports and joins that refuse
// organisations that keep to nine tenths of their quotas, also small ones.
func TestBelowTheQuotaNothingIsRefused(t *testing.T) {
	for seed := range 6 {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSim(uint64(seed), 31, usualLimits)
			s.spread()
			s.run(5 * time.Second)
			for org, l := range usualLimits {
				s.load[org] = 3 * l.Rate
				s.ideal = append(s.ideal, &bucket{limit: Limit{Rate: 0.9 * l.Rate, Burst: 0.9 * l.Burst}, updated: s.now.Add(-time.Second)})
			}
			s.run(20 * time.Second)
			is.True(len(s.runs) > 500)
			is.Equal(s.refused, 0)
		})
	}
}

// TestQuotaIsUsedUnderOverload guards against buckets that count use twice, and against shares of
// a partition that refuse small organisations for good.
func TestQuotaIsUsedUnderOverload(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 31, usualLimits)
	s.spread()
	s.run(5 * time.Second)
	for org, l := range usualLimits {
		s.load[org] = 8 * l.Rate
	}
	used := func(d time.Duration) (out [3]float64) {
		s.runs = nil
		s.run(d)
		for _, r := range s.runs {
			out[r.org] += r.cost
		}
		return out
	}
	for org, got := range used(20 * time.Second) {
		is.True(got > 0.93*20*usualLimits[org].Rate) // 5 in 100 are charged for some time and refunded
	}
	for i, e := range s.entries {
		e.group = i
	}
	s.run(2 * time.Second)
	for org, got := range used(20 * time.Second) {
		is.True(got > 0.3*20*usualLimits[org].Rate) // a few entries have most of the load
	}
}

// TestRollingRestartsRefuseLittle guards against entries that start and charge what the adopted
// level already includes, when datagrams are lost.
func TestRollingRestartsRefuseLittle(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 31, usualLimits)
	s.spread()
	s.run(5 * time.Second)
	s.loss = 0.05
	for org, l := range usualLimits {
		s.load[org] = 3 * l.Rate
		s.ideal = append(s.ideal, &bucket{limit: Limit{Rate: 0.8 * l.Rate, Burst: 0.8 * l.Burst}, updated: s.now.Add(-time.Second)})
	}
	for i := range 12 {
		s.run(2 * time.Second)
		s.leave(i, true)
		s.run(time.Second)
		s.start(i)
		s.run(500 * time.Millisecond)
		for _, row := range s.entries[i].State(s.now).Rows {
			is.True(row.Level+row.Reserve > -row.Burst)
		}
	}
	is.True(100*s.refused < len(s.runs))
}
