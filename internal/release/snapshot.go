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

// snapshot is the form in which a fleet state is encoded. Its items are ordered by
// key, so equal states have equal encodings.
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

// Snapshot returns the encoded and compressed fleet state.
func (state *FleetState) Snapshot() ([]byte, error) {
	plain, err := state.encode()
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
func (state *FleetState) StateDigest() string {
	state.stateOnce.Do(func() {
		plain, err := state.encode()
		if err == nil {
			state.stateDigest = Digest(plain)
		}
	})
	return state.stateDigest
}

func (state *FleetState) encode() ([]byte, error) {
	s := snapshot{Number: state.Number, Digest: state.Digest, Items: state.items()}
	for _, key := range slices.Sorted(maps.Keys(state.withdrawn)) {
		s.Withdrawn = append(s.Withdrawn, withdrawnItem{key, state.withdrawn[key]})
	}
	data, err := cbor.Marshal(s)
	return data, errors.Trace(err)
}

func (state *FleetState) items() Items {
	return Items{
		Models:         sortedValues(state.models),
		Adapters:       sortedValues(state.adapters),
		BackendServers: sortedValues(state.servers),
		Services:       sortedValues(state.services),
		Providers:      sortedValues(state.providers),
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
func ParseSnapshot(data []byte) (*FleetState, error) {
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
	return s.state()
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

// state checks a decoded snapshot and returns its state.
func (s snapshot) state() (*FleetState, error) {
	if s.Number == 0 || s.Digest == "" {
		return nil, errors.NotValidf("snapshot of note %d with digest %q:", s.Number, s.Digest)
	}
	if err := s.Items.validate(); err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	state := EmptyState()
	state.Number, state.Digest = s.Number, s.Digest
	if err := state.applyItems(Note{Number: s.Number, Added: s.Items}); err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	if err := state.checkReferences(); err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	for _, w := range s.Withdrawn {
		state.withdrawn[w.Key] = w.Number
	}
	state.index = state.buildIndex()
	return state, nil
}

// maxWithdrawnKeys bounds the withdrawn keys that a fleet state records.
const maxWithdrawnKeys = 4096

// trimWithdrawn removes the keys that were withdrawn first, beyond maxWithdrawnKeys.
// The choice depends only on the state, so all processes remove the same keys.
func (state *FleetState) trimWithdrawn() {
	excess := len(state.withdrawn) - maxWithdrawnKeys
	if excess <= 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(state.withdrawn), func(a, b string) int {
		return cmp.Or(cmp.Compare(state.withdrawn[a], state.withdrawn[b]), cmp.Compare(a, b))
	})
	for _, key := range keys[:excess] {
		delete(state.withdrawn, key)
	}
}
