// Package ticket defines the tickets that bind a non-idempotent call to one
// incarnation of one agent, so that the call runs at most once without shared
// state. It also defines the tickets that resume a running request.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ErrInvalid reports a ticket that is malformed or was not minted with the
// fleet's key for the expected purpose.
const ErrInvalid = errors.ConstError("the ticket is malformed or forged; ask for a new one at POST /v1/tickets")

// Ticket authorises one call to a plain service.
type Ticket struct {
	// ID identifies the call.
	ID       string `cbor:"1,keyasint"`
	Provider string `cbor:"2,keyasint"`
	Service  string `cbor:"3,keyasint"`
	// Backend is the backend server that runs the call.
	Backend string `cbor:"4,keyasint"`
	// Incarnation is the incarnation of the server's agent that may run the call.
	Incarnation string `cbor:"5,keyasint"`
	// Expires is the uptime of that agent at which the ticket expires.
	Expires time.Duration `cbor:"6,keyasint"`
}

// Minter mints and verifies tickets with the fleet's secret key.
type Minter struct{ key []byte }

// NewMinter returns a minter with a secret key.
func NewMinter(key []byte) *Minter { return &Minter{key: key} }

// purposeCall is the purpose of tickets for calls.
const purposeCall = "call\x00"

// Mint returns the text of a ticket.
func (m *Minter) Mint(t Ticket) (string, error) { return m.seal(purposeCall, t) }

// Verify decodes the text of a ticket. The error, if any, is ErrInvalid.
func (m *Minter) Verify(text string) (Ticket, error) {
	var t Ticket
	return t, errors.Trace(m.open(purposeCall, text, &t))
}

// seal encodes a value and prefixes it with a MAC over its purpose and encoding.
func (m *Minter) seal(purpose string, v any) (string, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return "", errors.Annotate(err, "encoding a ticket")
	}
	return base64.RawURLEncoding.EncodeToString(append(m.mac(purpose, data), data...)), nil
}

// open verifies and decodes a text made by seal. The error, if any, is
// ErrInvalid.
func (m *Minter) open(purpose, text string, v any) error {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) < sha256.Size {
		return errors.Trace(ErrInvalid)
	}
	mac, body := data[:sha256.Size], data[sha256.Size:]
	if !hmac.Equal(mac, m.mac(purpose, body)) {
		return errors.Trace(ErrInvalid)
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return errors.WithType(err, ErrInvalid)
	}
	return nil
}

func (m *Minter) mac(purpose string, data []byte) []byte {
	mac := hmac.New(sha256.New, m.key)
	mac.Write([]byte(purpose))
	mac.Write(data)
	return mac.Sum(nil)
}
