package advisory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func limit(perSecond float64) *float64 { return &perSecond }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// notice returns a notice to a request that was sent and answered at the given seconds.
func notice(sent, received int, l *float64) Notice {
	return Notice{Limit: l, ToRequest: true, Sent: start.Add(time.Duration(sent) * time.Second), Received: start.Add(time.Duration(received) * time.Second)}
}

func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	is := is.New(t)
	s := &State{}
	s.Record(notice(0, 2, limit(3)))
	s.Record(notice(1, 3, nil)) // sent before the limit was received
	is.True(s.Advice().Limited)
	toOrder := notice(4, 5, nil)
	toOrder.ToRequest = false
	s.Record(toOrder)
	is.True(s.Advice().Limited)
	s.Record(notice(5, 6, nil))
	is.True(!s.Advice().Limited)
}

func TestAnswersThatWereOvertakenCannotRaiseALimit(t *testing.T) {
	is := is.New(t)
	s := &State{}
	s.Record(notice(0, 2, limit(3)))
	s.Record(notice(1, 3, limit(9)))
	is.Equal(s.Advice().Limit, 3.0)
	s.Record(notice(1, 3, limit(2)))
	is.Equal(s.Advice().Limit, 2.0)
	s.Record(notice(4, 5, limit(9)))
	is.Equal(s.Advice().Limit, 9.0)
	is.Equal(s.Advice().LimitSince, start.Add(2*time.Second))
}

func TestEachBootHasItsOwnState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.State(Boot{"a", 1}).Record(Notice{Leaving: true, Received: start})
		is.True(table.State(Boot{"a", 1}).Advice().Leaving())
		is.True(!table.State(Boot{"a", 2}).Advice().Leaving())
		time.Sleep(2 * retention)
		table.State(Boot{"a", 2})
		time.Sleep(2 * retention)
		table.State(Boot{"a", 2})
		is.True(len(table.states) < 3) // a boot that is long gone is forgotten
	})
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	for _, l := range []float64{0.3, 1, 3.3, 7.8, 40, 1e12} {
		for _, entries := range []int{1, 2, 5, 33, 330} {
			is := is.New(t)
			sum, senders := 0.0, 0
			for rank := range entries {
				if s := EntryShare(l, rank, entries); s > 0 {
					sum += s
					senders++
				}
			}
			is.True(sum <= l*1.0001 && sum >= l*0.9999)
			is.True(senders == 1 || sum/float64(senders) >= 0.5/senderTime.Seconds()) // none waits long for its turn
		}
	}
	is.New(t).Equal(EntryShare(0, 0, 5), minRate) // an end of the limit is received
}

// TestLimitsOfWhichNothingIsHeardEnd guards against an entry without a share that missed the
// end of a limit and would never send to the server again.
func TestLimitsOfWhichNothingIsHeardEnd(t *testing.T) {
	is := is.New(t)
	s := &State{}
	s.Record(notice(0, 1, limit(0.5)))
	none := func(float64) float64 { return 0 }
	is.True(!s.Admits(start.Add(limitTTL), none))
	is.True(s.Admits(start.Add(2*limitTTL), none))
	s.Record(notice(200, 201, limit(0.5)))
	is.True(!s.Admits(start.Add(202*time.Second), none))
}

func TestQuietTimeSavesUpLittle(t *testing.T) {
	is := is.New(t)
	s := &State{}
	s.Record(notice(0, 1, limit(2)))
	whole := func(l float64) float64 { return EntryShare(l, 0, 1) }
	is.True(!s.Take(start.Add(time.Second), whole)) // starts empty
	now := start.Add(limitTTL)
	is.True(s.Admits(now, whole))
	is.True(s.Take(now, whole))
	is.True(!s.Take(now, whole))
	is.True(!s.Take(now.Add(499*time.Millisecond), whole))
	is.True(s.Take(now.Add(501*time.Millisecond), whole))
}
