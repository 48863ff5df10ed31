// Package apikey looks up the owners of API keys. Keys are kept and compared as SHA-256
// digests, so that neither a memory dump nor the time of a lookup reveals one.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/juju/errors"
)

// MaxLength is the length in bytes above which a key is unknown without being hashed, so
// that long headers cost no time.
const MaxLength = 512

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// Of returns the digest of a key.
func Of(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest in hexadecimal.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, errors.NotValidf("digest %q; give the SHA-256 digest of the key in hexadecimal:", s)
	}
	copy(d[:], b)
	return d, nil
}

// Table maps keys to their owners. It is immutable after the last Add.
type Table[T any] struct {
	owners map[Digest]entry[T]
}

type entry[T any] struct {
	digest Digest
	owner  T
}

// NewTable returns an empty table.
func NewTable[T any]() *Table[T] { return &Table[T]{owners: map[Digest]entry[T]{}} }

// Add adds a key by its digest.
func (t *Table[T]) Add(d Digest, owner T) { t.owners[d] = entry[T]{digest: d, owner: owner} }

// Len returns the number of keys.
func (t *Table[T]) Len() int { return len(t.owners) }

// Owners visits the owner of each key.
func (t *Table[T]) Owners(visit func(T)) {
	for _, e := range t.owners {
		visit(e.owner)
	}
}

// Lookup returns the owner of a key. The empty key has no owner.
func (t *Table[T]) Lookup(key string) (owner T, ok bool) {
	if key == "" || len(key) > MaxLength {
		return owner, false
	}
	d := Of(key)
	e, found := t.owners[d]
	if !found || subtle.ConstantTimeCompare(e.digest[:], d[:]) != 1 {
		return owner, false
	}
	return e.owner, true
}
