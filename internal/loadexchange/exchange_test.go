package loadexchange

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/memnet"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// network is the network of the members.
type network struct{ *memnet.Network }

func newNetwork() *network { return &network{memnet.New(0)} }

// member is one exchange with the last state that its callbacks received.
type member struct {
	*Exchange
	speedRecorder
	mu          sync.Mutex
	calls       map[string]int
	stageChange map[string]time.Time
	// unreachable are the servers that another member reports as unreachable.
	unreachable  map[string]bool
	waits        int
	lastPriority int // of the first waiting request
	stop         context.CancelFunc
}

func (n *network) start(addr string, seeds ...string) *member {
	return n.startWith(Options{Self: addr, Seeds: seeds}, 0)
}

// startWith starts a member with a version of the configuration; 0 is none.
func (n *network) startWith(o Options, version uint64) *member {
	m := &member{calls: map[string]int{}, stageChange: map[string]time.Time{}, unreachable: map[string]bool{}}
	m.Exchange = New(n.Listen(o.Self), o, log.NewNopLogger())
	m.SetHandler(m)
	m.SetConfig(version, []byte("old"), directory.Version{})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.Run(ctx)
	return m
}

// SetRemoteUsage implements Handler.
func (m *member) SetRemoteUsage(server string, others []Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[server] = 0
	delete(m.stageChange, server)
	delete(m.unreachable, server)
	for _, u := range others {
		m.unreachable[server] = m.unreachable[server] || u.Unreachable
		m.calls[server] += u.Calls
		m.stageChange[server] = u.StageChangeUntil
	}
}

// SetRemoteWaiting implements Handler.
func (m *member) SetRemoteWaiting(_ string, waiting []Waiting) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waits = len(waiting)
	if len(waiting) > 0 {
		m.lastPriority = waiting[0].Priority
	}
}

// ignored implements the parts of Handler that a test does not look at.
type ignored struct{}

func (ignored) SetRemoteUsage(string, []Usage)              {}
func (ignored) SetRemoteWaiting(string, []Waiting)          {}
func (ignored) SetRemoteSpeeds(string, []predict.SpeedSums) {}

func (ignored) SetRemoteServerSpeeds(string, []ServerSpeeds)  {}
func (ignored) ServerSpeeds([]string) map[string]ServerSpeeds { return nil }
func (ignored) SetRemoteOrigins(origin.Origin, []origin.Key)  {}
func (ignored) Origin(origin.Key) (origin.Origin, bool)       { return origin.Origin{}, false }
func (ignored) KeeperRestarted(string)                        {}
func (ignored) PeerFound(string)                              {}
func (ignored) AddRemoteEnd(blame.End)                        {}
func (ignored) AddRemoteSurvived(blame.Key, time.Time)        {}
func (ignored) Evidence() ([]blame.End, map[blame.Key]time.Time) {
	return nil, nil
}

func (m *member) remoteCalls(server string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[server]
}

func (m *member) stageChangeUntil(server string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stageChange[server]
}

func (m *member) waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waits
}

const a, b, c = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"

// startThree starts three members that all have the first one as their seed.
func startThree(n *network) [3]*member {
	out := [3]*member{n.start(a, a), n.start(b, a), n.start(c, a)}
	time.Sleep(3 * fullInterval)
	return out
}

func run(t *testing.T, f func(t *testing.T, n *network, m [3]*member)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		m := startThree(n)
		f(t, n, m)
		for _, x := range m {
			x.stop()
		}
		time.Sleep(time.Second)
	})
}

func TestMembersFindEachOtherThroughASeed(t *testing.T) {
	run(t, func(t *testing.T, _ *network, m [3]*member) {
		is := is.New(t)
		for _, x := range m {
			is.Equal(x.Entries(), 3)
		}
		is.Equal(m[1].Peers(), []string{a, c})
	})
}

// TestNewEntriesReceiveLoadAtOnce starts an entry beside others that use a server and
// checks that it receives their use before the next full message, also from a peer
// that it discovers through its seed.
func TestNewEntriesReceiveLoadAtOnce(t *testing.T) {
	run(t, func(t *testing.T, n *network, m [3]*member) {
		is := is.New(t)
		m[0].PublishUsage("s", Usage{Calls: 2}, true)
		m[2].PublishUsage("s", Usage{Calls: 3}, true)
		time.Sleep(fullInterval / 2)
		fresh := n.start("10.0.0.4:1", a)
		fresh.PublishUsage("s", Usage{Calls: 4}, true)
		time.Sleep(10 * batchDelay)
		is.Equal(fresh.remoteCalls("s"), 5)
		is.Equal(m[2].remoteCalls("s"), 6)
		is.Equal(len(fresh.Peers()), 3)
		fresh.stop()
	})
}

func TestChangesAreSentAtOnce(t *testing.T) {
	run(t, func(t *testing.T, _ *network, m [3]*member) {
		is := is.New(t)
		m[0].PublishUsage("s", Usage{Calls: 2}, true)
		m[1].PublishUsage("s", Usage{Calls: 3}, true)
		m[1].PublishWaiting("pool", []Waiting{{Arrived: time.Now(), Priority: 3}})
		time.Sleep(2 * batchDelay)
		m[2].mu.Lock()
		is.Equal(m[2].lastPriority, 3)
		m[2].mu.Unlock()
		is.Equal(m[2].remoteCalls("s"), 5)
		is.Equal(m[0].remoteCalls("s"), 3) // without its own use
		is.Equal(m[2].waiting(), 1)
		m[0].PublishUsage("s", Usage{}, true)
		m[1].PublishWaiting("pool", nil)
		time.Sleep(2 * batchDelay)
		is.Equal(m[2].remoteCalls("s"), 3)
		is.Equal(m[2].waiting(), 0)
	})
}

// TestUnavailableServersAreReported orders an idle server to change its stage: its
// usage has nothing but StageChangeUntil and must still be sent.
func TestUnavailableServersAreReported(t *testing.T) {
	run(t, func(t *testing.T, _ *network, m [3]*member) {
		is := is.New(t)
		until := time.Now().Add(6 * time.Second)
		m[0].PublishUsage("s", Usage{StageChangeUntil: until}, true)
		for range 4 {
			time.Sleep(time.Second)
			is.True(m[1].stageChangeUntil("s").Sub(until).Abs() < 10*time.Millisecond)
		}
		m[0].PublishUsage("s", Usage{}, true)
		time.Sleep(time.Second)
		is.True(m[1].stageChangeUntil("s").IsZero())
	})
}

func TestUnreachableServersAreReported(t *testing.T) {
	run(t, func(t *testing.T, _ *network, m [3]*member) {
		is := is.New(t)
		for _, unreachable := range []bool{true, false} {
			m[0].PublishUsage("s", Usage{Unreachable: unreachable}, true)
			time.Sleep(2 * fullInterval)
			m[1].mu.Lock()
			got := m[1].unreachable["s"]
			m[1].mu.Unlock()
			is.Equal(got, unreachable)
		}
	})
}

func TestBrokenCallsAreReportedWithinTheirWindow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := Usage{BrokenCallTimes: []time.Time{now.Add(-2 * BrokenCallWindow), now.Add(-BrokenCallWindow / 2)}}
	got := u.withAges(now).withTimes(now.Add(time.Hour)) // another clock
	is.Equal(got.BrokenCallTimes, []time.Time{now.Add(time.Hour - BrokenCallWindow/2)})
	is.True(!got.empty())
}

func TestEndedUsesAreRemoved(t *testing.T) {
	run(t, func(t *testing.T, _ *network, m [3]*member) {
		is := is.New(t)
		m[0].PublishUsage("s", Usage{BrokenCallTimes: []time.Time{time.Now()}}, true)
		time.Sleep(BrokenCallWindow + 2*fullInterval)
		for _, x := range m {
			x.Exchange.mu.Lock()
			uses := len(x.localUse)
			for _, p := range x.peers {
				uses += len(p.uses)
			}
			x.Exchange.mu.Unlock()
			is.Equal(uses, 0)
		}
	})
}

func TestLostDatagramsAreRepaired(t *testing.T) {
	run(t, func(t *testing.T, n *network, m [3]*member) {
		is := is.New(t)
		n.SetDrop(func(from, to string) bool { return from == a && to == b })
		m[0].PublishUsage("s", Usage{Calls: 1}, true)
		time.Sleep(2 * batchDelay)
		is.Equal(m[1].remoteCalls("s"), 0)
		n.SetDrop(nil)
		time.Sleep(fullInterval)
		is.Equal(m[1].remoteCalls("s"), 1)
	})
}

func TestLoadOfUnresponsivePeersIsDiscarded(t *testing.T) {
	run(t, func(t *testing.T, n *network, m [3]*member) {
		is := is.New(t)
		m[0].PublishUsage("s", Usage{Calls: 1}, true)
		m[0].PublishWaiting("pool", []Waiting{{Arrived: time.Now()}})
		time.Sleep(2 * batchDelay)
		n.SetDrop(func(from, _ string) bool { return from == a })
		time.Sleep(peerTimeout + 2*fullInterval)
		is.Equal(m[1].remoteCalls("s"), 0)
		is.Equal(m[1].waiting(), 0)
		is.Equal(m[1].Peers(), []string{c})
		is.Equal(m[1].Entries(), 3) // it may be alive behind a network partition
		time.Sleep(entriesHoldTime + fullInterval)
		is.Equal(m[1].Entries(), 2)
	})
}

func TestLeavingPeersAreRemovedAtOnce(t *testing.T) {
	run(t, func(t *testing.T, _ *network, m [3]*member) {
		is := is.New(t)
		m[0].PublishUsage("s", Usage{Calls: 1}, true)
		m[0].PublishWaiting("pool", []Waiting{{Arrived: time.Now()}})
		time.Sleep(2 * batchDelay)
		is.Equal(m[1].waiting(), 1)
		m[0].stop()
		time.Sleep(2 * batchDelay)
		is.Equal(m[1].remoteCalls("s"), 0)
		is.Equal(m[1].waiting(), 0) // no other peer has reported the pool
		is.Equal(m[1].Peers(), []string{c})
	})
}

func TestOldMessagesDoNotReplaceNewerState(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := newPeer(5)
	p.apply(&message{Incarnation: 5, Seq: 9, Uses: map[string]Usage{"s": {Calls: 9}}}, now, peerTimeout)
	is.Equal(p.apply(&message{Incarnation: 5, Seq: 8, Uses: map[string]Usage{"s": {Calls: 8}}}, now, peerTimeout), nil)
	is.Equal(p.apply(&message{Incarnation: 5, Seq: 7, Full: true}, now, peerTimeout), nil)
	is.Equal(p.apply(&message{Incarnation: 4, Seq: 99, Uses: map[string]Usage{"s": {Calls: 4}}}, now, peerTimeout), nil)
	is.Equal(p.uses["s"].Calls, 9)
	is.Equal(p.apply(&message{Incarnation: 6, Seq: 1}, now, peerTimeout), []string{"s"}) // a new incarnation
	is.Equal(len(p.uses), 0)
}

// TestRestartWithClockSetBackIsAccepted restarts an entry whose clock is behind that
// of its previous incarnation. Its peers must not ignore it as an old incarnation.
func TestRestartWithClockSetBackIsAccepted(t *testing.T) {
	run(t, func(t *testing.T, n *network, m [3]*member) {
		is := is.New(t)
		m[2].PublishUsage("s", Usage{Calls: 1}, true)
		time.Sleep(fullInterval)
		is.Equal(m[0].remoteCalls("s"), 1)
		n.SetDrop(func(from, _ string) bool { return from == c }) // as if it were killed: its last message is lost
		m[2].stop()
		time.Sleep(fullInterval)
		n.SetDrop(nil)
		restarted := n.start(c, a)
		restarted.Exchange.mu.Lock()
		restarted.incarnation -= time.Minute.Milliseconds()
		restarted.Exchange.mu.Unlock()
		restarted.PublishUsage("s", Usage{Calls: 2}, true)
		time.Sleep(peerTimeout + 2*fullInterval)
		is.Equal(m[0].remoteCalls("s"), 2)
		is.Equal(m[1].remoteCalls("s"), 2)
		restarted.stop()
	})
}

// TestFullMessagesHoldPresentAges checks the age of a run that full messages repeat
// seconds after it began. With the age of the first message, receivers would
// underestimate its memory, which grows with the age.
// lastUsage keeps the last use that a peer reported.
type lastUsage struct {
	ignored
	mu       sync.Mutex // guards received
	received Usage
}

func (l *lastUsage) SetRemoteUsage(_ string, others []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = Usage{}
	if len(others) > 0 {
		l.received = others[0]
	}
}

func TestFullMessagesHoldPresentAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		var last lastUsage
		receiver := New(n.Listen(b), Options{Self: b, Seeds: []string{a}}, log.NewNopLogger())
		receiver.SetHandler(&last)
		ctx, cancel := context.WithCancel(context.Background())
		go receiver.Run(ctx)
		sender := n.start(a)
		time.Sleep(2 * fullInterval)
		sender.PublishUsage("s", Usage{
			Runs: []Run{{Prompt: 1, Answer: 1, Began: time.Now()}}, StageChangeUntil: time.Now().Add(5 * time.Second),
		}, true)
		time.Sleep(3*fullInterval + batchDelay)
		last.mu.Lock()
		is.True(time.Since(last.received.Runs[0].Began) >= 2*time.Second)
		is.True(time.Until(last.received.StageChangeUntil) <= 3*time.Second)
		last.mu.Unlock()
		cancel()
		sender.stop()
		time.Sleep(time.Second)
	})
}

// TestManyEntriesAreAssumedAtFirst restarts an entry in a fleet of three: before it
// has found its peers, it must not count itself as the only entry.
func TestManyEntriesAreAssumedAtFirst(t *testing.T) {
	run(t, func(t *testing.T, n *network, m [3]*member) {
		is := is.New(t)
		m[2].stop()
		time.Sleep(time.Second)
		m[2] = n.start(c, a)
		is.Equal(m[2].Entries(), assumedEntries)
		time.Sleep(discoveryTime + 2*fullInterval)
		is.Equal(m[2].Entries(), 3)
		m[2].stop()
	})
}

// TestMessagesDoNotGrowWithTheFleet has an entry know of three hundred peers. Its regular
// messages are rarer and list some of them only, and a peer is not taken for dead sooner
// than it sends again.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := New(nil, Options{Self: "self"}, log.NewNopLogger())
		now := time.Now()
		for i := range 3 * peersPerSecond {
			p := newPeer(1)
			p.lastReceived = now
			x.peers[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = p
		}
		is.Equal(x.fullInterval(), 3*fullInterval)
		time.Sleep(2 * peerTimeout)
		is.Equal(len(x.Peers()), 3*peersPerSecond)
		is.Equal(len(x.fullLocked(time.Now(), true, maxMembers).Members), maxMembers)
		b, err := encode(x.fullLocked(time.Now(), true, maxMembersToNew))
		is.NoErr(err)
		is.True(len(b) < maxDatagram/2)
	})
}

// TestSpeedsSurviveAFullMessage publishes speeds just before a full message without them.
func TestSpeedsSurviveAFullMessage(t *testing.T) {
	is := is.New(t)
	x := New(nil, Options{Self: "self"}, log.NewNopLogger())
	x.fulls = 1 // the next full message is not complete
	speeds := predict.NewSpeeds(predict.Prior{})
	speeds.AddStep(1, 4)
	x.PublishSpeeds("service", speeds.Local())
	x.sendFull(false)
	is.True(x.dirtySpeeds["service"]) // still to be sent
}

func TestEntriesAgreeOnTheirRanks(t *testing.T) {
	run(t, func(t *testing.T, _ *network, m [3]*member) {
		is := is.New(t)
		for i := range m {
			m[i].PublishUsage("s", Usage{Calls: 1}, true)
		}
		time.Sleep(time.Second)
		for _, key := range []string{"s1", "s2", "s3"} {
			seen := map[int]bool{}
			for i := range m {
				rank, entries := m[i].Rank(key)
				is.Equal(entries, 3)
				seen[rank] = true
			}
			is.Equal(len(seen), 3)
		}
		m[1].PublishUsage("s", Usage{}, true)
		time.Sleep(2 * activeTime) // it serves no callers
		_, entries := m[0].Rank("s1")
		is.Equal(entries, 2)
	})
}

func TestAdviceIsSentWithItsAge(t *testing.T) {
	is := is.New(t)
	sent, now := time.Now(), time.Now().Add(time.Minute)
	five := 5.0
	u := Usage{Started: 7, LeavingSince: sent.Add(-3 * time.Second), Limit: &Limit{PerSecond: &five, Asked: sent.Add(-2 * time.Second), Heard: sent.Add(-time.Second)}}
	b, err := encode(&message{Uses: map[string]Usage{"s": u.withAges(sent)}})
	is.NoErr(err)
	m, err := decode(b)
	is.NoErr(err)
	got := m.Uses["s"].withTimes(now)
	is.Equal(got.Started, int64(7))
	is.Equal(*got.Limit.PerSecond, five)
	is.True(got.Limit.Asked.Equal(now.Add(-2 * time.Second)))
	is.True(got.Limit.Heard.Equal(now.Add(-time.Second)))
	is.True(got.LeavingSince.Equal(now.Add(-3 * time.Second)))
	is.True(!u.empty())
	is.True(u.withAges(sent.Add(adviceTTL)).empty())
}

// TestUsageAgeIsThatOfFullMessages guards against an age that changes reset: they say nothing
// of the uses that are not published at once.
func TestUsageAgeIsThatOfFullMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := New(nil, Options{Self: "self"}, log.NewNopLogger())
		is.Equal(x.UsageAge(), time.Duration(0)) // without peers
		for seq, addr := range []string{"a", "b"} {
			p := newPeer(1)
			p.apply(&message{Incarnation: 1, Seq: uint64(seq + 1), Full: true}, time.Now(), peerTimeout)
			x.peers[addr] = p
			time.Sleep(400 * time.Millisecond)
		}
		x.peers["a"].apply(&message{Incarnation: 1, Seq: 9, Uses: map[string]Usage{"s": {Calls: 1}}}, time.Now(), peerTimeout)
		is.Equal(x.UsageAge(), 600*time.Millisecond+ReportDelay) // the mean of 800 and 400
		x.peers["c"] = newPeer(1)
		x.peers["c"].lastReceived = time.Now() // no full message was received yet
		is.Equal(x.UsageAge(), (1200*time.Millisecond+peerTimeout)/3+ReportDelay)
		time.Sleep(2 * peerTimeout)
		is.Equal(x.UsageAge(), time.Duration(0)) // no peer is alive
	})
}
