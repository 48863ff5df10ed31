// Command samphired runs one process of samphirestream: an entry or an agent.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/samphirestream/samphirestream/internal/logging"
	"github.com/samphirestream/samphirestream/internal/membudget"
	"github.com/samphirestream/samphirestream/internal/node"
	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/platform"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

const usage = `samphired runs one process of samphirestream.

Usage:
  samphired -settings FILE [-log-level LEVEL]
  samphired -platform [-agent] [-log-level LEVEL]

With -platform the process is an entry on the users' platform, which names its
settings file, and writes its logs to standard output. With -agent too it is the
process beside a model server there.
Flags can be set by environment variables as well: SAMPHIRED_SETTINGS,
SAMPHIRED_LOG_LEVEL. SIGTERM and SIGINT shut the process down gracefully.

Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for wrong usage.

Flags:
`

func main() {
	fs := flag.NewFlagSet("samphired", flag.ContinueOnError)
	file := fs.String("settings", "", "YAML file with the settings of this process")
	onPlatform := fs.Bool("platform", false, "run as an entry on the users' platform")
	beside := fs.Bool("agent", false, "with -platform: run as the process beside a model server")
	logLevel := fs.String("log-level", "", "debug, info, warn or error; overrides log_level of the settings")
	fs.Usage = func() {
		fmt.Fprint(fs.Output(), usage)
		fs.PrintDefaults()
	}
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("SAMPHIRED")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, "samphired:", err)
		os.Exit(exitUsage)
	}
	start := func() error { return run(*file, *logLevel) }
	switch {
	case *beside && !*onPlatform:
		fmt.Fprintln(os.Stderr, "samphired: -agent needs -platform; on the project's own ground the settings name the role")
		os.Exit(exitUsage)
	case *beside:
		start = func() error { return platform.RunAgent(*logLevel) }
	case *onPlatform:
		start = func() error { return platform.Run(*logLevel) }
	}
	if err := start(); err != nil {
		fmt.Fprintln(os.Stderr, "samphired:", err)
		os.Exit(exitFailure)
	}
}

func run(file, logLevel string) error {
	s, err := settings.Load(file)
	if err != nil {
		return errors.Trace(err)
	}
	if logLevel != "" {
		s.LogLevel = logLevel
	}
	logger, err := logging.New(os.Stderr, s.Node, s.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	membudget.LimitHeap(s.Limits.MemoryBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(s, logger)
	if err != nil {
		return errors.Trace(err)
	}
	_ = level.Info(logger).Log("msg", "started", "role", s.Role, "data_centre", s.DataCentre)
	return n.Run(ctx)
}
