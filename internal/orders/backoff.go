package orders

import (
	"math/rand/v2"
	"time"
)

// Bounds on the delay before an order is retried.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// backoff returns the delay after a number of consecutive failures. It grows
// exponentially up to maxBackoff, with jitter over its upper half.
func backoff(failures int, rnd *rand.Rand) time.Duration {
	d := maxBackoff
	if shift := failures - 1; shift < 16 {
		d = min(maxBackoff, minBackoff<<max(0, shift))
	}
	return d/2 + time.Duration(rnd.Int64N(int64(d/2)))
}
