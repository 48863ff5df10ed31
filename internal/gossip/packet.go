package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/transport"
)

// Sizes of datagrams, in bytes.
const (
	// MaxDatagramBytes keeps a datagram below the usual path MTU.
	MaxDatagramBytes = 1400
	// maxNoteBytes bounds the notes in one datagram.
	maxNoteBytes = 1100
	// maxRumorBytes bounds the members in one datagram.
	maxRumorBytes = 300
	// tagBytes is the size of the truncated HMAC at the end of a datagram.
	tagBytes = 16
	// prefixBytes is the size of the digest prefixes in a head.
	prefixBytes = 8
	// IPv4UDPHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
	IPv4UDPHeaderBytes = 28
)

type kind uint8

const (
	// kindPing asks for kindAck.
	kindPing kind = iota + 1
	kindAck
	// kindPingRequest asks the receiver to ping Target.
	kindPingRequest
	// kindAnnounce carries the head and rumors.
	kindAnnounce
	// kindPull asks for the notes after the sender's head.
	kindPull
	// kindNotes answers a pull.
	kindNotes
)

// prefix is the beginning of a digest.
type prefix [prefixBytes]byte

// head identifies the last note of a chain and the state after it, by the prefixes
// of their digests. The zero value stands for an empty chain.
type head struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Digest prefix `cbor:"2,keyasint,omitempty"`
	State  prefix `cbor:"3,keyasint,omitempty"`
}

func headOf(state *release.FleetState) head {
	if state.Number == 0 {
		return head{}
	}
	return head{Number: state.Number, Digest: prefixOf(state.Digest), State: prefixOf(state.StateDigest())}
}

func prefixOf(digest string) prefix {
	var p prefix
	if len(digest) >= hex.EncodedLen(prefixBytes) {
		_, _ = hex.Decode(p[:], []byte(digest[:hex.EncodedLen(prefixBytes)]))
	}
	return p
}

// packet is the content of a datagram.
type packet struct {
	Kind        kind   `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// Seq is the sequence number of a ping, which the answer repeats.
	Seq  uint32 `cbor:"5,keyasint,omitempty"`
	Head head   `cbor:"6,keyasint"`
	// Starting is set while the sender has no note in force.
	Starting bool `cbor:"7,keyasint,omitempty"`
	// Introduce asks the receiver for its own member record.
	Introduce bool                 `cbor:"8,keyasint,omitempty"`
	Members   []membership.Member  `cbor:"9,keyasint,omitempty"`
	Summaries []membership.Summary `cbor:"10,keyasint,omitempty"`
	// Target is the address to ping for kindPingRequest.
	Target string `cbor:"11,keyasint,omitempty"`
	// Notes are published bytes, in order.
	Notes [][]byte `cbor:"12,keyasint,omitempty"`
	// Bulk is set when the notes do not fit: the receiver pulls them by RPC.
	Bulk bool `cbor:"13,keyasint,omitempty"`
	// Slots are the decode slots of the sender's backend server.
	Slots *membership.Slots `cbor:"14,keyasint,omitempty"`
}

// codec encodes and authenticates datagrams. It is not safe for concurrent use.
type codec struct {
	mac hash.Hash
	sum []byte
}

// keyLabel separates the key of datagrams from other uses of the fleet's key.
const keyLabel = "samphirestream gossip 1"

// newCodec derives the key of datagrams from the key of the fleet.
func newCodec(fleetKey []byte) *codec {
	derive := hmac.New(sha256.New, fleetKey)
	derive.Write([]byte(keyLabel))
	return &codec{mac: hmac.New(sha256.New, derive.Sum(nil))}
}

// tag returns the truncated HMAC of data. The result is valid until the next call.
func (c *codec) tag(data []byte) []byte {
	c.mac.Reset()
	c.mac.Write(data)
	c.sum = c.mac.Sum(c.sum[:0])
	return c.sum[:tagBytes]
}

func (c *codec) encode(p *packet) ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, errors.Annotate(err, "encoding datagram")
	}
	if len(data)+tagBytes > MaxDatagramBytes {
		return nil, errors.NotValidf("datagram of %d bytes: the limit is %d bytes;", len(data)+tagBytes, MaxDatagramBytes)
	}
	return append(data, c.tag(data)...), nil
}

func (c *codec) decode(data []byte) (*packet, error) {
	if len(data) <= tagBytes || len(data) > MaxDatagramBytes {
		return nil, errors.NotValidf("datagram of %d bytes", len(data))
	}
	body, tag := data[:len(data)-tagBytes], data[len(data)-tagBytes:]
	if !hmac.Equal(tag, c.tag(body)) {
		return nil, errors.Unauthorizedf("datagram with a wrong tag; give all processes one ticket_key;")
	}
	var p packet
	if err := transport.Decode(body, &p); err != nil {
		return nil, errors.Annotate(err, "decoding datagram")
	}
	return &p, nil
}
