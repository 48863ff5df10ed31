// Package logging builds the JSON logger of a process.
package logging

import (
	"context"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
)

// New returns a logger that writes JSON lines of at least the given level: debug,
// info, warn or error. A RateLimiter limits the rate of each kind of line.
func New(w io.Writer, node, minimum string) (log.Logger, error) {
	allowed, err := level.Parse(minimum)
	if err != nil {
		return nil, errors.NotValidf("log level %q: write debug, info, warn or error;", minimum)
	}
	overloaded := func() bool { return false }
	if a, ok := w.(*AsyncWriter); ok {
		overloaded = a.HalfFull
	}
	var logger log.Logger = NewRateLimiter(log.NewJSONLogger(log.NewSyncWriter(w)), overloaded)
	logger = level.NewFilter(logger, level.Allow(allowed))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "node", node), nil
}

type contextKey struct{}

// WithContext returns a context that carries a logger.
func WithContext(ctx context.Context, logger log.Logger) context.Context {
	return context.WithValue(ctx, contextKey{}, logger)
}

// FromContext returns the logger of a context, or one that discards all lines.
func FromContext(ctx context.Context) log.Logger {
	if logger, ok := ctx.Value(contextKey{}).(log.Logger); ok {
		return logger
	}
	return log.NewNopLogger()
}
