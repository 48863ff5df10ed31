// Package returning keeps the work of callers that were refused and told to come back, so that
// those refused later are told to come after them. It uses no clock and no locks.
package returning

import (
	"slices"
	"time"
)

// Callers are those that have not come back yet. The zero value has none.
type Callers []caller

// caller will come back at a time, with work that takes up all servers for some time.
type caller struct{ at, work time.Duration }

// Add records that a caller will come back at a time.
func (c *Callers) Add(at, work time.Duration) { *c = append(*c, caller{at, work}) }

// Work returns the work of those that have not come back at a time, and forgets the others.
func (c *Callers) Work(now time.Duration) time.Duration {
	*c = slices.DeleteFunc(*c, func(o caller) bool { return o.at <= now })
	sum := time.Duration(0)
	for _, o := range *c {
		sum += o.work
	}
	return sum
}
