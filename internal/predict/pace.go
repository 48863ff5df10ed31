package predict

import "time"

// paceValidity is the time after which a stated pace says nothing. The state that a pace
// describes is redrawn every 600 ms where it was measured, at a time that is not known: the
// probability that it still holds falls linearly to 0 within that time.
const paceValidity = 600 * time.Millisecond

// MaxPace is the greatest pace that is taken to be true: beyond it, a server would answer
// nothing in time.
const MaxPace = 100.0

// Pace is how long work takes at a server for the moment, in multiples of the usual time, as
// last stated. It counts less with its age. The zero value is unknown, which is 1.
type Pace struct {
	value float64
	at    time.Duration
}

// Observe records a pace that was stated at a time. It reports whether it is the newest.
// Values that no server can mean are ignored.
func (p *Pace) Observe(at time.Duration, value float64) bool {
	if !ValidPace(value) || p.value > 0 && at < p.at {
		return false
	}
	p.value, p.at = value, at
	return true
}

// ValidPace reports whether a server can mean a pace. It is false for NaN.
func ValidPace(value float64) bool { return value >= 1/MaxPace && value <= MaxPace }

// Last returns the last stated pace and its time; 0 if none was stated.
func (p *Pace) Last() (value float64, at time.Duration) { return p.value, p.at }

// At returns the pace that is expected at a time.
func (p *Pace) At(now time.Duration) float64 {
	return 1 + (p.value-1)*p.left(now)/paceValidity.Seconds()
}

// left returns the seconds for which the pace may still hold.
func (p *Pace) left(now time.Duration) float64 {
	if p.value == 0 {
		return 0
	}
	return max(0, (paceValidity - max(0, now-p.at)).Seconds())
}

// Stretch returns how long work takes that begins at a time and usually takes a number of
// milliseconds. The pace stretches only the part of it within its validity.
func (p *Pace) Stretch(now time.Duration, millis float64) float64 {
	left := p.left(now)
	if left == 0 {
		return millis
	}
	const millisPerSecond = 1000
	covered := min(millis/millisPerSecond, left)
	weighted := covered * (left - covered/2) / paceValidity.Seconds()
	return millis + (p.value-1)*millisPerSecond*weighted
}
