package testaddr

import (
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestAddressesStayFree listens on addresses long after they were given out, while many
// connections are open and other tests reserve addresses.
func TestAddressesStayFree(t *testing.T) {
	is := is.New(t)
	const starts, connections = 500, 2000
	one, two := Reserve(t), Reserve(t)
	is.True(one.IP != two.IP)
	var addrs []string
	for range starts {
		addrs = append(addrs, one.Addr(), two.Addr())
	}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var all sync.WaitGroup
	all.Go(func() {
		for range connections {
			if c, err := target.Accept(); err == nil {
				defer c.Close()
			}
		}
	})
	for i := range connections {
		local := &net.TCPAddr{IP: net.ParseIP([]string{one.IP, two.IP, "127.0.0.1"}[i%3])}
		c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", target.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	for _, addr := range addrs {
		ln, err := net.Listen("tcp", addr)
		is.NoErr(err)
		defer ln.Close()
	}
	all.Wait()
	is.NoErr(target.Close())
}
