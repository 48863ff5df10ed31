// Package ingress makes the HTTP servers and the listeners of a process, and bounds what their
// clients can make it hold: connections, headers and bodies that do not end, answers that nobody
// reads. All ports of a process have these bounds, and share its memory and its descriptors.
//
// Load answered: clients that do not behave, many at once. One of them is closed or refused in
// favour of others when a port is full or the memory is used up; a request whose connection is
// closed has not been passed on.
package ingress

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/samphirestream/samphirestream/internal/membudget"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/outbuffer"
)

// Shares of the limits of a process.
const (
	// bufferFraction is the fraction of the memory for the headers and bodies of requests, and
	// for answers that clients have not taken. It is a fifth of the heap: a body is copied once
	// while it is sent, and garbage of the same size may wait for collection.
	bufferFraction = 0.125
	// connectionFraction is the fraction of the memory for the connections of clients.
	connectionFraction = 0.25
	// connectionBytes is the memory of a connection with its goroutines and buffers, and with
	// what it has received and is not read, in bytes.
	connectionBytes = 64 << 10
	// receiveBuffer is the size in bytes that is set for the receive buffers of connections,
	// which the kernel keeps and doubles. By default they grow to megabytes for a client that
	// sends more than is read. It allows 30 Mbit/s for a round trip of 6 ms.
	receiveBuffer = 24 << 10
	// descriptorFraction is the fraction of the descriptors for the connections of clients. The
	// rest is for those to servers, and of the process itself.
	descriptorFraction = 0.5
	// portFraction is the fraction of the connections for each port other than the main one, and
	// minPortConnections the least number for one.
	portFraction       = 1.0 / 16
	minPortConnections = 8
)

// Limits are those of a process.
type Limits struct {
	// Memory is the memory that the process may use, in bytes.
	Memory int64
	// Descriptors is the number of descriptors that it may have open; 0 for the kernel's limit.
	Descriptors int
}

// connections returns the number of connections that clients may have to all ports.
func (l Limits) connections() int {
	descriptors := l.Descriptors
	var kernel syscall.Rlimit
	if descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &kernel) == nil {
		descriptors = int(min(kernel.Cur, 1<<20))
	}
	byMemory := connectionFraction * float64(l.Memory) / connectionBytes
	return max(int(min(byMemory, descriptorFraction*float64(descriptors))), minPortConnections)
}

// Guard holds the bounds that the ports of a process share.
type Guard struct {
	budget      *membudget.Budget
	connections int
	log         log.Logger
	metrics     *metrics.Set
}

// New returns the guard of a process. It publishes its metrics in a set of the given name.
func New(limits Limits, name string, logger log.Logger) *Guard {
	g := &Guard{
		budget:      membudget.New(int64(bufferFraction * float64(limits.Memory))),
		connections: limits.connections(), log: logger, metrics: metrics.NewSet(name),
	}
	g.publishMemory()
	return g
}

// Budget returns the memory for headers, bodies and answers.
func (g *Guard) Budget() *membudget.Budget { return g.budget }

// publishMemory publishes the gauges of the memory for headers, bodies and answers.
func (g *Guard) publishMemory() {
	for name, value := range map[string]func(membudget.Stats) int64{
		"memory_limit_bytes":   func(s membudget.Stats) int64 { return s.Limit },
		"memory_headers_bytes": func(s membudget.Stats) int64 { return s.Headers },
		"memory_bodies_bytes":  func(s membudget.Stats) int64 { return s.Bodies },
		"memory_answers_bytes": func(s membudget.Stats) int64 { return s.Answers },
		"memory_peak_bytes":    func(s membudget.Stats) int64 { return s.Peak },
		"slow_readers":         func(s membudget.Stats) int64 { return int64(s.Readers) },
		"slow_readers_evicted": func(s membudget.Stats) int64 { return s.Evicted },
		"slow_senders":         func(s membudget.Stats) int64 { return int64(s.Senders) },
		"slow_senders_evicted": func(s membudget.Stats) int64 { return s.SendersEvicted },
		"memory_refused":       func(s membudget.Stats) int64 { return s.Refused[membudget.ScopeProcess] },
		"memory_refused_share": func(s membudget.Stats) int64 {
			return s.Refused[membudget.ScopeCaller] + s.Refused[membudget.ScopeOrganisation]
		},
	} {
		g.metrics.Gauge(name, func() any { return value(g.budget.Stats()) })
	}
}

// RequestLimits bound what a client sends.
type RequestLimits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// HeaderTimeout is the maximum time to receive a request's header, and IdleTimeout that for
	// which a connection may be idle between requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Fixed returns limits that do not change.
func Fixed(l RequestLimits) func() RequestLimits { return func() RequestLimits { return l } }

// Options are those of one port.
type Options struct {
	// Name names the port in metrics and logs.
	Name string
	// Main is set for the port whose part of the connections is the largest.
	Main bool
	// Limits returns the limits in force. They may change, and hold for open connections too. It
	// is nil where the protocol is not HTTP.
	Limits func() RequestLimits
	// Refuse, if not nil, answers a request whose header does not fit into the memory.
	Refuse func(http.ResponseWriter, *http.Request, error)
}

// Server is an HTTP server whose connections are bounded.
type Server struct {
	*http.Server
	port *port
	out  atomic.Pointer[outbuffer.Listener] // nil until it serves
}

// NewServer returns a server that serves requests with h.
func (g *Guard) NewServer(o Options, h http.Handler) *Server {
	p := g.newPort(o)
	s := &Server{port: p, Server: &http.Server{
		Handler: p.wrap(h), ConnState: p.observe, MaxHeaderBytes: math.MaxInt32, // Conn bounds it
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			if c, ok := nc.(*Conn); ok {
				ctx = outbuffer.Context(context.WithValue(ctx, contextKey{}, c), c.Conn)
			}
			return ctx
		},
	}}
	if o.Main {
		g.metrics.Gauge("slow_readers_stalled", func() any { return s.Stalled() })
	}
	return s
}

// Serve serves the connections that ln accepts, until the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	out := outbuffer.Wrap(ln, s.port.guard.budget, s.port.guard.log)
	s.out.Store(out)
	return s.Server.Serve(&listener{out, s.port})
}

// Shutdown stops the server like http.Server.Shutdown, and then waits until the answers are sent,
// both until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.Server.Shutdown(ctx)
	if out := s.out.Load(); out != nil {
		out.Drain(ctx)
	}
	return err
}

// Stalled returns the number of clients that were disconnected since they accepted no byte.
func (s *Server) Stalled() int64 {
	if out := s.out.Load(); out != nil {
		return out.Stalled()
	}
	return 0
}

// Listen listens on a TCP address. What its connections receive and is not read is bounded.
func Listen(addr string) (net.Listener, error) {
	bounded := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Accepted connections inherit it. Without it the kernel's size holds.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	ln, err := bounded.Listen(context.Background(), "tcp", addr)
	return ln, errors.Trace(err)
}

// ListenAndServe listens on a TCP address and serves its connections.
func (s *Server) ListenAndServe(addr string) error {
	ln, err := Listen(addr)
	if err != nil {
		return errors.Annotatef(err, "address of %s; choose a free one", s.port.Name)
	}
	return s.Serve(ln)
}

// Listener bounds the connections of a listener whose protocol is not HTTP. A connection counts,
// and may be closed in favour of others, until its Established is called.
func (g *Guard) Listener(o Options, ln net.Listener) net.Listener {
	return &listener{ln, g.newPort(o)}
}
