package emulator

import (
	"context"
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// sampleInterval is the interval at which the load of the servers is sampled: a fraction of
// the time of a prefill.
const sampleInterval = 20 * time.Millisecond

// samples are the loads of all servers, sampled while requests arrive.
type samples struct {
	prefill []float64 // milliseconds until the queue is empty
	decode  []float64 // runs
}

// sample samples the servers from the end of the warm-up until no more requests arrive.
func (f *Fleet) sample(ctx context.Context, out *samples) {
	began, l := time.Now(), &f.options.Load
	if !sleep.WithContext(ctx, l.WarmUp) {
		return
	}
	for time.Since(began) < l.Duration {
		for _, s := range f.servers.byID {
			s.mu.Lock()
			switch s.stage {
			case directory.Prefill:
				out.prefill = append(out.prefill, max(0, time.Until(s.freeAt).Seconds()*1000))
			case directory.Decode:
				out.decode = append(out.decode, float64(len(s.runs)))
			}
			s.mu.Unlock()
		}
		if !sleep.WithContext(ctx, sampleInterval) {
			return
		}
	}
}

// spread returns the 99th percentile of loads over their mean; 0 without load.
func spread(loads []float64) float64 {
	const share = 0.99
	sum := 0.0
	for _, l := range loads {
		sum += l
	}
	if sum == 0 {
		return 0
	}
	slices.Sort(loads)
	return loads[int(share*float64(len(loads)-1))] * float64(len(loads)) / sum
}
