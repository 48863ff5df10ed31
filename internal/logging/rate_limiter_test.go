package logging

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/matryer/is"
)

func never() bool { return false }

// lineCounter is a logger that counts the lines of each kind, and adds up the
// numbers of dropped lines that a RateLimiter logs.
type lineCounter struct {
	kinds   map[string]int
	dropped map[string]int
}

func (l *lineCounter) Log(keyvals ...any) error {
	m := map[any]any{}
	for i := 0; i+1 < len(keyvals); i += 2 {
		m[keyvals[i]] = keyvals[i+1]
	}
	if m["msg"] == "log lines left out" {
		l.dropped[m["kind"].(string)] += m["count"].(int)
		return nil
	}
	l.kinds[fmt.Sprint(m["msg"])]++
	return nil
}

// TestEachKindKeepsToItsRate logs "assigned" and "failed" a thousand times a
// second each for ten seconds, and "answered" once. The frequent kinds must not
// use up the limit of the rare one, and each line is either logged or counted as
// dropped.
func TestEachKindKeepsToItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const seconds, each = 10, 1000
		got := &lineCounter{kinds: map[string]int{}, dropped: map[string]int{}}
		logger := log.With(NewRateLimiter(got, never), "node", "n")
		for i := range seconds * each {
			is.NoErr(level.Info(logger).Log("msg", "assigned", "request", i))
			is.NoErr(level.Warn(logger).Log("msg", "failed", "request", i))
			time.Sleep(time.Second / each)
		}
		is.NoErr(level.Info(logger).Log("msg", "answered"))
		is.Equal(got.kinds["answered"], 1)
		is.True(got.kinds["assigned"] <= (seconds+burstSeconds)*ordinaryRate)
		is.True(got.kinds["failed"] <= (seconds+burstSeconds)*urgentRate)
		is.True(got.kinds["failed"] >= seconds*urgentRate) // above the ordinary rate
		time.Sleep(time.Second)
		is.NoErr(level.Info(logger).Log("msg", "assigned"))
		is.NoErr(level.Warn(logger).Log("msg", "failed"))
		is.Equal(got.kinds["assigned"]+got.dropped["assigned"], seconds*each+1)
		is.Equal(got.kinds["failed"]+got.dropped["failed"], seconds*each+1)
	})
}

func TestNumberOfKindsIsBounded(t *testing.T) {
	is := is.New(t)
	limiter := NewRateLimiter(log.NewNopLogger(), never)
	for i := range 10 * maxKinds {
		is.NoErr(limiter.Log("msg", fmt.Sprint("kind ", i)))
	}
	is.True(len(limiter.kinds) <= maxKinds+1)
}

// TestUrgentLinesAreKeptWhileOutputIsBlocked fills the queue with ordinary lines
// while the output is blocked. Half of the queue must stay free for warnings.
func TestUrgentLinesAreKeptWhileOutputIsBlocked(t *testing.T) {
	is := is.New(t)
	out := &stuckWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	logger, err := New(writer, "n", "info")
	is.NoErr(err)
	for i := range maxQueuedLines {
		is.NoErr(level.Info(logger).Log("msg", fmt.Sprint("ordinary ", i%100), "i", i))
	}
	const urgent = 100
	for range urgent {
		is.NoErr(level.Warn(logger).Log("msg", "failed"))
	}
	is.Equal(writer.Dropped(), int64(0))
	close(out.release)
	writer.Close()
	is.Equal(strings.Count(out.String(), `"failed"`), urgent)
}

// BenchmarkLine logs one line about a request. Beyond about 50,000 lines, it
// measures lines that are dropped by the limits.
func BenchmarkLine(b *testing.B) {
	out := NewAsyncWriter(io.Discard)
	defer out.Close()
	logger, err := New(out, "entry-1", "info")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = level.Warn(logger).Log("msg", fmt.Sprint("failed ", b.N%100), "request", "9c41d07be2a35f68", "ms", 17, "cause", "the first token would come too late", "config", 12)
	}
}
