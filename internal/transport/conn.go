package transport

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// writeStep is the number of bytes that each write must send within the idle
// timeout.
const writeStep = 64 << 10

// idleConn fails a read that receives no byte, or a write that does not send
// writeStep bytes, within idleTimeout. A large frame on a slow link succeeds as
// long as it makes this progress.
type idleConn struct {
	net.Conn
	idleTimeout time.Duration
}

// Read implements net.Conn.
func (c *idleConn) Read(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(c.idleTimeout))
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *idleConn) Write(p []byte) (int, error) {
	sent := 0
	for {
		step := p[sent:min(sent+writeStep, len(p))]
		_ = c.SetWriteDeadline(time.Now().Add(c.idleTimeout))
		n, err := c.Conn.Write(step)
		sent += n
		if err != nil || sent == len(p) {
			return sent, err
		}
	}
}

// pendingCalls counts the RPC requests that wait for a response.
type pendingCalls struct{ n atomic.Int64 }

func (p *pendingCalls) add(n int64) { p.n.Add(n) }

// idlePoll is the interval at which wait checks for pending calls.
const idlePoll = 10 * time.Millisecond

// wait blocks until every request has been answered or ctx ends.
func (p *pendingCalls) wait(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for p.n.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d calls wait for a response", p.n.Load())
		case <-ticker.C:
		}
	}
	return nil
}

// writeLock serialises the writers of a connection. A heartbeat uses tryLock and
// is skipped while a frame is being written, since the frame already resets the
// peer's idle timeout.
type writeLock chan struct{}

func newWriteLock() writeLock { return make(writeLock, 1) }

func (l writeLock) lock() { l <- struct{}{} }

func (l writeLock) tryLock() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l writeLock) unlock() { <-l }
