package integration

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"

	"github.com/samphirestream/samphirestream/internal/invariant"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// Toxics, as toxiproxy's JSON. A blackhole drops all data of one direction and
// keeps the connection open.
const (
	toxicBlackholeUp   = `{"name":"up","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`
	toxicBlackholeDown = `{"name":"down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`
	toxicReset         = `{"name":"reset","type":"reset_peer","stream":"downstream","attributes":{"timeout":0}}`
	toxicSlow          = `{"name":"slow","type":"bandwidth","stream":"downstream","attributes":{"rate":2}}`
	toxicLatency       = `{"name":"latency","type":"latency","stream":"downstream","attributes":{"latency":150,"jitter":50}}`
)

// link is a listener that forwards to an address through toxiproxy, so that faults
// can be injected. Connections from one source share a proxy until a fault
// replaces it. So a fault can affect the open connections only, or those from one
// data centre only.
type link struct {
	fleet    *fleet
	name     string
	server   string
	upstream string
	ln       net.Listener
	// sourceOf returns the source of a connection by the node name in its hello.
	// It is nil if the connections are encrypted or have no hello; then all have
	// the source "".
	sourceOf func(node string) string

	mu sync.Mutex
	// proxies holds the proxy for new connections of each source.
	proxies    map[string]*toxiproxy.Proxy
	allProxies []*toxiproxy.Proxy
	conns      []net.Conn
	// toxics are added to new proxies of each source as well.
	toxics map[string][]string
	// cut holds the sources whose new connections are closed; "" is all of them.
	cut        map[string]bool
	blackholed map[*toxiproxy.Proxy]bool
}

func newLink(t testing.TB, f *fleet, name, server, addr, upstream string, sourceOf func(node string) string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{
		fleet: f, name: name, server: server, upstream: upstream, ln: ln, sourceOf: sourceOf,
		proxies: map[string]*toxiproxy.Proxy{}, toxics: map[string][]string{}, cut: map[string]bool{},
		blackholed: map[*toxiproxy.Proxy]bool{},
	}
	go l.accept()
	return l
}

func (l *link) accept() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.splice(conn)
	}
}

// splice forwards a connection through the proxy of its source.
func (l *link) splice(conn net.Conn) {
	var head []byte
	source := ""
	if l.sourceOf != nil {
		var node string
		node, head = readHello(conn)
		source = l.sourceOf(node)
	}
	up, p, err := l.dial(source, conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	if _, err := up.Write(head); err != nil {
		_ = conn.Close()
		return
	}
	go l.copyUntilClosed(up, conn, p)
	l.copyUntilClosed(conn, up, p)
}

// copyUntilClosed copies from src until it is closed, then closes both ends. For
// a blackholed connection it closes neither, so that the peer of dst isn't
// notified.
func (l *link) copyUntilClosed(dst, src net.Conn, p *toxiproxy.Proxy) {
	_, _ = io.Copy(dst, src)
	l.mu.Lock()
	blackholed := l.blackholed[p]
	l.mu.Unlock()
	if blackholed {
		return
	}
	_ = dst.Close()
	_ = src.Close()
}

// readHello reads the first frame of a plaintext connection and returns the node
// name in it.
func readHello(conn net.Conn) (node string, raw []byte) {
	var received bytes.Buffer
	data, err := transport.ReadFrame(io.TeeReader(conn, &received), nil)
	var h transport.Hello
	if err == nil && transport.Decode(data, &h) == nil {
		node = h.From.Node
	}
	return node, received.Bytes()
}

func (l *link) dial(source string, client net.Conn) (net.Conn, *toxiproxy.Proxy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[source] || l.cut[""] {
		return nil, nil, net.ErrClosed
	}
	p, err := l.proxyLocked(source)
	if err != nil {
		return nil, nil, err
	}
	up, err := net.Dial("tcp", p.Listen)
	if err == nil {
		l.conns = append(l.conns, up, client)
	}
	return up, p, err
}

func (l *link) proxyLocked(source string) (*toxiproxy.Proxy, error) {
	if p, ok := l.proxies[source]; ok {
		return p, nil
	}
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = l.name, l.fleet.addrs.IP+":0", l.upstream
	if err := p.Start(); err != nil {
		return nil, err
	}
	for _, toxic := range l.toxics[source] {
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			return nil, err
		}
	}
	l.proxies[source] = p
	l.allProxies = append(l.allProxies, p)
	return p, nil
}

func (l *link) record(kind invariant.Kind) {
	l.fleet.recorder.Record(invariant.Event{Kind: kind, Process: &invariant.Process{Name: l.name, Server: l.server}})
}

// injectToxics adds toxics to the open and the new connections of a source until
// heal.
func (l *link) injectToxics(t testing.TB, source string, toxics ...string) {
	t.Helper()
	l.record(invariant.LinkDown)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toxics[source] = toxics
	l.addToxics(t, source, toxics)
}

func (l *link) addToxics(t testing.TB, source string, toxics []string) {
	t.Helper()
	p, ok := l.proxies[source]
	if !ok {
		return
	}
	for _, toxic := range toxics {
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			t.Fatal(err)
		}
	}
}

// blackholeOpen adds toxics to the open connections for the rest of their
// lifetime; new ones work.
func (l *link) blackholeOpen(t testing.TB, toxics ...string) {
	t.Helper()
	l.record(invariant.LinkDown)
	l.mu.Lock()
	for source := range l.proxies {
		l.addToxics(t, source, toxics)
		l.blackholed[l.proxies[source]] = true
		delete(l.proxies, source)
	}
	l.mu.Unlock()
	l.record(invariant.LinkUp)
}

// cutOff closes the connections of a source, and new ones at once, until heal. An
// empty source stands for all.
func (l *link) cutOff(source string) {
	l.record(invariant.LinkDown)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[source] = true
	for s, p := range l.proxies {
		if source == "" || s == source {
			p.Stop()
			delete(l.proxies, s)
		}
	}
}

// reset closes the open connections. New ones work.
func (l *link) reset() {
	l.record(invariant.LinkDown)
	l.mu.Lock()
	for s, p := range l.proxies {
		p.Stop()
		delete(l.proxies, s)
	}
	l.mu.Unlock()
	l.record(invariant.LinkUp)
}

// heal removes all faults except those of blackholeOpen, which last. It closes the
// connections to which injectToxics added toxics.
func (l *link) heal() {
	l.mu.Lock()
	clear(l.cut)
	for source := range l.toxics {
		if p, ok := l.proxies[source]; ok {
			p.Stop()
			delete(l.proxies, source)
		}
	}
	clear(l.toxics)
	l.mu.Unlock()
	l.record(invariant.LinkUp)
}

func (l *link) close() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.allProxies {
		p.Stop()
	}
	for _, c := range l.conns {
		_ = c.Close()
	}
}
