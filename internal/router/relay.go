package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/placement"
)

// errBroken is the reason of a stream that ended early.
var errBroken = errors.New("the stream broke off")

// brokenOff marks an error as the early end of a stream.
func brokenOff(err error) error { return fmt.Errorf("%w: %w", errBroken, err) }

// errUnproven is the reason of a response that is not the server's.
var errUnproven = errors.New("the response bears no proof of its server")

// Bounds of a relayed stream.
const (
	// stallFactor is the number of allowed gaps without an event after which it is
	// asked whether the server can be reached.
	stallFactor = 1.5
	// readSize is the size of one read from a stream in bytes.
	readSize = 8 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

// relay passes the events of a stream on as they arrive, whole ones only.
func (x *exchange) relay(cancel context.CancelFunc, b *backend, reply *Reply, job *dispatch.Job) error {
	if reply.Status >= 300 || !reply.Proven {
		return x.relayFailure(reply)
	}
	began := time.Now()
	gaps := newGapMedian()
	watch := x.watchStall(b, cancel)
	defer watch.stop()
	var pending []byte
	buf := make([]byte, readSize)
	first := x.events
	for {
		n, err := reply.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		if whole := wholeEvents(pending); whole > 0 {
			watch.event()
			gaps.event(time.Now(), bytes.Count(pending[:whole], eventEnd))
			if err := x.passEvents(reply, pending[:whole]); err != nil {
				x.log("caller gone", "events", x.events, "err", err)
				return nil
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			x.completed(b, job, x.events-first, began, gaps)
			return nil
		case err == io.EOF || len(pending) > maxEvent:
			err = errors.New("the stream ended within an event")
			fallthrough
		case err != nil:
			x.streamBroken(b, err)
			return brokenOff(err)
		}
	}
}

// streamBroken notes the early end of a stream. A server that crashed seems to be
// empty, so that it is asked at once whether it still takes connections; it
// answers in a round trip, or refuses.
func (x *exchange) streamBroken(b *backend, err error) {
	x.tried[b.Name()] = true
	x.warn("stream broken", "server", b.Name(), "events", x.events, "err", err)
	if errors.Is(err, context.Canceled) {
		return // broken off here
	}
	if unreached := x.router.reach(context.Background(), b); unreached != nil {
		x.suspect(b, unreached)
	}
}

// relayFailure passes on the server's own failure.
func (x *exchange) relayFailure(reply *Reply) error {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxPlainBody))
	if err != nil {
		return brokenOff(err)
	}
	if reply.Status < 300 || x.started {
		return errUnproven
	}
	x.warn("server failed", "status", reply.Status)
	x.pass(reply, body)
	return nil
}

// completed accounts for a whole stream.
func (x *exchange) completed(b *backend, job *dispatch.Job, events int, began time.Time, gaps *gapMedian) {
	x.router.count.completed.Add(1)
	x.log("answered", "server", b.Name(), "events", x.events, "attempts", x.attempts, "stream_ms", time.Since(began).Milliseconds())
	if events == 0 {
		return
	}
	each := time.Duration(x.engine.EventTokens)
	x.router.dispatch.Answered(job, events*x.engine.EventTokens)
	if gap := gaps.median(); gap > 0 {
		x.observe(stageGap, gap)
		x.router.dispatch.Update(b, func(now time.Duration, v *placement.Server) { v.ObserveStep(now, gap/each, x.route.Gap/each) })
	}
}

// passEvents sends whole events to the caller.
func (x *exchange) passEvents(reply *Reply, events []byte) error {
	if !x.started {
		x.started = true
		x.answer.Start(reply.Status, reply.Header, -1)
		x.observe(stageFirst, time.Since(x.call.Arrived))
		x.observe(stageDecode, time.Since(x.prefilled))
		x.log("first event")
	}
	x.events += bytes.Count(events, eventEnd)
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	return x.answer.Write(events)
}

// eventEnd ends an event of a text/event-stream.
var eventEnd = []byte("\n\n")

// wholeEvents returns the length of the whole events at the start of b.
func wholeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
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

// stallWatch looks for streams that stand still.
type stallWatch struct {
	events chan struct{}
	done   chan struct{}
}

// watchStall looks for a server that is gone when its stream stands still, and
// then breaks a stream off that can be resumed elsewhere. A stream also stands
// still while the server has preempted it; such a server is reached.
func (x *exchange) watchStall(b *backend, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{events: make(chan struct{}, 1), done: make(chan struct{})}
	if gap := x.route.Gap; gap > 0 {
		go w.run(x, b, time.Duration(stallFactor*float64(gap)), cancel)
	}
	return w
}

func (w *stallWatch) run(x *exchange, b *backend, patience time.Duration, cancel context.CancelFunc) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-w.events:
		case <-timer.C:
			if err := x.router.reach(context.Background(), b); err != nil {
				x.suspect(b, fmt.Errorf("a stream stands still: %w", err))
				if x.route.Resumable && x.attempts < x.route.Attempts {
					cancel()
					return
				}
			}
		}
		timer.Reset(patience)
	}
}

func (w *stallWatch) event() {
	select {
	case w.events <- struct{}{}:
	default:
	}
}

func (w *stallWatch) stop() { close(w.done) }
