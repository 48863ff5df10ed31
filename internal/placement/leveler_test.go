package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/placement"
)

// shares returns the fraction of choices that fall on each server.
func shares(servers []placement.LevelServer) []float64 {
	const draws = 100_000
	rnd := rand.New(rand.NewPCG(1, 2))
	out := make([]float64, len(servers))
	for range draws {
		out[placement.Leveler{}.Choose(rnd, servers)] += 1.0 / draws
	}
	return out
}

// TestLevelerFillsToOneLevel guards against choices that overfill the emptiest server, or
// use one above the level.
func TestLevelerFillsToOneLevel(t *testing.T) {
	is := is.NewRelaxed(t)
	nan := math.NaN()
	for _, tc := range []struct {
		name    string
		servers []placement.LevelServer
		want    []float64
	}{
		{"fresh: the emptiest", []placement.LevelServer{{1, 6, 0}, {0.5, 6, 0}, {2, 6, 0}}, []float64{0, 1, 0}},
		{"fresh: ties at random", []placement.LevelServer{{1, 6, 0}, {0.5, 6, 0}, {0.5, 6, 0}}, []float64{0, 0.5, 0.5}},
		{"nearly fresh", []placement.LevelServer{{1, 6, 0.1}, {0.5, 6, 0.1}, {2, 6, 0.1}}, []float64{0, 1, 0}},
		{"level between", []placement.LevelServer{{0, 2, 2}, {1, 2, 1}, {9, 2, 1}}, []float64{0.75, 0.25, 0}},
		{"old: even", []placement.LevelServer{{0, 6, 1e6}, {3, 6, 1e6}}, []float64{0.5, 0.5}},
		{"old: by capacity", []placement.LevelServer{{0, 6, 1e6}, {0, 12, 1e6}}, []float64{1.0 / 3, 2.0 / 3}},
		{"unseen too few to raise the level", []placement.LevelServer{{1e9, 6, 1e-12}, {2e9, 6, 0}}, []float64{1, 0}},
		{"no capacity", []placement.LevelServer{{0, 0, 1}, {5, 6, 1}}, []float64{0, 1}},
		{"not numbers", []placement.LevelServer{{nan, 6, 1}, {1, nan, 1}, {2, 6, 1}}, []float64{0, 0, 1}},
	} {
		for i, share := range shares(tc.servers) {
			if math.Abs(share-tc.want[i]) > 0.01 {
				t.Errorf("%s: server %d is chosen for %.3f of the requests, want %.3f", tc.name, i, share, tc.want[i])
			}
		}
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	is.Equal(placement.Leveler{}.Choose(rnd, nil), -1)
	is.Equal(placement.Leveler{}.Choose(rnd, []placement.LevelServer{{nan, nan, nan}}), 0)
	servers := levelServers(300, 20)
	is.Equal(testing.AllocsPerRun(100, func() { placement.Leveler{}.Choose(rnd, servers) }), 0.0)
}

// levelServers returns servers of random loads, the knowledge of which misses some requests
// each.
func levelServers(n int, unseen float64) []placement.LevelServer {
	rnd := rand.New(rand.NewPCG(3, 4))
	servers := make([]placement.LevelServer, n)
	for i := range servers {
		servers[i] = placement.LevelServer{Load: rnd.ExpFloat64(), Capacity: 6, Unseen: unseen}
	}
	return servers
}

func BenchmarkLeveler(b *testing.B) {
	for _, bc := range []struct {
		name   string
		n      int
		unseen float64
	}{{"6 fresh", 6, 0}, {"6", 6, 1}, {"45", 45, 1}, {"300", 300, 1}, {"300 nearly fresh", 300, 0.001}} {
		b.Run(bc.name, func(b *testing.B) {
			servers, rnd := levelServers(bc.n, bc.unseen), rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				placement.Leveler{}.Choose(rnd, servers)
			}
		})
	}
}
