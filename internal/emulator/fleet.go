package emulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/apikey"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/memnet"
	"github.com/samphirestream/samphirestream/internal/router"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Options configure a fleet.
type Options struct {
	Entries int
	Engine  Engine
	Load    Load
	Seed    uint64
	Budget  Budget
	Logger  log.Logger // nil for none
}

// Budget is the retry budget of the service.
type Budget struct {
	Window time.Duration `yaml:"window"`
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
}

// Result counts what the callers got and what the servers did after the warm-up.
type Result struct {
	// Requests are all requests of callers. OnTime were answered within both latency
	// targets, Late were answered whole otherwise, Refused were not run, and Failed
	// ended without a whole answer.
	Requests int `json:"requests"`
	OnTime   int `json:"on_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Prefills are the prompts that were prefilled, with PrefilledTokens in all;
	// WastedPrefills those of them that no server decoded.
	Prefills        int `json:"prefills"`
	PrefilledTokens int `json:"prefilled_tokens"`
	WastedPrefills  int `json:"wasted_prefills"`
	// PrefillTime is the time from the arrival of prompts at their servers to the end of the
	// prefill, in all.
	PrefillTime     time.Duration `json:"prefill_time"`
	RefusedPrefills int           `json:"refused_prefills"`
	// Decodes are the offers to decode servers, of which RefusedDecodes were refused.
	Decodes        int `json:"decodes"`
	RefusedDecodes int `json:"refused_decodes"`
	// Orders are the changes of stage.
	Orders int `json:"orders"`
	// PrefillSpread and DecodeSpread show how evenly the servers were loaded: the 99th
	// percentile over the mean of their queues of prefills, in time, and of their runs.
	PrefillSpread float64 `json:"prefill_spread"`
	DecodeSpread  float64 `json:"decode_spread"`
	// Slowdown is the time that the servers' work took relative to the time that Engine
	// describes: 1, and more on a machine that can not keep up.
	Slowdown float64 `json:"slowdown"`
	// Served are the outcomes of the requests by class; empty without classes.
	Served map[string][]Served `json:"-"`
}

// Served is what the caller of one request got.
type Served struct {
	Prompt int
	// Whole is set if the answer was complete, and OnTime if it was also within the latency
	// targets.
	Whole, OnTime bool
}

// Fleet is a set of entries in front of emulated servers.
type Fleet struct {
	options Options
	routers []*router.Router
	dirs    []*directory.Directory
	servers *servers
	clock   clock

	mu      sync.Mutex // guards the fields below
	began   time.Time  // of the load
	result  Result
	lengths map[string]int // of answers in events, by request ID
	stages  map[string]directory.Stage
	// centres are the data centres of the servers.
	centres map[string]string
}

const (
	service    = "model"
	dataCentre = "dc"
	host       = "model.example"
	path       = "/generate/"
	// maxQueued is the queue length of an entry.
	maxQueued = 512
)

// New returns a fleet whose entries are idle.
func New(o Options) *Fleet {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	f := &Fleet{options: o, lengths: map[string]int{}, stages: map[string]directory.Stage{}, centres: map[string]string{}}
	f.servers = &servers{fleet: f, byID: map[string]*server{}}
	for i := range o.Engine.Servers {
		id, stage := fmt.Sprintf("server-%03d", i), directory.Decode
		if i < o.Engine.PrefillServers {
			stage = directory.Prefill
		}
		f.servers.byID[id] = newServer(&f.options.Engine, &f.clock, i, id, stage, o.Seed)
		f.stages[id], f.centres[id] = stage, o.Engine.Uneven.centreOf(i)
	}
	return f
}

// Run plays the load and returns what the callers got. It returns after the last
// request has ended.
func (f *Fleet) Run(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	network := memnet.New(memnet.EntryLatency)
	var background sync.WaitGroup
	for i := range f.options.Entries {
		f.start(ctx, network, i, &background)
	}
	for _, r := range f.routers {
		background.Go(func() { r.Balance(ctx) })
	}
	sampled := &samples{}
	background.Go(func() { f.sample(ctx, sampled) })
	var callers sync.WaitGroup
	began := time.Now()
	f.mu.Lock()
	f.began = began
	f.mu.Unlock()
	for n, r := range f.options.requests() {
		if !sleep.WithContext(ctx, time.Until(began.Add(r.at))) {
			break
		}
		call := f.newCall(r, n)
		callers.Go(func() { f.send(ctx, r, call) })
	}
	callers.Wait()
	cancel()
	network.Close()
	background.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.PrefillSpread, f.result.DecodeSpread = spread(sampled.prefill), spread(sampled.decode)
	f.result.Slowdown = f.clock.slowdown()
	return f.result
}

// start starts one entry.
func (f *Fleet) start(ctx context.Context, n *memnet.Network, i int, background *sync.WaitGroup) {
	addr := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }
	dir := directory.New()
	dir.SetConfig(f.config())
	f.mu.Lock()
	f.dirs = append(f.dirs, dir)
	f.mu.Unlock()
	x := loadexchange.New(n.Listen(addr(i)), loadexchange.Options{Self: addr(i), Seeds: []string{addr(0)}}, f.options.Logger)
	b := f.options.Budget
	u := &f.options.Engine.Uneven
	reached := &entryServers{servers: f.servers}
	r := router.New(dir, reached, router.Options{
		FirstStart: true, DataCentre: u.centreOf(i), MaxQueued: maxQueued, Peers: x,
		Budget: router.BudgetOptions{Window: b.Window, Ratio: b.Ratio, Slack: b.Slack},
	}, f.options.Logger)
	reached.router = r
	if x.SetHandler(r); u.Alone {
		x.SetHandler(aloneHandler{r})
	}
	f.routers = append(f.routers, r)
	for id, stage := range f.stages {
		dir.Put(f.registration(id, stage))
	}
	background.Go(func() { x.Run(ctx) })
}

func (f *Fleet) config() *directory.Config {
	e, l := &f.options.Engine, &f.options.Load
	route := func(name, prefix string, priority int, firstToken time.Duration) directory.Route {
		return directory.Route{
			Name: name, Host: host, Prefix: prefix, Kind: directory.Streaming, Timeout: l.Deadline, LatencyTarget: firstToken, GapTarget: l.BetweenEvents,
			Shares: []directory.TrafficShare{{Service: service, Weight: 1}}, Attempts: 1, Priority: priority,
		}
	}
	c := &directory.Config{
		Version: 1,
		Services: map[string]*directory.Service{service: {Name: service, Engine: &directory.Engine{
			Slots: e.Slots, MemoryTokens: e.MemoryTokens, HandleTTL: e.HandleTTL, EventTokens: e.EventTokens, StageChangeTime: e.StageChangeTime,
		}}},
	}
	if len(l.Classes) == 0 {
		c.Routes = []directory.Route{route("generate", path, 0, l.FirstToken)}
		return c
	}
	c.Keys = apikey.NewTable[*directory.Organisation]()
	for i := range l.Classes {
		class := &l.Classes[i]
		c.Routes = append(c.Routes, route(class.Name, class.path(), class.Priority, l.classFirstToken(class)))
		c.Keys.Add(apikey.Of(class.organisation()), &directory.Organisation{Name: class.organisation()})
	}
	return c
}

// path returns the path prefix of the class's route.
func (c *Class) path() string { return path + c.Name + "/" }

func (f *Fleet) registration(id string, stage directory.Stage) *directory.Server {
	return &directory.Server{ID: id, Service: service, Addr: id, DataCentre: f.centres[id], Slots: f.options.Engine.Slots, Stage: stage}
}

// register announces the stage of a server to all entries.
func (f *Fleet) register(id string, stage directory.Stage) {
	f.mu.Lock()
	f.stages[id] = stage
	dirs := f.dirs
	f.mu.Unlock()
	for _, d := range dirs {
		d.Put(f.registration(id, stage))
	}
}

// count changes the result, except during the warm-up.
func (f *Fleet) count(change func(*Result)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.began) >= f.options.Load.WarmUp {
		change(&f.result)
	}
}

// events returns the length of the answer to a request in events.
func (f *Fleet) events(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lengths[id]
}

func (f *Fleet) newCall(r request, n int) *router.Call {
	e, l := &f.options.Engine, &f.options.Load
	id, now := fmt.Sprintf("request-%d", n), time.Now()
	f.mu.Lock()
	f.lengths[id] = r.events
	f.mu.Unlock()
	call := &router.Call{
		ID: id, Method: http.MethodPost, Target: path, Host: host, Path: path, Header: http.Header{}, Arrived: now, Deadline: now.Add(l.Deadline),
		PromptTokens: r.prompt, MaxTokens: int(cutFactor*l.AnswerEvents) * e.EventTokens, ExpectedTokens: r.hint,
	}
	if r.class != nil {
		call.Target, call.Path, call.Key = r.class.path(), r.class.path(), r.class.organisation()
	}
	return call
}

// send sends a request, again after refusals if the callers return, and counts its outcome.
func (f *Fleet) send(ctx context.Context, r request, c *router.Call) {
	l, began := &f.options.Load, time.Now()
	counted := time.Since(f.began) >= l.WarmUp
	a := f.try(ctx, r, c, began)
	for l.Return && a.refused() && a.failure.RetryAfter > 0 && time.Until(c.Deadline) > a.failure.RetryAfter {
		if !sleep.WithContext(ctx, a.failure.RetryAfter) {
			return
		}
		again := *c
		again.Arrived = time.Now()
		r.entry = (r.entry + 1) % len(f.routers)
		a = f.try(ctx, r, &again, began)
	}
	if !counted {
		return
	}
	f.count(func(res *Result) {
		res.Requests++
		out := Served{Prompt: c.PromptTokens}
		switch {
		case a.refused():
			res.Refused++
		case a.failure != nil || a.aborted:
			res.Failed++
		case a.late:
			res.Late++
			out.Whole = true
		default:
			res.OnTime++
			out.Whole, out.OnTime = true, true
		}
		if r.class != nil {
			if res.Served == nil {
				res.Served = map[string][]Served{}
			}
			res.Served[r.class.Name] = append(res.Served[r.class.Name], out)
		}
	})
}

// try sends a request once.
func (f *Fleet) try(ctx context.Context, r request, c *router.Call, began time.Time) *answer {
	l := &f.options.Load
	a := &answer{load: l, firstToken: l.classFirstToken(r.class), began: began}
	f.routers[r.entry].Serve(ctx, c, a)
	return a
}

func (a *answer) refused() bool {
	return a.failure != nil && a.failure.Outcome == apierror.OutcomeNotRun
}

// answer checks the latencies of one answer. It implements router.Answer.
type answer struct {
	load          *Load
	firstToken    time.Duration
	began, last   time.Time
	late, aborted bool
	failure       *apierror.Error
}

// Start implements router.Answer.
func (*answer) Start(int, http.Header, int) {}

// Write implements router.Answer.
func (a *answer) Write([]byte) error {
	now := time.Now()
	if a.last.IsZero() {
		a.late = now.Sub(a.began) > a.firstToken
	} else if now.Sub(a.last) > a.load.BetweenEvents {
		a.late = true
	}
	a.last = now
	return nil
}

// Abort implements router.Answer.
func (a *answer) Abort() { a.aborted = true }

// Fail implements router.Answer.
func (a *answer) Fail(e *apierror.Error) { a.failure = e }
