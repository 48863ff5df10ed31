package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/engine"
)

// TestStalledEngineStreamsAreReopened guards against an engine's stream that goes on for ever
// with events that bring no new token, and against the end of a slow one that moves.
func TestStalledEngineStreamsAreReopened(t *testing.T) {
	for name, stalled := range map[string]bool{"repeats": true, "slow": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newPlainAgent(t, &countingService{})
				x := newTestAttempt(0)
				x.ctx = context.Background()
				began := time.Now()
				err := a.streamOnce(x, func(ctx context.Context, onEvent func(engine.DecodeEvent) error) error {
					for i := range 10 {
						time.Sleep(engineIdleTimeout * 3 / 4)
						if ctx.Err() != nil {
							return ctx.Err()
						}
						if stalled {
							i = 0
						}
						if err := onEvent(engine.DecodeEvent{Index: i, Token: "a"}); err != nil {
							return err
						}
					}
					return nil
				})
				is.Equal(err != nil, stalled)
				is.Equal(time.Since(began) < 4*engineIdleTimeout, stalled)
			})
		})
	}
}
