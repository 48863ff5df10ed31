package outbuffer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/samphirestream/samphirestream/internal/membudget"
)

// BenchmarkEvent measures the cost of an event to a caller that keeps up, on a plain
// connection and on a wrapped one.
func BenchmarkEvent(b *testing.B) {
	for name, wrap := range map[string]func(net.Listener) net.Listener{
		"plain":   func(ln net.Listener) net.Listener { return ln },
		"wrapped": func(ln net.Listener) net.Listener { return Wrap(ln, membudget.New(8<<20), log.NewNopLogger()) },
	} {
		b.Run(name, func(b *testing.B) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			event := []byte("data: " + strings.Repeat("e", 100) + "\n\n")
			read := make(chan struct{})
			srv := &http.Server{ConnContext: Context, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				From(r.Context()).Begin(r.Context(), "r", membudget.Holder{Caller: "c"})
				control := http.NewResponseController(w)
				for b.Loop() {
					_, _ = w.Write(event)
					_ = control.Flush()
					<-read // the caller keeps up
				}
			})}
			go func() { _ = srv.Serve(wrap(tcp)) }()
			defer srv.Close()
			b.ReportAllocs()
			resp, err := http.Get("http://" + tcp.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			buf := make([]byte, len(event))
			for err == nil {
				if _, err = io.ReadFull(resp.Body, buf); err == nil {
					read <- struct{}{}
				}
			}
			_ = resp.Body.Close()
		})
	}
}
