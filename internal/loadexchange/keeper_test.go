package loadexchange

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/origin"
)

// TestKeepersAreToldOfManyStreams guards against a report on more streams than one datagram
// holds, which is not sent at all.
func TestKeepersAreToldOfManyStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		x := New(n.Listen("10.0.0.1:1"), Options{Self: "10.0.0.1:1"}, log.NewNopLogger())
		k := NewKeeper(n.Listen("10.0.1.1:1"), log.NewNopLogger())
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { k.Run(ctx) })
		const streams = 1200
		var keys []origin.Key
		for i := range streams {
			keys = append(keys, origin.KeyOf(fmt.Sprint(i)))
		}
		x.TellKeeper("10.0.1.1:1", map[origin.Origin][]origin.Key{{Software: "v1"}: keys})
		time.Sleep(time.Second)
		told := k.Streams()
		stop()
		n.Close()
		running.Wait()
		is.Equal(told, streams)
	})
}

// TestKeepersDoNotAnswerEachOther guards against two keepers that answer each other's answers
// without end once a datagram bears the address of one of them.
func TestKeepersDoNotAnswerEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		conn := n.Listen("10.0.1.1:1")
		keepers := []*Keeper{NewKeeper(conn, log.NewNopLogger()), NewKeeper(n.Listen("10.0.1.2:1"), log.NewNopLogger())}
		var sent atomic.Int64
		n.SetDrop(func(string, string) bool { return sent.Add(1) > 10 })
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, k := range keepers {
			running.Go(func() { k.Run(ctx) })
		}
		b, err := encode(&message{Incarnation: 1, Seq: 1})
		is.NoErr(err)
		_, err = conn.WriteTo(b, net.UDPAddrFromAddrPort(netip.MustParseAddrPort("10.0.1.2:1")))
		is.NoErr(err)
		time.Sleep(time.Second)
		stop()
		n.Close()
		running.Wait()
		is.Equal(sent.Load(), int64(2)) // the question and one answer
	})
}
