// Package bodyread reads bodies of HTTP messages into memory that is reserved before it is
// allocated.
package bodyread

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// ErrTooLong is the error of a body that is longer than its limit.
var ErrTooLong = errors.New("the body is longer than its limit")

const (
	// firstStep is the size in bytes of the first buffer for a body of unknown length. Most
	// answers of plain services fit into it.
	firstStep = 1 << 10
	// maxStep bounds how much a buffer grows at a time, so that little more is reserved than
	// has arrived.
	maxStep = 256 << 10
)

// Read reads a body of at most limit bytes. length is the length that the message states, or
// negative. reserve is called with the size of each piece of memory before it is allocated,
// and its error ends the reading.
func Read(r io.Reader, length int64, limit int, reserve func(bytes int64) error) ([]byte, error) {
	step := firstStep
	if length >= 0 {
		step = int(min(length, int64(limit)))
	}
	step++ // one byte more than the body, to read its end
	var out []byte
	for {
		if len(out) == cap(out) {
			if err := reserve(int64(step)); err != nil {
				return nil, err
			}
			out = append(make([]byte, 0, cap(out)+step), out...)
			step = min(cap(out), maxStep)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if len(out) > limit {
			return nil, ErrTooLong
		}
		switch {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, err
		}
	}
}

// CutOff reports whether the body of a message that states no length is visibly not whole. It
// shows only in formats that have an end of their own.
func CutOff(header http.Header, body []byte) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	isJSON := err == nil && (kind == "application/json" || strings.HasSuffix(kind, "+json"))
	return isJSON && header.Get("Content-Encoding") == "" && !json.Valid(body)
}
