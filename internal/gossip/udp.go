package gossip

import (
	"context"
	"net"
	"net/netip"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/juju/errors"
)

// maxAddrs is the size of the cache of parsed addresses.
const maxAddrs = 1024

// UDP is a Transport over UDP.
type UDP struct {
	conn  *net.UDPConn
	addrs *lru.Cache[string, netip.AddrPort]
}

// ListenUDP listens on an IP address and port.
func ListenUDP(addr netip.AddrPort) (*UDP, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Annotatef(err, "listening on UDP %s; choose a port for listen.peers that is free for TCP and UDP", addr)
	}
	addrs, err := lru.New[string, netip.AddrPort](maxAddrs)
	return &UDP{conn: conn, addrs: addrs}, errors.Trace(err)
}

// Send implements Transport. Errors are ignored: the protocol handles them as
// lost datagrams.
func (u *UDP) Send(addr string, payload []byte) {
	to, ok := u.addrs.Get(addr)
	if !ok {
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil {
			return
		}
		to = parsed
		u.addrs.Add(addr, to)
	}
	_, _ = u.conn.WriteToUDPAddrPort(payload, to)
}

// Serve passes datagrams to receive until ctx ends. The payload belongs to
// receive.
func (u *UDP) Serve(ctx context.Context, receive func(from string, payload []byte)) {
	stop := context.AfterFunc(ctx, func() { _ = u.conn.Close() })
	defer stop()
	buf := make([]byte, MaxDatagramBytes+1)
	for ctx.Err() == nil {
		n, from, err := u.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			receive(from.String(), append([]byte(nil), buf[:n]...))
		}
	}
}

// Close closes the socket.
func (u *UDP) Close() error { return u.conn.Close() }
