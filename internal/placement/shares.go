package placement

import "time"

// demandTTL is the time for which a refusal for lack of capacity counts as unmet
// demand of its provider. An entry that still needs the slot retries within it.
const demandTTL = 60 * time.Millisecond

// FairShares tracks the slots that providers use at one decode server and divides
// them fairly by weight, since the entries do not see each other's queues.
type FairShares struct {
	list []share
}

type share struct {
	provider    string
	weight      float64
	held        int
	demandUntil time.Duration
}

// Acquire records that a provider of a weight started to use a slot.
func (s *FairShares) Acquire(provider string, weight float64) {
	x := s.find(provider)
	x.weight = weight
	x.held++
}

// Release records that a provider released a slot, and removes the providers that use
// no slot and have no unmet demand.
func (s *FairShares) Release(now time.Duration, provider string) {
	s.find(provider).held--
	kept := s.list[:0]
	for _, x := range s.list {
		if x.held > 0 || x.demandUntil > now {
			kept = append(kept, x)
		}
	}
	s.list = kept
}

// RecordUnmetDemand records that a provider was refused a slot for lack of capacity.
func (s *FairShares) RecordUnmetDemand(now time.Duration, provider string, weight float64) {
	x := s.find(provider)
	x.weight = weight
	x.demandUntil = now + demandTTL
}

// MustYield reports whether a provider must leave the next slot to another one: one
// with unmet demand which, with that slot, would not exceed this provider's number
// of slots per weight.
func (s *FairShares) MustYield(now time.Duration, provider string, weight float64) bool {
	held := 0
	for _, x := range s.list {
		if x.provider == provider {
			held = x.held
		}
	}
	slotsPerWeight := float64(held) / weight
	for _, x := range s.list {
		if x.provider != provider && x.demandUntil > now && float64(x.held+1)/x.weight <= slotsPerWeight {
			return true
		}
	}
	return false
}

func (s *FairShares) find(provider string) *share {
	for i := range s.list {
		if s.list[i].provider == provider {
			return &s.list[i]
		}
	}
	s.list = append(s.list, share{provider: provider, weight: 1})
	return &s.list[len(s.list)-1]
}
