package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptedServer starts a server that handles each connection with the next of the
// functions, and returns its address.
func scriptedServer(t *testing.T, serve ...func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for _, f := range serve {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// respond reads a request and writes a literal response.
func respond(c net.Conn, r *bufio.Reader, response string) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(c, response)
	return req
}

func testClient() *Client {
	return New(Options{DialTimeout: time.Second, UnresponsiveTimeout: 2 * time.Second, FreshIdle: time.Second, MaxIdle: 4})
}

func get(c *Client, addr string) (string, error) {
	resp, err := c.Send(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/x", Host: "h"})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

const okOne = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	addr := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		respond(c, r, okOne)
		respond(c, r, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n")
	})
	c := testClient()
	for _, want := range []string{"one", "two"} {
		got, err := get(c, addr)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

// TestUncleanConnectionsAreNotReused checks that the next request opens a new
// connection after a response that is followed by further bytes, one that announces
// the close, and one with an idle timeout of 0.
func TestUncleanConnectionsAreNotReused(t *testing.T) {
	for name, first := range map[string]string{
		"bytes after the response": okOne + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nforge",
		"closed by the server":     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\none",
		"no idle time left":        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=0\r\n\r\none",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := scriptedServer(t,
				func(c net.Conn, r *bufio.Reader) { respond(c, r, first); _, _ = r.ReadByte() },
				func(c net.Conn, r *bufio.Reader) { respond(c, r, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo") })
			c := testClient()
			for _, want := range []string{"one", "two"} {
				got, err := get(c, addr)
				is.NoErr(err)
				is.Equal(got, want)
			}
		})
	}
}

func TestProgressOfFailures(t *testing.T) {
	for name, tc := range map[string]struct {
		serve func(net.Conn, *bufio.Reader)
		want  Progress
	}{
		"closed after the request": {func(c net.Conn, r *bufio.Reader) { respond(c, r, "") }, Unanswered},
		"no response at all":       {func(c net.Conn, r *bufio.Reader) { respond(c, r, "garbage\r\n\r\n") }, Unanswered},
		"cut within the body":      {func(c net.Conn, r *bufio.Reader) { respond(c, r, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none") }, Broken},
		"cut within a chunk": {func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\none")
		}, Broken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := get(testClient(), scriptedServer(t, tc.serve))
			is.True(err != nil)
			is.Equal(ProgressOf(err), tc.want)
		})
	}
}

func TestResetWithoutLengthIsNotComplete(t *testing.T) {
	is := is.New(t)
	addr := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		respond(c, r, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := get(testClient(), addr)
	is.True(err != nil)
}

func TestRefusedConnectionsSendNothing(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = get(testClient(), addr)
	is.Equal(ProgressOf(err), NotSent)
	is.Equal(ProgressOf(testClient().Probe(context.Background(), addr)), NotSent)
}

// TestStrayResponsesAreSkipped sends a late response to an earlier request before
// the response to the present one.
func TestStrayResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	addr := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		respond(c, r, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"+
			"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine")
	})
	resp, err := testClient().Send(context.Background(), addr, &Request{
		Method: http.MethodGet, Target: "/", Host: "h",
		Matches: func(h http.Header) bool { return h.Get("Id") == "mine" },
	})
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "mine")
}

func TestCancelledRequestsCloseTheirConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		respond(c, r, "")
		_, _ = r.ReadByte() // returns when the client closes
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := testClient().Send(ctx, addr, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	is.Equal(ProgressOf(err), Unanswered)
	<-closed
}

func TestRequestsAreSentUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	addr := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		var b strings.Builder
		for {
			line, err := r.ReadString('\n')
			b.WriteString(line)
			if err != nil || line == "\r\n" {
				break
			}
		}
		got <- b.String()
		_, _ = io.WriteString(c, okOne)
	})
	resp, err := testClient().Send(context.Background(), addr, &Request{Method: "POST", Target: "/a%2Fb?q=%20", Host: "h.example", Header: http.Header{"X-One": {"1"}}})
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(<-got, "POST /a%2Fb?q=%20 HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\nContent-Length: 0\r\n\r\n")
}

func TestKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	d, ok := keepAliveTimeout("max=5, timeout=7")
	is.True(ok)
	is.Equal(d, 7*time.Second)
	for _, v := range []string{"", "timeout", "timeout=x", "timeout=-1"} {
		_, ok := keepAliveTimeout(v)
		is.True(!ok)
	}
}

// TestEndlessAnswersAreCutOff has servers send bytes without an end before there is an answer,
// until the client closes the connection.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	for name, answer := range map[string]struct{ first, then string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"header line":       {"HTTP/1.1 200 OK\r\nName: ", "x"},
		"header":            {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"stray body":        {"HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nxx\r\n"},
		"stray responses":   {"", "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n"},
		"no answer":         {"", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			addr := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				respond(c, r, answer.first)
				n := 0
				for chunk := []byte(strings.Repeat(answer.then, 1000)); ; {
					written, err := c.Write(chunk)
					if n += written; err != nil {
						break
					}
				}
				sent <- n
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			resp, err := testClient().Send(ctx, addr, &Request{
				Method: http.MethodGet, Target: "/", Host: "h",
				Matches: func(h http.Header) bool { return h.Get("Id") == "" },
			})
			if err == nil {
				_ = resp.Body.Close()
			}
			is.True(err != nil)
			is.NoErr(ctx.Err()) // cut off by its size, not by the time
			const socketBuffers = 16 << 20
			is.True(<-sent < maxPreambleBytes+socketBuffers)
		})
	}
}

// TestRepeatedRequestGetsNoLateCopy guards against a second copy of the answer to the first
// attempt of a request that is taken for the answer to the second one.
func TestRepeatedRequestGetsNoLateCopy(t *testing.T) {
	is := is.New(t)
	addr := scriptedServer(t,
		func(c net.Conn, r *bufio.Reader) {
			respond(c, r, okOne)
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, okOne)
			}
		},
		func(c net.Conn, r *bufio.Reader) { respond(c, r, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo") })
	c := testClient()
	for _, want := range []string{"one", "two"} {
		resp, err := c.Send(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/x", Host: "h", ID: "r"})
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(b), want)
	}
}

// TestTroubledAnswersAreNoAnswers guards against an answer whose status is none of HTTP, and
// against an early one without a length that is reset during the upload and passes for complete.
func TestTroubledAnswersAreNoAnswers(t *testing.T) {
	for answer, uploads := range map[string][]int{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody": {0},
		"HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n\r\nbody": {0},
		"HTTP/1.1 200 OK\r\n\r\npart":                           {100, 100_000, 4 << 20},
	} {
		for _, size := range uploads {
			is := is.New(t)
			addr := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = r.Peek(1)
				_, _ = io.WriteString(c, answer)
				_ = c.(*net.TCPConn).SetLinger(0) // the connection is reset
			})
			resp, err := testClient().Send(context.Background(), addr, &Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: make([]byte, size)})
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			is.True(err != nil)
		}
	}
}
