package bench

import (
	"os"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/samphirestream/samphirestream/internal/benchmodel"
)

// plotEnv is the environment variable with the path of the file that
// BenchmarkPolicyPlot writes; the extension selects the format. The benchmark is
// skipped if it is empty.
const plotEnv = "POLICY_PLOT"

// plotPolicies are the policies in the plot.
var plotPolicies = []string{"default", "place-two-reported", "promise-reserved", "promise-none", "order-fifo", "admit-length"}

// plotLoads are the offered loads, as shares of the bottleneck's capacity.
var plotLoads = []float64{0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 1, 1.1, 1.2, 1.3}

// BenchmarkPolicyPlot plots goodput and wasted prefill over the offered load for the
// fleet nile.
func BenchmarkPolicyPlot(b *testing.B) {
	path := os.Getenv(plotEnv)
	if path == "" {
		b.Skip("set " + plotEnv + " to the file to write")
	}
	p := plot.New()
	p.Title.Text = "nile: goodput (solid) and wasted prefill (dashed) over load"
	p.X.Label.Text = "offered load, share of the bottleneck's capacity"
	p.Y.Label.Text = "share of capacity; share of prefill work"
	p.Legend.Top, p.Legend.Left = true, true
	for i, name := range plotPolicies {
		addPolicy(b, p, i, name)
	}
	if err := p.Save(9*vg.Inch, 6*vg.Inch, path); err != nil {
		b.Fatal(err)
	}
}

// addPolicy adds the lines of goodput and wasted prefill of a policy.
func addPolicy(b *testing.B, p *plot.Plot, i int, name string) {
	policy, ok := benchmodel.FindPolicy(name)
	if !ok {
		b.Fatalf("policy %q is missing", name)
	}
	good, waste := make(plotter.XYs, len(plotLoads)), make(plotter.XYs, len(plotLoads))
	for k, load := range plotLoads {
		r := benchmodel.Run(benchmodel.Nile(), benchmodel.Scenario{Name: "plot", Load: load}, policy)
		good[k] = plotter.XY{X: load, Y: r.GoodputRate}
		waste[k] = plotter.XY{X: load, Y: r.WastedPrefillShare}
	}
	solid, err := plotter.NewLine(good)
	if err != nil {
		b.Fatal(err)
	}
	dashed, err := plotter.NewLine(waste)
	if err != nil {
		b.Fatal(err)
	}
	solid.Color, dashed.Color = plotutil.Color(i), plotutil.Color(i)
	dashed.Dashes = plotutil.Dashes(1)
	p.Add(solid, dashed)
	p.Legend.Add(name, solid)
}
