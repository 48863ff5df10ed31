package engine

import (
	"context"
	"io"
	"net"
	"sync"
)

// conn is a connection whose end is an error if a write failed. A write on a connection that was
// reset takes the error of the reset, and a read gets the end of the connection in its place.
type conn struct {
	net.Conn

	writing sync.Mutex // held by a write in progress; guards failed
	failed  bool       // a write has failed
}

// dial opens a conn.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// Read implements net.Conn. At the end of the connection it waits for a write in progress, which
// ends at the latest when the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
