package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes is the maximum length of one line of an engine's stream.
const maxLineBytes = 64 << 10

// maxErrorBytes is the maximum length of an error text read from an engine.
const maxErrorBytes = 4 << 10

// StatusError is an error response of an engine: a status of 300 or above.
type StatusError struct {
	Code int
	Text string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return "engine refused: " + http.StatusText(e.Code) + ": " + e.Text
}

// ErrTruncated reports a stream that ended before its last line.
const ErrTruncated = errors.ConstError("the engine's stream ended early")

// Client makes HTTP calls to one model engine.
type Client struct {
	base string
	// data sends prefills, imports, decodes and orders on connections that are
	// reused.
	data *http.Client
	// control sends cancels and queries, each on a new connection, since a reused
	// connection may be dead while the engine still works.
	control *http.Client
}

// NewClient returns a client for the engine at a base URL.
func NewClient(base string) *Client {
	return &Client{
		base: base,
		data: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
		}},
		control: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Observe passes what the engine says of itself in its answers to an observer. It must be
// called before the client is used.
func (c *Client) Observe(observe Observer) {
	c.data.Transport = observed{c.data.Transport, observe}
	c.control.Transport = observed{c.control.Transport, observe}
}

// CloseIdleConnections closes idle connections, so that later calls open new ones.
// Calls in progress keep theirs.
func (c *Client) CloseIdleConnections() { c.data.CloseIdleConnections() }

// Base returns the engine's base URL.
func (c *Client) Base() string { return c.base }

// Prefill computes the KV cache of a prompt.
func (c *Client) Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error) {
	var out PrefillResult
	return out, c.post(ctx, "/engine/prefill", r, &out)
}

// Import fetches a KV cache from another engine.
func (c *Client) Import(ctx context.Context, r ImportRequest) (ImportResult, error) {
	var out ImportResult
	return out, c.post(ctx, "/engine/import", r, &out)
}

// Cancel frees everything that the engine holds for a request.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, c.control, http.MethodPost, "/engine/cancel", CancelRequest{ID: id}, nil)
}

// Order sends an order, which changes what the engine serves.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.post(ctx, "/engine/orders", o, nil)
}

// State reads the engine's role, loaded models and capacity.
func (c *Client) State(ctx context.Context) (State, error) {
	var out State
	return out, c.get(ctx, "/engine/state", &out)
}

// Load reads the engine's lagging load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var out LoadReport
	return out, c.get(ctx, "/engine/load", &out)
}

// HeldRequests lists the requests that the engine holds memory for.
func (c *Client) HeldRequests(ctx context.Context) ([]HeldRequest, error) {
	var out HeldList
	err := c.get(ctx, "/engine/requests", &out)
	return out.Requests, err
}

// Decode streams an answer and calls onEvent with each event. An error of onEvent
// ends the stream. Decode returns nil only after the last event.
func (c *Client) Decode(ctx context.Context, r DecodeRequest, onEvent func(DecodeEvent) error) error {
	return c.stream(ctx, "/engine/decode", r, onEvent)
}

// Resume streams a running or finished answer again from an index, as Decode does.
func (c *Client) Resume(ctx context.Context, r ResumeRequest, onEvent func(DecodeEvent) error) error {
	return c.stream(ctx, "/engine/resume", r, onEvent)
}

func (c *Client) stream(ctx context.Context, path string, in any, onEvent func(DecodeEvent) error) error {
	resp, err := c.do(ctx, c.data, http.MethodPost, path, in)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 1024), maxLineBytes)
	for lines.Scan() {
		var ev DecodeEvent
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			return errors.Annotate(err, "decoding an event of the engine")
		}
		if err := onEvent(ev); err != nil {
			return err
		}
		if ev.Finish != "" {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Annotate(err, "reading the engine's stream")
	}
	return ErrTruncated
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	return c.call(ctx, c.data, http.MethodPost, path, in, out)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, c.control, http.MethodGet, path, nil, out)
}

func (c *Client) call(ctx context.Context, client *http.Client, method, path string, in, out any) error {
	resp, err := c.do(ctx, client, method, path, in)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return errors.Trace(err)
	}
	return errors.Annotatef(json.NewDecoder(resp.Body).Decode(out), "decoding the answer of %s", path)
}

func (c *Client) do(ctx context.Context, client *http.Client, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "calling the engine")
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, &StatusError{Code: resp.StatusCode, Text: string(bytes.TrimSpace(text))}
	}
	return resp, nil
}
