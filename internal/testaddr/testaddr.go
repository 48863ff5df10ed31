// Package testaddr gives tests loopback addresses for processes that listen later. A port that
// the kernel chose and that was closed again may be taken meanwhile, by an outgoing connection
// or another test. These ports are below the kernel's ephemeral range, on an IP address that
// no other test has.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	// lockPort is listened on at each reserved IP address, so that no other test process
	// reserves it. Addresses have the ports after it.
	lockPort = 10_000
	// octets is the number of values of each octet of an IP address that is used.
	octets = 250
)

var reservations struct {
	sync.Mutex
	last int
}

// Host is a loopback IP address that one test has for itself.
type Host struct {
	IP   string
	next atomic.Int32
}

// Reserve reserves an IP address until the test ends.
func Reserve(t testing.TB) *Host {
	t.Helper()
	reservations.Lock()
	defer reservations.Unlock()
	for range octets {
		reservations.last++
		ip := fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()%octets, 1+reservations.last%octets)
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(lockPort)))
		if err != nil {
			continue // reserved
		}
		t.Cleanup(func() { _ = ln.Close() })
		return &Host{IP: ip}
	}
	t.Fatal("no free loopback address")
	return nil
}

// Port returns a port that the host has not returned before.
func (h *Host) Port() int { return lockPort + int(h.next.Add(1)) }

// Addr returns an address with such a port.
func (h *Host) Addr() string { return net.JoinHostPort(h.IP, strconv.Itoa(h.Port())) }
