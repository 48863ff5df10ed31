package router_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/router"
)

// The streams of these tests have answers of streamEvents events in streamTime. A decode server
// has memory for about streamsPerServer of them.
const (
	streamEvents     = 70
	streamTime       = 2 * time.Second
	streamsPerServer = 7
	eventTokens      = 72 // of the service, see newDirectory
)

// streams makes the decode servers answer with such streams.
func (f *fleet) streams() {
	f.servers.setAll(decodeServers, func(context.Context, *router.OutgoingCall) (*router.Reply, error) {
		return reply(200, &pacedReader{left: streamEvents, gap: streamTime / streamEvents}), nil
	})
}

// received counts what callers got.
type received struct {
	asked, served, onTime, refused int
	// slowestRefusal is the longest time until a refusal.
	slowestRefusal time.Duration
}

func share(n int, of received) float64 { return float64(n) / float64(of.asked) }

// ask sends calls at an interval, each from the next of callers in turn, and returns what these
// got. A stream is on time if its answer began within the target.
func (f *fleet) ask(calls int, every time.Duration, callers ...func() *router.Call) []received {
	out := make([]received, len(callers))
	var mu sync.Mutex // guards out
	var all sync.WaitGroup
	for i := range calls {
		all.Go(func() {
			a := f.try(callers[i%len(callers)]())
			mu.Lock()
			defer mu.Unlock()
			r := &out[i%len(callers)]
			r.asked++
			switch {
			case a.failure != nil && a.failure.Outcome == apierror.OutcomeNotRun:
				r.refused++
				r.slowestRefusal = max(r.slowestRefusal, time.Since(a.began))
			case a.failure == nil && !a.aborted:
				r.served++
				if a.first <= target {
					r.onTime++
				}
			}
		})
		time.Sleep(every)
	}
	all.Wait()
	return out
}

// try sends a call.
func (f *fleet) try(c *router.Call) *timedAnswer {
	a := &timedAnswer{began: time.Now()}
	f.Serve(context.Background(), c, a)
	return a
}

// timedAnswer records when an answer began.
type timedAnswer struct {
	recordedAnswer
	began time.Time
	first time.Duration
}

func (a *timedAnswer) Write(p []byte) error {
	if a.first == 0 {
		a.first = time.Since(a.began)
	}
	return a.recordedAnswer.Write(p)
}

// within returns callers of a path that have a time limit.
func within(path string, limit time.Duration) func() *router.Call {
	return func() *router.Call {
		c := newCall(path)
		c.Deadline = c.Arrived.Add(limit)
		return c
	}
}

// TestCallersAreServedAlikeWhateverTheirTimeLimit guards callers whose time limit is shorter than
// that of others against being taken for callers that come back.
func TestCallersAreServedAlikeWhateverTheirTimeLimit(t *testing.T) {
	const (
		calls       = 600
		every       = streamTime / (2 * streamsPerServer * 3) // twice the capacity
		maxDistance = 0.15                                    // three standard errors of the difference of two shares of 200
	)
	for _, competing := range []bool{false, true} {
		t.Run(fmt.Sprint("competing ", competing), func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				if competing {
					f.compete()
				}
				f.streams()
				got := f.ask(calls, every, within("/stream/x", 14*time.Second), within("/stream/x", 10*time.Second), within("/stream/x", 5*time.Second))
				t.Logf("%+v", got)
				for _, r := range got {
					is.True(math.Abs(share(r.served, r)-share(got[0].served, got[0])) < maxDistance)
					is.True(math.Abs(share(r.onTime, r)-share(got[0].onTime, got[0])) < maxDistance)
				}
			})
		})
	}
}

// TestAnswersThatCanNotEndInTimeAreRefusedAtOnce guards callers that give up before the answer's
// end against a wait, and servers against work for them, with and without priorities.
func TestAnswersThatCanNotEndInTimeAreRefusedAtOnce(t *testing.T) {
	for _, competing := range []bool{false, true} {
		withFleet(t, func(t *testing.T, f *fleet) {
			is := is.New(t)
			if competing {
				f.compete()
			}
			f.streams()
			for limit, served := range map[time.Duration]int{streamTime - time.Millisecond: 0, streamTime / 2: 0, streamTime + target: 1} {
				is.Equal(f.ask(1, 0, within("/stream/x", time.Minute))[0].served, 1) // the length is learnt
				before := len(f.servers.recorded())
				got := f.ask(1, 0, within("/stream/x", limit))[0]
				is.Equal(got.served, served)
				is.Equal(got.slowestRefusal, time.Duration(0))
				is.Equal(len(f.servers.recorded())-before, 2*served) // a prefill and a decode
			}
		})
	}
}

// TestAdvisedDelayLastsUntilThereIsRoom guards refused callers against coming back too early, when
// they are refused again, and against waiting while servers are free.
func TestAdvisedDelayLastsUntilThereIsRoom(t *testing.T) {
	for _, free := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond} {
		withFleet(t, func(t *testing.T, f *fleet) {
			is := is.New(t)
			f.streams()
			is.Equal(f.ask(1, 0, within("/stream/x", time.Minute))[0].served, 1) // speed and length are learnt
			full := []loadexchange.Usage{{Runs: []loadexchange.Run{{Prompt: 58_000, Answer: int(free * streamEvents * eventTokens / streamTime), Began: time.Now()}}}}
			for _, id := range decodeServers {
				f.SetRemoteUsage(id, full)
			}
			time.AfterFunc(free, func() { f.fill(decodeServers, 0) })
			first := f.try(newCall("/stream/x"))
			is.True(first.failure != nil)
			delay := first.failure.RetryAfter
			t.Logf("room after %v, advised %v", free, delay)
			is.True(delay <= free+streamTime/streamsPerServer)
			time.Sleep(delay)
			is.Equal(f.try(newCall("/stream/x")).failure, nil)
		})
	}
}

// TestCallersThatFollowTheAdviceAreServed sends three times as many calls at once as the servers
// hold, and guards those that come back against coming all together.
func TestCallersThatFollowTheAdviceAreServed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.streams()
		is.Equal(f.ask(1, 0, within("/stream/x", time.Minute))[0].served, 1)
		const calls = 3 * streamsPerServer * 3
		var all sync.WaitGroup
		var served, onTime, twice atomic.Int64
		for range calls {
			time.Sleep(time.Microsecond) // one after the other
			all.Go(func() {
				a := f.try(within("/stream/x", time.Minute)())
				if a.failure != nil {
					time.Sleep(a.failure.RetryAfter)
					a = f.try(within("/stream/x", time.Minute)())
					twice.Add(1)
				}
				if a.failure == nil {
					served.Add(1)
					if a.first <= target {
						onTime.Add(1)
					}
				}
			})
		}
		all.Wait()
		t.Logf("of %d calls %d came back; %d served, %d on time after their last try", calls, twice.Load(), served.Load(), onTime.Load())
		is.True(served.Load() >= calls*9/10)
		is.True(onTime.Load() >= served.Load()*9/10)
	})
}

// TestPromptsAreReadAgainWhileThereIsTime has the result of a prefill expire after more than half of
// the target, shortly before there is room for it. It guards the caller against a refusal.
func TestPromptsAreReadAgainWhileThereIsTime(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.compete()
		f.streams()
		f.servers.set(decodeServers[0], refuses)
		f.fill(decodeServers[1:], 60_000)
		time.AfterFunc(target*6/10, func() { f.fill(decodeServers[1:], 0) })
		a := f.try(newCall("/stream/x"))
		is.Equal(a.failure, nil)
		is.True(a.first <= target)
	})
}

// TestAdvisedDelaysAreFollowed guards callers with little time against delays beyond the third of
// it that they follow, whatever refuses them.
func TestAdvisedDelaysAreFollowed(t *testing.T) {
	const limit = 600 * time.Millisecond
	for name, refuse := range map[string]func(f *fleet){
		"limit": func(f *fleet) {
			for _, id := range plainServers {
				none := 0.0
				f.Observe(f.directory.Current().Servers[id], advisory.Notice{ToRequest: true, Limit: &none, Sent: time.Now(), Received: time.Now()})
			}
		},
		"no server": func(f *fleet) {
			for _, id := range plainServers {
				f.directory.Remove(id, 0)
			}
		},
		"refused by servers": func(f *fleet) { f.servers.setAll(plainServers, refuses) },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				refuse(f)
				a := f.try(within("/once/x", limit)())
				is.True(a.failure != nil)
				is.True(a.failure.RetryAfter > 0)
				is.True(a.failure.RetryAfter <= limit/3)
			})
		})
	}
}
