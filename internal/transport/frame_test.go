package transport

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

func FuzzReadFrame(f *testing.F) {
	valid, _ := AppendFrame(nil, protocol.StreamFrame{Acks: []protocol.Ack{{Attempt: "a", Offset: 3, Done: true}}})
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 3, 0x9b, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 2, 0xbf, 0xff}) // indefinite length
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, err := ReadFrame(bytes.NewReader(data), nil)
		if err != nil {
			return
		}
		if len(payload) > MaxFrameBytes || len(payload) > len(data) {
			t.Fatalf("payload of %d bytes from %d", len(payload), len(data))
		}
		var frame protocol.StreamFrame
		_ = Decode(payload, &frame)
		var args protocol.CallArgs
		_ = Decode(payload, &args)
	})
}

func FuzzHello(f *testing.F) {
	valid, _ := AppendFrame(nil, Hello{Version: protocol.Version, Channel: ChannelRPC, From: protocol.NodeRef{Node: "n", Incarnation: "i"}})
	f.Add(valid)
	f.Add(valid[:3])
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0, 0, 0, 4, 0xa1, 1, 0x18, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		defer b.Close()
		go func() {
			_, _ = a.Write(data)
			_ = a.Close()
		}()
		hello, err := receiveHello(b)
		if err == nil && hello.Version != protocol.Version {
			t.Fatalf("accepted version %d", hello.Version)
		}
	})
}

// slowConn returns at most step bytes from each read, after a delay.
type slowConn struct {
	net.Conn
	step  int
	delay time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Read(p[:min(len(p), c.step)])
}

func TestLargeFramePassesSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		sender := newStream(a, testIdleTimeout)
		receiver := newStream(&slowConn{Conn: b, step: 16 << 10, delay: testIdleTimeout / 8}, testIdleTimeout)
		defer sender.Close()
		defer receiver.Close()
		go func() {
			for {
				if _, err := sender.Receive(); err != nil {
					return
				}
			}
		}()
		big := &protocol.StreamFrame{Chunks: []protocol.Chunk{{Attempt: string(make([]byte, 1<<20))}}}
		go func() { _ = sender.Send(big) }()
		for {
			f, err := receiver.Receive()
			is.NoErr(err)
			if len(f.Chunks) > 0 {
				is.Equal(len(f.Chunks[0].Attempt), 1<<20)
				return
			}
		}
	})
}

func TestStreamFailsAfterIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		s := newStream(a, testIdleTimeout)
		go func() { _, _ = io.Copy(io.Discard, b) }()
		defer b.Close()
		start := time.Now()
		_, err := s.Receive()
		is.True(err != nil)
		is.Equal(time.Since(start), testIdleTimeout)
		<-s.Closed()
	})
}
