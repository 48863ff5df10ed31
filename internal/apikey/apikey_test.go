package apikey

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLookupFindsOnlyTheExactKey guards against keys that are accepted by a prefix, in
// another case, empty or overlong.
func TestLookupFindsOnlyTheExactKey(t *testing.T) {
	is := is.New(t)
	table := NewTable[string]()
	long := strings.Repeat("k", MaxLength+1)
	for key, owner := range map[string]string{"alpha": "a", "beta": "b", "": "nobody", long: "nobody"} {
		table.Add(Of(key), owner)
	}
	for key, want := range map[string]string{"alpha": "a", "beta": "b", "": "", "alph": "", "Alpha": "", "alpha ": "", "\xff\x00": "", long: ""} {
		owner, ok := table.Lookup(key)
		is.Equal(owner, want)
		is.Equal(ok, want != "")
	}
}

// TestParseDigest checks that a digest in a configuration matches its key, and that malformed
// ones are rejected.
func TestParseDigest(t *testing.T) {
	is := is.New(t)
	d, err := ParseDigest("2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90") // of "alice"
	is.NoErr(err)
	is.Equal(d, Of("alice"))
	for _, bad := range []string{"", "00", strings.Repeat("z", 64)} {
		_, err := ParseDigest(bad)
		is.True(err != nil)
	}
}
