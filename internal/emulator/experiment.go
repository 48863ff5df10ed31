package emulator

import (
	"cmp"
	"context"
	"os"
	"slices"
	"sync"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// Experiment is a fleet that is played at several loads.
type Experiment struct {
	// Entries is the number of entries.
	Entries int    `yaml:"entries"`
	Seed    uint64 `yaml:"seed"`
	// Loads are fractions of the servers that the requests need, for prefill and decode
	// together; they set the rate of requests. Without loads, Load.PerSecond does.
	Loads []float64 `yaml:"loads"`
	// MaxSlowdown is the largest Result.Slowdown of a valid outcome, defaultMaxSlowdown
	// when it is 0.
	MaxSlowdown float64 `yaml:"max_slowdown"`

	Engine Engine `yaml:"engine"`
	Load   Load   `yaml:"load"`
	Budget Budget `yaml:"budget"`
}

const defaultMaxSlowdown = 1.1

// LoadExperiment reads an experiment from a YAML file. Errors about its content are
// strictyaml.Problems.
func LoadExperiment(file string) (*Experiment, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	x := &Experiment{}
	if err := strictyaml.Unmarshal(raw, x); err != nil {
		return nil, strictyaml.SetFile(err, file)
	}
	if err := x.check(); err != nil {
		return nil, strictyaml.SetFile(err, file)
	}
	return x, nil
}

// check returns the problems of an experiment.
func (x *Experiment) check() error {
	var ps strictyaml.Problems
	positive := func(key string, v float64) {
		if v <= 0 {
			ps.Add(key, "give a value above 0", "%g is not possible", v)
		}
	}
	e, l := &x.Engine, &x.Load
	positive("entries", float64(x.Entries))
	positive("engine.slots", float64(e.Slots))
	positive("engine.memory_tokens", float64(e.MemoryTokens))
	positive("engine.step", float64(e.Step))
	positive("engine.event_tokens", float64(e.EventTokens))
	positive("engine.prefill_rate", e.PrefillRate)
	positive("engine.handle_ttl", float64(e.HandleTTL))
	positive("load.prompt_tokens", l.PromptTokens)
	positive("load.answer_events", l.AnswerEvents)
	positive("load.first_token", float64(l.FirstToken))
	positive("load.deadline", float64(l.Deadline))
	positive("load.duration", float64(l.Duration-l.WarmUp))
	if x.MaxSlowdown != 0 && x.MaxSlowdown < 1 {
		ps.Add("max_slowdown", "give 1 or more", "%g is not possible", x.MaxSlowdown)
	}
	if len(x.Loads) == 0 {
		positive("load.per_second", l.PerSecond)
	}
	for _, load := range x.Loads {
		positive("loads", load)
	}
	if e.PrefillServers < 1 || e.PrefillServers >= e.Servers {
		ps.Add("engine.prefill_servers", "leave a server for each stage", "%d of %d servers prefill", e.PrefillServers, e.Servers)
	}
	return ps.Err()
}

// Outcome is the result of an experiment at one load.
type Outcome struct {
	Load      float64 `json:"load,omitempty"`
	PerSecond float64 `json:"per_second"`
	Result
	// Bound is the number of requests that one router with full knowledge answers on time.
	Bound int `json:"bound"`
}

// Run plays all loads at the same time, as long as Load.Duration and the last answers
// take.
func (x *Experiment) Run(ctx context.Context) []Outcome {
	loads := x.Loads
	if len(loads) == 0 {
		loads = []float64{0}
	}
	out := make([]Outcome, len(loads))
	var all sync.WaitGroup
	for i, load := range loads {
		o := Options{Entries: x.Entries, Engine: x.Engine, Load: x.Load, Seed: x.Seed, Budget: x.Budget}
		if load > 0 {
			o.Load.PerSecond = RateAt(&o.Engine, &o.Load, load)
		}
		all.Go(func() {
			out[i] = Outcome{Load: load, PerSecond: o.Load.PerSecond, Result: New(o).Run(ctx), Bound: Bound(o)}
		})
	}
	all.Wait()
	return out
}

// KeptUp reports whether the machine was fast enough for the outcomes of an experiment to be
// valid. At a slowdown of 1.1 a load is a tenth higher than it says.
func (x *Experiment) KeptUp(outcomes []Outcome) bool {
	limit := cmp.Or(x.MaxSlowdown, defaultMaxSlowdown)
	return !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Slowdown > limit })
}

// RateAt returns the number of requests a second that need a fraction of the servers.
func RateAt(e *Engine, l *Load, fraction float64) float64 {
	prefill, decode := Demand(e, l)
	return fraction * float64(e.Servers) / (prefill + decode)
}

// Plot writes a plot of outcomes over the load to a file, whose extension selects the
// format.
func Plot(outcomes []Outcome, file string) error {
	p := plot.New()
	p.X.Label.Text = "load, fraction of the servers that are needed"
	p.Y.Label.Text = "share of the requests"
	p.Y.Min, p.Y.Max = 0, 1.4 // with room for the legend
	p.Legend.Top = true
	for i, line := range []struct {
		name  string
		share func(*Outcome) int
	}{
		{"on time", func(o *Outcome) int { return o.OnTime }},
		{"bound", func(o *Outcome) int { return o.Bound }},
		{"refused", func(o *Outcome) int { return o.Refused }},
		{"prefills wasted", func(o *Outcome) int { return o.WastedPrefills }},
	} {
		points := make(plotter.XYs, len(outcomes))
		for k := range outcomes {
			o := &outcomes[k]
			points[k] = plotter.XY{X: o.Load, Y: float64(line.share(o)) / float64(max(1, o.Requests))}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	return errors.Trace(p.Save(7*vg.Inch, 4*vg.Inch, file))
}
