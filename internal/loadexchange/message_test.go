package loadexchange

import (
	"fmt"
	"testing"
	"time"
)

// changeMessage returns the message of one change at a server with some runs.
func changeMessage(runs int) *message {
	u := Usage{PrefillTokens: 5000}
	for i := range runs {
		u.Runs = append(u.Runs, Run{Prompt: 5000 + i, Answer: 5000, Age: 1500, Began: time.Now()})
	}
	return &message{Incarnation: time.Now().UnixMilli(), Seq: 100_000, Uses: map[string]Usage{"i-0123456789": u}}
}

// BenchmarkChange measures the encoding and decoding of the message of one change.
func BenchmarkChange(b *testing.B) {
	for _, runs := range []int{1, 4} {
		b.Run(fmt.Sprintf("runs%d", runs), func(b *testing.B) {
			m := changeMessage(runs)
			size := 0
			for b.Loop() {
				data, err := encode(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if _, err := decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
