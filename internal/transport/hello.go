package transport

import (
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/protocol"
)

// Channel is the kind of traffic that a connection carries.
type Channel string

// Channels.
const (
	ChannelRPC    Channel = "rpc"
	ChannelStream Channel = "stream"
)

// handshakeTimeout is the timeout for connecting, the TLS handshake and the
// exchange of hellos.
const handshakeTimeout = 3 * time.Second

// maxHelloBytes is the maximum size of a hello. It is read from clients that are not yet known.
const maxHelloBytes = 4 << 10

// Hello is the first frame in each direction of a connection.
type Hello struct {
	Version int              `cbor:"1,keyasint"`
	Channel Channel          `cbor:"2,keyasint"`
	From    protocol.NodeRef `cbor:"3,keyasint"`
}

func sendHello(conn net.Conn, h Hello) error {
	h.Version = protocol.Version
	buf, err := AppendFrame(nil, h)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = conn.Write(buf)
	return errors.Trace(err)
}

func receiveHello(conn net.Conn) (Hello, error) {
	var h Hello
	data, err := readFrame(conn, nil, maxHelloBytes)
	if err != nil {
		return h, errors.Annotate(err, "reading hello")
	}
	if err := Decode(data, &h); err != nil {
		return h, errors.Annotate(err, "decoding hello")
	}
	if h.Version != protocol.Version {
		return h, errors.NotSupportedf("protocol version %d: this process speaks %d; upgrade the older one;", h.Version, protocol.Version)
	}
	return h, nil
}
