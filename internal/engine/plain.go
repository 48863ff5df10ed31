package engine

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/bodyread"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// MaxPlainBytes is the maximum size of an answer of a plain service.
const MaxPlainBytes = 4 << 20

// PlainClient makes HTTP calls to one plain service.
type PlainClient struct {
	base string
	http *http.Client
}

// NewPlainClient returns a client for the plain service at a base URL. Connections
// are not reused, since net/http retries a request when a reused connection breaks,
// which could run the call twice.
func NewPlainClient(base string) *PlainClient {
	return &PlainClient{base: base, http: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: dial},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Observe passes what the service says of itself in its answers to an observer. It must be
// called before the client is used.
func (p *PlainClient) Observe(observe Observer) {
	p.http.Transport = observed{p.http.Transport, observe}
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Code   int
	Header []protocol.HTTPHeader
	Body   []byte
}

// Call makes one HTTP call. After an error the call may have run.
func (p *PlainClient) Call(ctx context.Context, call protocol.HTTPCall) (PlainAnswer, error) {
	target := p.base + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	var sent atomic.Bool // the request has been written, up to what is buffered
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(w httptrace.WroteRequestInfo) { sent.Store(w.Err == nil) },
	})
	req, err := http.NewRequestWithContext(traced, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return PlainAnswer{}, errors.Trace(err)
	}
	for _, h := range call.Header {
		req.Header.Add(h.Name, h.Value)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return PlainAnswer{}, errors.Annotate(err, "calling the plain service")
	}
	defer resp.Body.Close()
	out, err := readPlain(resp)
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && call.Method != http.MethodHead
	if err == nil && unframed && (!sent.Load() || bodyread.CutOff(resp.Header, out.Body) || !p.reachable(ctx, req.URL)) {
		return PlainAnswer{}, ErrTruncatedAnswer
	}
	return out, err
}

// ErrTruncatedAnswer reports an answer that states no length and is not whole, or ended with
// its service: whether the connection was closed after the answer or within it does not show.
const ErrTruncatedAnswer = errors.ConstError("the plain service's answer broke off")

// reachTimeout bounds the attempt to connect to the service, which is on the same host or
// near it.
const reachTimeout = time.Second

// reachable reports whether the service takes connections.
func (p *PlainClient) reachable(ctx context.Context, at *url.URL) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", net.JoinHostPort(at.Hostname(), cmp.Or(at.Port(), "80")))
	if err != nil {
		return false
	}
	return c.Close() == nil
}

func readPlain(resp *http.Response) (PlainAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxPlainBytes+1))
	if err != nil {
		return PlainAnswer{}, errors.Annotate(err, "reading the plain service's answer")
	}
	if len(body) > MaxPlainBytes {
		return PlainAnswer{}, errors.NotValidf("answer of more than %d bytes from the plain service;", MaxPlainBytes)
	}
	if resp.StatusCode < http.StatusOK { // final answers have others
		return PlainAnswer{}, errors.NotValidf("status %03d of the plain service's answer;", resp.StatusCode)
	}
	out := PlainAnswer{Code: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		for _, v := range values {
			out.Header = append(out.Header, protocol.HTTPHeader{Name: name, Value: v})
		}
	}
	return out, nil
}
