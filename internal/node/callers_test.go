package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/ingress"
)

// pipeListener accepts one in-memory connection.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// sendPartial sends part of a request to the callers' server and then nothing
// more. It returns the time until the server closed the connection and the
// handler's error from reading the body, if the handler ran.
func sendPartial(t *testing.T, part string) (took time.Duration, bodyErr error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ln := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		server := newCallersServer(ingress.New(ingress.Limits{Memory: 64 << 20}, t.Name(), log.NewNopLogger()), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, bodyErr = io.ReadAll(r.Body)
			w.WriteHeader(http.StatusBadRequest)
		}), 1<<10)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = server.Serve(ln)
		}()
		clientConn, serverConn := net.Pipe()
		ln.conns <- serverConn
		begun := time.Now()
		go func() { _, _ = clientConn.Write([]byte(part)) }()
		_, _ = io.Copy(io.Discard, clientConn) // until the server closes the connection
		took = time.Since(begun)
		_ = server.Close()
		<-ended
		_ = clientConn.Close()
	})
	return took, bodyErr
}

func TestSlowHeaderTimesOut(t *testing.T) {
	is := is.New(t)
	took, _ := sendPartial(t, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
	is.True(took <= readHeaderTimeout+time.Second)
}

func TestSlowBodyTimesOut(t *testing.T) {
	is := is.New(t)
	took, bodyErr := sendPartial(t, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	is.True(bodyErr != nil)
	is.True(took <= ingress.BodyStall+2*time.Second)
}
