// Package controlplane is the read-only client of the services that an agent
// deployment depends on: the configuration service, which publishes the release
// notes, and the list of VMs.
package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/release"
)

// Head is the answer to GET /v1/head?after=N&wait=D: the number of the latest
// note. With a wait, the service answers when the number exceeds N or after D.
type Head struct {
	Number uint64 `json:"number"`
}

// States of a VM.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is one element of the list of VMs.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// Role is entry or agent.
	Role string `json:"role"`
	// Peers is the IP address and port that other processes connect to.
	Peers string `json:"peers"`
	// Backend is the name of an agent's backend server.
	Backend string `json:"backend,omitempty"`
	State   string `json:"state"`
}

// VMs is the answer to GET /v1/vms.
type VMs struct {
	VMs []VM `json:"vms"`
}

// maxListBytes bounds the list of VMs and the head.
const maxListBytes = 4 << 20

// answerTimeout bounds a read, in addition to the wait of a long poll.
const answerTimeout = 3 * time.Second

// Client reads the configuration service and the VM list.
type Client struct {
	configURL string
	vmsURL    string
	http      *http.Client
}

// NewClient returns a client for the base URLs of the configuration service
// and the VM list.
func NewClient(configURL, vmsURL string) *Client {
	return &Client{configURL: configURL, vmsURL: vmsURL, http: &http.Client{}}
}

// Head returns the number of the latest note. The service delays its answer until
// the number exceeds after, but not beyond wait.
func (c *Client) Head(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	data, err := c.get(ctx, c.configURL+"/v1/head?"+query.Encode(), maxListBytes)
	if err != nil {
		return 0, errors.Annotate(err, "reading the head of the release notes")
	}
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return 0, errors.Annotate(err, "reading the head of the release notes")
	}
	return head.Number, nil
}

// Note returns the published bytes of a note.
func (c *Client) Note(ctx context.Context, number uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	data, err := c.get(ctx, c.configURL+"/v1/notes/"+strconv.FormatUint(number, 10), release.MaxNoteBytes)
	return data, errors.Annotatef(err, "reading release note %d", number)
}

// VMs returns the list of VMs, which lags behind the actual state.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	data, err := c.get(ctx, c.vmsURL+"/v1/vms", maxListBytes)
	if err != nil {
		return nil, errors.Annotate(err, "reading the list of VMs")
	}
	var list VMs
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Annotate(err, "reading the list of VMs")
	}
	return list.VMs, nil
}

// get returns the body of a successful answer of up to limit bytes.
func (c *Client) get(ctx context.Context, url string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the platform answered %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.NotValidf("answer of more than %d bytes;", limit)
	}
	return data, errors.Trace(err)
}
