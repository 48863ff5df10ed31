package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/ticket"
)

// countingService is an in-memory plain service that counts its calls.
type countingService struct {
	mu     sync.Mutex
	calls  int
	panics bool
	body   []byte
}

func (s *countingService) Call(context.Context, protocol.HTTPCall) (engine.PlainAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.panics {
		panic("broken")
	}
	return engine.PlainAnswer{Code: 201, Body: s.body}, nil
}

var testEntry = protocol.NodeRef{Node: "entry", Incarnation: "1"}

// newPlainAgent returns a serving agent of a plain service.
func newPlainAgent(t *testing.T, s Service) *Agent {
	t.Helper()
	machine := lifecycle.New(nil)
	a := New(Config{
		Self: protocol.NodeRef{Node: "agent", Incarnation: "1"}, Backend: "s", BackendURL: "http://127.0.0.1:1",
		LeaseDuration: 3 * time.Second, TicketKey: make([]byte, 16), Service: s,
	}, release.NewStore(), machine, log.NewNopLogger())
	if err := machine.Ready(); err != nil {
		t.Fatal(err)
	}
	a.publish()
	return a
}

func (a *Agent) testCall(id string, expires, timeout time.Duration) protocol.CallReply {
	text, _ := a.minter.Mint(ticket.Ticket{ID: id, Provider: "p", Backend: "s", Incarnation: "1", Expires: expires})
	var reply protocol.CallReply
	_ = (&PlainCommands{a}).Call(protocol.CallArgs{
		Header: protocol.CommandHeader{From: testEntry, Timeout: timeout}, Provider: "p", Ticket: text,
	}, &reply)
	return reply
}

func TestCallIsReplayedUntilItsTicketExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &countingService{}
		a := newPlainAgent(t, s)
		is.Equal(a.testCall("x", time.Minute, time.Second).Code, 201)
		time.Sleep(59 * time.Second)
		a.expire()
		reply := a.testCall("x", time.Minute, time.Second)
		is.True(reply.Repeated)
		time.Sleep(2 * time.Second)
		a.expire()
		is.Equal(a.calls.size(), 0)
		is.Equal(a.testCall("x", time.Minute, time.Second).Error.Outcome, apierror.OutcomeUnknown)
		is.Equal(s.calls, 1)
	})
}

// TestExpiredCallIsNotRunAfterPause guards against running a call twice when the
// process is paused between the check of the ticket and begin, and the record of
// the first run expires meanwhile.
func TestExpiredCallIsNotRunAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newPlainAgent(t, &countingService{})
		c, state := a.calls.begin("x", callDigest{}, time.Minute)
		is.Equal(state, beginNew)
		a.calls.complete(c, protocol.CallReply{})
		time.Sleep(2 * time.Minute)
		a.calls.expire()
		_, state = a.calls.begin("x", callDigest{}, time.Minute)
		is.Equal(state, beginExpired)
	})
}

func TestCallAfterItsDeadlineIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &countingService{}
		a := newPlainAgent(t, s)
		time.Sleep(time.Minute)
		text, _ := a.minter.Mint(ticket.Ticket{ID: "x", Provider: "p", Backend: "s", Incarnation: "1", Expires: time.Hour})
		late := protocol.CommandHeader{From: testEntry, Timeout: time.Minute, ToIncarnation: "1", ExpiresAt: 30 * time.Second}
		var reply protocol.CallReply
		is.NoErr((&PlainCommands{a}).Call(protocol.CallArgs{Header: late, Provider: "p", Ticket: text}, &reply))
		is.Equal(reply.Error.Outcome, apierror.OutcomeNotRun)
		is.Equal(s.calls, 0)
	})
}

func TestPanicLeavesTheOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	s := &countingService{panics: true}
	a := newPlainAgent(t, s)
	for range 2 {
		is.Equal(a.testCall("x", time.Hour, time.Minute).Error.Outcome, apierror.OutcomeUnknown)
	}
	is.Equal(s.calls, 1)
	is.Equal(a.capacity.slots.used, 0)
}

func TestFullCallTableRefusesNewCallsAndKeepsOldOnes(t *testing.T) {
	is := is.New(t)
	s := &countingService{body: make([]byte, 10<<10)}
	a := newPlainAgent(t, s)
	a.calls = newCallTable(100, expectedAnswerBytes+15<<10, a.uptime)
	is.Equal(a.testCall("x", time.Hour, time.Minute).Code, 201)
	is.Equal(a.testCall("y", time.Hour, time.Minute).Code, 201)
	refused := a.testCall("z", time.Hour, time.Minute)
	is.Equal(refused.Error.Outcome, apierror.OutcomeNotRun)
	is.True(refused.Error.RetryAfter > 0)
	is.True(a.testCall("x", time.Hour, time.Minute).Repeated)
	is.Equal(s.calls, 2)
}

func TestDrainingAgentReplaysButRunsNoNewCall(t *testing.T) {
	is := is.New(t)
	s := &countingService{}
	a := newPlainAgent(t, s)
	is.Equal(a.testCall("x", time.Hour, time.Minute).Code, 201)
	is.NoErr(a.Drain())
	is.True(a.testCall("x", time.Hour, time.Minute).Repeated)
	is.Equal(a.testCall("y", time.Hour, time.Minute).Error.Outcome, apierror.OutcomeNotRun)
	is.Equal(s.calls, 1)
	is.NoErr(a.WaitIdle(t.Context()))
}

func TestTombstonesOutliveEveryCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTombstones(3)
		for i := range 3 {
			s.add(fmt.Sprint(i))
			time.Sleep(time.Second)
		}
		is.True(s.full(0))
		time.Sleep(maxCommandLifetime)
		s.expire(time.Now())
		is.True(s.has("0"))
		time.Sleep(time.Minute)
		s.expire(time.Now())
		is.True(!s.has("0"))
		is.True(!s.full(0))
	})
}

func newTestAttempt(grace time.Duration) *attempt {
	return newAttempt(protocol.Attempt{ID: "x", Grace: grace}, protocol.CommandHeader{From: testEntry}, time.Minute)
}

func TestAttachOnAnOlderStreamHasNoEffect(t *testing.T) {
	is := is.New(t)
	x := newTestAttempt(0)
	is.NoErr(x.push(0, "a"))
	older, newer := newSink(nil, nil), newSink(nil, nil)
	is.True(x.attach(newer, protocol.Attach{Epoch: 2}))
	is.True(x.attach(older, protocol.Attach{Epoch: 1}))
	_, ok, _ := x.nextChunk(older)
	is.True(!ok)
	c, ok, _ := x.nextChunk(newer)
	is.True(ok)
	is.Equal(c.Tokens, []string{"a"})
}

func TestEngineEventsThatSkipATokenAreRefused(t *testing.T) {
	is := is.New(t)
	x := newTestAttempt(0)
	is.NoErr(x.push(0, "a"))
	is.True(x.push(2, "c") != nil)
	is.NoErr(x.push(0, "again"))
	is.Equal(x.next(), 1)
}

func TestChunksAreBounded(t *testing.T) {
	is := is.New(t)
	x := newTestAttempt(0)
	for i := range 40 {
		is.NoErr(x.push(i, string(make([]byte, 1<<10))))
	}
	x.finish(protocol.End{FinishReason: "stop"})
	s := newSink(nil, nil)
	is.True(x.attach(s, protocol.Attach{}))
	total, ends := 0, 0
	for more := true; more; {
		var c protocol.Chunk
		c, _, more = x.nextChunk(s)
		is.Equal(c.Offset, total)
		is.True(len(c.Tokens) <= maxChunkBytes>>10)
		total += len(c.Tokens)
		if c.End != nil {
			ends++
		}
	}
	is.Equal(total, 40)
	is.Equal(ends, 1)
}

func TestResumableAttemptKeepsItsTokens(t *testing.T) {
	is := is.New(t)
	x := newTestAttempt(time.Second)
	x.setStart(2, []string{"a", "b"})
	is.NoErr(x.push(2, "c"))
	x.ack(3)
	delivered, _, ok := x.handOver(1)
	is.True(ok)
	is.Equal(delivered, []string{"a"})
	s := newSink(nil, nil)
	is.True(x.attach(s, protocol.Attach{Offset: 1}))
	c, _, _ := x.nextChunk(s)
	is.Equal(c.Tokens, []string{"b", "c"})
}

// TestEndedDecodeGivesBackOneShare ends one of two decodes of a provider normally and
// then removes it, as when its last token is acknowledged. The provider still holds the
// share of the other one and must yield to a provider that holds none.
func TestEndedDecodeGivesBackOneShare(t *testing.T) {
	is := is.New(t)
	a := newPlainAgent(t, &countingService{})
	for range 2 {
		a.shares.Acquire("p", 1)
	}
	ended := &attempt{id: "1", provider: "p", reserved: true, cancel: func() {}}
	a.attempts[ended.id] = ended
	a.finishDecode(ended)
	is.True(a.removeAttempt(ended))
	a.shares.RecordUnmetDemand(a.uptime(), "q", 1)
	is.True(a.shares.MustYield(a.uptime(), "p", 1))
}

// TestServicesAreLeftAloneAtTheirWord lets a service ask for a pause and for a limit, and say
// that it leaves.
func TestServicesAreLeftAloneAtTheirWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &countingService{}
		a := newPlainAgent(t, s)
		said := func(n advisory.Notice) {
			n.ToRequest, n.Sent, n.Received = true, time.Now(), time.Now()
			a.Observe(n, nil)
		}
		next := 0
		call := func() protocol.CallReply {
			next++
			return a.testCall(fmt.Sprint("c", next), time.Hour, time.Second)
		}
		said(advisory.Notice{RetryAfter: 3 * time.Second})
		reply := call()
		is.Equal(reply.Error.Outcome, apierror.OutcomeNotRun)
		is.Equal(reply.Error.RetryAfter, 3*time.Second)
		is.Equal(a.load().ClosedFor, 3*time.Second)
		is.Equal(s.calls, 0)
		time.Sleep(3 * time.Second)
		is.Equal(call().Code, 201)

		five := 5.0
		said(advisory.Notice{Limit: &five})
		before := s.calls
		for range 100 {
			time.Sleep(40 * time.Millisecond)
			call()
		}
		is.True(s.calls-before >= 18 && s.calls-before <= 21) // 4 s
		time.Sleep(time.Millisecond)
		said(advisory.Notice{})
		is.Equal(call().Code, 201)
		is.Equal(call().Code, 201)

		said(advisory.Notice{Leaving: true})
		is.Equal(call().Error.Kind, apierror.KindDraining)
		is.True(a.load().Draining)
		time.Sleep(time.Millisecond)
		said(advisory.Notice{}) // of another life
		is.Equal(call().Code, 201)
	})
}

// TestCommandIsRefusedWhileTheStateTurnsFresh lets the process's recorded state become
// fresh during the check of a command.
func TestCommandIsRefusedWhileTheStateTurnsFresh(t *testing.T) {
	is := is.New(t)
	a := newPlainAgent(t, &countingService{})
	checks := 0
	a.cfg.StateFresh = func() bool { checks++; return checks > 1 }
	a.mu.Lock()
	defer a.mu.Unlock()
	left, refusal := a.checkNew(protocol.CommandHeader{From: testEntry, Timeout: time.Second}, "x")
	is.True(refusal != nil)
	is.Equal(left, time.Duration(0))
}

// TestCancelsOfUnknownAttemptsTakeBoundedMemory cancels more attempts than tombstones fit.
// A command for any of them is refused until it has expired.
func TestCancelsOfUnknownAttemptsTakeBoundedMemory(t *testing.T) {
	const limit = 4
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newPlainAgent(t, &countingService{})
		a.tombstones = newTombstones(limit)
		for i := range 3 * limit {
			a.cancel(protocol.CancelArgs{Header: protocol.CommandHeader{From: testEntry}, Attempt: fmt.Sprint(i)})
			time.Sleep(time.Minute)
		}
		is.Equal(len(a.tombstones.ids), limit)
		check := func(id string) *apierror.Error {
			a.expire()
			a.mu.Lock()
			defer a.mu.Unlock()
			_, refusal := a.checkNew(protocol.CommandHeader{From: testEntry, Timeout: time.Second}, id)
			return refusal
		}
		last := fmt.Sprint(3*limit - 1)
		is.True(check(last) != nil)
		time.Sleep(maxCommandLifetime - time.Minute)
		is.True(check(last) != nil)
		time.Sleep(tombstoneTTL)
		is.True(check("new") == nil)
	})
}
