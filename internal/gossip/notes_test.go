package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
)

// silentTransport drops all datagrams.
type silentTransport struct{}

func (silentTransport) Send(string, []byte) {}

// TestClaimAheadOfTheOwnHeadIsCheckedForAFork has a peer claim a note that this process
// learns later, with other content.
func TestClaimAheadOfTheOwnHeadIsCheckedForAFork(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	n := New(Config{
		Self: membership.Member{Name: "self", Addr: "10.0.0.1:1"}, DataCentre: "dc", Key: []byte("key"), Store: release.NewStore(),
		Transport: silentTransport{}, Rand: rand.New(rand.NewPCG(1, 1)), Log: log.NewNopLogger(), Now: now, Tuning: DefaultTuning(),
	})
	raw, err := yaml.Marshal(release.Note{Schema: release.Schema, Number: 1, Summary: "this branch"})
	is.NoErr(err)
	claim := head{Number: 1}
	copy(claim.Digest[:], "another digest")
	for range 2 {
		n.recordHead("10.0.0.2:1", &packet{From: "peer", DataCentre: "dc", Head: claim})
	}
	is.Equal(n.count.Forks.Value(), int64(0))
	is.NoErr(n.apply(raw, "service"))
	is.Equal(n.count.Forks.Value(), int64(1))
	n.recordHead("10.0.0.2:1", &packet{From: "peer", DataCentre: "dc", Head: claim})
	is.Equal(n.count.Forks.Value(), int64(1)) // reported once
}
