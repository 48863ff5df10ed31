package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// link is a loopback proxy in front of one address, with faults.
type link struct {
	ln       net.Listener
	upstream string

	mu    sync.Mutex
	delay time.Duration
	cut   bool // new connections are reset
	pairs map[*pair]bool
}

// pair is one proxied connection.
type pair struct {
	down, up net.Conn
	// silent connections pass nothing on and stay open; up is the direction to
	// the upstream.
	silentUp, silentDown bool
}

func newLink(t *testing.T, upstream string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{ln: ln, upstream: upstream, pairs: map[*pair]bool{}}
	go l.accept()
	t.Cleanup(func() { _ = ln.Close(); l.reset() })
	return l
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) accept() {
	for {
		down, err := l.ln.Accept()
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
	p := &pair{down: down, up: up}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, up, down, &p.silentUp) })
	both.Go(func() { l.pump(p, down, up, &p.silentDown) })
	both.Wait()
	_, _ = down.Close(), up.Close()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

func (l *link) pump(_ *pair, dst, src net.Conn, silent *bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		l.mu.Lock()
		delay, quiet := l.delay, *silent
		l.mu.Unlock()
		if quiet && err == nil {
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

// reset breaks the open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		abort(p.down)
		abort(p.up)
	}
}

// silence makes the open connections pass nothing on, in one direction or both.
func (l *link) silence(up, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silentUp, p.silentDown = p.silentUp || up, p.silentDown || down
	}
}

// set changes what holds for all connections.
func (l *link) set(delay time.Duration, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.cut = delay, cut
}

// heal ends all faults; silent connections end with a reset.
func (l *link) heal() {
	l.set(0, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if p.silentUp || p.silentDown {
			abort(p.down)
			abort(p.up)
		}
	}
}
