// Command standins runs one stand-in (an engine, a ledger or the platform) as a
// process of the integration tests.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/standin"
)

type options struct {
	kind, name, role, listen, log, models string
	slots, pieces                         int
	step, resultTTL                       time.Duration
	prefillRate, linkRate                 float64
}

func main() {
	var o options
	flag.StringVar(&o.kind, "kind", "", "engine, ledger or platform")
	flag.StringVar(&o.name, "name", "", "name of the backend server")
	flag.StringVar(&o.role, "role", "", "role of an engine")
	flag.StringVar(&o.listen, "listen", "", "IP:PORT")
	flag.StringVar(&o.log, "log", "", "file to which events are appended")
	flag.StringVar(&o.models, "models", "", "model keys of an engine, separated by commas")
	flag.IntVar(&o.slots, "slots", 20, "max decodes in one batch")
	flag.IntVar(&o.pieces, "pieces", 200, "KV cache memory in pieces")
	flag.DurationVar(&o.step, "step", 20*time.Millisecond, "time between tokens")
	flag.DurationVar(&o.resultTTL, "result-life", 800*time.Millisecond, "time to live of an unused prefill result")
	flag.Float64Var(&o.prefillRate, "prefill", 20_000, "prompt tokens per second")
	flag.Float64Var(&o.linkRate, "link", 200, "exported pieces per second")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	handler, err := newHandler(o)
	if err != nil {
		return errors.Trace(err)
	}
	ln, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Annotate(err, "choose a free address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

func newHandler(o options) (http.Handler, error) {
	if o.kind == "platform" {
		p := &standin.Platform{
			Config: standin.NewConfigService(), VMs: standin.NewVMList(0),
			Weights: standin.NewWeightStore(1<<20, 8<<20),
		}
		return p.Handler(), nil
	}
	recorder, err := invariant.OpenRecorder(o.log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	observe := func(ob standin.Observation) { recorder.Record(workEvent(o.name, ob)) }
	switch o.kind {
	case "engine":
		e := standin.NewEngine(engineConfig(o))
		e.SetObserver(observe)
		return standin.TestControlHandler(e, e.Handler()), nil
	case "ledger":
		l := &standin.Ledger{}
		l.SetObserver(observe)
		return standin.TestControlHandler(l, l.Handler()), nil
	default:
		return nil, errors.NotValidf("kind %q: write engine, ledger or platform;", o.kind)
	}
}

func engineConfig(o options) standin.EngineConfig {
	cfg := standin.DefaultEngineConfig(o.name, o.role, strings.Split(o.models, ",")...)
	cfg.Slots, cfg.Pieces = o.slots, o.pieces
	cfg.StepTime, cfg.ResultTTL = o.step, o.resultTTL
	cfg.PrefillTokensPerSecond, cfg.LinkPiecesPerSecond = o.prefillRate, o.linkRate
	return cfg
}

// workEvent converts an observation of a stand-in to an event.
func workEvent(server string, ob standin.Observation) invariant.Event {
	kinds := map[standin.ObservationKind]invariant.Kind{
		standin.ObservedHeld:  invariant.WorkHeld,
		standin.ObservedRan:   invariant.WorkRan,
		standin.ObservedFreed: invariant.WorkFreed,
	}
	return invariant.Event{Kind: kinds[ob.Kind], Work: &invariant.Work{
		Server: server, Attempt: ob.ID, Phase: ob.Phase, Content: ob.Content,
		Pieces: ob.Pieces, FirstToken: ob.First, NextToken: ob.Next,
	}}
}
