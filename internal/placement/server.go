package placement

import (
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// Report is the load of a server as its agent reported it.
type Report struct {
	SlotsUsed, SlotsTotal   int
	PiecesUsed, PiecesTotal int
	// QueuedTokens are the prompt tokens that wait for a prefill.
	QueuedTokens int
}

// Use is what one request takes at a server.
type Use struct {
	Slots, Pieces, Tokens int
	// Run is what the request decodes at a counted server; nil elsewhere.
	Run *Run
}

// Speeds that are assumed until they are learnt.
const (
	defaultPrefillRate = 20.0 // tokens per millisecond
	defaultStep        = 50.0 // milliseconds between tokens
	defaultPiece       = 25.0 // milliseconds to transfer a piece
)

// Bounds on what is believed of a server.
const (
	// reportDelay is the time that a send may need to appear in a report.
	reportDelay = 5 * time.Millisecond
	// refusedFor is the time for which a server that refused counts as full.
	refusedFor = 20 * time.Millisecond
	// unwillingFor is the time for which a server is left out that refused for
	// another reason than its load.
	unwillingFor = 500 * time.Millisecond
	// doubtFor is the time after which a server that was too slow or whose
	// transfers stalled is tried again.
	doubtFor = 4 * time.Second
	// maxSends bounds the sends that are remembered between reports.
	maxSends = 64
)

// Server is what one entry knows of one backend server: the last report, its
// own sends since, and the speeds it learnt. It is not safe for concurrent use.
type Server struct {
	// ID is the number of the server in the prefix index.
	ID int32
	// Distance is the time of one way to the server.
	Distance time.Duration
	// Down is set while the server takes no new work.
	Down bool
	// Mark is compared to Request.Avoid.
	Mark uint64

	report     Report
	reportedAt time.Duration
	sentUse    Use // sum of sends
	// counted servers report nothing in time; what other entries say they have
	// in use there takes the place of reports.
	counted   bool
	others    Use
	runs      []*Run // of this entry
	otherRuns []*Run
	// projection is that of runs and otherRuns while projected is set.
	projection Projection
	projected  bool

	own          Use
	ownBacklog   Backlog
	refusedUntil time.Duration
	// unwillingUntil is the end of the time for which the server takes no work.
	unwillingUntil time.Duration
	slowSeen       time.Duration
	stalledUntil   time.Duration

	prefillRate predict.Mean // tokens per millisecond
	step        predict.Mean // milliseconds
	piece       predict.Mean // milliseconds

	sent  int // number of sends in use
	sends [maxSends]send
}

type send struct {
	at  time.Duration
	use Use
}

// Count makes the server one whose load is the sum of what this entry and the
// others have in use there, and sets its capacity.
func (s *Server) Count(slots, pieces int) {
	s.counted = true
	s.report.SlotsTotal, s.report.PiecesTotal = slots, pieces
}

// Others stores what the other entries have in use at a counted server.
func (s *Server) Others(u Use, runs []*Run) {
	s.others, s.otherRuns = u, runs
	s.projected = false
}

// Own returns what this entry has in use, with its runs.
func (s *Server) Own() (Use, []*Run) { return s.own, s.runs }

// Streaming returns the runs at a counted server that began before a time.
func (s *Server) Streaming(before time.Duration) int {
	n := 0
	for _, list := range [][]*Run{s.runs, s.otherRuns} {
		for _, r := range list {
			if r.Began < before {
				n++
			}
		}
	}
	return n
}

// PrefillTokens returns the prompt tokens that wait or are read at a counted
// server.
func (s *Server) PrefillTokens() int { return s.others.Tokens + s.own.Tokens }

// Pieces returns the memory of the server.
func (s *Server) Pieces() int { return s.report.PiecesTotal }

// projectionLife is the time for which a projection holds. Runs that last longer
// than expected move on by it.
const projectionLife = 5 * time.Millisecond

// Project foresees the memory of a counted server. The result is valid until the
// next call.
func (s *Server) Project(now time.Duration) *Projection {
	p := &s.projection
	if !s.projected || now < p.made || now-p.made > projectionLife {
		p.reset(now, 1/s.Step(), s.runs, s.otherRuns)
		s.projected = true
	}
	p.now = now
	return p
}

// Learn stores a report. Sends that are older than the delay of reports are
// contained in it.
func (s *Server) Learn(now time.Duration, r Report) {
	s.report, s.reportedAt = r, now
	kept := 0
	s.sentUse = Use{}
	for _, x := range s.sends[:s.sent] {
		if now-x.at < reportDelay {
			s.sends[kept] = x
			kept++
			s.sentUse = s.sentUse.plus(x.use)
		}
	}
	s.sent = kept
}

// Sent counts a request that was sent to the server.
func (s *Server) Sent(now time.Duration, u Use) {
	if !s.counted && s.sent < maxSends {
		s.sends[s.sent] = send{at: now, use: u}
		s.sent++
		s.sentUse = s.sentUse.plus(u)
	}
	s.own = s.own.plus(u)
	if u.Run != nil {
		s.runs = append(s.runs, u.Run)
		s.projected = false
	}
	if u.Tokens > 0 {
		s.ownBacklog.Add(now, float64(u.Tokens)/s.PrefillRate())
	}
	if s.slowSeen > 0 {
		s.slowSeen = now
	}
}

// Answered settles a send whose own reply carried a report.
func (s *Server) Answered(u Use) {
	for i := range s.sent {
		if s.sends[i].use == u {
			s.sent--
			s.sends[i] = s.sends[s.sent]
			s.sentUse = s.sentUse.minus(u)
			return
		}
	}
}

// Ended counts the end of a request at the server.
func (s *Server) Ended(now time.Duration, u Use) {
	s.own = s.own.minus(u)
	if i := slices.Index(s.runs, u.Run); i >= 0 {
		s.runs = slices.Delete(s.runs, i, i+1)
		s.projected = false
	}
	if s.own.Tokens <= 0 {
		s.ownBacklog.Reset(now)
	}
}

// Refused notes that the server had no room.
func (s *Server) Refused(now time.Duration) { s.refusedUntil = now + refusedFor }

// Unwilling notes that the server refused for another reason than its load, such
// as a change of its role.
func (s *Server) Unwilling(now time.Duration) { s.unwillingUntil = now + unwillingFor }

// Stalled notes that a transfer from the server did not end in time.
func (s *Server) Stalled(now time.Duration) { s.stalledUntil = now + doubtFor }

// ObservePrefill learns the speed of a prefill that ran without a wait.
func (s *Server) ObservePrefill(tokens int, took time.Duration) {
	if took > 0 && tokens > 0 {
		s.prefillRate.Add(float64(tokens) / milliseconds(took))
	}
}

// ObserveStep learns the time between tokens.
func (s *Server) ObserveStep(now, step, target time.Duration) {
	s.step.Add(milliseconds(step))
	s.projected = false
	s.slowSeen = 0
	if target > 0 && step > target {
		s.slowSeen = now
	}
}

// ObserveTransfer learns the time of a transfer from the server.
func (s *Server) ObserveTransfer(pieces int, took time.Duration) {
	if pieces > 0 {
		s.piece.Add(milliseconds(took) / float64(pieces))
	}
}

// PrefillRate returns the speed of prefills in tokens per millisecond.
func (s *Server) PrefillRate() float64 { return s.prefillRate.Value(defaultPrefillRate) }

// Step returns the time between tokens in milliseconds.
func (s *Server) Step() float64 { return s.step.Value(defaultStep) }

// PieceTime returns the time of the transfer of a piece in milliseconds.
func (s *Server) PieceTime() float64 { return s.piece.Value(defaultPiece) }

// Slow reports whether the server lately missed the target between tokens.
func (s *Server) Slow(now time.Duration) bool {
	return s.slowSeen > 0 && now-s.slowSeen < doubtFor
}

// Wait returns the predicted wait for a prefill in milliseconds. The reported
// queue drains as time passes; the entry's own backlog is a lower bound.
func (s *Server) Wait(now time.Duration) float64 {
	if s.counted {
		return s.ownBacklog.Wait(now) + float64(s.others.Tokens)/s.PrefillRate()
	}
	rate := s.PrefillRate()
	reported := max(0, float64(s.report.QueuedTokens)/rate-milliseconds(now-s.reportedAt))
	reported += float64(s.sentUse.Tokens) / rate
	return max(reported, s.ownBacklog.Wait(now))
}

// WaitBefore returns the predicted wait in milliseconds ahead of the last send.
func (s *Server) WaitBefore(now time.Duration, last Use) float64 {
	return max(0, s.Wait(now)-float64(last.Tokens)/s.PrefillRate())
}

// SlotsUsed returns the slots in use, with the entry's own sends.
func (s *Server) SlotsUsed() int {
	if s.counted {
		return s.others.Slots + s.own.Slots
	}
	return max(s.report.SlotsUsed+s.sentUse.Slots, s.own.Slots)
}

// PiecesFree returns the free pieces, with the entry's own sends.
func (s *Server) PiecesFree() int { return s.report.PiecesTotal - s.piecesUsed() }

func (s *Server) piecesUsed() int {
	if s.counted {
		return s.others.Pieces + s.own.Pieces
	}
	return max(s.report.PiecesUsed+s.sentUse.Pieces, s.own.Pieces)
}

// ForeseenMemory describes a counted server to those who ask why it was chosen:
// the runs of this entry and of the others, and the projected peak of the memory
// with a further run.
func (s *Server) ForeseenMemory(now time.Duration, extra *Run) (own, others, memory int) {
	if !s.counted {
		return 0, 0, 0
	}
	return len(s.runs), len(s.otherRuns), int(s.Project(now).Peak(extra))
}

// Foreseen returns the number of slots that are expected to come free within a
// time, for answers of a mean length.
func (s *Server) Foreseen(within time.Duration, answerTokens float64) float64 {
	life := answerTokens * s.Step()
	running := s.report.SlotsUsed
	if s.counted {
		running = s.SlotsUsed()
	}
	return Releases(min(running, s.report.SlotsTotal), within, time.Duration(life*float64(time.Millisecond)))
}

func (u Use) plus(o Use) Use {
	return Use{Slots: u.Slots + o.Slots, Pieces: u.Pieces + o.Pieces, Tokens: u.Tokens + o.Tokens}
}

func (u Use) minus(o Use) Use {
	return Use{Slots: u.Slots - o.Slots, Pieces: u.Pieces - o.Pieces, Tokens: u.Tokens - o.Tokens}
}
