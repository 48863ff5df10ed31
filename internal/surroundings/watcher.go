package surroundings

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/pause"
	"github.com/samphirestream/samphirestream/internal/release"
)

// Intervals of a watcher.
const (
	watchWait  = 30 * time.Second
	retryDelay = time.Second
)

// Watcher brings published notes into force in a store.
type Watcher struct {
	Client *Client
	Store  *release.Store
	Log    log.Logger
}

// Run watches the configuration service until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.Poll(ctx, watchWait); err != nil && ctx.Err() == nil {
			_ = level.Warn(w.Log).Log("msg", "reading release notes failed; retrying", "err", err)
			pause.For(ctx, retryDelay)
		}
	}
}

// Poll waits for later notes and applies them.
func (w *Watcher) Poll(ctx context.Context, wait time.Duration) error {
	current := w.Store.Current().Number
	head, err := w.Client.Head(ctx, current, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if head < current {
		pause.For(ctx, retryDelay) // a stale service; it can not lower the state
	}
	for n := current + 1; n <= head; n++ {
		if err := w.fetch(ctx, n); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (w *Watcher) fetch(ctx context.Context, number uint64) error {
	raw, err := w.Client.Note(ctx, number)
	if err != nil {
		return errors.Trace(err)
	}
	doc, err := release.Parse(raw)
	if err != nil {
		return errors.Annotatef(err, "release note %d", number)
	}
	if err := w.Store.Apply(doc); err != nil {
		return errors.Trace(err)
	}
	_ = level.Info(w.Log).Log("msg", "release note in force", "note", number)
	return nil
}
