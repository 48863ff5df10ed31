package loadexchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// withKeeper runs a test in virtual time with an entry and a keeper that counts the orders that it
// gives.
func withKeeper(t *testing.T, give func(o StageOrder) error, test func(x *Exchange, k *Keeper, given *atomic.Int64, drop func(func(from, to string) bool))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		x := New(n.Listen("10.0.0.1:1"), Options{Self: "10.0.0.1:1"}, log.NewNopLogger())
		x.SetHandler(ignored{})
		k := NewKeeper(n.Listen("10.0.1.1:1"), log.NewNopLogger())
		began, given := time.Now(), &atomic.Int64{}
		k.now = func() time.Duration { return time.Since(began) }
		k.SetOrders(func(_ context.Context, o StageOrder) error { given.Add(1); return give(o) })
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { k.Run(ctx) })
		running.Go(func() { x.Run(ctx) })
		defer func() { stop(); n.Close(); running.Wait(); time.Sleep(time.Minute) }()
		test(x, k, given, n.SetDrop)
	})
}

// An order must not be lost with a datagram, nor given twice since one was sent again.
func TestOrdersAreGivenOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		lost   int // one datagram in so many is lost; 0: none
		answer error
		slow   time.Duration
	}{
		"usual": {0, nil, 0}, "datagrams lost": {2, nil, 0}, "more of them": {3, nil, 0}, "refused": {2, errors.New("another order"), 0}, "a slow server": {3, nil, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			give := func(o StageOrder) error {
				is.Equal(o.Server, "i-1")
				is.Equal(o.To, directory.Decode)
				time.Sleep(tc.slow)
				return tc.answer
			}
			withKeeper(t, give, func(x *Exchange, _ *Keeper, given *atomic.Int64, drop func(func(from, to string) bool)) {
				sent := atomic.Int64{}
				drop(func(string, string) bool {
					const mix = 0x9e3779b97f4a7c15 // Knuth's multiplicative hash
					return tc.lost > 0 && uint64(sent.Add(1))*mix>>32%uint64(tc.lost) == 0
				})
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				err := x.Order(ctx, "10.0.1.1:1", StageOrder{Server: "i-1", To: directory.Decode})
				is.Equal(err != nil, tc.answer != nil)
				time.Sleep(time.Second)
				is.Equal(given.Load(), int64(1))
			})
		})
	}
}

// Senders that don't receive at their address, and old orders, must have no effect.
func TestOrdersWithoutAPermitAreNotGiven(t *testing.T) {
	withKeeper(t, func(StageOrder) error { return nil }, func(_ *Exchange, k *Keeper, given *atomic.Int64, _ func(func(from, to string) bool)) {
		is := is.New(t)
		entry, other := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1}, &net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 1}
		send := func(from net.Addr, permit uint64) uint64 {
			k.applyOrder(t.Context(), from, &orderPart{ID: 1, Permit: permit, Order: &StageOrder{Server: "i-1"}})
			time.Sleep(time.Millisecond)
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.permits[permitKey{from.String(), 1}].nonce
		}
		nonce := send(entry, 0)
		send(entry, nonce+2)
		send(other, nonce)
		time.Sleep(permitTTL + time.Millisecond)
		is.True(send(entry, nonce) != nonce)
		is.Equal(given.Load(), int64(0))
		send(entry, send(entry, 0))
		is.Equal(given.Load(), int64(1))
	})
}
