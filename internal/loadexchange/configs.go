package loadexchange

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/directory"
)

const (
	// configDelay is the time after which a configuration is asked from a peer that has a
	// newer one. The own watch of the registry reports most changes before.
	configDelay = time.Second
	// configRetry is the time after a question from which parts are asked for again.
	configRetry = 500 * time.Millisecond
	// configBurst is the number of parts that are sent for one question.
	configBurst = 8
	// configPartBytes is the size of a part of a configuration in a datagram.
	configPartBytes = 6 << 10
	// lostTTL is the time after the last message of a peer with a configuration that the
	// registry has lost for which that one is waited for.
	lostTTL = 5 * time.Second
	// maxConfigBytes bounds a configuration that is taken from a peer.
	maxConfigBytes = 4 << 20
)

// configPart is a part of the text of a configuration. Without data it asks for the next
// configBurst parts.
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
	// while none has. asked is the time at which parts were last asked for.
	aheadSince, asked time.Time
	// lostUntil is the time until which a configuration is waited for that a peer has and the
	// registry has lost.
	lostUntil time.Time
	// fetched is the beginning of the text of the version fetching, and burst the number of
	// its parts since asked.
	fetching uint64
	fetched  []byte
	burst    int
}

// SetConfig sets the configuration in force and its published text, which peers that have
// an older one ask for: one that starts after the registry came back older finds the newer
// one nowhere else. The text must not be modified.
func (x *Exchange) SetConfig(version uint64, text []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := &x.configs; version > c.version {
		c.version, c.text, c.aheadSince, c.lostUntil = version, text, time.Time{}, time.Time{}
	}
}

// ConfigLost reports whether a peer has a newer configuration that the registry has lost: it
// came back older, and this entry started since. Keys that are withdrawn in it must not be
// accepted meanwhile.
func (x *Exchange) ConfigLost() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Now().Before(x.configs.lostUntil)
}

// lostLocked reports whether the registry has lost the configuration of the sender of a
// message: this entry has read at least the same state and found an older one.
func (x *Exchange) lostLocked(m *message) bool {
	read := directory.Version{Era: m.RegistryEra, Revision: m.RegistryRevision}
	return m.ConfigVersion > x.configs.version && x.configs.version > 0 && m.RegistryRevision > 0 && !x.registry.Before(read)
}

// exchangeConfigs answers a peer that asks for a part of the configuration, and takes a part
// that was asked for.
func (x *Exchange) exchangeConfigs(from string, m *message, now time.Time) {
	x.mu.Lock()
	out, whole := x.exchangeConfigsLocked(m, now)
	x.mu.Unlock()
	for _, part := range out {
		x.send(&message{Incarnation: x.incarnation, Config: part}, map[string]bool{from: true})
	}
	if whole != nil {
		_ = level.Info(x.log).Log("msg", "configuration received", "peer", from, "bytes", len(whole))
		x.options.OnConfig(whole)
	}
}

// exchangeConfigsLocked returns what to send to the sender of a message, if anything, and the
// text of a newer configuration once it is whole.
func (x *Exchange) exchangeConfigsLocked(m *message, now time.Time) (out []*configPart, whole []byte) {
	c, part := &x.configs, m.Config
	lost := x.lostLocked(m)
	if lost {
		c.lostUntil = now.Add(lostTTL)
	}
	switch {
	case part != nil && part.Data != nil:
		return c.take(part, now)
	case part != nil:
		return c.parts(part), nil
	case m.ConfigVersion <= c.version || x.options.OnConfig == nil:
		return nil, nil
	case c.aheadSince.IsZero() && !lost:
		c.aheadSince = now
		return nil, nil
	case !lost && now.Sub(c.aheadSince) < configDelay || now.Sub(c.asked) < configRetry:
		return nil, nil
	}
	if c.fetching != m.ConfigVersion {
		c.fetching, c.fetched = m.ConfigVersion, nil
	}
	return c.ask(now), nil
}

// parts returns the parts that a peer asks for.
func (c *configs) parts(asked *configPart) (out []*configPart) {
	if asked.Version != c.version || asked.Offset < 0 {
		return nil
	}
	for at := asked.Offset; at < len(c.text) && len(out) < configBurst; at += configPartBytes {
		rest := c.text[at:]
		out = append(out, &configPart{Version: c.version, Offset: at, Size: len(c.text), Data: rest[:min(len(rest), configPartBytes)]})
	}
	return out
}

// ask returns the request for the next parts.
func (c *configs) ask(now time.Time) []*configPart {
	c.asked, c.burst = now, 0
	return []*configPart{{Version: c.fetching, Offset: len(c.fetched)}}
}

// take adds a part. It returns the request for the next ones after the last of a burst and,
// after the last of all, the whole text.
func (c *configs) take(part *configPart, now time.Time) (next []*configPart, whole []byte) {
	if part.Version != c.fetching || c.fetching <= c.version || part.Offset != len(c.fetched) || part.Size > maxConfigBytes {
		return nil, nil
	}
	c.fetched = append(c.fetched, part.Data...)
	c.burst++
	switch {
	case len(c.fetched) < part.Size && c.burst == configBurst:
		return c.ask(now), nil
	case len(c.fetched) < part.Size:
		return nil, nil
	}
	whole = c.fetched
	c.fetching, c.fetched = 0, nil
	return nil, whole
}
