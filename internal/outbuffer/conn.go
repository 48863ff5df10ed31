package outbuffer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/samphirestream/samphirestream/internal/membudget"
)

// errStalled and errSlowest are the errors of callers that were disconnected.
var (
	errStalled = errors.New("the caller accepted no byte in time")
	errSlowest = errors.New("the memory for answers is used up, and the caller is the slowest to read")
	errClosed  = errors.New("the connection is closed")
)

// Conn is a connection whose Write does not wait for the caller until maxBuffered bytes are
// unsent. Bytes that were written before Close are still sent after it. At most one goroutine
// may write at a time.
type Conn struct {
	// Conn is tcp. It is an interface here so that net/http does not find a ReadFrom that
	// would pass by Write.
	net.Conn
	tcp      *net.TCPConn
	listener *Listener
	raw      syscall.RawConn

	// out, sent, sendErr and wait are the arguments and results of attempt. They belong to the
	// goroutine that sends: the one that drains, or the writer if there is none.
	out         []byte
	sent        int
	sendErr     error
	wait        bool
	attemptFunc func(fd uintptr) bool

	mu sync.Mutex // guards the fields below
	// ctx is that of the request, holder whom its bytes are held for, and request its ID.
	ctx     context.Context //nolint:containedctx // replaced with each request
	holder  membudget.Holder
	request string
	// blocks holds the unsent bytes, and offset is the number of sent bytes of the first.
	blocks [][]byte
	offset int
	// reader is not nil while a goroutine drains blocks.
	reader *membudget.Reader
	// space is signalled when the buffer has room again or the connection has failed.
	space chan struct{}
	// err is the reason for which nothing is sent any more.
	err error
	// closing is set if the connection is closed once the buffer is empty.
	closing bool
	// onClose is called when the socket is closed; nil if it was.
	onClose func()

	// behind is set while reader is not nil.
	behind atomic.Bool
}

// Begin sets the request that the next bytes belong to. A nil Conn does nothing.
func (c *Conn) Begin(ctx context.Context, request string, h membudget.Holder) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = ctx
	if c.reader == nil { // else unsent bytes of an earlier answer are held for its holder
		c.holder, c.request = h, request
	}
}

// attempt sends as much of c.out as the socket takes. It implements the function of
// syscall.RawConn.Write, which calls it again once the socket takes bytes if it reports false.
func (c *Conn) attempt(fd uintptr) bool {
	for c.sent < len(c.out) {
		n, err := unix.Write(int(fd), c.out[c.sent:])
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return c.sent > 0 || !c.wait
		case err != nil:
			c.sendErr = os.NewSyscallError("write", err)
			return true
		default:
			c.sent += n
		}
	}
	return true
}

// send sends as much of p as the socket takes. With wait set it waits, up to the write
// deadline, until that is at least one byte.
func (c *Conn) send(p []byte, wait bool) (int, error) {
	c.out, c.sent, c.sendErr, c.wait = p, 0, nil, wait
	err := c.raw.Write(c.attemptFunc)
	c.out = nil
	if err == nil {
		err = c.sendErr
	}
	return c.sent, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	behind, err := c.reader != nil, c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n := 0
	if !behind {
		if n, err = c.send(p, false); n == len(p) || err != nil {
			return n, err
		}
	}
	for n < len(p) {
		taken, err := c.buffer(p[n:])
		n += taken
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// buffer keeps the beginning of p. It waits if there is no room.
func (c *Conn) buffer(p []byte) (int, error) {
	c.mu.Lock()
	if n, done, err := c.appendLocked(p); done {
		c.mu.Unlock()
		return n, err
	}
	full := len(c.blocks)*blockSize >= maxBuffered
	holder, ctx := c.holder, c.ctx
	c.mu.Unlock()
	if !full && c.listener.budget.ReserveOrEvict(time.Now(), holder, membudget.Answers, blockSize) == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err != nil || c.reader == nil {
			c.listener.budget.Release(holder, membudget.Answers, blockSize)
			return 0, c.err // if it has been drained meanwhile, the next call begins anew
		}
		return c.addBlockLocked(p), nil
	}
	var done <-chan struct{}
	if ctx != nil {
		done = ctx.Done()
	}
	select {
	case <-c.space:
		return 0, nil
	case <-done:
		return 0, ctx.Err()
	}
}

// appendLocked keeps the beginning of p where that needs no further reservation: in the free
// part of the last block, or in the first block of an empty buffer. It reports whether it did
// or failed.
func (c *Conn) appendLocked(p []byte) (n int, done bool, err error) {
	if c.err != nil {
		return 0, true, c.err
	}
	if c.reader == nil {
		// Without a block nothing would be sent, and the writer would wait for ever.
		c.listener.budget.Force(c.holder, membudget.Answers, blockSize)
		if c.space == nil {
			c.space = make(chan struct{}, 1)
		}
		n = c.addBlockLocked(p)
		c.reader = c.listener.budget.AddReader(c.holder, time.Now(), func() { c.disconnect(errSlowest) })
		c.behind.Store(true)
		c.listener.draining.Add(1)
		go c.drain(c.reader)
		return n, true, nil
	}
	if len(c.blocks) == 0 {
		return 0, false, nil
	}
	last := &c.blocks[len(c.blocks)-1]
	n = min(len(p), cap(*last)-len(*last))
	*last = append(*last, p[:n]...)
	return n, n > 0, nil
}

// addBlockLocked keeps the beginning of p in a new block, which is reserved.
func (c *Conn) addBlockLocked(p []byte) int {
	n := min(len(p), blockSize)
	c.blocks = append(c.blocks, append(make([]byte, 0, blockSize), p[:n]...))
	return n
}

// drain sends the unsent bytes until there are none.
func (c *Conn) drain(r *membudget.Reader) {
	defer c.listener.draining.Add(-1)
	for {
		next := c.next()
		if next == nil {
			return
		}
		n, err := c.sendSome(next)
		if n > 0 {
			r.Moved(time.Now(), int64(n))
		}
		c.drained(n)
		if err != nil {
			c.disconnect(err)
		}
	}
}

// next returns the next bytes to send; nil if there are none, or the connection has failed.
// The goroutine that drains ends then.
func (c *Conn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && len(c.blocks) > 0 {
		if rest := c.blocks[0][c.offset:]; len(rest) > 0 {
			return rest
		}
		c.releaseLocked(1) // the last block, which has been sent and is not full
	}
	c.releaseLocked(len(c.blocks))
	c.reader.Remove()
	c.reader = nil
	c.behind.Store(false)
	_ = c.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	if c.closing || c.err != nil {
		_ = c.closeLocked()
		if c.err == nil {
			c.err = errClosed
		}
	}
	c.signal()
	return nil
}

// drained records that n further bytes were sent.
func (c *Conn) drained(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.blocks) == 0 {
		return // disconnected meanwhile
	}
	c.offset += n
	if c.offset == blockSize {
		c.releaseLocked(1)
		c.signal()
	}
}

// releaseLocked drops the first n blocks.
func (c *Conn) releaseLocked(n int) {
	if n == 0 {
		return
	}
	clear(c.blocks[:n])
	c.blocks = c.blocks[n:]
	if len(c.blocks) == 0 {
		c.blocks = nil
	}
	c.offset = 0
	c.listener.budget.Release(c.holder, membudget.Answers, int64(n)*blockSize)
}

func (c *Conn) signal() {
	select {
	case c.space <- struct{}{}:
	default:
	}
}

// sendSome sends at least one byte of p. It fails if the caller accepts none within
// stallTimeout.
func (c *Conn) sendSome(p []byte) (int, error) {
	unacknowledged, moved := c.unacknowledged(), time.Now()
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.listener.stall / stallChecks)); err != nil {
			return 0, err
		}
		n, err := c.send(p, true)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		// The kernel reports a socket as writable only when a third of its buffer is free. A
		// slow caller may have accepted bytes without that.
		if left := c.unacknowledged(); left < unacknowledged {
			unacknowledged, moved = left, time.Now()
		}
		if time.Since(moved) >= c.listener.stall {
			return 0, errStalled
		}
	}
}

// unacknowledged returns the number of bytes in the socket that the caller's host has not
// accepted.
func (c *Conn) unacknowledged() int {
	n := 0
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // 0 if closed
	return n
}

// disconnect ends the connection at once. It resets it, since the end of an answer without
// a length would look complete, and drops what is held for it.
func (c *Conn) disconnect(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	unsent := max(len(c.blocks)*blockSize-c.offset, 0)
	c.releaseLocked(len(c.blocks))
	if errors.Is(err, errStalled) {
		c.listener.stalled.Add(1)
	}
	if errors.Is(err, errStalled) || errors.Is(err, errSlowest) {
		c.logDisconnect(err, unsent)
	}
	_ = c.tcp.SetLinger(0)
	_ = c.closeLocked() // ends the goroutine that drains
	c.signal()
}

// Abort makes the next Close reset the connection, so that an answer that is not complete does
// not look so to a caller that takes the end of the connection for its end. A nil Conn does
// nothing.
func (c *Conn) Abort() {
	if c != nil {
		_ = c.tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// Close implements net.Conn. Unsent bytes are sent before the connection closes.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader != nil && c.err == nil {
		c.closing = true
		return nil
	}
	if c.err == nil {
		c.err = errClosed
	}
	return c.closeLocked()
}

// closeLocked closes the socket.
func (c *Conn) closeLocked() error {
	err := c.tcp.Close()
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return err
}

// OnClose sets a function that is called once when the socket is closed, which may be after
// Close. It must not call methods of the connection, except Behind. It is to be set before the
// connection is used.
func (c *Conn) OnClose(f func()) { c.onClose = f }

// Behind reports whether bytes are unsent. A nil Conn has none.
func (c *Conn) Behind() bool { return c != nil && c.behind.Load() }

// Evict ends the connection at once in favour of others, with the bytes that are unsent.
func (c *Conn) Evict() { c.disconnect(errSlowest) }

// CloseWrite ends the sending direction. While bytes are unsent, Close does.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader != nil {
		return nil
	}
	return c.tcp.CloseWrite()
}
