package ticket

import (
	"github.com/juju/errors"
)

// Resume authorises a caller to continue reading the answer to a running request.
type Resume struct {
	// Request identifies the request, and Attempt its attempt.
	Request  string `cbor:"1,keyasint"`
	Attempt  string `cbor:"2,keyasint"`
	Provider string `cbor:"3,keyasint"`
	// Backend is the backend server that decodes the answer.
	Backend string `cbor:"4,keyasint"`
}

// purposeResume is the purpose of resume tickets. It prevents using a call ticket
// as a resume ticket, or the reverse, since both are minted with one key.
const purposeResume = "resume\x00"

// MintResume returns the text of a resume ticket.
func (m *Minter) MintResume(r Resume) (string, error) { return m.seal(purposeResume, r) }

// VerifyResume decodes the text of a resume ticket. The error, if any, is
// ErrInvalid.
func (m *Minter) VerifyResume(text string) (Resume, error) {
	var r Resume
	return r, errors.Trace(m.open(purposeResume, text, &r))
}
