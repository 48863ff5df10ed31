package router_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/memnet"
	"github.com/samphirestream/samphirestream/internal/router"
)

// malformed draws messages as a faulty peer may send them: the fields have the types of the
// exchange, and values that no entry sends.
type malformed struct{ *rand.Rand }

func pick[T any](m malformed, list ...T) T { return list[m.IntN(len(list))] }

func (m malformed) integer() int64 {
	return pick(m, 0, 1, -1, 700, 5000, math.MaxInt64, math.MinInt64, math.MaxInt64/1000, m.Int64())
}

func (m malformed) float() float64 {
	return pick(m, 0, 1, -1, 0.5, 1e300, 1e-300, math.NaN(), math.Inf(1), math.Inf(-1))
}

func (m malformed) name() string {
	return pick(m, "", "a1", "d1", "d2", "d3", "p1", "llm", "app", "\xff\xfe", "10.0.0.9:7000", "nowhere", "1.2.3.4:99999")
}

func (m malformed) list(item func() any) []any {
	out := []any{}
	for range m.IntN(4) {
		out = append(out, item())
	}
	return out
}

func (m malformed) byName(item func() any) map[string]any {
	out := map[string]any{}
	for range m.IntN(4) {
		out[m.name()] = item()
	}
	return out
}

// fields draws some of the fields 1 to n of a message.
func (m malformed) fields(n int, item func() any) map[int]any {
	out := map[int]any{}
	for i := 1; i <= n; i++ {
		if m.IntN(2) == 0 {
			out[i] = item()
		}
	}
	return out
}

func (m malformed) integers(n int) any { return m.fields(n, func() any { return m.integer() }) }

func (m malformed) usage() any {
	u := map[int]any{1: m.integer(), 2: m.integer(), 3: m.list(func() any { return m.integers(3) }), 4: m.integer(), 5: m.IntN(2) == 0, 6: m.list(func() any { return m.integer() }), 7: m.integer(), 8: m.integer()}
	if m.IntN(2) == 0 {
		u[9], u[10] = map[int]any{1: m.float(), 2: m.integer(), 3: m.integer()}, m.integer()
	}
	return u
}

func (m malformed) speeds() any {
	return m.fields(3, func() any { return m.fields(5, func() any { return m.float() }) })
}

// message draws a message with a sequence number.
func (m malformed) message(seq int) any {
	digest := []byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	out := map[int]any{1: m.IntN(3), 2: seq, 3: m.IntN(2) == 0, 14: uint64(m.Int64()), 9: uint64(m.IntN(3)), 10: uint64(m.Int64())}
	optional := map[int]func() any{
		4:  func() any { return m.list(func() any { return m.name() }) },
		5:  func() any { return m.byName(m.usage) },
		6:  func() any { return m.IntN(8) == 0 },
		8:  func() any { return m.byName(m.speeds) },
		11: func() any { return m.byName(func() any { return m.list(func() any { return m.integers(2) }) }) },
		12: func() any { return m.byName(func() any { return m.list(func() any { return m.Uint64() }) }) },
		13: func() any { return m.list(func() any { return m.Uint64() }) },
		15: func() any {
			return map[int]any{1: uint64(m.Int64()), 2: m.integer(), 3: m.integer(), 4: pick(m, nil, []byte{}, []byte{1})}
		},
		16: func() any {
			return m.list(func() any {
				return map[int]any{1: m.name(), 2: m.integer(), 3: m.name(), 4: m.integer(), 5: m.list(func() any {
					return m.fields(3, func() any { return pick[any](m, nil, []any{digest[:8]}, []any{}, digest) })
				})}
			})
		},
		17: func() any { return m.list(func() any { return map[int]any{1: digest[:m.IntN(17)], 2: m.integer()} }) },
		18: func() any {
			return map[int]any{1: m.Uint64(), 2: m.IntN(2) == 0, 3: m.Uint64(), 4: m.Uint64(), 5: m.integer()}
		},
	}
	for field, value := range optional {
		if m.IntN(3) == 0 {
			out[field] = value()
		}
	}
	return out
}

// TestMalformedMessagesDoNotEndTheProcess guards against a datagram of a faulty peer that ends
// the process, or after which it serves nobody although the peer is silent and the servers
// have started again.
func TestMalformedMessagesDoNotEndTheProcess(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := malformed{rand.New(rand.NewPCG(seed, 100))}
			network := memnet.New(memnet.EntryLatency)
			const self = "10.0.0.1:7000"
			x := loadexchange.New(network.Listen(self), loadexchange.Options{Self: self, OnConfig: func([]byte, directory.Version) {}, OnRegistry: func(directory.Version) {}}, nopLogger)
			f := &fleet{servers: newFakeServers(), directory: newDirectory()}
			o := testOptions
			o.Peers = x
			f.Router = router.New(f.directory, f.servers, o, nopLogger)
			x.SetHandler(f.Router)
			f.servers.setAll(decodeServers, ok("id: 1\n\n"))
			ctx, cancel := context.WithCancel(context.Background())
			go x.Run(ctx)
			faulty := network.Listen("10.0.0.9:7000")
			to, err := net.ResolveUDPAddr("udp", self)
			is.NoErr(err)
			for i := range 2000 {
				b, err := cbor.Marshal(m.message(i + 1))
				is.NoErr(err)
				if m.IntN(4) == 0 {
					b[m.IntN(len(b))] ^= 1 << m.IntN(8)
				}
				_, err = faulty.WriteTo(b, to)
				is.NoErr(err)
				time.Sleep(time.Millisecond)
				if i%200 == 0 {
					f.call(ctx, "/safe/x")
					f.call(ctx, "/stream/x")
				}
			}
			time.Sleep(time.Minute) // what the peer reported has expired
			for _, s := range f.directory.Current().Servers {
				next := *s // what it reported of servers belongs to their boots
				next.Started = 99
				is.True(f.directory.Put(&next))
			}
			is.Equal(f.call(ctx, "/safe/x").status, 200)
			is.Equal(f.call(ctx, "/stream/x").status, 200)
			cancel()
			network.Close()
			time.Sleep(time.Minute)
		})
	}
}
