package release

import (
	"fmt"
	"strings"
	"testing"
)

// largeNote returns a note that adds one model and a number of backend servers.
func largeNote(servers int) string {
	var b strings.Builder
	b.WriteString("schema: samphirestream/v1\nnumber: 1\nadded:\n  models:\n    - {name: reader, version: \"1\", window_tokens: 64000}\n  backend_servers:\n")
	for i := range servers {
		fmt.Fprintf(&b, "    - {name: dc-a-decode-%d, data_centre: dc-a, region: coast, agent: \"10.0.%d.%d:7000\", role: decode, models: [reader@1]}\n", i, i/250, i%250)
	}
	return b.String()
}

// BenchmarkParse parses notes of one, 100 and 3200 servers.
func BenchmarkParse(b *testing.B) {
	for _, servers := range []int{1, 100, 3200} {
		raw := []byte(largeNote(servers))
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkApply applies a note that withdraws one server to the state of a large
// fleet.
func BenchmarkApply(b *testing.B) {
	first, err := Parse([]byte(largeNote(3200)))
	if err != nil {
		b.Fatal(err)
	}
	state, err := EmptyState().Apply(first)
	if err != nil {
		b.Fatal(err)
	}
	next, err := Parse([]byte("schema: samphirestream/v1\nnumber: 2\nprevious: " + first.Digest + "\nwithdrawn: {backend_servers: [dc-a-decode-7]}\n"))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := state.Apply(next); err != nil {
			b.Fatal(err)
		}
	}
}
