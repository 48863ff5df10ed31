package admission

import "time"

// Length admits a request while the queue is shorter than Max. Admitted requests never
// expire in the queue.
type Length struct{ Max int }

// Admit implements Policy.
func (l Length) Admit(_ Goal, s State) Verdict {
	if s.Queued < l.Max {
		return Verdict{Admitted: true}
	}
	return Verdict{Excess: s.Wait}
}

// MaxQueueTime implements Policy.
func (Length) MaxQueueTime(Goal, time.Duration) time.Duration {
	return unlimited
}
