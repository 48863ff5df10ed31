package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// link is a loopback proxy in front of one address that can inject faults.
type link struct {
	addr, upstream string

	mu    sync.Mutex // guards the fields below
	ln    net.Listener
	delay time.Duration
	cut   bool // new connections are reset
	// rate is that of all connections together, in bytes a second; 0 for no limit.
	rate  float64
	turn  sync.Mutex // held while a part is on the way at the rate
	conns map[*proxiedConn]bool
}

// proxiedConn is one proxied connection.
type proxiedConn struct {
	down, up net.Conn
	// A blackhole drops the data of one direction and keeps the connection open.
	// Up is the direction to the upstream address.
	blackholeUp, blackholeDown bool
}

func newLink(t *testing.T, addr, upstream string) *link {
	t.Helper()
	l := &link{addr: addr, upstream: upstream, conns: map[*proxiedConn]bool{}}
	if err := l.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.shut)
	return l
}

// open takes connections, and shut refuses them and resets the open ones.
func (l *link) open() error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.ln = ln
	l.mu.Unlock()
	go l.accept(ln)
	return nil
}

func (l *link) shut() {
	l.mu.Lock()
	_ = l.ln.Close() // it may be shut already
	l.mu.Unlock()
	l.reset()
}

func (l *link) accept(ln net.Listener) {
	for {
		down, err := ln.Accept()
		if err != nil {
			return
		}
		go l.serve(down)
	}
}

func (l *link) serve(down net.Conn) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	up, err := net.Dial("tcp", l.upstream)
	if err != nil || cut {
		abort(down)
		if err == nil {
			abort(up)
		}
		return
	}
	p := &proxiedConn{down: down, up: up}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, up, down, &p.blackholeUp) })
	both.Go(func() { l.pump(p, down, up, &p.blackholeDown) })
	both.Wait()
	_, _ = down.Close(), up.Close()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// pump copies from src to dst, and passes on an end of the stream or a reset.
func (l *link) pump(_ *proxiedConn, dst, src net.Conn, blackhole *bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		l.mu.Lock()
		delay, drop, rate := l.delay, *blackhole, l.rate
		l.mu.Unlock()
		if rate > 0 {
			l.turn.Lock()
			time.Sleep(time.Duration(float64(n) / rate * float64(time.Second)))
			l.turn.Unlock()
		}
		if drop && err == nil {
			continue
		}
		time.Sleep(delay)
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			abort(dst)
			return
		}
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// reset closes the open connections with a reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		abort(p.down)
		abort(p.up)
	}
}

// blackholeOpen drops the data of the open connections in one direction or both,
// for the rest of their lifetime.
func (l *link) blackholeOpen(up, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.blackholeUp, p.blackholeDown = p.blackholeUp || up, p.blackholeDown || down
	}
}

// setFaults sets the delay for each read of all connections, and whether new
// connections are reset.
func (l *link) setFaults(delay time.Duration, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.cut = delay, cut
}

// heal removes all faults. Connections with a blackhole are reset.
func (l *link) heal() {
	l.setFaults(0, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		if p.blackholeUp || p.blackholeDown {
			abort(p.down)
			abort(p.up)
		}
	}
}
