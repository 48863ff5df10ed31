package orders

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

func TestNextPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	desired := Desired{Note: 7, Listed: true, Role: "decode", Models: []release.Model{model("2")}}
	graceOver := map[string]time.Time{"reader@1": now.Add(-time.Hour)}
	cases := []struct {
		name    string
		input   PlanInput
		order   string // action and key
		closed  string // a key that must be closed, or * for all
		pending string // a substring of a reason
	}{
		{
			name:  "in force",
			input: PlanInput{Desired: desired, Observed: engine.State{Role: "decode", Models: []string{"reader@2"}}},
		},
		{
			name:   "not listed",
			input:  PlanInput{Desired: Desired{Note: 7}, Observed: engine.State{Role: "decode", Models: []string{"reader@1"}}},
			closed: "*",
		},
		{
			name:   "listed as a plain service",
			input:  PlanInput{Desired: Desired{Note: 7, Listed: true, Role: "service"}, Observed: engine.State{Role: "decode"}},
			closed: "*",
		},
		{
			name:  "load first",
			input: PlanInput{Desired: desired, Observed: engine.State{Role: "decode", Models: []string{"reader@1"}}, ObsoleteSince: graceOver},
			order: "load reader@2", pending: "ordered next",
		},
		{
			name:    "load in progress",
			input:   PlanInput{Desired: desired, Observed: engine.State{Role: "decode", Models: []string{"reader@1"}, Loading: []string{"reader@2"}}, ObsoleteSince: graceOver},
			pending: "loading",
		},
		{
			name:    "before its download slot",
			input:   PlanInput{Desired: desired, Observed: engine.State{Role: "decode"}, SlotStart: map[string]time.Time{"reader@2": now.Add(time.Second)}},
			pending: "waiting 1s for this server's turn",
		},
		{
			name:    "delayed after a failure",
			input:   PlanInput{Desired: desired, Observed: engine.State{Role: "decode"}, RetryAt: map[Subject]time.Time{{"load", "reader@2"}: now.Add(time.Second)}},
			pending: "retrying in 1s",
		},
		{
			name: "no memory: drain first",
			input: PlanInput{
				Desired: desired, Uses: map[string]int{"reader@1": 2},
				Observed: engine.State{Role: "decode", Models: []string{"reader@1"}, WeightsCapacity: gigabyte, WeightsUsed: gigabyte},
			},
			closed: "reader@1", pending: "draining: 2 requests",
		},
		{
			name:  "no memory: unload",
			input: PlanInput{Desired: desired, NoMemory: map[string]bool{"reader@2": true}, Observed: engine.State{Role: "decode", Models: []string{"reader@1"}}},
			order: "unload reader@1", closed: "reader@1", pending: "no memory",
		},
		{
			name:    "no memory and nothing to unload",
			input:   PlanInput{Desired: desired, NoMemory: map[string]bool{"reader@2": true}, Observed: engine.State{Role: "decode"}},
			pending: "list fewer models",
		},
		{
			name: "within the grace",
			input: PlanInput{
				Desired: desired, UnloadGrace: time.Minute, ObsoleteSince: map[string]time.Time{"reader@1": now.Add(-time.Second)},
				Observed: engine.State{Role: "decode", Models: []string{"reader@1", "reader@2"}},
			},
			pending: "another 59s",
		},
		{
			name: "foreign requests",
			input: PlanInput{
				Desired: desired, ForeignRequests: 1, ObsoleteSince: graceOver,
				Observed: engine.State{Role: "decode", Models: []string{"reader@1", "reader@2"}},
			},
			closed: "reader@1", pending: "draining: 1 requests",
		},
		{
			name:  "unload",
			input: PlanInput{Desired: desired, ObsoleteSince: graceOver, Observed: engine.State{Role: "decode", Models: []string{"reader@1", "reader@2"}}},
			order: "unload reader@1", closed: "reader@1",
		},
		{
			name:   "role: drain",
			input:  PlanInput{Desired: desired, Uses: map[string]int{"reader@2": 1}, Observed: engine.State{Role: "prefill", Models: []string{"reader@2"}}},
			closed: "*", pending: "draining: 1 requests",
		},
		{
			name:  "role: change",
			input: PlanInput{Desired: desired, Observed: engine.State{Role: "prefill", Models: []string{"reader@2"}}},
			order: "role decode", closed: "*",
		},
		{
			name:  "role: weights load while it drains",
			input: PlanInput{Desired: desired, Uses: map[string]int{"reader@1": 1}, Observed: engine.State{Role: "prefill", Models: []string{"reader@1"}}},
			order: "load reader@2", closed: "*",
		},
		{
			name: "earlier order with unknown outcome",
			input: PlanInput{
				Desired: desired, Observed: engine.State{Role: "decode", Models: []string{"reader@2"}},
				Unresolved: map[Subject]time.Time{{"unload", "reader@2"}: now.Add(time.Second)},
			},
			closed: "reader@2",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.input.Now = now
			plan := NextPlan(c.input)
			order := ""
			if plan.Order != nil {
				order = plan.Order.Action + " " + subjectOf(*plan.Order).Key
			}
			is.Equal(order, c.order)
			is.Equal(plan.ClosedAll != "", c.closed == "*")
			if c.closed != "" && c.closed != "*" {
				is.True(plan.Closed[c.closed] != "")
			}
			is.Equal(len(plan.Pending) > 0, c.pending != "" || c.order != "")
			is.True(c.pending == "" || slices.ContainsFunc(plan.Pending, func(p Pending) bool { return strings.Contains(p.Reason, c.pending) }))
			is.Equal(plan, NextPlan(c.input)) // NextPlan is pure
		})
	}
}

func TestNextFence(t *testing.T) {
	cases := []struct {
		name             string
		note, seen, sent uint64
		want             uint64
		ok               bool
	}{
		{"first order", 3, 0, 0, 3<<32 + 1, true},
		{"after a restart of the agent", 3, 3<<32 + 9, 0, 3<<32 + 10, true},
		{"after a restart of the engine", 3, 0, 3<<32 + 9, 3<<32 + 10, true},
		{"first order of a later note", 4, 3<<32 + 9, 3<<32 + 9, 4<<32 + 1, true},
		{"engine has a later note", 3, 4<<32 + 1, 3<<32 + 9, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := nextFence(c.note, c.seen, c.sent)
			is.Equal(got, c.want)
			is.Equal(ok, c.ok)
		})
	}
}

func TestWriterLockIsExclusive(t *testing.T) {
	is := is.New(t)
	addr := DefaultWriterLock("http://127.0.0.1:9100")
	is.Equal(addr, DefaultWriterLock("http://127.0.0.1:9100/"))
	is.True(addr != DefaultWriterLock("http://127.0.0.1:9101"))
	one, two := NewListenerLock("127.0.0.1:0"), &ListenerLock{}
	is.NoErr(one.Acquire())
	two.addr = one.listener.Addr().String()
	is.True(two.Acquire() != nil)
	is.NoErr(one.Acquire()) // it holds the lock already
	one.Release()
	is.NoErr(two.Acquire())
	two.Release()
}

// TestReconcilerOverHTTP runs the reconciler with the real client, an engine and a weight
// store on loopback.
func TestReconcilerOverHTTP(t *testing.T) {
	is := is.New(t)
	cfg := standin.DefaultEngineConfig("s", "decode", "reader@1")
	eng := standin.NewEngine(cfg)
	engineServer := httptest.NewServer(eng.Handler())
	defer engineServer.Close()
	weights := standin.NewWeightStore(1<<20, 1<<30)
	weightServer := httptest.NewServer(weights.Handler())
	defer weightServer.Close()
	store := release.NewStore()
	p := &publisher{t: t}
	p.publish(firstNote(server("s", release.RolePrefill, "reader@2")), store)
	rec := New(
		Config{Backend: "s", DataCentre: "dc-a", WeightStore: weightServer.URL, WeightRate: 100 * gigabyte},
		engine.NewClient(engineServer.URL), store, NewListenerLock(DefaultWriterLock(engineServer.URL)), log.NewNopLogger(),
	)
	done := make(chan struct{})
	go func() {
		defer close(done)
		rec.Run(t.Context())
	}()
	deadline := time.Now().Add(30 * time.Second)
	for !rec.Snapshot().InForce && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	is.True(rec.Snapshot().InForce)
	is.True(rec.Gate().Serves("prefill", "reader@2"))
	is.Equal(rec.Snapshot().Serving, []string{"reader@2"})
	is.Equal(weights.Reads(), int64(1))
}

// TestLockErrorsNameTheirCause takes locks that are held and that are not of this VM.
func TestLockErrorsNameTheirCause(t *testing.T) {
	is := is.New(t)
	held := NewListenerLock("127.0.0.1:0")
	is.NoErr(held.Acquire())
	defer held.Release()
	err := NewListenerLock(held.listener.Addr().String()).Acquire()
	is.True(err != nil && strings.Contains(err.Error(), "another process holds"))
	err = NewListenerLock("192.0.2.1:7199").Acquire()
	is.True(err != nil && !strings.Contains(err.Error(), "another process"))
}

// TestRefusalNamesTheRoleOfTheEngine asks an engine in service for an attempt of another role.
func TestRefusalNamesTheRoleOfTheEngine(t *testing.T) {
	is := is.New(t)
	g := NewGate()
	g.serving = servingSet{role: "decode", models: map[string]bool{"reader@1": true}}
	refusal := g.Admit("x", "prefill", "reader@1", "")
	is.Equal(refusal.Message, "not a prefill server: the engine has the role decode")
}
