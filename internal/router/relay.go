package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// errStreamBroken is the error of a stream that ended early.
var errStreamBroken = errors.New("the stream broke off")

// streamError wraps the cause of a stream that ended early in errStreamBroken.
func streamError(err error) error { return fmt.Errorf("%w: %w", errStreamBroken, err) }

// errNotResumed is the error of a server that answered with a failure when it was to go on with
// a stream.
var errNotResumed = errors.New("the server failed to go on with the stream")

// Limits of a relayed stream.
const (
	// readSize is the size in bytes of the buffer for reads from a stream.
	readSize = 8 << 10
	// maxEvent bounds the size of one event in bytes.
	maxEvent = 1 << 20
)

// relay sends the events of a stream to the caller as they arrive, complete events
// only. It returns nil also when the caller disconnects.
func (x *exchange) relay(cancel context.CancelFunc, b *backend, reply *Reply, job *dispatch.Job) error {
	if reply.Status >= 300 || !reply.Proven {
		return x.relayFailure(b, reply)
	}
	began := time.Now()
	gaps := newGapMedian()
	watch := x.watchStall(b, cancel)
	defer watch.stop()
	var pending []byte
	buf := make([]byte, readSize)
	eventsBefore := x.events
	var firstEvent time.Time
	survived := false
	for {
		n, err := reply.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		if whole := wholeEvents(pending); whole > 0 {
			if hasData(pending[:whole]) {
				watch.event()
			}
			if gaps.event(time.Now(), bytes.Count(pending[:whole], eventEnd)) {
				x.observeStep(b, gaps.median())
			}
			watch.beginSending()
			err := x.sendEvents(b, reply, pending[:whole])
			watch.endSending()
			if err != nil {
				x.log("caller gone", "events", x.events, "err", err)
				return nil
			}
			pending = append(pending[:0], pending[whole:]...)
			if firstEvent.IsZero() {
				firstEvent = time.Now()
				x.endTrial(false)
			}
			if !survived && time.Since(firstEvent) >= survivedAfter {
				survived = true
				x.survived()
			}
		}
		if err == io.EOF && len(pending) == 0 && x.cutOff(b, reply, x.events == 0 && x.lastEvent == "") {
			err = errCutOff
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			x.start(reply)
			if !survived && x.events > eventsBefore {
				x.survived()
			}
			x.completed(b, job, x.events-eventsBefore, began, gaps)
			return nil
		case err == io.EOF || len(pending) > maxEvent:
			err = errors.New("the stream ended within an event")
			fallthrough
		case err != nil:
			x.streamBroken(b, eventsBefore, survived, err)
			return streamError(err)
		}
	}
}

// errCutOff is the error of an answer that ended with its server.
var errCutOff = errors.New("the server ended with its answer, which states no length")

// cutOff reports whether the answer of a server that states no length is not complete: it is
// empty, or the server has ended without a plan. Whether the connection was closed after the
// answer or within it does not show otherwise.
func (x *exchange) cutOff(b *backend, reply *Reply, empty bool) bool {
	if !reply.Unframed || b.leaving() {
		return false
	}
	return empty || x.router.reach(context.Background(), b) != nil
}

// streamBroken handles the early end of a stream. A server that crashed has no load
// and would be chosen first, so it is probed at once: it accepts or refuses the
// connection within a round trip. eventsBefore is the number of events that the caller had
// from other servers, and survived is set if the server has streamed for survivedAfter.
func (x *exchange) streamBroken(b *backend, eventsBefore int, survived bool, err error) {
	x.tried[b.Name()] = true
	x.warn("stream broken", "server", b.Name(), "software", b.server.Load().Software, "events", x.events, "err", err)
	if errors.Is(err, context.Canceled) {
		return // aborted by this process
	}
	x.lost(b, x.events-eventsBefore, survived, err)
}

// relayFailure sends the server's own error response to the caller.
func (x *exchange) relayFailure(b *backend, reply *Reply) error {
	body, err := x.readWhole(reply)
	if err != nil {
		return streamError(err)
	}
	if err := x.withhold(b, reply); err != nil {
		x.tried[b.Name()] = true
		return err
	}
	if x.started {
		return errNotResumed
	}
	x.warn("server failed", "status", reply.Status)
	x.sendWhole(reply, body)
	return nil
}

// completed records the end of a complete stream and its event gaps.
func (x *exchange) completed(b *backend, job *dispatch.Job, events int, began time.Time, gaps *gapMedian) {
	x.router.count.completed.Add(1)
	x.log("answered", "server", b.Name(), "software", b.server.Load().Software, "events", x.events, "attempts", x.attempts, "stream_ms", time.Since(began).Milliseconds())
	if events == 0 {
		return
	}
	if x.knownBy == "" { // the length of an answer that is taken up is not known here
		x.router.dispatch.RecordAnswerLength(job, events*x.engine.EventTokens)
	}
	if gap := gaps.median(); gap > 0 {
		x.observe(stageGap, gap)
	}
}

// observeStep records the time between two events of a running stream.
func (x *exchange) observeStep(b *backend, gap time.Duration) {
	tokensPerEvent := time.Duration(x.engine.EventTokens)
	x.router.dispatch.Update(b, func(now time.Duration, v *placement.Server) {
		v.ObserveStep(now, gap/tokensPerEvent, x.route.GapTarget/tokensPerEvent)
	})
	x.router.shareSpeeds(x.service)
	x.router.shareServerSpeeds(b)
}

// start sends the header of a stream unless the answer has started. It reports whether it
// did.
func (x *exchange) start(reply *Reply) bool {
	if x.started {
		return false
	}
	x.started = true
	x.answer.Start(reply.Status, reply.Header, -1)
	return true
}

// sendEvents sends complete events of a server to the caller.
func (x *exchange) sendEvents(b *backend, reply *Reply, events []byte) error {
	if !x.started {
		x.recordOrigin(b)
	}
	if x.start(reply) {
		x.observe(stageFirst, time.Since(x.call.Arrived))
		x.observe(stageDecode, time.Since(x.prefilled))
		x.router.observeStart(x.service, time.Since(x.prefilled))
		x.log("first event")
	}
	x.begun = true
	x.events += bytes.Count(events, eventEnd)
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	return x.answer.Write(events)
}

// eventEnd ends an event of a text/event-stream.
var eventEnd = []byte("\n\n")

// wholeEvents returns the length of the complete events at the start of b.
func wholeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// hasData reports whether events carry data. A comment is no progress of the answer.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data:")) || bytes.Contains(events, []byte("\ndata:"))
}

// lastEventID returns the ID of the last event that names one.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}

// stallWatch probes the server of a stream that delivers no events.
type stallWatch struct {
	events chan struct{}
	done   chan struct{}
	began  time.Time
	// sendingSince is the time after began, in nanoseconds, since which the relay sends to the
	// caller, and so does not read the stream; 0 while it does not. The time of day may jump.
	sendingSince atomic.Int64
}

// slowSend is the time after which a relay that sends waits for its caller. A shorter one only
// coincides with the watch.
const slowSend = 10 * time.Millisecond

func (w *stallWatch) beginSending() { w.sendingSince.Store(max(int64(time.Since(w.began)), 1)) }

func (w *stallWatch) endSending() { w.sendingSince.Store(0) }

// waitsForCaller reports whether the relay does not read the stream since its caller is slow.
func (w *stallWatch) waitsForCaller(now time.Time) bool {
	since := w.sendingSince.Load()
	return since != 0 && now.Sub(w.began)-time.Duration(since) >= slowSend
}

// watchStall probes the server when its stream stalls. If the server is unreachable,
// it is suspected, and the stream is cancelled if it can be resumed on another
// server. A stream also stalls while a server that is reachable has preempted it, or works
// on nothing any more. It is then cancelled only when that leaves just enough time to go on
// elsewhere before the caller gives up.
func (x *exchange) watchStall(b *backend, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{events: make(chan struct{}, 1), done: make(chan struct{}), began: time.Now()}
	if gap := x.route.GapTarget; gap > 0 {
		go w.run(x, b, gap, cancel)
	}
	return w
}

// mayResume reports whether a stream may be resumed on another server.
func (x *exchange) mayResume() bool { return x.route.Resumable && x.attempts < x.route.Attempts }

func (w *stallWatch) run(x *exchange, b *backend, timeout time.Duration, cancel context.CancelFunc) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	last, limit := time.Now(), x.standstill()
	for {
		select {
		case <-w.done:
			return
		case <-w.events:
			last = time.Now()
		case <-timer.C:
			if w.waitsForCaller(time.Now()) {
				last = time.Now()
				break
			}
			if err := x.router.reach(context.Background(), b); err != nil {
				x.suspect(b, fmt.Errorf("a stream stands still: %w", err))
				if x.mayResume() {
					cancel()
					return
				}
			} else if time.Since(last) >= limit && x.mayResume() && x.runs < maxFurtherRuns && x.prepayRetry() {
				x.warn("stream stands still", "server", b.Name(), "since_ms", time.Since(last).Milliseconds())
				cancel()
				return
			}
		}
		timer.Reset(min(timeout, max(limit-time.Since(last), timeout/2)))
	}
}

// prepayRetry takes the attempts for a further run from the retry budget before the current
// run is given up, since that may still go on.
func (x *exchange) prepayRetry() bool {
	if !x.acquireRetry(retryRun) {
		return false
	}
	x.prepaid.Store(true)
	return true
}

func (w *stallWatch) event() {
	select {
	case w.events <- struct{}{}:
	default:
	}
}

func (w *stallWatch) stop() { close(w.done) }
