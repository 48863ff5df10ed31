package transport

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Stream is one connection that carries stream frames in both directions. One
// goroutine may receive while any number send.
type Stream struct {
	conn        net.Conn
	r           *bufio.Reader
	in          []byte
	idleTimeout time.Duration

	writing writeLock // guards out and writes
	out     []byte

	once   sync.Once
	closed chan struct{}
}

// newStream starts a stream that sends heartbeatsPerTimeout heartbeats within
// idleTimeout and fails when it receives no data for idleTimeout.
func newStream(conn net.Conn, idleTimeout time.Duration) *Stream {
	conn = &idleConn{Conn: conn, idleTimeout: idleTimeout}
	s := &Stream{conn: conn, r: bufio.NewReader(conn), idleTimeout: idleTimeout, writing: newWriteLock(), closed: make(chan struct{})}
	go s.sendHeartbeats()
	return s
}

func (s *Stream) sendHeartbeats() {
	ticker := time.NewTicker(s.idleTimeout / heartbeatsPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		}
		if s.writing.tryLock() {
			_ = s.sendLocked(&protocol.StreamFrame{})
			s.writing.unlock()
		}
	}
}

// Send writes one frame. A failure closes the stream.
func (s *Stream) Send(f *protocol.StreamFrame) error {
	s.writing.lock()
	defer s.writing.unlock()
	return s.sendLocked(f)
}

func (s *Stream) sendLocked(f *protocol.StreamFrame) error {
	out, err := AppendFrame(s.out[:0], f)
	if err != nil {
		s.Close()
		return err
	}
	s.out = out
	if _, err := s.conn.Write(out); err != nil {
		s.Close()
		return err
	}
	return nil
}

// Receive reads the next frame, heartbeats included.
func (s *Stream) Receive() (*protocol.StreamFrame, error) {
	var err error
	s.in, err = ReadFrame(s.r, s.in)
	if err != nil {
		s.Close()
		return nil, err
	}
	var f protocol.StreamFrame
	if err := Decode(s.in, &f); err != nil {
		s.Close()
		return nil, err
	}
	return &f, nil
}

// Close closes the connection.
func (s *Stream) Close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
	})
}

// Closed returns a channel that is closed with the stream.
func (s *Stream) Closed() <-chan struct{} { return s.closed }
