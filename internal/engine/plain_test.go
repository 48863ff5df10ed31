package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// answering starts a service that gives one answer and closes the connection. If it ends with
// that, it takes no further connections.
func answering(t *testing.T, answer string, ends bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if ends {
			_ = ln.Close()
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	}()
	return "http://" + ln.Addr().String()
}

// answeringEarly starts a service that answers before it reads, and resets the connection after a
// pause.
func answeringEarly(t *testing.T, answer string, pause time.Duration) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.WriteString(c, answer)
				time.Sleep(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// TestAnswersThatBrokeOffAreNoSuccess guards against plain answers that broke off halfway and
// pass for complete, in each framing.
func TestAnswersThatBrokeOffAreNoSuccess(t *testing.T) {
	for name, tc := range map[string]struct {
		answer      string
		ends, whole bool
	}{
		"length":                    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false, false},
		"chunked":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, false},
		"no length, document":       {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"a\":", false, false},
		"no length, service ended":  {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf", true, false},
		"no length, whole":          {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"a\":1}", false, true},
		"whole, service ended":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true, true},
		"no length, whole, no type": {"HTTP/1.0 200 OK\r\n\r\nwhole", false, true},
		"status that is none":       {"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole", false, false},
		"status of no final answer": {"HTTP/1.1 101 OK\r\nContent-Length: 5\r\n\r\nwhole", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewPlainClient(answering(t, tc.answer, tc.ends)).Call(context.Background(), protocol.HTTPCall{Method: http.MethodGet, Path: "/"})
			is.Equal(err == nil, tc.whole)
		})
	}
}

// TestAnswersThatAreResetDuringAnUpload guards against an early answer without a length that is
// reset while the request is still written, and passes for complete.
func TestAnswersThatAreResetDuringAnUpload(t *testing.T) {
	for _, size := range []int{0, 100, 100_000, 4 << 20} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} { // the client reads the beginning, or not
			client := NewPlainClient(answeringEarly(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", pause))
			for range 100 {
				_, err := client.Call(context.Background(), protocol.HTTPCall{Method: http.MethodPost, Path: "/", Body: make([]byte, size)})
				is.New(t).True(err != nil)
			}
		}
	}
}

// TestEnginesDoNotAnswerWithoutAStatus guards against an engine's answer whose status is none of
// HTTP, and passes for a success.
func TestEnginesDoNotAnswerWithoutAStatus(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 000 Trouble\r\nContent-Length: 20\r\n\r\n{\"finish\":\"length\"}\n"
	_, err := NewClient(answering(t, answer, false)).Prefill(context.Background(), PrefillRequest{})
	is.True(err != nil)
	err = NewClient(answering(t, answer, false)).Decode(context.Background(), DecodeRequest{}, func(DecodeEvent) error { return nil })
	is.True(err != nil)
}
