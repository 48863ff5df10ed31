package agent

import (
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/transport"
)

const (
	// coalesceInterval is the time during which tokens of all attempts on a
	// stream are collected into one frame.
	coalesceInterval = 5 * time.Millisecond
	// maxFrameChunks is the maximum number of chunks in one frame. Together with
	// maxChunkBytes it bounds the size of a frame.
	maxFrameChunks = 128
)

// sink sends the tokens of many attempts on one stream. The methods enqueue,
// reject and reportLoad do nothing on a nil sink.
type sink struct {
	stream *transport.Stream
	load   func() protocol.Load

	mu          sync.Mutex
	loadPending bool // set when the load is to be sent
	ready       map[*attempt]struct{}
	rejections  []protocol.Chunk // ends of attempts that this stream does not carry
	signal      chan struct{}
}

func newSink(stream *transport.Stream, load func() protocol.Load) *sink {
	return &sink{stream: stream, load: load, ready: map[*attempt]struct{}{}, signal: make(chan struct{}, 1)}
}

// ServeStream serves the token stream of an entry.
func (a *Agent) ServeStream(stream *transport.Stream, from protocol.NodeRef) {
	s := newSink(stream, a.load)
	go s.run()
	for {
		frame, err := stream.Receive()
		if err != nil {
			return
		}
		a.handleFrame(s, from, frame)
	}
}

func (a *Agent) handleFrame(s *sink, from protocol.NodeRef, frame *protocol.StreamFrame) {
	for _, at := range frame.Attach {
		t, ok := a.findAttempt(from, at.Attempt)
		if !ok || !t.attach(s, at) {
			s.reject(at.Attempt, at.Offset, lostEnd())
			continue
		}
		s.enqueue(t)
	}
	for _, ack := range frame.Acks {
		t, ok := a.findAttempt(from, ack.Attempt)
		if !ok {
			continue
		}
		t.ack(ack.Offset)
		if ack.Done && a.removeAttempt(t) {
			s.reportLoad()
		}
	}
}

// enqueue queues an attempt for sending.
func (s *sink) enqueue(t *attempt) {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.ready[t] = struct{}{}
	s.mu.Unlock()
	s.notify()
}

// reject sends the entry an end for an attempt that this stream does not carry.
func (s *sink) reject(attempt string, offset int, end protocol.End) {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.rejections = append(s.rejections, protocol.Chunk{Attempt: attempt, Offset: offset, End: &end})
	s.mu.Unlock()
	s.notify()
}

// lostEnd returns the end of an attempt that the agent does not hold.
func lostEnd() protocol.End {
	return protocol.End{Error: apierror.Unknown(apierror.KindNotFound, "the agent does not hold the attempt", "continue on another backend server")}
}

// movedEnd returns the end of an attempt for its former owner.
func movedEnd() protocol.End {
	return protocol.End{Error: apierror.Unknown(apierror.KindMoved, "the caller resumed the request on another connection", "read the answer there")}
}

// reportLoad sends the entry the current load after resources were released.
func (s *sink) reportLoad() {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.loadPending = true
	s.mu.Unlock()
	s.notify()
}

func (s *sink) notify() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// run sends frames until the stream ends.
func (s *sink) run() {
	defer s.stream.Close()
	for {
		select {
		case <-s.stream.Closed():
			return
		case <-s.signal:
		}
		time.Sleep(coalesceInterval)
		frame := s.collect()
		if len(frame.Chunks) == 0 && frame.Load == nil {
			continue
		}
		if s.stream.Send(frame) != nil {
			return
		}
	}
}

// collect builds the next frame. Attempts with more tokens to send stay in ready.
func (s *sink) collect() *protocol.StreamFrame {
	frame := &protocol.StreamFrame{}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadPending {
		l := s.load()
		frame.Load = &l
	}
	chunks := s.rejections
	s.rejections, s.loadPending = nil, false
	for t := range s.ready {
		if len(chunks) >= maxFrameChunks {
			break
		}
		c, ok, more := t.nextChunk(s)
		if ok {
			chunks = append(chunks, c)
		}
		if !more {
			delete(s.ready, t)
		}
	}
	if len(s.ready) > 0 {
		s.notify()
	}
	frame.Chunks = chunks
	return frame
}
