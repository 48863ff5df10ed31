package router_test

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// TestStreamsStayAtTheServiceThatBeganThem guards against streams that a change of a route's
// shares sends on to a service with other weights, whose software has the same version, or away
// from one that still may serve them.
func TestStreamsStayAtTheServiceThatBeganThem(t *testing.T) {
	for name, tc := range map[string]struct {
		llm    float64 // the new weight
		killed bool
	}{
		"the weights change":                        {0.01, false},
		"the weights change and all entries end":    {0.01, true},
		"the route moves":                           {0, false},
		"the route moves and all entries end first": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 3, func(t *testing.T, g *region) {
				is := is.New(t)
				setWeights := func(llm, other float64) {
					for _, d := range g.directories {
						splitResumableRoute(d, llm, other)
					}
				}
				g.servers.setAll(decodeServers, versioned("llm", 0, rand.New(rand.NewPCG(1, 1))))
				g.servers.set("e1", versioned("other", 0, rand.New(rand.NewPCG(1, 1))))
				setWeights(1, 0)
				streams := g.beginStreams(6, func() {})
				if tc.killed {
					g.killAll(func(*directory.Directory) {})
				}
				setWeights(tc.llm, 1)
				begun, same, mixed := g.takeUpAll(streams)
				is.Equal(begun, len(streams))
				is.Equal(mixed, 0)
				if tc.llm > 0 {
					is.Equal(same, begun)
				}
				unknown := newCall("/resumable/x")
				unknown.Resumes, unknown.LastEvent = "begun-by-any", "3"
				for _, c := range []*router.Call{takeUp(streams[0].call, "id: "), unknown} {
					if a := serve(context.Background(), g.entries[0], c); a.starts > 0 {
						is.True(c != unknown && tc.llm > 0)
					} else {
						is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
					}
				}
			})
		})
	}
}
