// Package ctl implements the commands of samphirectl.
package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means that the command could not do its work.
	ExitFailure = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInvalid means that a checked file is not valid.
	ExitInvalid = 3
	// ExitLate means that a part of the fleet does not have the latest note in
	// force or does not answer.
	ExitLate = 4
)

const (
	// errUsage marks a wrong command line.
	errUsage = errors.ConstError("wrong usage")
	// errInvalid marks the failure of a check.
	errInvalid = errors.ConstError("invalid")
	// errLate marks a fleet of which a part is late or does not answer.
	errLate = errors.ConstError("late")
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "SAMPHIRECTL"

// Main runs samphirectl and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(errOut, "samphirectl:", err)
		return ExitUsage
	}
	err := root.Run(ctx)
	if err == nil {
		return ExitOK
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errOut, "samphirectl:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage), errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.Is(err, errInvalid):
		return ExitInvalid
	case errors.Is(err, errLate):
		return ExitLate
	default:
		return ExitFailure
	}
}

const rootHelp = `samphirectl checks release notes and settings, shows which part of a fleet has
which release note, dumps the state of processes, shows from logs what happened
to a request, runs a demo fleet, and plays loads on emulated engines.

Flags stand before the arguments. Each can be set by an environment variable as
well: SAMPHIRECTL_ and its name, such as SAMPHIRECTL_SERVICE for -service.

EXAMPLES
  samphirectl note check -service http://10.0.0.2:9000 next.yaml
  samphirectl status -vm-list http://10.0.0.2:9001
  samphirectl explain 9c41d07be2a35f68 front-*.log
  samphirectl where -host h.example -path /a/ 10.0.0.7:7675
  samphirectl demo
  samphirectl experiment engine.yaml

EXIT CODES
  0  success
  1  the command could not do its work
  2  wrong usage
  3  a checked file is invalid
  4  status: a part of the fleet is late or does not answer`

// printer writes the results of commands.
type printer struct {
	out, errOut io.Writer
}

func newRoot(out, errOut io.Writer) *ffcli.Command {
	p := &printer{out: out, errOut: errOut}
	return p.group("samphirectl", "samphirectl COMMAND [flags] [arguments]", "", rootHelp,
		p.noteCommand(), p.settingsCommand(), p.statusCommand(), p.dumpCommand(), p.explainCommand(), p.whereCommand(), p.demoCommand(), p.experimentCommand(), p.versionCommand())
}

// group returns a command that only has subcommands.
func (p *printer) group(name, usage, short, long string, subcommands ...*ffcli.Command) *ffcli.Command {
	names := make([]string, len(subcommands))
	for i, c := range subcommands {
		names[i] = c.Name
	}
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: short, LongHelp: long,
		FlagSet: p.flags(name), Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			return usagef("unknown command %q: use one of %s", args[0], strings.Join(names, ", "))
		},
	}
}

// command returns a command whose flags can also be set by environment variables.
func (p *printer) command(name, usage, short, long string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: short, LongHelp: long, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)}, Exec: exec,
	}
}

func (p *printer) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(p.errOut)
	return fs
}

func jsonFlag(fs *flag.FlagSet) *bool { return fs.Bool("json", false, "write the result as JSON") }

// usagef returns an error about the command line, for ExitUsage.
func usagef(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format+"; -h shows the usage", args...), errUsage)
}

// writeJSON writes v as indented JSON.
func (p *printer) writeJSON(v any) error {
	enc := json.NewEncoder(p.out)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(v))
}

func (p *printer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format, args...)
}
