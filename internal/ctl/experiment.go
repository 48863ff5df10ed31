package ctl

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirestream/samphirestream/internal/emulator"
	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

const experimentHelp = `Plays loads of callers on a fleet of emulated model servers, which the file describes, and
shows what the callers got: the requests answered on time, late, refused and failed, the
number that a single router with full knowledge answers on time, and the prefills and
decodes that were in vain. All loads of a file are played at the same time, in real time:
a machine that can not keep up makes the servers slower than described, by the column
"slowdown". The figures then say little, and the command fails after it has shown them.
docs/OPERATIONS.md has an example of a file.

EXAMPLES
  samphirectl experiment engine.yaml
  samphirectl experiment -plot loads.svg engine.yaml

EXIT CODES
  0 played, 1 a file can not be read or written or the machine could not keep up,
  2 wrong usage, 3 the file is invalid`

func (p *printer) experimentCommand() *ffcli.Command {
	fs := p.flags("samphirectl experiment")
	asJSON := jsonFlag(fs)
	plot := fs.String("plot", "", "file to write a plot to; its extension selects the format")
	return p.command("experiment", "samphirectl experiment [-json] [-plot FILE] FILE", "play loads on emulated engines", experimentHelp, fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("%d files: give one", len(args))
			}
			return p.experiment(ctx, args[0], *plot, *asJSON)
		})
}

func (p *printer) experiment(ctx context.Context, file, plot string, asJSON bool) error {
	x, err := emulator.LoadExperiment(file)
	if _, ok := strictyaml.ProblemsOf(err); ok {
		return errors.WithType(err, errInvalid)
	}
	if err != nil {
		return errors.Trace(err)
	}
	outcomes := x.Run(ctx)
	if plot != "" {
		if err := emulator.Plot(outcomes, plot); err != nil {
			return errors.Trace(err)
		}
	}
	if err := p.writeOutcomes(outcomes, asJSON); err != nil {
		return errors.Trace(err)
	}
	if !x.KeptUp(outcomes) {
		return errors.New("the machine could not keep up, so the servers were slower than described: play a lower load or fewer at a time")
	}
	return nil
}

func (p *printer) writeOutcomes(outcomes []emulator.Outcome, asJSON bool) error {
	if asJSON {
		return p.writeJSON(outcomes)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "load\tper second\trequests\ton time\tbound\tlate\trefused\tfailed\tprefills\twasted\tdecodes\trefused\torders\tspread p\tspread d\tslowdown\t")
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(w, "%.2f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n",
			o.Load, o.PerSecond, o.Requests, o.OnTime, o.Bound, o.Late, o.Refused, o.Failed, o.Prefills, o.WastedPrefills, o.Decodes, o.RefusedDecodes, o.Orders, o.PrefillSpread, o.DecodeSpread, o.Slowdown)
	}
	return errors.Trace(w.Flush())
}
