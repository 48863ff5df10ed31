// Command samphirectl is the operators' tool of samphirestream.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/samphirestream/samphirestream/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
