package directory

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestConfigVersionsOnlyIncrease(t *testing.T) {
	is := is.New(t)
	d := New()
	changed := d.Changed()
	is.True(d.SetConfig(&Config{Version: 4}))
	<-changed // closed by the change
	is.True(!d.SetConfig(&Config{Version: 3}))
	is.True(!d.SetConfig(&Config{Version: 4}))
	is.Equal(d.Current().Config.Version, uint64(4))
	is.True(d.SetConfig(&Config{Version: 9}))
}

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	d := New()
	d.SetConfig(&Config{Version: 1, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/yz": "short"} {
		is.Equal(d.Current().Route("A.example", path).Name, want)
	}
	is.Equal(d.Current().Route("a.example", "/z"), nil)
	is.Equal(d.Current().Route("c.example", "/x/1"), nil)
}

func TestServicesReceiveTheirSharesOnAverage(t *testing.T) {
	is := is.New(t)
	r := Route{Shares: []TrafficShare{{"a", 90}, {"b", 10}}}
	n := map[string]int{}
	for i := range 10_000 {
		n[r.Service(strconv.Itoa(i))]++
	}
	is.True(n["b"] > 800 && n["b"] < 1200)
	is.Equal(r.Service("same"), r.Service("same"))
	is.Equal((&Route{}).Service("x"), "")
}

func TestOlderRegistrationsAreIgnored(t *testing.T) {
	is := is.New(t)
	d := New()
	is.True(d.Put(&Server{ID: "s", Service: "svc", Draining: true, Version: Version{Revision: 7}}))
	is.True(!d.Put(&Server{ID: "s", Service: "svc", Version: Version{Revision: 5}}))
	is.True(d.Current().Servers["s"].Draining)
	is.Equal(len(d.Current().Services["svc"]), 1)
}

func TestExpiredRegistrationsReturnOrAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New()
		for _, id := range []string{"returns", "stays away", "left"} {
			d.Put(&Server{ID: id, Service: "svc"})
		}
		d.Remove("left", 0)
		is.Equal(len(d.Current().Servers), 2) // at once
		d.Remove("returns", 2*time.Second)
		d.Remove("stays away", 2*time.Second)
		time.Sleep(time.Second)
		d.Remove("stays away", 2*time.Second) // a second removal adds no time
		d.Put(&Server{ID: "returns", Service: "svc", Version: Version{Revision: 2}})
		is.Equal(len(d.Expire(time.Now())), 0)
		time.Sleep(1100 * time.Millisecond)
		is.Equal(d.Expire(time.Now()), []string{"stays away"})
		is.Equal(len(d.Current().Servers), 1)
		is.True(d.Current().Servers["returns"] != nil)
	})
}

// TestRoutesWithAnyPrefixAreFound compares the index of routes with its definition, also for
// prefixes that do not end with a slash.
func TestRoutesWithAnyPrefixAreFound(t *testing.T) {
	is := is.New(t)
	prefixes := []string{"", "/", "/a", "/a/", "/a/b", "/a/b/", "/a/b/c/", "/ab", "/ab/", "b/"}
	for subset := range 1 << len(prefixes) {
		d := New()
		c := &Config{Version: 1}
		for i, p := range prefixes {
			if subset&(1<<i) != 0 {
				c.Routes = append(c.Routes, Route{Host: "h", Prefix: p})
			}
		}
		d.SetConfig(c)
		for _, path := range []string{"", "/", "/a", "/a/", "/a/b", "/a/b/", "/a/b/c/d", "/a/bc", "/ab/c", "/b", "b/c", "x"} {
			want := -1
			for i, r := range c.Routes {
				if strings.HasPrefix(path, r.Prefix) && (want < 0 || len(r.Prefix) > len(c.Routes[want].Prefix)) {
					want = i
				}
			}
			got := d.Current().Route("H", path)
			is.Equal(got != nil, want >= 0)
			is.True(got == nil || got.Prefix == c.Routes[want].Prefix)
		}
	}
}
