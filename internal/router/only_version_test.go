package router_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// replaceDecodeServers replaces the decode servers in a directory by others of a version.
func (g *region) replaceDecodeServers(d *directory.Directory, software string) {
	for _, id := range decodeServers {
		s := *d.Current().Servers[id]
		s.ID, s.Software = id+"-"+software, software
		s.Version.Revision++
		d.Remove(id, 0)
		d.Put(&s)
		g.servers.set(s.ID, versioned(software, 0, rand.New(rand.NewPCG(1, 1))))
	}
}

// setResumableTimeout puts a configuration in force with another time limit of the resumable
// route.
func setResumableTimeout(d *directory.Directory, limit time.Duration) {
	c := *d.Current().Config
	c.Version++
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		if c.Routes[i].Resumable {
			c.Routes[i].Timeout = limit
		}
	}
	d.SetConfig(&c)
}

// TestTheOnlyVersionDoesNotOutweighARecord guards against entries that take the only version
// that they know for the one that began a stream, although other processes have it recorded.
func TestTheOnlyVersionDoesNotOutweighARecord(t *testing.T) {
	for name, change := range map[string]func(g *region) []*begunStream{
		"a shorter time limit of the route": func(g *region) []*begunStream {
			streams := g.beginStreams(20, func() {})
			for _, d := range g.directories {
				setResumableTimeout(d, 2*time.Second)
				g.replaceDecodeServers(d, "v2")
			}
			time.Sleep(3 * time.Second)
			return streams
		},
		"an entry cut off from the registry": func(g *region) []*begunStream {
			for _, d := range g.directories[1:] {
				g.replaceDecodeServers(d, "v2")
			}
			time.Sleep(15 * time.Second)
			all := g.entries
			g.entries = all[:1]
			streams := g.beginStreams(10, func() {})
			g.entries = all[1:]
			return streams
		},
		"an entry cut off from the registry and the other processes": func(g *region) []*begunStream {
			time.Sleep(directory.RoleTTL + time.Second) // only v1 counts now
			g.registries[4].unreachable.Store(true)
			g.network.SetDrop(func(from, to string) bool { return from == entryAddr(4) || to == entryAddr(4) })
			for _, d := range g.directories[:4] {
				g.replaceDecodeServers(d, "v2")
			}
			all := g.entries
			g.entries = all[:4]
			streams := g.beginStreams(10, func() {})
			g.entries = all[4:]
			return streams
		},
		"an entry that reads the registry late": func(g *region) []*begunStream {
			g.stop[4]()
			d := newConfiguredDirectory()
			g.start(4, d, false)
			time.Sleep(time.Second)
			all := g.entries
			g.entries = all[:4]
			streams := g.beginStreams(10, func() {})
			for _, s := range g.directories[0].Current().Servers {
				d.Put(s)
			}
			g.replaceDecodeServers(d, "v2")
			d.ConfirmWholeRead(time.Now(), true)
			g.entries = all[4:]
			time.Sleep(12900 * time.Millisecond)
			return streams
		},
		"a version that came and left while an entry was paused": func(g *region) []*begunStream {
			former := map[string]directory.Server{}
			for _, id := range decodeServers {
				former[id] = *g.directories[0].Current().Servers[id]
			}
			for _, d := range g.directories {
				g.replaceDecodeServers(d, "v2")
			}
			time.Sleep(15 * time.Second)
			var paused []directory.Change // what the others read in one answer
			for id, s := range former {
				g.directories[0].Put(&s)
				paused = append(paused, directory.Change{Put: &s}, directory.Change{ID: id})
			}
			all := g.entries
			g.entries = all[:1]
			streams := g.beginStreams(30, func() {})
			g.entries = all[1:]
			for _, d := range g.directories[1:] {
				d.Apply(paused)
			}
			return streams
		},
	} {
		t.Run(name, func(t *testing.T) {
			withRegion(t, 5, func(t *testing.T, g *region) {
				is := is.New(t)
				g.serveVersions(map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"})
				begun, same, mixed := g.takeUpAll(change(g))
				t.Logf("of %d streams %d went on at their version, %d at another", begun, same, mixed)
				is.True(begun > 0)
				is.Equal(mixed, 0)
			})
		})
	}
}
