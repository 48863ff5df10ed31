package invariant

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Recorder writes events as JSON lines. It is safe for concurrent use.
type Recorder struct {
	mu  sync.Mutex // guards the fields below
	out io.Writer
	err error // of the first event that was lost
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder { return &Recorder{out: out} }

// OpenRecorder returns a recorder that appends to a file. The file stays open
// until the process exits.
func OpenRecorder(file string) (*Recorder, error) {
	out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Annotate(err, "opening the log of events; give a writable file")
	}
	return NewRecorder(out), nil
}

// Record writes an event; Err reports whether one was lost. It sets the time to now unless the
// event has one.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = r.out.Write(append(line, '\n'))
	}
	if err != nil && r.err == nil {
		r.err = errors.Annotatef(err, "recording an event of kind %s", e.Kind)
	}
}

// Err returns the error of the first event that was lost, or nil.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// maxLineBytes is the max length of one event as JSON.
const maxLineBytes = 4 << 20

// Read returns the events of a log. A malformed last line is ignored, since a
// recorder that is killed may leave an incomplete one.
func Read(in io.Reader) ([]Event, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	var out []Event
	var malformed error
	for lines.Scan() {
		if malformed != nil {
			return nil, malformed
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			malformed = errors.Annotatef(err, "event %d", len(out)+1)
			continue
		}
		out = append(out, e)
	}
	return out, errors.Trace(lines.Err())
}

// ReadFiles returns the events of several logs, sorted by time.
func ReadFiles(files ...string) ([]Event, error) {
	var out []Event
	for _, name := range files {
		events, err := readFile(name)
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		out = append(out, events...)
	}
	slices.SortStableFunc(out, func(a, b Event) int { return a.At.Compare(b.At) })
	return out, nil
}

func readFile(name string) ([]Event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	return Read(f)
}
