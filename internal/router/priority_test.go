package router_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apikey"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// TestServersGetPrioritiesOnlyWhereTheyDiffer guards deployments without priorities against
// a new header, and calls against the priority of the wrong one of organisation and route.
func TestServersGetPrioritiesOnlyWhereTheyDiffer(t *testing.T) {
	rank := func(n int) *int { return &n }
	all := func(path string) string { return fmt.Sprintf("prefill %s, decode %s", path, path) }
	for _, c := range []struct {
		name          string
		organisations []*directory.Organisation
		change        func(routes []directory.Route)
		path          string // of a call by the first organisation
		want          string
	}{
		{"none", nil, func([]directory.Route) {}, "/stream/x", all("none")},
		{"route of the same service", nil, func(r []directory.Route) { r[3].Priority = 4 }, "/resumable/x", all("4")},
		{"the more urgent route", nil, func(r []directory.Route) { r[3].Priority = 4 }, "/stream/x", all("0")},
		{"beyond those of servers", nil, func(r []directory.Route) { r[2].Priority = 12 }, "/stream/x", all("9")},
		{"only another service", nil, func(r []directory.Route) { r[0].Priority = 4 }, "/stream/x", all("none")},
		{"one organisation", []*directory.Organisation{{Priority: rank(7)}}, func([]directory.Route) {}, "/stream/x", all("none")},
		{"organisations", []*directory.Organisation{{Priority: rank(7)}, {Priority: rank(2)}}, func([]directory.Route) {}, "/stream/x", all("7")},
		{"organisation without one", []*directory.Organisation{{}, {Priority: rank(2)}}, func(r []directory.Route) { r[2].Priority = 1 }, "/stream/x", all("1")},
		{"public route", []*directory.Organisation{{Priority: rank(7)}}, func(r []directory.Route) { r[2].Public, r[2].Priority = true, 3 }, "/stream/x", all("3")},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				config := *f.directory.Current().Config
				config.Version++
				config.Routes = append([]directory.Route(nil), config.Routes...)
				c.change(config.Routes)
				for i, o := range c.organisations {
					if config.Keys == nil {
						config.Keys = apikey.NewTable[*directory.Organisation]()
					}
					config.Keys.Add(apikey.Of(fmt.Sprint("key", i)), o)
				}
				f.directory.SetConfig(&config)
				got := map[string]string{"prefill": "none", "decode": "none"}
				f.servers.arrived = func(o *router.OutgoingCall) {
					stage := "prefill"
					if o.Source != nil {
						stage = "decode"
					}
					if o.Priority != nil {
						got[stage] = fmt.Sprint(*o.Priority)
					}
				}
				f.servers.setAll(decodeServers, ok("id: 1\ndata: x\n\n"))
				call := newCall(c.path)
				call.Key = "key0"
				is.Equal(serve(context.Background(), f.Router, call).failure, nil)
				is.Equal(fmt.Sprintf("prefill %s, decode %s", got["prefill"], got["decode"]), c.want)
			})
		})
	}
}
