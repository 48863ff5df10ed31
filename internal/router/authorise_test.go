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

// TestCallersWaitOutTheRegistry guards against callers that use up the few times that they
// return while the registry is still out of reach: a caller with 14 s returned after 0.5 s.
func TestCallersWaitOutTheRegistry(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		empty := &fleet{Router: router.New(directory.New(), f.servers, router.Options{}, nopLogger)}
		is.True(empty.call(context.Background(), "/stream/x").failure.RetryAfter < time.Second) // it has just started
		time.Sleep(time.Second)
		a := empty.call(context.Background(), "/stream/x")
		is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
		is.True(a.failure.RetryAfter > 4*time.Second)
		is.True(a.failure.RetryAfter <= 14*time.Second/3) // callers ignore a longer one
	})
}

// TestStaleKeysAreRefused guards against withdrawn keys that run while an entry can not read
// the registry, and against 401, which callers do not repeat, for a key that may be new.
func TestStaleKeysAreRefused(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		age, o := time.Duration(0), testOptions
		o.KeyAge, o.MaxKeyAge = func() time.Duration { return age }, 4500*time.Millisecond
		c := *f.directory.Current().Config
		c.Version, c.Keys = 2, apikey.NewTable[*directory.Organisation]()
		c.Keys.Add(apikey.Of("good"), &directory.Organisation{Name: "org"})
		f.directory.SetConfig(&c)
		r := router.New(f.directory, f.servers, o, nopLogger)
		for _, s := range []struct {
			key  string
			age  time.Duration
			want apierror.Kind
		}{
			{"good", time.Second, ""},
			{"good", 4 * time.Second, ""},
			{"good", 5 * time.Second, apierror.KindUnavailable},
			{"new", time.Second, apierror.KindUnauthenticated},
			{"new", 3 * time.Second, apierror.KindUnavailable},
			{"", 0, apierror.KindUnauthenticated},
		} {
			is := is.New(t)
			age = s.age
			call := newCall("/safe/x")
			call.Key = s.key
			a, got := serve(context.Background(), r, call), apierror.Kind("")
			if a.failure != nil {
				got = a.failure.Kind
				is.Equal(a.failure.Outcome, apierror.OutcomeNotRun)
			}
			is.Equal(got, s.want)
			is.Equal(r.KeysStale(), s.age > o.MaxKeyAge)
		}
	})
}
