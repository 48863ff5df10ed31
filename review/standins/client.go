package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one request of a caller.
type call struct {
	id, method, path string
	deadline         time.Duration
	// prompt and answer are lengths in tokens; 0 for plain requests.
	prompt, answer int
	lastEvent      int
	body           string
}

// result is what the caller saw.
type result struct {
	status int
	proven bool
	body   []byte
	// complete is set if the answer ended as its framing says.
	complete bool
	// retryAfter is the advised delay.
	retryAfter time.Duration
	err        error
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// text returns the request as it is sent.
func (c *call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, host, c.id, c.deadline.Milliseconds())
	if c.prompt > 0 {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %d,%d\r\nPrefix-Hash: %s:%d\r\n", c.prompt, c.answer, c.id, c.prompt)
	}
	if c.lastEvent > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", c.lastEvent)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n" + c.body
}

// caller has one connection, which it keeps as long as that works.
type caller struct {
	addr string
	c    net.Conn
	in   *bufio.Reader
}

func (k *caller) close() {
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
}

// send sends a request and reads the whole answer.
func (k *caller) send(c *call) (out result) {
	if k.c == nil {
		conn, err := net.DialTimeout("tcp", k.addr, time.Second)
		if err != nil {
			return result{err: err}
		}
		k.c, k.in = conn, bufio.NewReader(conn)
	}
	_ = k.c.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := io.WriteString(k.c, c.text()); err != nil {
		k.close()
		return result{err: err}
	}
	resp, err := http.ReadResponse(k.in, &http.Request{Method: c.method})
	if err != nil {
		k.close()
		return result{err: err}
	}
	defer resp.Body.Close()
	out = result{status: resp.StatusCode, proven: resp.Header.Get("Response-Seal") != ""}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	out.body, out.err = io.ReadAll(resp.Body)
	out.complete = out.err == nil
	if resp.Close || !out.complete {
		k.close()
	}
	return out
}

// leave sends a request on a connection of its own, closes the sending direction after a while, and
// reads what still comes.
func leave(addr string, c *call, after time.Duration) (out result) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return result{err: err}
	}
	time.Sleep(after)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	out = result{status: resp.StatusCode, proven: resp.Header.Get("Response-Seal") != ""}
	out.body, out.err = io.ReadAll(resp.Body)
	out.complete = out.err == nil
	return out
}

// lastEvent returns the ID of the last event of a stream, and the number of events.
func lastEvent(body []byte) (last, n int) {
	for line := range bytes.SplitSeq(body, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			last, _ = strconv.Atoi(string(v))
			n++
		}
	}
	return last, n
}
