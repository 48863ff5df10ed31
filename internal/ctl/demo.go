package ctl

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirestream/samphirestream/internal/demo"
	"github.com/samphirestream/samphirestream/internal/logging"
)

const demoHelp = `Runs a small fleet in one process, on loopback: the real entry and agents with
stand-ins for engines, a ledger and the platform. Prints a line "ready URL" and
curl lines to paste, then serves until interrupted.

EXAMPLES
  samphirectl demo
  samphirectl demo -listen 127.0.0.1:8090 -log-level info

EXIT CODES
  0 interrupted, 1 the fleet did not start, 2 wrong usage`

func (p *printer) demoCommand() *ffcli.Command {
	fs := p.flags("samphirectl demo")
	addr := fs.String("listen", "127.0.0.1:8080", "IP address and port for callers")
	logLevel := fs.String("log-level", "error", "debug, info, warn or error")
	return p.command("demo", "samphirectl demo [-listen ADDR] [-log-level LEVEL]", "run a small fleet with stand-ins on loopback", demoHelp, fs,
		func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("unexpected argument %q", args[0])
			}
			logger, err := logging.New(p.errOut, "demo", *logLevel)
			if err != nil {
				return errors.WithType(err, errUsage)
			}
			return demo.Run(ctx, *addr, p.out, logger)
		})
}

// versionView is the result of version.
type versionView struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (p *printer) versionCommand() *ffcli.Command {
	fs := p.flags("samphirectl version")
	asJSON := jsonFlag(fs)
	return p.command("version", "samphirectl version [-json]", "print the version",
		"EXAMPLES\n  samphirectl version -json\n\nEXIT CODES\n  0 success, 2 wrong usage", fs,
		func(context.Context, []string) error {
			v := versionView{Version: "unknown", Go: runtime.Version()}
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				v.Version = info.Main.Version
			}
			if *asJSON {
				return p.writeJSON(v)
			}
			p.printf("samphirectl %s %s\n", v.Version, v.Go)
			return nil
		})
}
