package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// stuckWriter blocks until it is released. entered receives a value when a write begins.
type stuckWriter struct {
	release, entered chan struct{}
	mu               sync.Mutex
	bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

// TestAsyncWriterNeverBlocks writes more lines than fit into the queue while the output
// is blocked.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &stuckWriter{release: make(chan struct{}), entered: make(chan struct{}, 1)}
	a := NewAsyncWriter(out)
	write := func() {
		n, err := a.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	write()
	<-out.entered
	const tooMany = 100
	for range maxQueuedLines + tooMany {
		write()
	}
	is.Equal(a.Dropped(), int64(tooMany))
	close(out.release)
	a.Close()
	text := out.String()
	is.True(strings.Contains(text, `"log lines dropped"`))
	is.True(strings.Count(text, "line\n") >= maxQueuedLines)
}

// TestCloseBesideWriters closes the writer while goroutines still log, as at the end of a
// process.
func TestCloseBesideWriters(t *testing.T) {
	a := NewAsyncWriter(io.Discard)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 5000 {
				if _, err := a.Write([]byte("line\n")); err != nil {
					t.Error(err)
				}
			}
		})
	}
	a.Close()
	writers.Wait()
}
