package loadexchange

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// configDelay is the time after which a configuration is asked from a peer that has a
	// newer one. The own watch of the registry tells of most changes before.
	configDelay = time.Second
	// configRetry is the time without an answer after which a part is asked for again.
	configRetry = 500 * time.Millisecond
	// configPartBytes is the size of a part of a configuration in a datagram.
	configPartBytes = 6 << 10
	// maxConfigBytes bounds a configuration that is taken from a peer.
	maxConfigBytes = 4 << 20
)

// configPart is a part of the text of a configuration, or asks for it if it has no data.
type configPart struct {
	Version uint64 `cbor:"1,keyasint"`
	// Offset is the position of the part in the text, in bytes, and Size the length of the
	// whole text.
	Offset int    `cbor:"2,keyasint,omitempty"`
	Size   int    `cbor:"3,keyasint,omitempty"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
}

// configs is this entry's configuration, and what it has of a newer one of a peer.
type configs struct {
	version uint64
	text    []byte
	// aheadSince is the time at which a peer was first known to have a newer one; zero
	// while none has. asked is the time at which a part was last asked for.
	aheadSince, asked time.Time
	// fetched is the beginning of the text of the version fetching.
	fetching uint64
	fetched  []byte
}

// SetConfig sets the configuration in force and its published text, which peers that have
// an older one ask for: one that starts after the registry came back older finds the newer
// one nowhere else. The text must not be modified.
func (x *Exchange) SetConfig(version uint64, text []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := &x.configs; version > c.version {
		c.version, c.text, c.aheadSince = version, text, time.Time{}
	}
}

// exchangeConfigs answers a peer that asks for a part of the configuration, and takes a part
// that was asked for.
func (x *Exchange) exchangeConfigs(from string, m *message, now time.Time) {
	x.mu.Lock()
	out, whole := x.exchangeConfigsLocked(m, now)
	x.mu.Unlock()
	if out != nil {
		x.send(&message{Incarnation: x.incarnation, Config: out}, map[string]bool{from: true})
	}
	if whole != nil {
		_ = level.Info(x.log).Log("msg", "configuration received", "peer", from, "bytes", len(whole))
		x.options.OnConfig(whole)
	}
}

// exchangeConfigsLocked returns what to send to the sender of a message, if anything, and the
// text of a newer configuration once it is whole.
func (x *Exchange) exchangeConfigsLocked(m *message, now time.Time) (out *configPart, whole []byte) {
	c, part := &x.configs, m.Config
	switch {
	case part != nil && part.Data != nil:
		return c.take(part, now)
	case part != nil:
		if part.Version != c.version || part.Offset < 0 || part.Offset >= len(c.text) {
			return nil, nil
		}
		rest := c.text[part.Offset:]
		return &configPart{Version: c.version, Offset: part.Offset, Size: len(c.text), Data: rest[:min(len(rest), configPartBytes)]}, nil
	case m.ConfigVersion <= c.version || x.options.OnConfig == nil:
		return nil, nil
	case c.aheadSince.IsZero():
		c.aheadSince = now
		return nil, nil
	case now.Sub(c.aheadSince) < configDelay || now.Sub(c.asked) < configRetry:
		return nil, nil
	}
	if c.fetching != m.ConfigVersion {
		c.fetching, c.fetched = m.ConfigVersion, nil
	}
	return c.ask(now), nil
}

// ask returns the request for the next part.
func (c *configs) ask(now time.Time) *configPart {
	c.asked = now
	return &configPart{Version: c.fetching, Offset: len(c.fetched)}
}

// take adds a part. It returns the request for the next one or, after the last, the whole
// text.
func (c *configs) take(part *configPart, now time.Time) (next *configPart, whole []byte) {
	if part.Version != c.fetching || c.fetching <= c.version || part.Offset != len(c.fetched) || part.Size > maxConfigBytes {
		return nil, nil
	}
	c.fetched = append(c.fetched, part.Data...)
	if len(c.fetched) < part.Size {
		return c.ask(now), nil
	}
	whole = c.fetched
	c.fetching, c.fetched = 0, nil
	return nil, whole
}
