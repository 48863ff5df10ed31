package origin

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func versionKeepers(software string, n int, leaving bool) []Keeper {
	out := make([]Keeper, n)
	for i := range out {
		out[i] = Keeper{Addr: fmt.Sprint(software, "-", i), Software: software, Leaving: leaving}
	}
	return out
}

// TestKeepersAreFoundAgain guards against streams whose keepers are not among those asked after
// the servers have changed.
func TestKeepersAreFoundAgain(t *testing.T) {
	two := slices.Concat(versionKeepers("v1", 9, false), versionKeepers("v2", 9, false))
	for name, tc := range map[string]struct {
		told, asked []Keeper
		software    string
		gone        int // one VM in so many ends; 0: none
		lost        float64
	}{
		"unchanged":           {two, two, "v1", 0, 0},
		"the version leaves":  {two, slices.Concat(versionKeepers("v1", 9, true), two[9:]), "v1", 0, 0},
		"another version new": {two[:9], two, "v1", 0, 0},
		"one VM in three":     {two, two, "v2", 3, 0.02},
		"a third of one":      {two[:9], two[:9], "v1", 3, 0.02},
		"first of a version":  {two[:10], two[:10], "v2", 0, 0},
		"few of a version":    {two[:12], two[:12], "v2", 3, 0.02},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const streams = 1000
			lost := 0
			for i := range streams {
				k := KeyOf(fmt.Sprint("stream", i))
				told := KeepersOf(k, tc.software, tc.told)
				is.Equal(len(told), keepers)
				left := Asked(k, tc.asked)
				if tc.gone > 0 {
					left = slices.DeleteFunc(left, func(addr string) bool { return uint64(KeyOf(fmt.Sprint(i, addr)))%uint64(tc.gone) == 0 })
				}
				if !slices.ContainsFunc(told, func(addr string) bool { return slices.Contains(left, addr) }) {
					lost++
				}
			}
			is.True(float64(lost) <= tc.lost*streams)
		})
	}
}

// TestServersOnOneVMCountOnce guards against a stream with fewer keepers than it should have.
func TestServersOnOneVMCountOnce(t *testing.T) {
	is := is.New(t)
	all := versionKeepers("v1", 6, false)
	for _, k := range all {
		all = append(all, Keeper{Addr: k.Addr, Software: "v1"}, Keeper{Addr: k.Addr, Software: "v2", Leaving: true})
	}
	got := KeepersOf(KeyOf("stream"), "v1", all)
	slices.Sort(got)
	is.Equal(len(slices.Compact(got)), keepers)
}

// TestKeepersAreFoundAmongNewServers guards against streams whose keepers are not asked since
// servers of their version have registered while all entries were down.
func TestKeepersAreFoundAmongNewServers(t *testing.T) {
	v1, v2 := versionKeepers("v1", 9, false), versionKeepers("v2", 30, false)
	for name, tc := range map[string]struct{ told, asked []Keeper }{
		"a release goes on, and the former version leaves": {slices.Concat(v1, v2[:1]), v2[:9]},
		"a release grows":                 {slices.Concat(v1, v2[:5]), slices.Concat(v1, v2)},
		"a release grows to today's size": {slices.Concat(v1[:5], v2[:4]), slices.Concat(v1[:2], v2[:9])},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const streams = 1000
			lost := 0
			for i := range streams {
				k := KeyOf(fmt.Sprint("stream", i))
				told, asked := KeepersOf(k, "v2", tc.told), slices.Concat(Asked(k, tc.asked), AskedNext(k, tc.asked))
				if !slices.ContainsFunc(told, func(addr string) bool { return slices.Contains(asked, addr) }) {
					lost++
				}
			}
			t.Log(lost, "of", streams, "not found")
			is.Equal(lost, 0)
		})
	}
}
