package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/apikey"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// withQuota gives the fleet an organisation with the key "key" and a quota, and one without.
func (f *fleet) withQuota(version uint64, q directory.Quota) {
	c := *f.directory.Current().Config
	c.Version, c.Keys, c.Organisations = version, apikey.NewTable[*directory.Organisation](), nil
	for _, o := range []*directory.Organisation{{Name: "org", Quota: q}, {Name: "free"}} {
		c.Organisations = append(c.Organisations, o)
		c.Keys.Add(apikey.Of(map[string]string{"org": "key", "free": "free"}[o.Name]), o)
	}
	f.directory.SetConfig(&c)
}

func (f *fleet) callWith(key, path string) *recordedAnswer {
	c := newCall(path)
	c.Key = key
	return serve(context.Background(), f.Router, c)
}

func (f *fleet) own() int64 { return f.Snapshot().Quotas.Rows[0].Own }

// TestQuotaRefusesWhatIsOverIt guards against organisations that get more than their quota, a
// delay after which the request is refused again, and refusals of organisations without one.
func TestQuotaRefusesWhatIsOverIt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.servers.setAll(decodeServers, ok(events))
		f.withQuota(2, directory.Quota{Rate: 10_000, Burst: 10_000, PerToken: true, PlainTokens: 200})
		is.True(f.callWith("key", "/safe/x").failure != nil) // buckets start empty
		time.Sleep(time.Second)
		is.Equal(f.callWith("key", "/stream/x").status, 200) // 14,000 tokens
		before := len(f.servers.recorded())
		refused := f.callWith("key", "/stream/x").failure
		is.Equal(refused.Kind, apierror.KindQuotaExceeded)
		is.Equal(refused.Status(), 429)
		is.Equal(refused.Outcome, apierror.OutcomeNotRun)
		is.True(refused.RetryAfter > 20*time.Millisecond && refused.RetryAfter < 700*time.Millisecond)
		is.Equal(len(f.servers.recorded()), before)
		is.Equal(f.callWith("free", "/stream/x").status, 200)
		is.Equal(f.own(), int64(14_000))
		time.Sleep(refused.RetryAfter)
		is.Equal(f.callWith("key", "/safe/x").status, 200)
		is.Equal(f.own(), int64(14_000+5000+9000)) // the headers of the call name tokens
		f.withQuota(3, directory.Quota{})
		is.Equal(f.callWith("key", "/stream/x").status, 200)
		is.True(f.Snapshot().Quotas == nil)
	})
}

// TestRequestsThatDoNotRunAreRefunded guards against quotas that are used up by refusals.
func TestRequestsThatDoNotRunAreRefunded(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.withQuota(2, directory.Quota{Rate: 100, Burst: 100})
		f.callWith("key", "/safe/x") // puts the quota in force
		time.Sleep(time.Second)
		for _, c := range []struct {
			behaviour behaviour
			path      string
			charged   int64
		}{{refuses, "/once/x", 0}, {unanswered, "/once/x", 1}, {fails(500), "/once/x", 2}, {ok("ok"), "/once/x", 3}, {refuses, "/stream/x", 3}} {
			f.servers.setAll(plainServers, c.behaviour)
			f.servers.setAll(decodeServers, c.behaviour)
			f.callWith("key", c.path)
			is.Equal(f.own(), c.charged)
			time.Sleep(time.Second)
		}
	})
}

// publishing counts the messages that are published at once.
type publishing struct {
	*recordingPeers
	published int
}

func (p *publishing) PublishQuotas() { p.published++ }

// TestUseOfModelsIsPublishedAtOnce guards against other entries that learn of large use late.
func TestUseOfModelsIsPublishedAtOnce(t *testing.T) {
	withPeers(t, func(t *testing.T, f *fleet, p *recordingPeers) {
		is := is.New(t)
		peers := &publishing{recordingPeers: p}
		o := testOptions
		o.Peers = peers
		f.Router = router.New(f.directory, f.servers, o, nopLogger)
		f.servers.setAll(decodeServers, ok(events))
		f.withQuota(2, directory.Quota{Rate: 1_000_000, Burst: 1_000_000, PerToken: true})
		f.callWith("key", "/stream/x")
		time.Sleep(time.Second)
		before := peers.published
		f.callWith("key", "/stream/x")
		is.Equal(peers.published, before+1)
		f.callWith("free", "/stream/x")
		is.Equal(peers.published, before+1)
	})
}
