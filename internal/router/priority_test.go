package router_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apikey"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/router"
)

// TestServersGetPrioritiesOnlyWhereTheyDiffer guards deployments without priorities against
// a new header, and calls against the priority of the wrong one of organisation and route.
func TestServersGetPrioritiesOnlyWhereTheyDiffer(t *testing.T) {
	rank := func(n int) *int { return &n }
	for _, c := range []struct {
		name          string
		organisations []*directory.Organisation
		change        func(routes []directory.Route)
		path          string // of a call by the first organisation
		want          string
	}{
		{"none", nil, func([]directory.Route) {}, "/stream/x", "none"},
		{"route of the same service", nil, func(r []directory.Route) { r[3].Priority = 4 }, "/resumable/x", "4"},
		{"the more urgent route", nil, func(r []directory.Route) { r[3].Priority = 4 }, "/stream/x", "0"},
		{"beyond those of servers", nil, func(r []directory.Route) { r[2].Priority = 12 }, "/stream/x", "9"},
		{"only another service", nil, func(r []directory.Route) { r[0].Priority = 4 }, "/stream/x", "none"},
		{"one organisation", []*directory.Organisation{{Priority: rank(7)}}, func([]directory.Route) {}, "/stream/x", "none"},
		{"organisations", []*directory.Organisation{{Priority: rank(7)}, {Priority: rank(2)}}, func([]directory.Route) {}, "/stream/x", "7"},
		{"organisation without one", []*directory.Organisation{{}, {Priority: rank(2)}}, func(r []directory.Route) { r[2].Priority = 1 }, "/stream/x", "1"},
		{"public route", []*directory.Organisation{{Priority: rank(7)}}, func(r []directory.Route) { r[2].Public, r[2].Priority = true, 3 }, "/stream/x", "3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				is := is.New(t)
				config := *f.directory.Current().Config
				config.Version++
				config.Routes = append([]directory.Route(nil), config.Routes...)
				c.change(config.Routes)
				if c.organisations != nil {
					config.Keys = apikey.NewTable[*directory.Organisation]()
				}
				for i, o := range c.organisations {
					config.Keys.Add(apikey.Of(fmt.Sprint("key", i)), o)
				}
				f.directory.SetConfig(&config)
				var got []string // of the prefill and the decode
				f.servers.arrived = func(o *router.OutgoingCall) {
					got = append(got, "none")
					if o.Priority != nil {
						got[len(got)-1] = fmt.Sprint(*o.Priority)
					}
				}
				f.servers.setAll(decodeServers, ok("id: 1\ndata: x\n\n"))
				call := newCall(c.path)
				call.Key = "key0"
				is.Equal(serve(context.Background(), f.Router, call).failure, nil)
				is.Equal(got, []string{c.want, c.want})
			})
		})
	}
}

// compete makes the routes of the model differ in priority.
func (f *fleet) compete() {
	config := *f.directory.Current().Config
	config.Version++
	config.Routes = slices.Clone(config.Routes)
	config.Routes[3].Priority = 4
	f.directory.SetConfig(&config)
}

// fill lets other entries use up the memory of decode servers; empty frees it.
func (f *fleet) fill(ids []string, prompt int) {
	for _, id := range ids {
		f.SetRemoteUsage(id, []loadexchange.Usage{{Runs: []loadexchange.Run{{Prompt: prompt, Answer: 20_000, Began: time.Now()}}}})
	}
}

// TestPrefilledPromptsWaitForRoom guards against a prefill in vain when the decode server
// refuses and the others have room soon, within the life of the prefill result. A request
// that waits for the same memory must not get it first.
func TestPrefilledPromptsWaitForRoom(t *testing.T) {
	for _, competing := range []bool{false, true} {
		withFleet(t, func(t *testing.T, f *fleet) {
			is := is.New(t)
			if competing {
				f.compete()
			}
			first, others := decodeServers[0], decodeServers[1:]
			f.servers.setAll(decodeServers, ok("id: 1\ndata: x\n\n"))
			f.servers.set(first, refuses)
			f.fill(others, 60_000)
			time.AfterFunc(prefillTime+20*time.Millisecond, func() {
				f.fill([]string{first}, 60_000)
				f.call(context.Background(), "/stream/second")
			})
			time.AfterFunc(prefillTime+200*time.Millisecond, func() { f.fill(others[:1], 31_000) })
			a := f.call(context.Background(), "/stream/first")
			is.Equal(a.failure, nil)
			calls := f.servers.recorded()
			prefills := slices.DeleteFunc(slices.Clone(calls), func(c string) bool { return !strings.HasPrefix(c, "prefill") })
			is.Equal(len(prefills), 1) // the second request found no room yet
			is.Equal(calls[len(calls)-1], others[0])
			time.Sleep(2 * time.Second)
		})
	}
}

// TestNoPrefillForADecodeServerThatIsGone guards against a second prefill while the decode
// server that was to follow has left during the first, and no other has room.
func TestNoPrefillForADecodeServerThatIsGone(t *testing.T) {
	for _, room := range []bool{false, true} {
		withFleet(t, func(t *testing.T, f *fleet) {
			is := is.New(t)
			f.servers.setAll(decodeServers, ok("id: 1\ndata: x\n\n"))
			f.fill(decodeServers[1:], 60_000)
			for _, id := range prefillServers {
				f.servers.prefills[id] = func(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
					if len(f.servers.recorded()) > 1 {
						return nil, nil
					}
					f.directory.Remove(decodeServers[0], 0)
					if room {
						f.fill(decodeServers[1:2], 0)
					}
					return refuses(ctx, o)
				}
			}
			a := f.call(context.Background(), "/stream/x")
			is.Equal(a.failure == nil, room)
			is.Equal(len(f.servers.recorded()), map[bool]int{false: 1, true: 3}[room])
		})
	}
}

// TestRefusalsAreCountedByCaller guards against metrics that grow with organisations which
// the configuration no longer has, and that hold keys.
func TestRefusalsAreCountedByCaller(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		config := *f.directory.Current().Config
		set := func(organisation string) {
			config.Version++
			next := config
			next.Keys = apikey.NewTable[*directory.Organisation]()
			next.Keys.Add(apikey.Of("secret"), &directory.Organisation{Name: organisation})
			f.directory.SetConfig(&next)
			f.fill(decodeServers, 62_000)
			call := newCall("/stream/x")
			call.Key = "secret"
			is.True(serve(context.Background(), f.Router, call).failure != nil)
		}
		for _, organisation := range []string{"left", "present"} {
			set(organisation)
			var text strings.Builder
			metrics.WriteText(&text)
			is.True(strings.Contains(text.String(), `samphirestream_refused_by{set="router",priority="0",organisation="`+organisation+`"} 1`))
			is.True(!strings.Contains(text.String(), "secret"))
			is.Equal(strings.Count(text.String(), "samphirestream_refused_by{"), 1)
		}
	})
}
