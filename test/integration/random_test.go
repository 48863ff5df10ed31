package integration

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/invariant"
)

// Environment variables of the randomised run.
const (
	envSeed     = "SAMPHIRE_FAULTS_SEED"
	envDuration = "SAMPHIRE_FAULTS_DURATION"
)

const (
	defaultSeed     = 1
	defaultDuration = 20 * time.Second
	randomCallers   = 6
	// maxFaultDuration bounds the time for which one fault lasts.
	maxFaultDuration = 4 * time.Second
)

// randomFault is a fault that a schedule can draw. repair ends it.
type randomFault struct {
	name   string
	inject func()
	repair func()
}

// schedule draws faults from a seed. Which faults it draws depends on the seed
// alone; the state of the requests when a fault is injected does not.
type schedule struct {
	t   *testing.T
	f   *fleet
	rnd *rand.Rand
}

// draw returns a random fault of a random process or link.
func (s *schedule) draw() randomFault {
	if s.rnd.IntN(3) == 0 {
		return s.drawLink()
	}
	p := s.f.processes[s.rnd.IntN(len(s.f.processes))]
	if p.name == "platform" || s.rnd.IntN(2) == 0 {
		return randomFault{"pause " + p.name, p.pause, p.resume}
	}
	return randomFault{"kill " + p.name, p.kill, func() { p.start(s.t) }}
}

func (s *schedule) drawLink() randomFault {
	prefix := []string{"link:peers:", "link:backend:"}[s.rnd.IntN(2)]
	l := s.f.links[prefix+s.f.plan.servers[s.rnd.IntN(len(s.f.plan.servers))].name]
	switch s.rnd.IntN(4) {
	case 0:
		return randomFault{"cut " + l.name, func() { l.cutOff("") }, l.heal}
	case 1:
		return randomFault{"reset " + l.name, l.reset, l.heal}
	case 2:
		return randomFault{"blackhole " + l.name, func() { l.injectToxics(s.t, "", toxicBlackholeUp, toxicBlackholeDown) }, l.heal}
	default:
		return randomFault{"blackhole open " + l.name, func() { l.blackholeOpen(s.t, toxicBlackholeUp, toxicBlackholeDown) }, l.heal}
	}
}

// run injects one or two faults at a time until the given time. It returns how often
// it injected faults.
func (s *schedule) run(until time.Time) (n int) {
	for ; time.Now().Before(until); n++ {
		first, second := s.draw(), s.draw()
		both := s.rnd.IntN(2) == 0 && second.name != first.name && !s.conflict(first, second)
		duration := time.Duration(s.rnd.Int64N(int64(maxFaultDuration)))
		s.t.Logf("%d: %s, second fault %v: %s, for %v", n, first.name, both, second.name, duration)
		s.f.scenario = fmt.Sprintf("fault %d", n)
		first.inject()
		if both {
			second.inject()
		}
		time.Sleep(duration)
		first.repair()
		if both {
			second.repair()
		}
		s.f.awaitReady()
	}
	return n
}

// conflict reports whether two faults, by their names, affect the same process or
// link. A fault of open connections conflicts with every other one.
func (s *schedule) conflict(a, b randomFault) bool {
	var x, y, ignored string
	_, _ = fmt.Sscan(a.name, &ignored, &x)
	_, _ = fmt.Sscan(b.name, &ignored, &y)
	return x == y || x == "open" || y == "open"
}

// TestRandomFaults injects faults that are drawn from a seed into a fleet under
// load. Set SAMPHIRE_FAULTS_SEED to repeat a run and SAMPHIRE_FAULTS_DURATION for
// a longer one.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seed, err := strconv.ParseUint(cmp.Or(os.Getenv(envSeed), strconv.Itoa(defaultSeed)), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	duration, err := time.ParseDuration(cmp.Or(os.Getenv(envDuration), defaultDuration.String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("repeat with %s=%d %s=%v", envSeed, seed, envDuration, duration)
	f := newFleet(t, twoCentrePlan())
	l := f.startLoad(randomCallers)
	s := &schedule{t: t, f: f, rnd: rand.New(rand.NewPCG(seed, seed))}
	n := s.run(time.Now().Add(duration))
	l.awaitMore(randomCallers)
	t.Logf("%d faults or pairs of faults; calls: %v", n, l.end())
	f.checkInvariants()
	if l.count(invariant.OutcomeWhole) == 0 {
		t.Error("no call was answered")
	}
}
