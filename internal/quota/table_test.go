package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// newPair returns the table of an entry that has known one peer for long, with a full bucket of
// 1,000 tokens a second.
func newPair() (*Table, time.Time) {
	t, now := NewTable(start, false), start
	t.Configure(now, 1, []Limit{{"org", 1000, 1000}})
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		t.Receive(now, "p", 1, 1, nil, 2, false)
		t.Tick(now)
	}
	return t, now
}

func (t *Table) levelAt(now time.Time) float64 { return t.State(now).Rows[0].Level }

// TestRequestsAreAdmittedWhileTheLevelIsAboveZero guards against requests larger than the burst
// that never fit, and against a wait that is too short or too long.
func TestRequestsAreAdmittedWhileTheLevelIsAboveZero(t *testing.T) {
	is := is.New(t)
	q, now := newPair()
	is.True(q.Charge(now, "org", 3000).Admitted)
	d := q.Charge(now, "org", 10)
	is.True(!d.Admitted && d.Limited)
	is.Equal(d.Wait.Round(time.Millisecond), 2*time.Second)
	q.Refund(now, "org", 3000)
	is.True(q.Charge(now, "org", 10).Admitted)
	is.Equal(q.Charge(now, "other", 1e9), Decision{Admitted: true})
	is.Equal(q.News(now), []Use{{Name: "org", Sum: 10, Added: 10}})
	is.Equal(len(q.News(now)), 0)
}

// TestSumsAreChargedOnce guards against use that lost, repeated or reordered messages charge
// twice or not at all, and against sums of an unknown past.
func TestSumsAreChargedOnce(t *testing.T) {
	is := is.New(t)
	q, now := newPair()
	for _, c := range []struct {
		incarnation int64
		seq         uint64
		use         Use
		level       float64
	}{
		{1, 10, Use{Name: "org", Sum: 90_000, Added: 100}, 900}, // the first sum: only what is new
		{1, 12, Use{Name: "org", Sum: 90_300, Added: 100}, 600}, // 11 was lost
		{1, 11, Use{Name: "org", Sum: 90_200, Added: 100}, 600}, // it was late
		{1, 13, Use{Name: "org", Sum: 90_250}, 650},             // a refund
		{2, 1, Use{Name: "org", Sum: 50}, 600},                  // a new life begins at 0
	} {
		q.Receive(now, "p", c.incarnation, c.seq, []Use{c.use}, 2, false)
		is.Equal(q.levelAt(now), c.level)
	}
}

// TestLowerLimitsCutTheLevel guards against a burst of the former limit after a lower one.
func TestLowerLimitsCutTheLevel(t *testing.T) {
	is := is.New(t)
	q, now := newPair()
	q.Configure(now, 2, []Limit{{"org", 100, 200}})
	is.Equal(q.levelAt(now), 200.0)
	q.Configure(now, 1, []Limit{{"org", 1000, 1000}}) // an older version
	is.Equal(q.State(now).Rows[0].Rate, 100.0)
	q.Configure(now, 3, nil)
	is.True(!q.Limited())
	is.True(q.Charge(now, "org", 1e6).Admitted)
}

// TestStartsEmptyAndAdoptsALevel guards against an entry that gives the burst again after each of
// its starts, and one that refuses until its bucket has filled although the fleet's is full.
func TestStartsEmptyAndAdoptsALevel(t *testing.T) {
	is := is.New(t)
	old, now := newPair()
	q := NewTable(now, false)
	q.Configure(now, 1, []Limit{{"org", 1000, 1000}})
	is.True(!q.Charge(now, "org", 1).Admitted)
	is.True(q.Levels(now) == nil) // it has nothing to give
	q.Adopt(now, "p", old.Levels(now))
	is.Equal(q.State(now).Rows[0].Level, 31.0) // of 32 assumed entries
	is.Equal(q.State(now).Rows[0].Reserve, 969.0)
	q.Adopt(now, "p", &Levels{Config: 1, Steps: []byte{0}})
	is.Equal(q.State(now).Rows[0].Reserve, 969.0) // once only
}

// TestSilentPeersKeepTheirPart guards against groups of a partition that each use the whole
// quota, and against a part that is lost once they are in contact again.
func TestSilentPeersKeepTheirPart(t *testing.T) {
	is := is.New(t)
	q, now := newPair()
	q.Charge(now, "org", 900)
	now = now.Add(time.Second)
	q.Tick(now)
	row := q.State(now).Rows[0]
	is.True(row.Level <= 500) // half of the burst
	is.Equal(row.Level+row.Reserve, 1000.0)
	q.Receive(now, "p", 1, 9, []Use{{Name: "org", Sum: 200, Added: 200}}, 2, false)
	is.Equal(q.levelAt(now), row.Level) // from its own part
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		q.Receive(now, "p", 1, 9, nil, 2, false)
		q.Tick(now)
	}
	is.Equal(q.State(now).Rows[0].Reserve, 0.0)
	is.Equal(q.levelAt(now), 1000.0)
	q.Receive(now, "p", 1, 10, nil, 2, true) // leaves
	q.Tick(now)
	is.Equal(q.State(now).Known, 1)
	is.Equal(q.levelAt(now), 1000.0)
}

// TestLateTicksDoNotEndContact guards against refusals on a machine whose processor is busy for
// some tenths of a second, and against the whole level after a longer stop.
func TestLateTicksDoNotEndContact(t *testing.T) {
	for late, heard := range map[time.Duration]int{300 * time.Millisecond: 2, 500 * time.Millisecond: 2, time.Minute: 1} {
		is := is.New(t)
		q, now := newPair()
		q.Tick(now.Add(late))
		is.Equal(q.State(now).Heard, heard)
		q.Tick(now.Add(late + 500*time.Millisecond))
		q.Tick(now.Add(late + 550*time.Millisecond))
		is.Equal(q.State(now).Heard, 1) // no message came
	}
}

// TestUnknownEntriesOfPeersCount guards against an entry that starts during a partition and takes
// its group for the whole fleet.
func TestUnknownEntriesOfPeersCount(t *testing.T) {
	is := is.New(t)
	q, now := newPair()
	q.Receive(now, "p", 1, 9, nil, 10, false)
	q.Tick(now)
	is.Equal(q.State(now).Known, 10)
	is.Equal(q.levelAt(now), 200.0)
}
