package ticket

import (
	"encoding/base64"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestTicketsVerifyForTheirPurposeAlone(t *testing.T) {
	is := is.New(t)
	m := NewMinter([]byte("0123456789abcdef"))
	call := Ticket{ID: "x", Provider: "p", Service: "s", Backend: "b", Incarnation: "1", Expires: time.Minute}
	text, err := m.Mint(call)
	is.NoErr(err)
	got, err := m.Verify(text)
	is.NoErr(err)
	is.Equal(got, call)
	_, err = m.VerifyResume(text)
	is.True(errors.Is(err, ErrInvalid))

	resume := Resume{Request: "r", Attempt: "a", Provider: "p", Backend: "b"}
	text, err = m.MintResume(resume)
	is.NoErr(err)
	back, err := m.VerifyResume(text)
	is.NoErr(err)
	is.Equal(back, resume)
	_, err = m.Verify(text)
	is.True(errors.Is(err, ErrInvalid))
}

func TestForgedTicketsAreRefused(t *testing.T) {
	is := is.New(t)
	m := NewMinter([]byte("0123456789abcdef"))
	text, err := m.Mint(Ticket{ID: "x", Provider: "p"})
	is.NoErr(err)
	raw, err := base64.RawURLEncoding.DecodeString(text)
	is.NoErr(err)
	for i := range raw {
		forged := append([]byte(nil), raw...)
		forged[i] ^= 1
		_, err := m.Verify(base64.RawURLEncoding.EncodeToString(forged))
		is.True(errors.Is(err, ErrInvalid))
	}
	for _, text := range []string{"", "x", "!", text[:10]} {
		_, err := m.Verify(text)
		is.True(errors.Is(err, ErrInvalid))
	}
	_, err = NewMinter([]byte("another key 1234")).Verify(text)
	is.True(errors.Is(err, ErrInvalid))
}
