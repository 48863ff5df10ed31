package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"

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
		Transport:     &http.Transport{DisableKeepAlives: true},
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
	url := p.base + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
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
	return readPlain(resp)
}

func readPlain(resp *http.Response) (PlainAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxPlainBytes+1))
	if err != nil {
		return PlainAnswer{}, errors.Annotate(err, "reading the plain service's answer")
	}
	if len(body) > MaxPlainBytes {
		return PlainAnswer{}, errors.NotValidf("answer of more than %d bytes from the plain service;", MaxPlainBytes)
	}
	out := PlainAnswer{Code: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		for _, v := range values {
			out.Header = append(out.Header, protocol.HTTPHeader{Name: name, Value: v})
		}
	}
	return out, nil
}
