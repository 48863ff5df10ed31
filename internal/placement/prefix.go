package placement

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Bounds of a prefix index.
const (
	maxPrefixes = 4096
	maxHolders  = 4
)

// Hit is a server that probably caches a prefix of a prompt, and its length.
type Hit struct {
	Server int32
	Tokens int
}

// holders are the servers that computed a prefix most recently, the latest first.
type holders struct {
	servers [maxHolders]int32
	count   int
}

// PrefixIndex records which servers cache which prompt prefixes, from the requests
// that the entry sent. It is a hint: servers evict prefixes without notice.
type PrefixIndex struct {
	lru *simplelru.LRU[uint64, *holders]
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	lru, _ := simplelru.NewLRU[uint64, *holders](maxPrefixes, nil) // fails only for a size below 1
	return &PrefixIndex{lru: lru}
}

// Add records that a server caches the prefixes of a prompt, given as the result
// of PrefixHashes.
func (x *PrefixIndex) Add(prefixes []uint64, server int32) {
	for _, p := range prefixes {
		h, ok := x.lru.Get(p)
		if !ok {
			h = &holders{}
			x.lru.Add(p, h)
		}
		h.moveToFront(server)
	}
}

// Lookup appends to hits the servers that probably cache a prefix of the prompt. A
// server appears once for each of its prefixes.
func (x *PrefixIndex) Lookup(prefixes []uint64, hits []Hit) []Hit {
	for i, p := range prefixes {
		h, ok := x.lru.Peek(p)
		if !ok {
			break
		}
		for _, s := range h.servers[:h.count] {
			hits = append(hits, Hit{Server: s, Tokens: (i + 1) * pieceTokens})
		}
	}
	return hits
}

// moveToFront puts a server first and drops the oldest one beyond maxHolders.
func (h *holders) moveToFront(server int32) {
	at := h.count
	for i := range h.count {
		if h.servers[i] == server {
			at = i
		}
	}
	if at == h.count && h.count < maxHolders {
		h.count++
	}
	at = min(at, maxHolders-1)
	copy(h.servers[1:at+1], h.servers[:at])
	h.servers[0] = server
}
