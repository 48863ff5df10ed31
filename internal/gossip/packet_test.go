package gossip

import (
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/membership"
)

func TestDatagramWithAnotherKeyIsRejected(t *testing.T) {
	is := is.New(t)
	p := &packet{Kind: kindPing, From: "a", Members: []membership.Member{{Name: "b", State: membership.Suspect}}}
	data, err := newCodec([]byte("key")).encode(p)
	is.NoErr(err)
	got, err := newCodec([]byte("key")).decode(data)
	is.NoErr(err)
	is.Equal(got, p)
	_, err = newCodec([]byte("other")).decode(data)
	is.True(errors.Is(err, errors.Unauthorized))
	data[3] ^= 1
	_, err = newCodec([]byte("key")).decode(data)
	is.True(errors.Is(err, errors.Unauthorized))
}

func TestOversizedDatagramIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := newCodec(nil).encode(&packet{Notes: [][]byte{make([]byte, MaxDatagramBytes)}})
	is.True(errors.Is(err, errors.NotValid))
	_, err = newCodec(nil).decode(make([]byte, MaxDatagramBytes+1))
	is.True(errors.Is(err, errors.NotValid))
}

// FuzzDecode checks that decoding an authenticated but malformed datagram does not
// panic.
func FuzzDecode(f *testing.F) {
	c := newCodec(nil)
	data, err := c.encode(&packet{Kind: kindNotes, From: "a", Notes: [][]byte{{1}}, Head: head{Number: 3}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data[:len(data)-tagBytes])
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = c.decode(append(body, c.tag(body)...))
	})
}
