package placement

import (
	"slices"
	"time"

	"github.com/samphirestream/samphirestream/internal/predict"
)

// Report is the load that the agent of a server reported.
type Report struct {
	SlotsUsed, SlotsTotal   int
	PiecesUsed, PiecesTotal int
	// QueuedTokens is the number of prompt tokens that wait for a prefill.
	QueuedTokens int
}

// Use is the capacity that requests occupy at a server.
type Use struct {
	Slots, Pieces, Tokens int
	// Run is the decode of a single request at a counted server; otherwise nil.
	Run *Run
}

// Speeds that are assumed until they have been measured.
const (
	defaultPrefillRate = 20.0 // tokens per millisecond
	defaultStepMillis  = 50.0 // milliseconds between tokens
	defaultPieceMillis = 25.0 // milliseconds to transfer a piece
)

// Validity periods and bounds of the recorded state of a server.
const (
	// reportDelay is the time within which a send may be missing from a report.
	reportDelay = 5 * time.Millisecond
	// refusalCooldown is the time for which a server is treated as full after it
	// refused a request for lack of capacity.
	refusalCooldown = 20 * time.Millisecond
	// declineCooldown is the time for which a server is excluded after it refused a
	// request for a reason other than its load.
	declineCooldown = 500 * time.Millisecond
	// degradedCooldown is the time after which a server is tried again that missed its
	// latency target or failed in a way that RecordStall records.
	degradedCooldown = 4 * time.Second
	// maxUnreportedSends bounds the sends that are recorded between reports.
	maxUnreportedSends = 64
)

// Server is the state of one backend server as one entry has recorded it: the last
// report, the entry's sends since, and the measured speeds. It is not safe for
// concurrent use.
type Server struct {
	// ID is the number of the server in the prefix index.
	ID int32
	// Distance is the one-way network latency to the server.
	Distance time.Duration
	// Unavailable is set while the server accepts no new work.
	Unavailable bool
	// Mark is the generation mark that Request.ExcludedMark is compared with, and BarredMark
	// that for Request.BarredMark.
	Mark, BarredMark uint64

	report        Report
	reportedAt    time.Duration
	unreportedUse Use // sum of unreportedSends
	// counted servers do not report their load in time. Their load is the use by this
	// entry plus the use that the other entries report.
	counted    bool
	remoteUse  Use
	localRuns  []*Run
	remoteRuns []*Run
	// projection covers localRuns and remoteRuns while projected is set.
	projection Projection
	projected  bool

	localUse     Use
	localBacklog Backlog
	refusedUntil time.Duration
	// declinedUntil is the end of the time for which the server is excluded.
	declinedUntil time.Duration
	// slowAt is the time at which a step last exceeded its target; 0 if the last step
	// did not. Each later send sets it again, so that a slow server is tried once per
	// degradedCooldown until a step is within the target.
	slowAt       time.Duration
	stalledUntil time.Duration

	// speeds are those of the whole service, or nil for a server that is measured alone.
	// own has then the server's own observations.
	speeds *predict.Speeds
	own    *predict.ServerSpeeds
	// pace is how long work takes at the server for the moment.
	pace predict.Pace

	prefillRate predict.Mean // tokens per millisecond
	stepMillis  predict.Mean // milliseconds
	pieceMillis predict.Mean // milliseconds

	unreportedCount int // number of valid elements of unreportedSends
	unreportedSends [maxUnreportedSends]send
}

// send is a request that the last report may not include.
type send struct {
	at  time.Duration
	use Use
}

// SetCounted makes the server a counted one, whose load is the sum of the use of this
// entry and of the other entries, and sets its capacity. The memory of counted
// servers is in tokens, also in the fields that are named for pieces.
func (s *Server) SetCounted(slots, memoryTokens int) {
	s.counted = true
	s.report.SlotsTotal, s.report.PiecesTotal = slots, memoryTokens
}

// SetSpeeds makes the server one of a service whose servers are measured together. own has
// the observations of the server itself.
func (s *Server) SetSpeeds(speeds *predict.Speeds, own *predict.ServerSpeeds) {
	s.speeds, s.own = speeds, own
}

// ObservePace records the pace that the server stated at a time, in multiples of the usual
// time that work takes.
func (s *Server) ObservePace(at time.Duration, pace float64) {
	if s.pace.Observe(at, pace) {
		s.projected = false
	}
}

// Pace returns the pace of the server that is expected at a time; 1 if it stated none lately.
func (s *Server) Pace(now time.Duration) float64 { return s.pace.At(now) }

// SetRemoteUse sets the use of a counted server by the other entries.
func (s *Server) SetRemoteUse(u Use, runs []*Run) {
	s.remoteUse, s.remoteRuns = u, runs
	s.projected = false
}

// RemoteTokens returns the memory in tokens that the runs of the other entries are expected
// to use.
func (s *Server) RemoteTokens() int {
	tokens := 0.0
	for _, r := range s.remoteRuns {
		tokens += float64(r.Prompt) + r.Answer
	}
	return int(tokens)
}

// LocalUse returns this entry's use of the server and its runs there.
func (s *Server) LocalUse() (Use, []*Run) { return s.localUse, s.localRuns }

// VisitRuns calls visit with each run at a counted server.
func (s *Server) VisitRuns(visit func(*Run)) {
	for _, list := range [][]*Run{s.localRuns, s.remoteRuns} {
		for _, r := range list {
			visit(r)
		}
	}
}

// RunsBegunBefore returns the number of runs at a counted server that began before a
// time.
func (s *Server) RunsBegunBefore(before time.Duration) int {
	n := 0
	for _, list := range [][]*Run{s.localRuns, s.remoteRuns} {
		for _, r := range list {
			if r.Began < before {
				n++
			}
		}
	}
	return n
}

// PrefillTokens returns the number of prompt tokens at a counted server that are in
// prefill or wait for it.
func (s *Server) PrefillTokens() int { return s.remoteUse.Tokens + s.localUse.Tokens }

// Pieces returns the total memory of the server.
func (s *Server) Pieces() int { return s.report.PiecesTotal }

// projectionTTL is the time for which a projection is valid. It also bounds how far
// the expected end of a run that lasts longer than expected lags behind.
const projectionTTL = 5 * time.Millisecond

// projectionHorizon is the time, in milliseconds, over which the pace of a server counts in
// the projection of its memory: requests look for the ends of runs within about their target
// for the first token. The pace itself holds for a part of that time only.
const projectionHorizon = 1000

// Project returns the projected memory use of a counted server. The result is valid
// until the next call.
func (s *Server) Project(now time.Duration) *Projection {
	p := &s.projection
	if !s.projected || now < p.computedAt || now-p.computedAt > projectionTTL {
		pace := s.pace.Stretch(now, projectionHorizon) / projectionHorizon
		p.reset(now, 1/(s.StepMillis()*pace), s.localRuns, s.remoteRuns)
		s.projected = true
	}
	p.now = now
	return p
}

// RecordReport records a report. Sends older than reportDelay are assumed to be
// included in it.
func (s *Server) RecordReport(now time.Duration, r Report) {
	s.report, s.reportedAt = r, now
	kept := 0
	s.unreportedUse = Use{}
	for _, x := range s.unreportedSends[:s.unreportedCount] {
		if now-x.at < reportDelay {
			s.unreportedSends[kept] = x
			kept++
			s.unreportedUse = s.unreportedUse.plus(x.use)
		}
	}
	s.unreportedCount = kept
}

// RecordSend records a request that was sent to the server.
func (s *Server) RecordSend(now time.Duration, u Use) {
	if !s.counted && s.unreportedCount < maxUnreportedSends {
		s.unreportedSends[s.unreportedCount] = send{at: now, use: u}
		s.unreportedCount++
		s.unreportedUse = s.unreportedUse.plus(u)
	}
	s.localUse = s.localUse.plus(u)
	if u.Run != nil {
		s.localRuns = append(s.localRuns, u.Run)
		s.projected = false
	}
	if u.Tokens > 0 {
		s.localBacklog.Add(now, s.PrefillMillis(now, u.Tokens))
	}
	if s.slowAt > 0 {
		s.slowAt = now
	}
}

// RecordReply removes a send from the unreported ones: its reply carried a report,
// which includes it.
func (s *Server) RecordReply(u Use) {
	for i := range s.unreportedCount {
		if s.unreportedSends[i].use == u {
			s.unreportedCount--
			s.unreportedSends[i] = s.unreportedSends[s.unreportedCount]
			s.unreportedUse = s.unreportedUse.minus(u)
			return
		}
	}
}

// RecordEnd records the end of a request at the server.
func (s *Server) RecordEnd(now time.Duration, u Use) {
	s.localUse = s.localUse.minus(u)
	if i := slices.Index(s.localRuns, u.Run); i >= 0 {
		s.localRuns = slices.Delete(s.localRuns, i, i+1)
		s.projected = false
	}
	if s.localUse.Tokens <= 0 {
		s.localBacklog.Reset(now)
	}
}

// RecordRefusal records that the server refused a request for lack of capacity.
func (s *Server) RecordRefusal(now time.Duration) { s.refusedUntil = now + refusalCooldown }

// RecordDecline records that the server refused a request for a reason other than its
// load, such as a change of its role.
func (s *Server) RecordDecline(now time.Duration) { s.declinedUntil = now + declineCooldown }

// RecordStall records that a transfer from the server did not end in time, that the
// server aborted a prefill, or that its prefill result expired early.
func (s *Server) RecordStall(now time.Duration) { s.stalledUntil = now + degradedCooldown }

// ObservePrefill records the speed of a prefill that did not wait.
func (s *Server) ObservePrefill(now time.Duration, tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	rate := float64(tokens) / predict.Milliseconds(took)
	if s.speeds == nil {
		s.prefillRate.Add(rate)
		return
	}
	rate *= s.Pace(now) // the rate at the usual pace
	s.speeds.AddPrefill(rate)
	s.own.AddPrefill(now, rate)
}

// ObserveStep records the time between tokens and marks the server as slow when it
// exceeds the target. A target of 0 never does.
func (s *Server) ObserveStep(now, step, target time.Duration) {
	if s.speeds == nil {
		s.stepMillis.Add(predict.Milliseconds(step))
	} else {
		usual := predict.Milliseconds(step) / s.Pace(now)
		s.speeds.AddStep(s.running(), usual)
		s.own.AddStep(now, s.running(), usual)
	}
	s.projected = false
	s.slowAt = 0
	if target > 0 && step > target {
		s.slowAt = now
	}
}

// ObserveTransfer records the duration of a transfer from the server.
func (s *Server) ObserveTransfer(pieces int, took time.Duration) {
	if pieces > 0 {
		s.pieceMillis.Add(predict.Milliseconds(took) / float64(pieces))
	}
}

// PrefillRate returns the mean speed of prefills in tokens per millisecond, at the usual
// pace.
func (s *Server) PrefillRate() float64 {
	if s.speeds == nil {
		return s.prefillRate.Value(defaultPrefillRate)
	}
	return s.speeds.PrefillRate() * s.own.PrefillFactor(s.speeds)
}

// PrefillMillis returns how long the prefill of a number of tokens takes that begins at a
// time, in milliseconds.
func (s *Server) PrefillMillis(from time.Duration, tokens int) float64 {
	if tokens == 0 {
		return 0
	}
	return s.pace.Stretch(from, float64(tokens)/s.PrefillRate())
}

// StepMillis returns the mean time between tokens in milliseconds, at the usual pace.
func (s *Server) StepMillis() float64 {
	if s.speeds == nil {
		return s.stepMillis.Value(defaultStepMillis)
	}
	return s.ServiceStepMillis() * s.own.StepFactor(s.speeds)
}

// ServiceStepMillis returns the time between tokens at a usual server of the service with as
// many runs, in milliseconds.
func (s *Server) ServiceStepMillis() float64 {
	if s.speeds == nil {
		return s.StepMillis()
	}
	return s.speeds.StepMillis(s.running())
}

// PrefillSpeed returns the speed of the server's prefills in multiples of that of its service.
func (s *Server) PrefillSpeed() float64 {
	if s.speeds == nil {
		return 1
	}
	return s.own.PrefillFactor(s.speeds)
}

// DecodeSpeed returns the speed of the server's decodes in multiples of that of its service.
func (s *Server) DecodeSpeed() float64 {
	if s.speeds == nil {
		return 1
	}
	return 1 / s.own.StepFactor(s.speeds)
}

// running returns the number of requests that decode at the server.
func (s *Server) running() int { return len(s.localRuns) + len(s.remoteRuns) }

// PieceMillis returns the mean time to transfer a piece in milliseconds.
func (s *Server) PieceMillis() float64 { return s.pieceMillis.Value(defaultPieceMillis) }

// Slow reports whether the server recently missed the latency target between tokens.
func (s *Server) Slow(now time.Duration) bool {
	return s.slowAt > 0 && now-s.slowAt < degradedCooldown
}

// WaitMillis returns the predicted wait for a prefill in milliseconds. The reported
// queue is assumed to drain since its report; the entry's own backlog is a lower
// bound.
func (s *Server) WaitMillis(now time.Duration) float64 {
	if s.counted {
		return s.localBacklog.WaitMillis(now) + s.PrefillMillis(now, s.remoteUse.Tokens)
	}
	rate := s.PrefillRate()
	reported := max(0, float64(s.report.QueuedTokens)/rate-predict.Milliseconds(now-s.reportedAt))
	reported += float64(s.unreportedUse.Tokens) / rate
	return max(reported, s.localBacklog.WaitMillis(now))
}

// WaitBefore returns the predicted wait in milliseconds of the last send, which is
// WaitMillis without the work of that send.
func (s *Server) WaitBefore(now time.Duration, last Use) float64 {
	return max(0, s.WaitMillis(now)-float64(last.Tokens)/s.PrefillRate())
}

// SlotsUsed returns the number of slots in use, including the entry's own sends.
func (s *Server) SlotsUsed() int {
	if s.counted {
		return s.remoteUse.Slots + s.localUse.Slots
	}
	return max(s.report.SlotsUsed+s.unreportedUse.Slots, s.localUse.Slots)
}

// PiecesFree returns the number of free pieces after the entry's own sends.
func (s *Server) PiecesFree() int { return s.report.PiecesTotal - s.piecesUsed() }

func (s *Server) piecesUsed() int {
	if s.counted {
		return s.remoteUse.Pieces + s.localUse.Pieces
	}
	return max(s.report.PiecesUsed+s.unreportedUse.Pieces, s.localUse.Pieces)
}

// ProjectionSummary returns the data behind the choice of a counted server, for
// traces: the number of runs of this entry and of the other entries, and the
// projected peak of the memory in tokens with a further run.
func (s *Server) ProjectionSummary(now time.Duration, extra *Run) (localCount, remoteCount, memory int) {
	if !s.counted {
		return 0, 0, 0
	}
	return len(s.localRuns), len(s.remoteRuns), int(s.Project(now).Peak(extra))
}

// ExpectedReleases returns the number of slots that are expected to be released
// within a time, given the mean length of answers.
func (s *Server) ExpectedReleases(within time.Duration, answerTokens float64) float64 {
	meanDuration := answerTokens * s.StepMillis()
	running := s.report.SlotsUsed
	if s.counted {
		running = s.SlotsUsed()
	}
	return ExpectedReleases(min(running, s.report.SlotsTotal), within, time.Duration(meanDuration*float64(time.Millisecond)))
}

func (u Use) plus(o Use) Use {
	return Use{Slots: u.Slots + o.Slots, Pieces: u.Pieces + o.Pieces, Tokens: u.Tokens + o.Tokens}
}

func (u Use) minus(o Use) Use {
	return Use{Slots: u.Slots - o.Slots, Pieces: u.Pieces - o.Pieces, Tokens: u.Tokens - o.Tokens}
}
