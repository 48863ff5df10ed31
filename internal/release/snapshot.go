package release

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// MaxSnapshotBytes is the maximum size of an encoded snapshot.
const MaxSnapshotBytes = 1 << 20

// maxInflatedBytes bounds a snapshot after decompression.
const maxInflatedBytes = 16 << 20

// snapshot is the form in which a fold is encoded. Its items are ordered by key, so
// equal folds have equal encodings.
type snapshot struct {
	Number    uint64          `cbor:"1,keyasint"`
	Digest    string          `cbor:"2,keyasint"`
	Items     Items           `cbor:"3,keyasint"`
	Withdrawn []withdrawnItem `cbor:"4,keyasint"`
}

type withdrawnItem struct {
	Key    string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Snapshot returns the encoded and compressed fold.
func (f *Fold) Snapshot() ([]byte, error) {
	plain, err := f.encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	if out.Len() > MaxSnapshotBytes {
		return nil, errors.NotValidf("snapshot of %d bytes: the limit is %d bytes; withdraw what is unused;", out.Len(), MaxSnapshotBytes)
	}
	return out.Bytes(), nil
}

// StateDigest returns the digest of the whole state, which is equal in all processes
// that have the same note in force. It is computed once.
func (f *Fold) StateDigest() string {
	f.stateOnce.Do(func() {
		plain, err := f.encode()
		if err == nil {
			f.stateDigest = Digest(plain)
		}
	})
	return f.stateDigest
}

func (f *Fold) encode() ([]byte, error) {
	s := snapshot{Number: f.Number, Digest: f.Digest, Items: f.items()}
	for _, key := range slices.Sorted(maps.Keys(f.withdrawn)) {
		s.Withdrawn = append(s.Withdrawn, withdrawnItem{key, f.withdrawn[key]})
	}
	data, err := cbor.Marshal(s)
	return data, errors.Trace(err)
}

func (f *Fold) items() Items {
	return Items{
		Models:         sortedValues(f.models),
		Adapters:       sortedValues(f.adapters),
		BackendServers: sortedValues(f.servers),
		Services:       sortedValues(f.services),
		Providers:      sortedValues(f.providers),
	}
}

func sortedValues[T any](items map[string]T) []T {
	out := make([]T, 0, len(items))
	for _, key := range slices.Sorted(maps.Keys(items)) {
		out = append(out, items[key])
	}
	return out
}

// ParseSnapshot decompresses, decodes and checks a snapshot.
func ParseSnapshot(data []byte) (*Fold, error) {
	if len(data) > MaxSnapshotBytes {
		return nil, errors.NotValidf("snapshot of %d bytes: the limit is %d bytes;", len(data), MaxSnapshotBytes)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxInflatedBytes+1))
	if err != nil || len(plain) > maxInflatedBytes {
		return nil, errors.NotValidf("snapshot compression (%v):", err)
	}
	var s snapshot
	if err := snapshotDecoding.Unmarshal(plain, &s); err != nil {
		return nil, errors.Annotate(err, "decoding snapshot")
	}
	return s.fold()
}

// snapshotDecoding accepts only the encoding that Snapshot produces: it refuses
// repeated and unknown keys, indefinite lengths, tags and deep nesting.
var snapshotDecoding = mustSnapshotDecoding()

func mustSnapshotDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 8, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// fold checks a decoded snapshot and returns its fold.
func (s snapshot) fold() (*Fold, error) {
	if s.Number == 0 || s.Digest == "" {
		return nil, errors.NotValidf("snapshot of note %d with digest %q:", s.Number, s.Digest)
	}
	if err := s.Items.validate(); err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	f := Empty()
	f.Number, f.Digest = s.Number, s.Digest
	if err := f.applyItems(Note{Number: s.Number, Added: s.Items}); err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	if err := f.checkReferences(); err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	for _, w := range s.Withdrawn {
		f.withdrawn[w.Key] = w.Number
	}
	f.index = f.buildIndex()
	return f, nil
}

// maxWithdrawnKeys bounds the withdrawn keys that a fold records.
const maxWithdrawnKeys = 4096

// trimWithdrawn removes the keys that were withdrawn first, beyond maxWithdrawnKeys.
// The choice depends only on the state, so all processes remove the same keys.
func (f *Fold) trimWithdrawn() {
	excess := len(f.withdrawn) - maxWithdrawnKeys
	if excess <= 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(f.withdrawn), func(a, b string) int {
		return cmp.Or(cmp.Compare(f.withdrawn[a], f.withdrawn[b]), cmp.Compare(a, b))
	})
	for _, key := range keys[:excess] {
		delete(f.withdrawn, key)
	}
}
