package controlplane

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Delays of a watcher.
const (
	// watchWait is the time that a long poll waits for a later note.
	watchWait = 30 * time.Second
	// retryDelay is the delay after a failed or stale read.
	retryDelay = time.Second
)

// Watcher applies published notes to a store in order.
type Watcher struct {
	Client *Client
	Store  *release.Store
	Log    log.Logger
}

// Run watches the configuration service until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.WaitAndApply(ctx, watchWait); err != nil && ctx.Err() == nil {
			_ = level.Warn(w.Log).Log("msg", "reading release notes failed; retrying", "err", err)
			sleep.WithContext(ctx, retryDelay)
		}
	}
}

// WaitAndApply waits for later notes and applies them.
func (w *Watcher) WaitAndApply(ctx context.Context, wait time.Duration) error {
	current, began := w.Store.Current().Number, time.Now()
	head, err := w.Client.Head(ctx, current, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if head < current || head == current && time.Since(began) < min(wait, retryDelay) {
		// The service is stale, and the store never goes back to an earlier note; or the
		// service does not wait.
		sleep.WithContext(ctx, retryDelay)
	}
	for n := current + 1; n <= head; n++ {
		if err := w.fetchAndApply(ctx, n); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// fetchAndApply reads a note and applies it.
func (w *Watcher) fetchAndApply(ctx context.Context, number uint64) error {
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
