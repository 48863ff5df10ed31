package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// tcpProxy forwards connections to an address. While it is cut it drops what arrives, so that
// both sides see a path that has gone silent.
type tcpProxy struct {
	cut atomic.Bool
}

func newTCPProxy(listen, to string) (*tcpProxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c, to)
		}
	}()
	return p, nil
}

func (p *tcpProxy) forward(c net.Conn, to string) {
	defer c.Close()
	up, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer up.Close()
	var both sync.WaitGroup
	both.Go(func() { p.pass(up, c) })
	both.Go(func() { p.pass(c, up) })
	both.Wait()
}

func (p *tcpProxy) pass(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.cut.Load() {
			if _, err := dst.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF && !p.cut.Load() {
			break
		}
		if err != nil {
			break
		}
	}
	_ = dst.Close()
	_ = src.Close()
}

// datagramProxy stands between two machines: each knows the other one by an address of the
// proxy. While it is cut it drops what arrives.
type datagramProxy struct {
	cut     atomic.Bool
	dropped atomic.Int64
}

// newDatagramProxy passes datagrams between a and b. a knows b as aliasB, and b knows a as aliasA.
func newDatagramProxy(a, b, aliasA, aliasB string) (*datagramProxy, error) {
	p := &datagramProxy{}
	atA, err := net.ListenPacket("udp4", aliasA) // b sends to it
	if err != nil {
		return nil, err
	}
	atB, err := net.ListenPacket("udp4", aliasB) // a sends to it
	if err != nil {
		return nil, err
	}
	addrA, errA := net.ResolveUDPAddr("udp4", a)
	addrB, errB := net.ResolveUDPAddr("udp4", b)
	if errA != nil || errB != nil {
		return nil, errA
	}
	go p.pass(atB, a, atA, addrB)
	go p.pass(atA, b, atB, addrA)
	return p, nil
}

// pass sends what comes from a machine on from the other alias.
func (p *datagramProxy) pass(in net.PacketConn, from string, out net.PacketConn, to net.Addr) {
	buf := make([]byte, 64<<10)
	for {
		n, src, err := in.ReadFrom(buf)
		if err != nil {
			return
		}
		if src.String() != from {
			continue // another machine has heard of the alias
		}
		if p.cut.Load() {
			p.dropped.Add(1)
			continue
		}
		_, _ = out.WriteTo(buf[:n], to) // a datagram may be lost
	}
}
