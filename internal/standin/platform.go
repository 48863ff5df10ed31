package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/samphirestream/samphirestream/internal/controlplane"
)

// ConfigService is a stand-in for the platform's configuration service, in the
// format of package platform. Its HTTP interface is read-only.
type ConfigService struct {
	calls atomic.Int64

	mu      sync.Mutex
	notes   [][]byte // notes[i] is note i+1
	visible int      // notes that readers see
	frozen  bool
	down    bool
	changed chan struct{}
}

// NewConfigService returns a service without notes.
func NewConfigService() *ConfigService { return &ConfigService{changed: make(chan struct{})} }

// Publish adds the next note, as operators do.
func (c *ConfigService) Publish(raw []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes = append(c.notes, raw)
	c.refreshLocked()
}

// SetDown makes calls to the service fail or succeed.
func (c *ConfigService) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.refreshLocked()
}

// SetStale freezes or unfreezes the notes that readers see.
func (c *ConfigService) SetStale(stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = stale
	c.refreshLocked()
}

// ShowOnly shows readers only the first n notes, until SetStale(false).
func (c *ConfigService) ShowOnly(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen, c.visible = true, n
	c.refreshLocked()
}

func (c *ConfigService) refreshLocked() {
	if !c.frozen {
		c.visible = len(c.notes)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Calls returns the number of calls. A long poll counts as one.
func (c *ConfigService) Calls() int64 { return c.calls.Load() }

// Handler returns the service's HTTP interface.
func (c *ConfigService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/notes/{number}", c.serveNote)
	mux.HandleFunc("GET /v1/head", c.serveHead)
	return mux
}

func (c *ConfigService) snapshot() (visible int, down bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.visible, c.down, c.changed
}

func (c *ConfigService) serveNote(w http.ResponseWriter, r *http.Request) {
	c.calls.Add(1)
	visible, down, _ := c.snapshot()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	n, err := strconv.Atoi(r.PathValue("number"))
	if err != nil || n < 1 || n > visible {
		http.Error(w, "no such note", http.StatusNotFound)
		return
	}
	c.mu.Lock()
	raw := c.notes[n-1]
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(raw)
}

// serveHead returns the number of the latest visible note. With the parameter
// wait it is a long poll: it returns when the number is above the parameter after,
// or when wait has passed.
func (c *ConfigService) serveHead(w http.ResponseWriter, r *http.Request) {
	c.calls.Add(1)
	after, _ := strconv.Atoi(r.FormValue("after"))
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		visible, down, changed := c.snapshot()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if visible > after || wait == 0 {
			writeJSON(w, controlplane.Head{Number: uint64(visible)})
			return
		}
		select {
		case <-ctx.Done():
			writeJSON(w, controlplane.Head{Number: uint64(visible)})
			return
		case <-changed:
		}
	}
}

// VMList is a stand-in for the platform's list of VMs, which shows changes late.
type VMList struct {
	mu    sync.Mutex
	vms   []controlplane.VM
	shown []controlplane.VM
	lag   time.Duration
	down  bool
}

// NewVMList returns an empty list that shows changes after lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set replaces the list; readers see it after the lag.
func (v *VMList) Set(vms ...controlplane.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms = vms
	if v.lag == 0 {
		v.shown = vms
		return
	}
	time.AfterFunc(v.lag, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.shown = vms
	})
}

// SetDown makes calls to the list fail or succeed.
func (v *VMList) SetDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

// Handler returns the list's HTTP interface.
func (v *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(controlplane.VMs{VMs: v.shown})
	})
	return mux
}

// WeightStore is a stand-in for the platform's rate-limited weight store. GET
// /v1/weights/KEY streams the weights of a model; all readers share one rate. A
// store with a limit on concurrent readers answers 429 to those beyond it.
type WeightStore struct {
	limiter    *rate.Limiter
	size       int
	chunk      int
	maxReaders int64
	reads      atomic.Int64
	readers    atomic.Int64
	refused    atomic.Int64
}

// weightChunkBytes is the max size of the chunks in which weights are sent.
const weightChunkBytes = 32 << 10

// weightChunks is the approximate number of chunks in which small weights are sent:
// those of up to weightChunks*weightChunkBytes bytes.
const weightChunks = 64

// NewWeightStore returns a store whose models all have size bytes and whose readers
// share a rate in bytes per second.
func NewWeightStore(size int, bytesPerSecond float64) *WeightStore {
	chunk := max(1, min(weightChunkBytes, size/weightChunks))
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunk), size: size, chunk: chunk}
}

// LimitReaders limits the number of concurrent reads. Call it before the first
// read.
func (s *WeightStore) LimitReaders(n int) { s.maxReaders = int64(n) }

// Reads returns the number of reads that were started.
func (s *WeightStore) Reads() int64 { return s.reads.Load() }

// Refused returns the number of reads that exceeded the limit on readers.
func (s *WeightStore) Refused() int64 { return s.refused.Load() }

// errTooManyReaders is the error of a read beyond the limit on readers.
var errTooManyReaders = errors.New("too many readers")

// Read passes the weights of one model to write, chunk by chunk, at the rate that
// all readers share.
func (s *WeightStore) Read(ctx context.Context, write func([]byte) error) error {
	defer s.readers.Add(-1)
	if n := s.readers.Add(1); s.maxReaders > 0 && n > s.maxReaders {
		s.refused.Add(1)
		return errTooManyReaders
	}
	s.reads.Add(1)
	chunk := make([]byte, s.chunk)
	for remaining := s.size; remaining > 0; remaining -= s.chunk {
		n := min(remaining, s.chunk)
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		if err := write(chunk[:n]); err != nil {
			return err
		}
	}
	return nil
}

// Handler returns the store's HTTP interface.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{key}", func(w http.ResponseWriter, r *http.Request) {
		err := s.Read(r.Context(), func(b []byte) error {
			_, err := w.Write(b)
			return err
		})
		switch {
		case errors.Is(err, errTooManyReaders):
			http.Error(w, err.Error(), http.StatusTooManyRequests)
		case err != nil:
			panic(http.ErrAbortHandler)
		}
	})
	return mux
}
