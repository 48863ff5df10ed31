package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

func TestReportKeepsOnlyRecentSends(t *testing.T) {
	is := is.New(t)
	s := &Server{}
	slot := Use{Slots: 1, Pieces: 2}
	s.RecordSend(second, slot)
	s.RecordSend(second+20*time.Millisecond, slot)
	s.RecordReport(second+21*time.Millisecond, Report{SlotsUsed: 5, SlotsTotal: 20})
	is.Equal(s.SlotsUsed(), 6) // the second send may be missing from the report
	s.RecordReport(second+40*time.Millisecond, Report{SlotsUsed: 6, SlotsTotal: 20})
	is.Equal(s.SlotsUsed(), 6)
}

func TestLocalSlotsAreALowerBound(t *testing.T) {
	is := is.New(t)
	s := &Server{}
	for i := range 4 {
		s.RecordSend(time.Duration(i)*second, Use{Slots: 1})
		s.RecordReport(time.Duration(i)*second+second/2, Report{SlotsTotal: 20}) // a report that never includes the sends
	}
	is.Equal(s.SlotsUsed(), 4)
}

func TestWaitDrains(t *testing.T) {
	is := is.New(t)
	s := &Server{}
	s.RecordReport(0, Report{QueuedTokens: 4000}) // 200 ms at the assumed rate
	is.Equal(s.WaitMillis(0), 200.0)
	is.Equal(s.WaitMillis(150*time.Millisecond), 50.0)
	is.Equal(s.WaitMillis(second), 0.0)
}

func TestReservationIncludesExpectedReleases(t *testing.T) {
	for _, c := range []struct {
		name             string
		capacity         DecodeCapacity
		timeToPrefillEnd time.Duration
		want             bool
	}{
		{"free slot", DecodeCapacity{SlotsTotal: 20, PiecesTotal: 100, SlotsUsed: 19}, 0, true},
		{"full now", DecodeCapacity{SlotsTotal: 20, PiecesTotal: 100, SlotsUsed: 20, MeanDuration: 4 * second}, 0, false},
		{"free by then", DecodeCapacity{SlotsTotal: 20, PiecesTotal: 100, SlotsUsed: 20, PiecesUsed: 60, MeanDuration: 4 * second}, 400 * time.Millisecond, true},
		{"reserved already", DecodeCapacity{SlotsTotal: 20, PiecesTotal: 100, SlotsUsed: 20, PiecesUsed: 60, SlotsReserved: 2, MeanDuration: 4 * second}, 400 * time.Millisecond, false},
		{"no memory", DecodeCapacity{SlotsTotal: 20, PiecesTotal: 100, SlotsUsed: 10, PiecesUsed: 99, MeanDuration: 4 * second}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(CanReserve(c.capacity, 3, c.timeToPrefillEnd, ReservationConfidence), c.want)
		})
	}
}

func TestCachedPrefixIsWeighedAgainstQueue(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	rnd := rand.New(rand.NewPCG(1, 1))
	holder, other := &Server{ID: 1}, &Server{ID: 2}
	r := &Request{PromptTokens: 6000, Hits: []Hit{{Server: 1, Tokens: 4000}}}
	c, ok := p.ChoosePrefill(rnd, r, []*Server{holder, other})
	is.True(ok)
	is.Equal(c.Index, 0)
	holder.RecordReport(0, Report{QueuedTokens: 5000}) // 250 ms, more than the 200 ms saved
	c, _ = p.ChoosePrefill(rnd, r, []*Server{holder, other})
	is.Equal(c.Index, 1)
}

func TestPreferredFiltersAreIgnoredWithoutAlternative(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	slow := &Server{}
	slow.RecordReport(second, Report{SlotsTotal: 20, PiecesTotal: 100})
	slow.ObserveStep(second, 100*time.Millisecond, 74*time.Millisecond)
	fast := &Server{ID: 1}
	fast.RecordReport(second, Report{SlotsUsed: 15, SlotsTotal: 20, PiecesTotal: 100})
	rnd := rand.New(rand.NewPCG(1, 1))
	r := &Request{Now: second, Pieces: 2, AnswerTokens: 80}
	c, _ := p.Decode.Choose(rnd, r, []*Server{slow, fast})
	is.Equal(c.Index, 1)
	fast.Unavailable = true
	c, ok := p.Decode.Choose(rnd, r, []*Server{slow, fast})
	is.True(ok)
	is.Equal(c.Index, 0)
}

func TestProvidersYieldToUnmetDemandWithFewerSlots(t *testing.T) {
	is := is.New(t)
	var s FairShares
	for range 5 {
		s.Acquire("flood", 1)
	}
	is.True(!s.MustYield(0, "flood", 1)) // no other provider has unmet demand
	s.RecordUnmetDemand(0, "quiet", 1)
	is.True(s.MustYield(0, "flood", 1))
	is.True(!s.MustYield(0, "quiet", 1))
	is.True(!s.MustYield(second, "flood", 1)) // the demand has expired
}

func TestPrefixHashesCountWholePieces(t *testing.T) {
	is := is.New(t)
	words := make([]byte, 0, 2*2*pieceTokens)
	for range 2 * pieceTokens {
		words = append(words, "w "...)
	}
	all := PrefixHashes("m", string(words))
	is.Equal(len(all), 2)
	is.Equal(len(PrefixHashes("m", string(words[:len(words)-1]))), 2)
	is.Equal(PrefixHashes("m", string(words[:2*pieceTokens])), all[:1])
	is.True(PrefixHashes("other", string(words))[0] != all[0])
}

func TestDecliningServerIsExcludedForAWhile(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	s := &Server{}
	s.RecordDecline(second)
	rnd := rand.New(rand.NewPCG(1, 1))
	_, ok := p.ChoosePrefill(rnd, &Request{Now: second, PromptTokens: 100}, []*Server{s})
	is.True(!ok)
	_, ok = p.ChoosePrefill(rnd, &Request{Now: 2 * second, PromptTokens: 100}, []*Server{s})
	is.True(ok)
}
