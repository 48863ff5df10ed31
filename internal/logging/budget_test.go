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

// lines counts the lines of each kind, and those that were said to be left out.
type lines struct {
	kinds   map[string]int
	leftOut map[string]int
}

func (l *lines) Log(keyvals ...any) error {
	m := map[any]any{}
	for i := 0; i+1 < len(keyvals); i += 2 {
		m[keyvals[i]] = keyvals[i+1]
	}
	if m["msg"] == "log lines left out" {
		l.leftOut[m["kind"].(string)] += m["count"].(int)
		return nil
	}
	l.kinds[fmt.Sprint(m["msg"])]++
	return nil
}

// TestEachKindKeepsToItsRate plays ten seconds in which requests are assigned
// and refused a thousand times a second each, and one that is answered.
func TestEachKindKeepsToItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const seconds, each = 10, 1000
		got := &lines{kinds: map[string]int{}, leftOut: map[string]int{}}
		logger := log.With(NewBudget(got, never), "node", "n")
		for i := range seconds * each {
			is.NoErr(level.Info(logger).Log("msg", "assigned", "request", i))
			is.NoErr(level.Warn(logger).Log("msg", "failed", "request", i))
			time.Sleep(time.Second / each)
		}
		is.NoErr(level.Info(logger).Log("msg", "answered"))
		is.Equal(got.kinds["answered"], 1)
		is.True(got.kinds["assigned"] <= (seconds+burstSeconds)*ordinaryRate)
		is.True(got.kinds["failed"] <= (seconds+burstSeconds)*urgentRate)
		is.True(got.kinds["failed"] >= seconds*urgentRate) // they stay longest
		time.Sleep(time.Second)
		is.NoErr(level.Info(logger).Log("msg", "assigned"))
		is.NoErr(level.Warn(logger).Log("msg", "failed"))
		is.Equal(got.kinds["assigned"]+got.leftOut["assigned"], seconds*each+1)
		is.Equal(got.kinds["failed"]+got.leftOut["failed"], seconds*each+1)
	})
}

func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewBudget(log.NewNopLogger(), never)
	for i := range 10 * maxKinds {
		is.NoErr(b.Log("msg", fmt.Sprint("kind ", i)))
	}
	is.True(len(b.kinds) <= maxKinds+1)
}

// TestUrgentLinesStayWhileTheOutputIsBehind stops the reader of the output.
func TestUrgentLinesStayWhileTheOutputIsBehind(t *testing.T) {
	is := is.New(t)
	out := &stuckWriter{release: make(chan struct{})}
	bounded := NewBounded(out)
	logger, err := New(bounded, "n", "info")
	is.NoErr(err)
	for i := range boundedLines {
		is.NoErr(level.Info(logger).Log("msg", fmt.Sprint("ordinary ", i%100), "i", i))
	}
	const urgent = 100
	for range urgent {
		is.NoErr(level.Warn(logger).Log("msg", "failed"))
	}
	is.Equal(bounded.Dropped(), int64(0))
	close(out.release)
	bounded.Close()
	is.Equal(strings.Count(out.String(), `"failed"`), urgent)
}

// BenchmarkLine writes one line about a request; with more than about 50,000 lines
// it measures those that are left out.
func BenchmarkLine(b *testing.B) {
	out := NewBounded(io.Discard)
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
