package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestStreamsAreRememberedForTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		time.Sleep(Retention / 2)
		is.True(table.Put(KeyOf("a"), Origin{Software: "v1"}))
		is.True(!table.Put(KeyOf("a"), Origin{Software: "v1"}))
		is.True(!table.Put(KeyOf("a"), Origin{Software: "v2"}))
		time.Sleep(Retention - time.Second)
		got, ok := table.Get(KeyOf("a"))
		is.True(ok)
		is.Equal(got.Software, "v1")
		for range 4 {
			time.Sleep(Retention)
			_, _ = table.Get(KeyOf("b"))
		}
		_, ok = table.Get(KeyOf("a"))
		is.True(!ok)
		is.Equal(len(table.present)+len(table.former), 0)
	})
}

func TestWaitEndsWhenTheStreamBecomesKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		time.AfterFunc(time.Second, func() { table.Put(KeyOf("b"), Origin{Software: "v2"}) })
		time.AfterFunc(2*time.Second, func() { table.Put(KeyOf("a"), Origin{Software: "v1"}) })
		began := time.Now()
		got, ok := table.Wait(context.Background(), KeyOf("a"))
		is.True(ok)
		is.Equal(got.Software, "v1")
		is.Equal(time.Since(began), 2*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, ok = table.Wait(ctx, KeyOf("c"))
		is.True(!ok)
	})
}
