package router_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/explain"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/logging"
	"github.com/samphirestream/samphirestream/internal/router"
)

// withLog returns a fleet like f whose router logs to out.
func (f *fleet) withLog(t *testing.T, out *bytes.Buffer) *fleet {
	t.Helper()
	logger, err := logging.New(kitlog.NewSyncWriter(out), "entry-1", "info")
	if err != nil {
		t.Fatal(err)
	}
	g := *f
	g.Router = router.New(f.directory, f.servers, testOptions, logger)
	return &g
}

// trace finds the cause of the last request in the log, by its request ID, as
// docs/OPERATIONS.md describes.
func trace(t *testing.T, out *bytes.Buffer) *explain.Timeline {
	t.Helper()
	lines, skipped, err := explain.Read(bytes.NewReader(out.Bytes()))
	if err != nil || skipped > 0 {
		t.Fatal(err, skipped)
	}
	timeline, ok := explain.Reconstruct(lastRequest(), lines)
	if !ok {
		t.Fatalf("no line about %s in %s", lastRequest(), out)
	}
	return timeline
}

// TestRefusalsOfFreeServersAreExplained checks that the log explains a refusal when
// the other entries use up the decode memory while the servers have free slots.
func TestRefusalsOfFreeServersAreExplained(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var out bytes.Buffer
		f = f.withLog(t, &out)
		began := time.Now()
		runs := []loadexchange.Run{{Prompt: 30_000, Answer: 9000, Began: began}, {Prompt: 30_000, Answer: 9000, Began: began}}
		for _, id := range decodeServers {
			f.SetRemoteUsage(id, []loadexchange.Usage{{Runs: runs}})
		}
		f.call(context.Background(), "/stream/x")
		timeline := trace(t, &out)
		is.Equal(timeline.Outcome, "not_run")
		is.Equal(timeline.Cause.Msg, "refused by prediction")
		is.Equal(timeline.Cause.Fields["decode_servers"], float64(len(decodeServers)))
		is.True(timeline.Cause.Fields["wait_ms"].(float64) > 0)
		last := timeline.Lines[len(timeline.Lines)-1]
		is.Equal(last.Fields["config"], float64(1))
		is.Equal(last.Fields["route"], "/stream/")
	})
}

// TestUnsafeCallsThatFailAreExplained checks that the log explains a failed call that
// must not be repeated, when its server resets the connection.
func TestUnsafeCallsThatFailAreExplained(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var out bytes.Buffer
		f = f.withLog(t, &out)
		f.servers.setAll(plainServers, unanswered)
		f.call(context.Background(), "/once/x")
		timeline := trace(t, &out)
		is.Equal(timeline.Outcome, "outcome_unknown")
		is.Equal(timeline.Cause.Msg, "attempt failed")
		is.True(timeline.Cause.Server != "")
		is.True(timeline.Cause.Fields["err"] != nil)
	})
}

// TestBrokenStreamsAreExplained checks that the log explains a broken stream that can
// not be resumed, at a server that was unreachable for an earlier request.
func TestBrokenStreamsAreExplained(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var out bytes.Buffer
		f = f.withLog(t, &out)
		f.servers.setAll(decodeServers, ok(events))
		f.servers.setUnreachable(decodeServers...)
		f.call(context.Background(), "/stream/x")
		f.servers.setUnreachable()
		time.Sleep(time.Second)
		f.servers.setAll(decodeServers, breaksAfter(events+"id: 3\nda"))
		f.call(context.Background(), "/stream/x")
		timeline := trace(t, &out)
		is.Equal(timeline.Outcome, "aborted")
		is.Equal(timeline.Cause.Msg, "stream broken")
		is.Equal(timeline.Cause.Fields["events"], 2.0)
		suspected := 0
		for _, l := range timeline.Context {
			is.Equal(l.Server, timeline.Cause.Server)
			if l.Msg == "server suspected" {
				suspected++
			}
		}
		is.Equal(suspected, 1)
	})
}

// TestRefusalsByTheWordOfServersAreExplained checks that the log explains a refusal by what
// the servers have said, to whom and how long ago.
func TestRefusalsByTheWordOfServersAreExplained(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var out bytes.Buffer
		f = f.withLog(t, &out)
		limit := 0.1
		for i, n := range []advisory.Notice{{RetryAfter: 4 * time.Second}, {Limit: &limit, ToRequest: true}, {Limit: &limit, ToRequest: true, FromPeer: true}} {
			n.Received = time.Now()
			f.Observe(f.directory.Current().Servers[plainServers[i]], n)
		}
		time.Sleep(400 * time.Millisecond)
		f.call(context.Background(), "/once/x")
		timeline := trace(t, &out)
		is.Equal(timeline.Outcome, "not_run")
		is.Equal(timeline.Cause.Msg, "refused before it was sent")
		is.Equal(timeline.Cause.Fields["advice"], []any{
			"a1: wants nothing for 3600 ms",
			"a2: takes 0.1 requests a second, said 400 ms ago to this entry",
			"a3: takes 0.1 requests a second, said 400 ms ago to another entry",
		})
	})
}
