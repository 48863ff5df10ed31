// Package transport carries net/rpc calls and token streams between
// samphirestream's processes, over mutually authenticated TLS.
package transport

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// MaxFrameBytes is the maximum size of a frame's payload. It keeps a malformed
// length from exhausting memory.
const MaxFrameBytes = 16 << 20

// headerBytes is the size of a frame's header, the length of the payload.
const headerBytes = 4

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes one CBOR message. It rejects duplicate map keys, indefinite
// lengths, tags, and sizes beyond the limits of the protocol.
func Decode(data []byte, v any) error {
	return errors.Trace(decMode.Unmarshal(data, v))
}

// AppendFrame appends a frame with the CBOR encoding of v to buf.
func AppendFrame(buf []byte, v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return buf, errors.Annotate(err, "encoding frame")
	}
	if len(data) > MaxFrameBytes {
		return buf, errors.NotValidf("frame of %d bytes: the limit is %d bytes;", len(data), MaxFrameBytes)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...), nil
}

// ReadFrame reads one frame into buf, which it grows as needed, and returns the
// payload. The payload is valid until the next call with the same buf.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) { return readFrame(r, buf, MaxFrameBytes) }

// readFrame reads one frame of at most limit bytes.
func readFrame(r io.Reader, buf []byte, limit uint32) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return buf[:0], err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > limit {
		return buf[:0], errors.NotValidf("frame of %d bytes: the limit is %d bytes;", size, limit)
	}
	return readPayload(r, buf, int(size))
}

// readPayload grows the buffer only as data arrives, so that a peer can not make
// the process allocate memory for bytes that are never sent.
func readPayload(r io.Reader, buf []byte, size int) ([]byte, error) {
	const step = 64 << 10
	buf = buf[:0]
	for len(buf) < size {
		n := min(step, size-len(buf))
		start := len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf[:0], errors.Trace(err)
		}
	}
	return buf, nil
}
