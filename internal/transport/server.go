package transport

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// StreamHandler serves a token stream until the connection ends.
type StreamHandler func(conn *Stream, from protocol.NodeRef)

// established is implemented by connections that may be closed in favour of others until the
// peer is known.
type established interface {
	// Established reports whether the connection was kept.
	Established() bool
}

// Server accepts connections from other processes.
type Server struct {
	Self     protocol.NodeRef
	Security *Security
	RPC      *rpc.Server
	// Stream serves token streams; nil refuses them.
	Stream StreamHandler
	// IdleTimeout is the time within which a read must receive data and a write
	// must send writeStep bytes. Otherwise the connection fails.
	IdleTimeout time.Duration
	Log         log.Logger

	pending pendingCalls

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// WaitIdle blocks until no RPC request waits for a response, or ctx ends.
func (s *Server) WaitIdle(ctx context.Context) error { return s.pending.wait(ctx) }

// Serve accepts connections until ctx ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		s.closeAll()
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			s.wg.Wait()
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "accepting a connection")
		}
		s.wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) track(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	if !s.track(ctx, raw) {
		return
	}
	defer s.untrack(raw)
	conn := s.Security.server(raw)
	hello, err := s.exchangeHello(conn)
	if err != nil {
		_ = level.Warn(s.Log).Log("msg", "refused a connection", "peer", raw.RemoteAddr(), "err", err)
		return
	}
	if bounded, ok := raw.(established); ok && !bounded.Established() {
		return // closed in favour of others
	}
	if hello.Channel == ChannelRPC {
		s.RPC.ServeCodec(serverCodec{newCodec(&idleConn{Conn: conn, idleTimeout: s.IdleTimeout}), &s.pending})
		return
	}
	stream := newStream(conn, s.IdleTimeout)
	defer stream.Close()
	s.Stream(stream, hello.From)
}

func (s *Server) exchangeHello(conn net.Conn) (Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello, err := receiveHello(conn)
	if err != nil {
		return hello, err
	}
	supported := hello.Channel == ChannelRPC || hello.Channel == ChannelStream && s.Stream != nil
	if !supported {
		return hello, errors.NotSupportedf("channel %q", hello.Channel)
	}
	if err := sendHello(conn, Hello{Channel: hello.Channel, From: s.Self}); err != nil {
		return hello, err
	}
	return hello, conn.SetDeadline(time.Time{})
}
