package standin

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirestream/samphirestream/internal/engine"
	"github.com/samphirestream/samphirestream/internal/protocol"
)

// maxCacheEvents is the number of recent cache events that an engine keeps.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of the prompt prefixes, in whole pieces, whose KV
// cache is in memory, with a log of its changes.
type prefixCache struct {
	eventLag time.Duration // events are reported when they are this old
	eventGap uint64        // events whose Seq is a multiple of it are lost; 0 loses none

	mu  sync.Mutex
	lru *simplelru.LRU[uint64, struct{}]
	seq uint64
	log []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newPrefixCache(pieces int, lag time.Duration, gap uint64) *prefixCache {
	c := &prefixCache{eventLag: lag, eventGap: gap}
	c.lru, _ = simplelru.NewLRU(max(pieces, 1), func(prefix uint64, _ struct{}) {
		c.logEvent(prefix, false)
	})
	return c
}

// PrefixHashes returns the hash of each whole-piece prefix of a prompt, the
// shortest prefix first.
func PrefixHashes(model, prompt string) []uint64 {
	words := strings.Fields(prompt)
	h := xxhash.New()
	_, _ = h.WriteString(model)
	var out []uint64
	for i, w := range words {
		_, _ = h.WriteString(w + " ")
		if (i+1)%protocol.PieceTokens == 0 {
			out = append(out, h.Sum64())
		}
	}
	return out
}

// cachedTokens returns the length of the longest cached prefix of a prompt.
func (c *prefixCache) cachedTokens(model, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range PrefixHashes(model, prompt) {
		if _, ok := c.lru.Get(p); !ok {
			break
		}
		n += protocol.PieceTokens
	}
	return n
}

// addPrompt adds the prefixes of a prompt to the cache.
func (c *prefixCache) addPrompt(model, prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range PrefixHashes(model, prompt) {
		if !c.lru.Contains(p) {
			c.logEvent(p, true)
		}
		c.lru.Add(p, struct{}{})
	}
}

// logEvent appends an event to the log, except each eventGap-th, which is lost.
func (c *prefixCache) logEvent(prefix uint64, stored bool) {
	c.seq++
	if c.eventGap > 0 && c.seq%c.eventGap == 0 {
		return
	}
	ev := engine.CacheEvent{Seq: c.seq, Prefix: prefix, Stored: stored}
	c.log = append(c.log, timedEvent{time.Now(), ev})
	if len(c.log) > maxCacheEvents {
		c.log = c.log[1:]
	}
}

// events returns the events after a sequence number that are at least eventLag
// old.
func (c *prefixCache) events(after uint64) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []engine.CacheEvent{}
	for _, e := range c.log {
		if e.event.Seq > after && time.Since(e.at) >= c.eventLag {
			out = append(out, e.event)
		}
	}
	return out
}
