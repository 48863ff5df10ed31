package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(p)
}

// TestAsyncWriterNeverBlocks writes more lines than fit into the queue and into the
// current batch while the output is blocked.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &stuckWriter{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	for range 2*maxQueuedLines + batchBytes/len("line\n") {
		n, err := a.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(a.Dropped() > 0)
	close(out.release)
	a.Close()
	text := out.String()
	is.True(strings.Contains(text, `"log lines dropped"`))
	is.True(strings.Count(text, "line\n") >= maxQueuedLines)
}
