package router_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/router"
)

var (
	plainServers   = []string{"a1", "a2", "a3"}
	prefillServers = []string{"p1", "p2"}
	decodeServers  = []string{"d1", "d2", "d3"}
)

func TestNoConfigurationIsNotNotFound(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		a := f.call(context.Background(), "/nowhere/")
		is.Equal(a.failure.Kind, apierror.KindNotFound)
		empty := *f
		empty.Router = router.New(directory.New(), f.servers, router.Options{}, nopLogger)
		a = empty.call(context.Background(), "/safe/")
		is.Equal(a.failure.Kind, apierror.KindStarting)
		is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
		is.True(a.failure.RetryAfter > 0)
	})
}

func TestCallsThatRunOnceAreNotRepeated(t *testing.T) {
	for name, b := range map[string]behaviour{"unanswered": unanswered, "no response": hangs} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.servers.setAll(plainServers, b)
				a := f.call(context.Background(), "/once/x")
				is.Equal(a.failure.Outcome, apierror.OutcomeUnknown)
				is.Equal(len(f.servers.recorded()), 1)
			})
		})
	}
}

// TestUnrunCallsGoToOtherServers makes one server refuse and one unreachable. The call
// did not run there, so it may go to the third, even if it must not be repeated.
func TestUnrunCallsGoToOtherServers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.set("a1", refuses)
		f.servers.unreachable["a2"] = true
		a := f.call(context.Background(), "/once/x")
		is.Equal(a.status, 200)
		is.Equal(a.body.String(), "ok")
	})
}

func TestRefusalsReportNotRun(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, refuses)
		a := f.call(context.Background(), "/once/x")
		is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
		is.True(a.failure.RetryAfter > 0)
	})
}

// TestRefusalAfterAFailureIsUnknownOutcome makes the first server fail, so that it may
// have run the call, and the others refuse: the outcome must not be "not run".
func TestRefusalAfterAFailureIsUnknownOutcome(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		first := true
		b := func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			if first {
				first = false
				return unanswered(ctx, o)
			}
			return refuses(ctx, o)
		}
		f.servers.setAll(plainServers, b)
		a := f.call(context.Background(), "/safe/x")
		is.Equal(a.failure.Outcome, apierror.OutcomeUnknown)
	})
}

func TestIdempotentCallsAreRepeated(t *testing.T) {
	for name, b := range map[string]behaviour{"failure": fails(500), "unanswered": unanswered, "no response": hangs, "broken": breaksAfter("o")} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				began := time.Now()
				n := 0
				f.servers.setAll(plainServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
					if n++; n == 1 {
						return b(ctx, o)
					}
					return ok("ok")(ctx, o)
				})
				a := f.call(context.Background(), "/safe/x")
				is.Equal(a.body.String(), "ok")
				is.True(time.Since(began) < timeout)
				is.Equal(len(f.servers.recorded()), 2)
			})
		})
	}
}

func TestServerErrorResponsesAreRelayed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, fails(500))
		a := f.call(context.Background(), "/safe/x")
		is.Equal(a.status, 500)
		is.Equal(a.body.String(), "bad")
		is.Equal(len(f.servers.recorded()), 2) // the route's number of attempts
	})
}

// TestTheOnlyServerIsTriedAgain removes two of three servers. The remaining one fails
// the first attempt of a call that may be repeated.
func TestTheOnlyServerIsTriedAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		again  behaviour
		status int
		body   string
	}{
		"then it answers": {ok("ok"), 200, "ok"}, "then it fails again": {fails(500), 500, "bad"}, "then it is full": {refuses, 500, "bad"},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.directory.Remove("a2", 0)
				f.directory.Remove("a3", 0)
				n := 0
				f.servers.set("a1", func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
					if n++; n == 1 {
						return fails(500)(ctx, o)
					}
					return tc.again(ctx, o)
				})
				a := f.call(context.Background(), "/safe/x")
				is.Equal(a.status, tc.status)
				is.Equal(a.body.String(), tc.body)
				is.True(n >= 2)
			})
		})
	}
}

func TestResponsesWithoutProofAreNotRelayed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			r, _ := ok("forged")(ctx, o)
			r.Proven = false
			return r, nil
		})
		a := f.call(context.Background(), "/once/x")
		is.Equal(a.failure.Outcome, apierror.OutcomeUnknown)
		is.Equal(a.body.Len(), 0)
	})
}

func TestTimeoutsOfTheRouteEndCalls(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, hangs)
		began := time.Now()
		a := f.call(context.Background(), "/once/x")
		is.Equal(a.failure.Kind, apierror.KindDeadlineExceeded)
		is.Equal(time.Since(began), timeout)
		is.True(f.servers.timesLeft[0] <= timeout)
	})
}

// TestBacklogBeyondTheTargetIsRefused has the other entries report more calls than the
// servers can answer within the target. A further call must not be sent.
func TestBacklogBeyondTheTargetIsRefused(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			time.Sleep(100 * time.Millisecond)
			return ok("ok")(ctx, o)
		})
		for range 60 {
			is.Equal(f.call(context.Background(), "/once/x").status, 200)
		}
		for _, id := range plainServers {
			f.SetRemoteUsage(id, []loadexchange.Usage{{Calls: 100}})
		}
		sent := len(f.servers.recorded())
		began := time.Now()
		a := f.call(context.Background(), "/once/x")
		is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(f.servers.recorded()), sent)
		for _, id := range plainServers {
			f.SetRemoteUsage(id, nil)
		}
		is.Equal(f.call(context.Background(), "/once/x").status, 200)
	})
}

func TestRetriesKeepToTheBudget(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(plainServers, fails(500))
		for range 200 {
			f.call(context.Background(), "/safe/x")
		}
		extra := len(f.servers.recorded()) - 200
		is.True(extra > 0)
		is.True(float64(extra) <= 0.2*200+50)
	})
}

// TestCallsWithoutAServerOfAStageAreRefused removes all servers of one stage for longer
// than the target for the first event, and then for a third of it.
func TestCallsWithoutAServerOfAStageAreRefused(t *testing.T) {
	for name, ids := range map[string][]string{"prefill": {"p1", "p2"}, "decode": decodeServers} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.servers.setAll(decodeServers, ok(events))
				registered := f.directory.Current().Servers
				remove := func() {
					for _, id := range ids {
						f.directory.Remove(id, 0)
					}
				}
				remove()
				began := time.Now()
				a := f.call(context.Background(), "/stream/x")
				is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
				is.True(a.failure.RetryAfter > 0)
				is.True(time.Since(began) <= target)
				time.AfterFunc(target/3, func() {
					for _, id := range ids {
						f.directory.Put(registered[id])
					}
				})
				is.Equal(f.call(context.Background(), "/stream/x").status, 200)
			})
		})
	}
}

func TestDrainingServersGetNoWork(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, id := range []string{"a1", "a2"} {
			f.directory.Put(&directory.Server{ID: id, Service: "app", Slots: 6, DataCentre: "dc", Draining: true, Version: directory.Version{Revision: 2}})
		}
		f.directory.Remove("a3", 0)
		a := f.call(context.Background(), "/once/x")
		is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
		is.Equal(len(f.servers.recorded()), 0)
	})
}

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

func TestStreamsGoThroughPrefillAndDecode(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			is.Equal(o.Source.ID, "h")
			is.True(o.AtMostOnce)
			return ok(events)(ctx, o)
		})
		a := f.call(context.Background(), "/stream/x")
		is.Equal(a.body.String(), events)
		is.True(!a.aborted)
		recorded := f.servers.recorded()
		is.Equal(len(recorded), 2)
		is.True(strings.HasPrefix(recorded[0], "prefill p"))
	})
}

// TestRefusedDecodeKeepsThePrefill makes the first decode server refuse: the same
// prefill result is offered to another one.
func TestRefusedDecodeKeepsThePrefill(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		n := 0
		f.servers.setAll(decodeServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			if n++; n == 1 {
				return refuses(ctx, o)
			}
			return ok(events)(ctx, o)
		})
		a := f.call(context.Background(), "/stream/x")
		is.Equal(a.body.String(), events)
		is.Equal(len(f.servers.recorded()), 3) // one prefill, two offers
	})
}

// TestUnreachableDecodeServersWasteNoPrefill makes decode servers unreachable: they
// are detected during the prefill, and get no further work.
func TestUnreachableDecodeServersWasteNoPrefill(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.unreachable["d1"], f.servers.unreachable["d2"] = true, true
		for range 10 {
			is.Equal(f.call(context.Background(), "/stream/x").body.String(), events)
		}
		for _, s := range f.servers.recorded() {
			is.True(!strings.HasPrefix(s, "free"))
		}
		f.servers.mu.Lock()
		f.servers.unreachable = map[string]bool{}
		f.servers.mu.Unlock()
		time.Sleep(time.Second) // probes reach them again
		for range 20 {
			f.call(context.Background(), "/stream/x")
		}
		is.True(strings.Contains(strings.Join(f.servers.recorded(), " "), "d1"))
	})
}

func TestUnusedPrefillResultsAreFreed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, refuses)
		a := f.call(context.Background(), "/stream/x")
		is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
		is.True(a.failure.RetryAfter > 0)
		time.Sleep(time.Second)
		is.True(strings.Contains(strings.Join(f.servers.recorded(), " "), "free h"))
	})
}

func TestUnresponsivePrefillServersAreReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.prefills["p1"] = hangs
		began := time.Now()
		for range 4 {
			is.Equal(f.call(context.Background(), "/stream/x").body.String(), events)
		}
		is.True(time.Since(began) < 4*target)
	})
}

// TestSlowPrefillsAreNotAbandoned makes prefills last much longer than predicted, as
// when an entry has no reports of the other entries' prefills yet.
func TestSlowPrefillsAreNotAbandoned(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.prefillTime = 550 * time.Millisecond
		is.Equal(f.call(context.Background(), "/stream/x").body.String(), events)
		is.Equal(f.arrivals()["prefill p1"]+f.arrivals()["prefill p2"], 1)
	})
}

// TestBrokenStreamsDoNotLookComplete ends a stream within its second event, which must
// not be relayed.
func TestBrokenStreamsDoNotLookComplete(t *testing.T) {
	for name, b := range map[string]behaviour{
		"reset":                 breaksAfter("id: 1\ndata: a\n\nid: 2\nda"),
		"ended within an event": ok("id: 1\ndata: a\n\nid: 2\nda"),
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.servers.setAll(decodeServers, b)
				a := f.call(context.Background(), "/stream/x")
				is.True(a.aborted)
				is.Equal(a.body.String(), "id: 1\ndata: a\n\n")
				is.Equal(len(f.servers.recorded()), 2) // it may run once only
			})
		})
	}
}

func TestResumableStreamsContinueOnAnotherServer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		n := 0
		var first string
		f.servers.setAll(decodeServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			if n++; n == 1 {
				first = o.Server.ID
				return breaksAfter("id: 1\ndata: a\n\nid: 2\nda")(ctx, o)
			}
			is.Equal(o.LastEvent, "1")
			is.True(o.Server.ID != first)
			return ok("id: 2\ndata: b\n\n")(ctx, o)
		})
		a := f.call(context.Background(), "/resumable/x")
		is.True(!a.aborted)
		is.Equal(a.body.String(), events)
		is.Equal(a.starts, 1)
	})
}

// TestResumesThatAreRefusedAreTriedAgain breaks a stream while the other servers refuse
// for twice the duration of a prefill.
func TestResumesThatAreRefusedAreTriedAgain(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		broken := false
		var full time.Time
		f.servers.setAll(decodeServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			switch {
			case !broken:
				broken, full = true, time.Now().Add(2*prefillTime)
				return breaksAfter("id: 1\ndata: a\n\nid: 2\nda")(ctx, o)
			case time.Now().Before(full):
				return refuses(ctx, o)
			default:
				is.Equal(o.LastEvent, "1")
				return ok("id: 2\ndata: b\n\n")(ctx, o)
			}
		})
		a := f.call(context.Background(), "/resumable/x")
		is.True(!a.aborted)
		is.Equal(a.body.String(), events)
	})
}

// TestResumesAvoidCrashedServers crashes the server of a stream while the others are
// full for 300 ms. The crashed server has no load and must not be chosen.
func TestResumesAvoidCrashedServers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		full := []loadexchange.Usage{{Runs: []loadexchange.Run{{Prompt: 60_000, Answer: 9000, Began: time.Now()}}}}
		others := func(crashed string, u []loadexchange.Usage) {
			for _, id := range decodeServers {
				if id != crashed {
					f.SetRemoteUsage(id, u)
				}
			}
		}
		crashed := ""
		f.servers.setAll(decodeServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			if crashed != "" {
				return ok("id: 2\ndata: b\n\n")(ctx, o)
			}
			crashed = o.Server.ID
			f.servers.setUnreachable(crashed)
			others(crashed, full)
			time.AfterFunc(300*time.Millisecond, func() { others(crashed, nil) })
			return breaksAfter("id: 1\ndata: a\n\n")(ctx, o)
		})
		a := f.call(context.Background(), "/resumable/x")
		is.Equal(a.body.String(), events)
		prefills := 0
		for _, call := range f.servers.recorded() {
			if strings.HasPrefix(call, "prefill") {
				prefills++
			}
		}
		is.Equal(prefills, 2)
	})
}

func TestDisconnectedCallersCancelTheirCalls(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		ended := make(chan time.Time, 1)
		f.servers.setAll(plainServers, func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			<-ctx.Done()
			ended <- time.Now()
			return hangs(ctx, o)
		})
		ctx, cancel := context.WithCancel(context.Background())
		left := time.Now().Add(50 * time.Millisecond)
		time.AfterFunc(50*time.Millisecond, cancel)
		f.call(ctx, "/safe/x")
		is.Equal(<-ended, left)
		is.Equal(len(f.servers.recorded()), 1) // the call is not repeated
	})
}

// TestDisconnectedCallersCauseNoSuspicion disconnects callers while the connection to
// the decode server is opened, which is no evidence against the server.
func TestDisconnectedCallersCauseNoSuspicion(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.slowProbe = true
		for range 6 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(prefillTime+time.Millisecond, cancel)
			f.call(ctx, "/stream/x")
		}
		for _, s := range f.Snapshot().Servers {
			is.True(!s.Suspected)
		}
	})
}

// TestIdlePrefillServersBecomeDecodeServers fills the decode memory while the prefill
// servers are idle: the entry has prefill servers ordered to become decode servers, and
// no calls go to them while they change their stage.
func TestIdlePrefillServersBecomeDecodeServers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		for _, id := range []string{"p3", "p4"} {
			f.directory.Put(&directory.Server{ID: id, Service: "llm", Slots: 12, DataCentre: "dc", Stage: directory.Prefill})
		}
		ctx, cancel := context.WithCancel(context.Background())
		balanced := make(chan struct{})
		go func() { f.Balance(ctx); close(balanced) }()
		var runs []loadexchange.Run
		for range 12 {
			runs = append(runs, loadexchange.Run{Prompt: 4000, Answer: 1_000_000, Began: time.Now()})
			for _, id := range decodeServers {
				f.SetRemoteUsage(id, []loadexchange.Usage{{Runs: runs}})
			}
			time.Sleep(500 * time.Millisecond)
		}
		cancel()
		<-balanced
		recorded := f.servers.recorded()
		is.Equal(len(recorded), 2) // two of four stay, while the store still lists four
		is.True(strings.HasPrefix(recorded[0], "order p"))
		ordered := strings.Fields(recorded[1])[1]
		for range 10 {
			f.call(context.Background(), "/stream/x")
		}
		for _, s := range f.servers.recorded() {
			is.True(s != "prefill "+ordered)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestResumesKeepToTheBudget breaks every stream of one window. Each resume prefills
// and decodes again; both count as attempts beyond the first.
func TestResumesKeepToTheBudget(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, breaksAfter("id: 1\ndata: a\n\n"))
		const calls = 100
		var all sync.WaitGroup
		began := time.Now()
		for range calls {
			time.Sleep(testOptions.Budget.Window / calls / 2)
			all.Go(func() { f.call(context.Background(), "/resumable/x") })
		}
		all.Wait()
		is.True(time.Since(began) < testOptions.Budget.Window)
		extra := len(f.servers.recorded()) - 2*calls // the first prefill and decode of each
		is.True(extra > 0)
		is.True(float64(extra) <= 0.2*calls+50)
	})
}

// TestPrefillServersThatBreakCallsAreExcluded makes one of two prefill servers accept
// connections and reset every request: few requests may go there.
func TestPrefillServersThatBreakCallsAreExcluded(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.prefills["p1"] = unanswered
		for range 30 {
			is.Equal(f.call(context.Background(), "/stream/x").body.String(), events)
			time.Sleep(100 * time.Millisecond)
		}
		broken := 0
		for _, s := range f.servers.recorded() {
			if s == "prefill p1" {
				broken++
			}
		}
		is.True(broken <= 2) // in 6 s; it is excluded for 4 s after each
	})
}

// TestBalanceDuringRequests runs Balance while requests are placed, for the race
// detector.
func TestBalanceDuringRequests(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.servers.setAll(decodeServers, ok(events))
		ctx, cancel := context.WithCancel(context.Background())
		balanced := make(chan struct{})
		go func() { f.Balance(ctx); close(balanced) }()
		for range 40 {
			f.call(context.Background(), "/stream/x")
			time.Sleep(17 * time.Millisecond)
		}
		cancel()
		<-balanced
	})
}

// TestServersThatRefuseWhileIdleAreExcluded makes one of two prefill servers refuse all
// requests while it is idle, as during a change of its stage. By its load it would be
// the first choice for each request.
func TestServersThatRefuseWhileIdleAreExcluded(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.prefills = map[string]behaviour{"p1": func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
			r, err := refuses(ctx, o)
			r.Load = &router.Load{Slots: 12}
			return r, err
		}}
		for range 20 {
			is.Equal(f.call(context.Background(), "/stream/x").status, 200)
		}
		refused := 0
		for _, call := range f.servers.recorded() {
			if call == "prefill p1" {
				refused++
			}
		}
		is.True(refused <= 5) // in about 2 s; it is excluded for 500 ms after each
	})
}

// TestServersReportedUnreachableAreProbed has other entries report a server that is
// unreachable and one that only they do not reach.
func TestServersReportedUnreachableAreProbed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		suspected := func() (ids []string) {
			for _, s := range f.Snapshot().Servers {
				if s.Suspected {
					ids = append(ids, s.ID)
				}
			}
			return ids
		}
		f.servers.setUnreachable("d1", "a1")
		for _, id := range []string{"d1", "d2", "a1", "a2"} {
			f.SetRemoteUsage(id, []loadexchange.Usage{{}, {Unreachable: true}})
		}
		time.Sleep(time.Millisecond)
		is.Equal(suspected(), []string{"a1", "d1"})
		f.servers.setUnreachable()
		time.Sleep(time.Second)
		is.Equal(suspected(), nil)
		f.servers.setUnreachable("d1") // a repeated report does not start a probe
		f.SetRemoteUsage("d1", []loadexchange.Usage{{Unreachable: true}})
		time.Sleep(time.Millisecond)
		is.Equal(suspected(), nil)
		f.SetRemoteUsage("d1", nil)
		f.SetRemoteUsage("d1", []loadexchange.Usage{{Unreachable: true}})
		time.Sleep(time.Millisecond)
		is.Equal(suspected(), []string{"d1"})
	})
}

// TestServersReachableAfterMinutesAreUsed makes all servers unreachable for minutes
// while they stay registered.
func TestServersReachableAfterMinutesAreUsed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setUnreachable(plainServers...)
		is.True(f.call(context.Background(), "/safe/x").failure != nil)
		time.Sleep(5 * time.Minute)
		f.servers.setUnreachable()
		time.Sleep(time.Second)
		for _, s := range f.Snapshot().Servers {
			is.True(!s.Suspected)
		}
	})
}

// misdirected answers like a server that has taken over another one's address.
func misdirected(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
	r, err := refuses(ctx, o)
	r.Misdirected = true
	return r, err
}

// TestReplacedServersAreExcluded has another server answer at the address of one of
// each kind, as after a crash while the store is unavailable. By its load the replaced
// server would be the first choice.
func TestReplacedServersAreExcluded(t *testing.T) {
	for name, tc := range map[string]struct {
		server, path, recorded string
		prefill                bool
	}{
		"plain": {"a1", "/safe/x", "a1", false}, "decode": {"d1", "/stream/x", "d1", false}, "prefill": {"p1", "/stream/x", "prefill p1", true},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.servers.setAll(decodeServers, ok(events))
				if tc.prefill {
					f.servers.prefills = map[string]behaviour{tc.server: misdirected}
				} else {
					f.servers.set(tc.server, misdirected)
				}
				const calls = 20
				is.Equal(f.load(calls, 200*time.Millisecond, tc.path, time.Second), calls)
				is.Equal(f.arrivals()[tc.recorded], 1)
				restarted := *f.directory.Current().Servers[tc.server]
				restarted.Started++
				f.directory.Put(&restarted)
				f.load(calls, 200*time.Millisecond, tc.path, time.Second)
				is.True(f.arrivals()[tc.recorded] > 1) // the new registration ends the exclusion
			})
		})
	}
}
