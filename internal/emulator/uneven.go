package emulator

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
	"github.com/samphirestream/samphirestream/internal/router"
)

// Uneven describes servers that are not equally fast. Those of the first data centre run at
// SlowSpeed of the usual speed, and the others at FastSpeed.
type Uneven struct {
	// DataCentres is the number of data centres, over which servers and entries are spread;
	// 0 for servers that are all alike.
	DataCentres int     `yaml:"data_centres"`
	SlowSpeed   float64 `yaml:"slow_speed"`
	FastSpeed   float64 `yaml:"fast_speed"`
	// With the probability PaceShare, redrawn for each server every PaceInterval, work takes
	// Pace times as long.
	Pace         float64       `yaml:"pace"`
	PaceShare    float64       `yaml:"pace_share"`
	PaceInterval time.Duration `yaml:"pace_interval"`
	// Unstated servers do not state their pace, and Alone entries do not share what they
	// observe of the speeds of single servers.
	Unstated bool `yaml:"unstated"`
	Alone    bool `yaml:"alone"`
}

// centreOf returns the data centre of a server or an entry.
func (u *Uneven) centreOf(i int) string {
	if u.DataCentres == 0 {
		return dataCentre
	}
	return fmt.Sprint(dataCentre, "-", i%u.DataCentres)
}

// pace returns how long work takes at a server at a time, in multiples of the usual, apart
// from its own speed, and the time until which that holds.
func (u *Uneven) pace(seed uint64, id string, now time.Time) (pace float64, until time.Time) {
	if u.PaceInterval == 0 {
		return 1, now.Add(time.Hour)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	begin := now.Truncate(u.PaceInterval)
	pace = 1
	if rand.New(rand.NewPCG(seed^h.Sum64(), uint64(begin.UnixNano()))).Float64() < u.PaceShare {
		pace = u.Pace
	}
	return pace, begin.Add(u.PaceInterval)
}

// end returns the time at which work ends that begins at a time and usually takes d.
func (s *server) end(begin time.Time, d time.Duration) time.Time {
	left := float64(d) / s.speed
	for {
		pace, until := s.engine.Uneven.pace(s.seed, s.id, begin)
		if took := time.Duration(left * pace); begin.Add(took).Before(until) {
			return begin.Add(took)
		}
		left -= float64(until.Sub(begin)) / pace
		begin = until
	}
}

// entryServers are the servers as one entry reaches them. Their answers state their pace.
type entryServers struct {
	*servers
	router *router.Router
}

func (s *entryServers) observe(o *router.OutgoingCall, sent time.Time) {
	at := s.byID[o.Server.ID]
	u := &at.engine.Uneven
	if u.PaceInterval == 0 || u.Unstated {
		return
	}
	now := time.Now()
	pace, _ := u.pace(at.seed, at.id, now)
	s.router.Observe(o.Server, advisory.Notice{Pace: pace, ToRequest: true, Sent: sent, Received: now})
}

// Prefill implements router.Servers.
func (s *entryServers) Prefill(ctx context.Context, o *router.OutgoingCall) (*router.Handle, *router.Reply, error) {
	sent := time.Now()
	h, reply, err := s.servers.Prefill(ctx, o)
	if err == nil {
		s.observe(o, sent)
	}
	return h, reply, err
}

// Call implements router.Servers.
func (s *entryServers) Call(ctx context.Context, o *router.OutgoingCall) (*router.Reply, error) {
	sent := time.Now()
	reply, err := s.servers.Call(ctx, o)
	if err == nil {
		s.observe(o, sent)
	}
	return reply, err
}

// aloneHandler hides what an entry has observed of single servers.
type aloneHandler struct{ *router.Router }

// ServerSpeeds implements loadexchange.Handler.
func (aloneHandler) ServerSpeeds([]string) map[string]loadexchange.ServerSpeeds { return nil }
