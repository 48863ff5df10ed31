package loadexchange

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/directory"
)

const (
	// configDelay is the time after which an entry that reads the registry for others asks a
	// peer for a newer configuration. Its own watch reports most changes before. Other entries
	// ask at once.
	configDelay = 300 * time.Millisecond
	// configRetry is the time without a part after which parts are asked for again.
	configRetry = 150 * time.Millisecond
	// configBurst is the number of parts that are sent for one question. Many entries ask at
	// once, and a full link loses datagrams.
	configBurst = 4
	// configPartBytes is the size of a part of a configuration in a datagram.
	configPartBytes = 6 << 10
	// lostTTL is the time after the last message of a peer with a configuration that the
	// registry has lost for which that one is waited for.
	lostTTL = 5 * time.Second
	// maxConfigBytes bounds a configuration that is taken from a peer.
	maxConfigBytes = 4 << 20
	// keptConfigs is the number of former configurations that are kept: peers that have one of
	// them are sent the difference.
	keptConfigs = 4
)

// configPart is a part of a configuration, or, without data, the question for the next
// configBurst parts.
type configPart struct {
	Version uint64 `cbor:"1,keyasint"`
	// Offset is the position of the part in what is sent, in bytes, and Size the length of all
	// of it.
	Offset int    `cbor:"2,keyasint,omitempty"`
	Size   int    `cbor:"3,keyasint,omitempty"`
	Data   []byte `cbor:"4,keyasint,omitempty"`
	// Encoded is set if what is sent is encoded (see encodeConfig), or may be.
	Encoded bool `cbor:"5,keyasint,omitempty"`
	// Base is the version that the asking entry has, and in a part that of which the difference
	// is sent; 0 for none.
	Base uint64 `cbor:"6,keyasint,omitempty"`
	// Era and Revision are the state of the registry in which the configuration was written;
	// 0 if there is a newer one.
	Era      uint64 `cbor:"7,keyasint,omitempty"`
	Revision uint64 `cbor:"8,keyasint,omitempty"`
}

// configs is this entry's configuration, and what it has of a newer one of a peer.
type configs struct {
	version uint64
	text    []byte
	// at is the state of the registry in which it was written.
	at directory.Version
	// former are the last configurations before it, by version.
	former map[uint64][]byte
	// encoded are the encodings that peers asked for, by version and base.
	encoded map[[2]uint64][]byte
	// announce is set if peers are to be told of the version at once.
	announce bool
	// aheadSince is the time at which a peer was first known to have a newer one; zero
	// while none has. asked is the time at which parts were last asked for or received.
	aheadSince, asked time.Time
	// lostUntil is the time until which a configuration is waited for that a peer has and the
	// registry has lost.
	lostUntil time.Time
	// fetched is the beginning of what is sent of the version fetching, and burst the number of
	// its parts since the last question.
	fetching uint64
	fetched  []byte
	burst    int
}

// SetConfig sets the configuration in force with its published text, for which peers ask that have
// an older one, and the state of the registry in which it was written. One that starts after the
// registry came back older finds the newer one nowhere else. The text must not be modified.
func (x *Exchange) SetConfig(version uint64, text []byte, at directory.Version) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := &x.configs
	if version <= c.version {
		return
	}
	if c.former == nil {
		c.former = map[uint64][]byte{}
	}
	c.former[c.version] = c.text
	for len(c.former) > keptConfigs {
		delete(c.former, slices.Min(slices.Collect(maps.Keys(c.former))))
	}
	c.version, c.text, c.at, c.encoded, c.aheadSince, c.lostUntil = version, text, at, nil, time.Time{}, time.Time{}
}

// AnnounceConfig tells the peers at once which version is in force. Those that do not read the
// registry themselves ask for it.
func (x *Exchange) AnnounceConfig() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.configs.announce = true
	x.requestFlush()
}

// announceConfig tells the peers of the configuration if that is to be done.
func (x *Exchange) announceConfig() {
	x.mu.Lock()
	announce := x.configs.announce
	x.configs.announce = false
	m := &message{Incarnation: x.incarnation}
	x.addConfigLocked(m)
	to := x.livePeersLocked(time.Now())
	x.mu.Unlock()
	if announce {
		x.send(m, to)
	}
}

// addConfigLocked adds to a message what is known of the registry and of its configuration.
func (x *Exchange) addConfigLocked(m *message) {
	m.RegistryEra, m.RegistryRevision = x.registry.Era, x.registry.Revision
	m.ConfigVersion, m.ConfigRevision = x.configs.version, x.configs.at.Revision
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
	written := directory.Version{Era: m.RegistryEra, Revision: m.ConfigRevision} // 0 if the sender does not know it
	return m.ConfigVersion > x.configs.version && x.configs.version > 0 && written.Revision > 0 && !x.configRead.Before(written)
}

// exchangeConfigs answers a peer that asks for a part of the configuration, and takes a part
// that was asked for.
func (x *Exchange) exchangeConfigs(from string, m *message, now time.Time) {
	x.mu.Lock()
	out, whole := x.exchangeConfigsLocked(m, now)
	to := from
	if m.Config == nil && len(out) > 0 {
		to = x.holderLocked(from, m.ConfigVersion, now)
	}
	x.mu.Unlock()
	for _, part := range out {
		x.send(&message{Incarnation: x.incarnation, Config: part}, map[string]bool{to: true})
	}
	if whole != nil {
		_ = level.Info(x.log).Log("msg", "configuration received", "peer", from, "version", m.Config.Version, "bytes", m.Config.Size, "of_bytes", len(whole), "base", m.Config.Base)
		x.options.OnConfig(whole, directory.Version{Era: m.Config.Era, Revision: m.Config.Revision})
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
		return x.takeLocked(part, now)
	case part != nil:
		return x.partsLocked(part), nil
	case m.ConfigVersion <= c.version || x.options.OnConfig == nil || now.Sub(c.asked) < configRetry:
		return nil, nil
	}
	if c.aheadSince.IsZero() {
		c.aheadSince = now
	}
	if !lost && now.Sub(c.aheadSince) < configDelay && x.rankLocked(now) >= 0 {
		return nil, nil
	}
	if c.fetching != m.ConfigVersion {
		c.fetching, c.fetched = m.ConfigVersion, nil
	}
	return c.ask(now), nil
}

// holderLocked returns the peer that is asked for a version: one of those with the links of the
// highest capacity that have it. from is known to have it.
func (x *Exchange) holderLocked(from string, version uint64, now time.Time) string {
	holders, best := []string{from}, 0.0
	if p := x.peers[from]; p != nil {
		best = p.capacity
	}
	for addr, p := range x.peers {
		if addr == from || p.configVersion != version || p.capacity < best || !p.alive(now, x.timeoutLocked()) {
			continue
		}
		if p.capacity > best {
			holders, best = nil, p.capacity
		}
		holders = append(holders, addr)
	}
	return holders[rand.IntN(len(holders))]
}

// textOf returns a configuration that is kept; nil if it is not.
func (c *configs) textOf(version uint64) []byte {
	if version == c.version {
		return c.text
	}
	return c.former[version]
}

// content returns what is sent to a peer that asks for a configuration, and the version of which
// it is the difference; 0 for none.
func (c *configs) content(asked *configPart) (content []byte, base uint64, err error) {
	text := c.textOf(asked.Version)
	if !asked.Encoded || text == nil {
		return text, 0, nil
	}
	if c.textOf(asked.Base) != nil {
		base = asked.Base
	}
	key := [2]uint64{asked.Version, base}
	content, ok := c.encoded[key]
	if !ok {
		if content, err = encodeConfig(text, c.textOf(base)); err != nil {
			return nil, 0, err
		}
		if c.encoded == nil {
			c.encoded = map[[2]uint64][]byte{}
		}
		c.encoded[key] = content
	}
	return content, base, nil
}

// partsLocked returns the parts that a peer asks for.
func (x *Exchange) partsLocked(asked *configPart) (out []*configPart) {
	content, base, err := x.configs.content(asked)
	if err != nil {
		_ = level.Error(x.log).Log("msg", "configuration not sent", "version", asked.Version, "err", err)
	}
	if asked.Offset < 0 {
		return nil
	}
	var written directory.Version // not that of a former configuration, after which there is a newer one
	if asked.Version == x.configs.version {
		written = x.configs.at
	}
	for at := asked.Offset; at < len(content) && len(out) < configBurst; at += configPartBytes {
		rest := content[at:]
		out = append(out, &configPart{
			Version: asked.Version, Offset: at, Size: len(content), Data: rest[:min(len(rest), configPartBytes)], Encoded: asked.Encoded, Base: base,
			Era: written.Era, Revision: written.Revision,
		})
	}
	return out
}

// ask returns the request for the next parts.
func (c *configs) ask(now time.Time) []*configPart {
	c.asked, c.burst = now, 0
	return []*configPart{{Version: c.fetching, Offset: len(c.fetched), Encoded: true, Base: c.version}}
}

// takeLocked adds a part. It returns the request for the next ones after the last of a burst and,
// after the last of all, the whole text.
func (x *Exchange) takeLocked(part *configPart, now time.Time) (next []*configPart, whole []byte) {
	c := &x.configs
	if part.Version != c.fetching || c.fetching <= c.version || part.Offset != len(c.fetched) || part.Size > maxConfigBytes {
		return nil, nil
	}
	c.fetched = append(c.fetched, part.Data...)
	c.asked = now
	c.burst++
	switch {
	case len(c.fetched) < part.Size && c.burst == configBurst:
		return c.ask(now), nil
	case len(c.fetched) < part.Size:
		return nil, nil
	}
	whole = c.fetched
	c.fetching, c.fetched = 0, nil
	if !part.Encoded {
		return nil, whole
	}
	whole, err := decodeConfig(whole, c.textOf(part.Base))
	if err != nil {
		_ = level.Warn(x.log).Log("msg", "configuration of a peer not readable", "version", part.Version, "base", part.Base, "err", err)
		return nil, nil
	}
	return nil, whole
}
