package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
)

// TestEachServerHasFailoverFromAnotherRegion has three data centres in one region and two in
// another. Each server of the first is connected to from a data centre of the second.
func TestEachServerHasFailoverFromAnotherRegion(t *testing.T) {
	is := is.New(t)
	regions := map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
	var servers []release.BackendServer
	for dc, region := range regions {
		for i := range 40 {
			servers = append(servers, release.BackendServer{Name: fmt.Sprint(dc, "-", i), DataCentre: dc, Region: region, Role: release.RoleDecode})
		}
	}
	covered := map[string]bool{}
	for dc, region := range regions {
		v := &membership.View{Entries: []string{dc + "-entry"}, RemoteEntries: map[string][]string{}}
		for other := range regions {
			if other != dc {
				v.RemoteEntries[other] = []string{other + "-entry"}
			}
		}
		e := &Entry{cfg: Config{
			Self: protocol.NodeRef{Node: dc + "-entry"}, DataCentre: dc, Region: region, Membership: func() *membership.View { return v },
		}}
		for _, s := range e.subset(servers) {
			covered[s.Name] = covered[s.Name] || s.Region != region
		}
	}
	for _, s := range servers {
		is.True(covered[s.Name])
	}
}
