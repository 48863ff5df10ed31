package loadexchange

import (
	"hash/crc32"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// encodeConfig compresses the text of a configuration (RFC 8878), with that of a former one as
// the dictionary: most versions differ in a few routes. A base of nil is none.
func encodeConfig(text, base []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderDictRaw(dictionaryID(base), base))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return w.EncodeAll(text, nil), errors.Trace(w.Close())
}

// decodeConfig returns the text that was encoded with a base. It fails if that was another one.
func decodeConfig(content, base []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxConfigBytes), zstd.WithDecoderDictRaw(dictionaryID(base), base))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer r.Close()
	text, err := r.DecodeAll(content, nil)
	return text, errors.Trace(err)
}

// dictionaryID identifies a base, so that a difference is never applied to another one. 0 would
// name no dictionary.
func dictionaryID(base []byte) uint32 { return crc32.ChecksumIEEE(base) | 1 }
