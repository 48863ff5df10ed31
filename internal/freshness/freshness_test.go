package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAgeCountsFromTheLatestConfirmation guards against confirmations that arrive out of
// order and make old knowledge look fresh, or fresh knowledge old.
func TestAgeCountsFromTheLatestConfirmation(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	r := NewRecord(func() time.Duration { return now })
	is.Equal(r.Age(), Never)
	r.Confirm(8 * time.Second)
	is.Equal(r.Age(), 2*time.Second)
	r.Confirm(3 * time.Second)
	is.Equal(r.Age(), 2*time.Second)
	now = 14 * time.Second
	is.Equal(r.Age(), 6*time.Second)
	r.Confirm(14 * time.Second)
	is.Equal(r.Age(), time.Duration(0))
}

func TestBootClockAdvances(t *testing.T) {
	is := is.New(t)
	before := BootClock()
	time.Sleep(2 * time.Millisecond)
	is.True(BootClock() > before)
}
