package benchmodel

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/predict"
)

// Phases of a decode task.
const (
	decodeReserved = iota
	decodeWaiting  // for memory
	decodeImporting
	decodeReady // imported, waiting for a slot
	decodeRunning
	decodeEnded
)

// decodeTask is the part of an attempt that runs at a decode server.
type decodeTask struct {
	req      *request
	pieces   int
	priority int
	phase    int
	started  time.Duration
	kv       *kvResult
	transfer *transfer
	tokens   int // tokens of this attempt
	// onToken passes a token to the entry; onFailure reports the end of the attempt.
	onToken   func()
	onFailure func(reason failure)
	owner     *entryModel
}

// orphaned reports whether the entry of an attempt is dead.
func (t *decodeTask) orphaned() bool { return t.owner.dead }

// failure is the reason for which an attempt ended early.
type failure int

// Reasons for the early end of an attempt.
const (
	failedEvicted  failure = iota // the result of the prefill was evicted
	failedTransfer                // the transfer of the KV cache took too long
	failedServer                  // the decode server crashed or lost the reservation
)

// decodeServer is a decode engine with its agent.
type decodeServer struct {
	sim         *simulation
	id          int
	centre      int
	dead        bool
	incarnation int // number of crashes
	slow        bool

	slotsUsed, slotsReserved   int
	piecesUsed, piecesReserved int
	decodeTimes                predict.Mean // milliseconds
	shares                     placement.FairShares
	tasks                      []*decodeTask // all that have not ended
	waiting                    []*decodeTask // in phase decodeWaiting
	ready                      []*decodeTask // in phase decodeReady
	batch                      []*decodeTask // in phase decodeRunning
	stepping                   bool
}

// assumedDecodeTime is the mean duration of a decode in milliseconds that is
// assumed before the first decode has ended.
const assumedDecodeTime = 3500

func (s *decodeServer) report() placement.Report {
	return placement.Report{
		SlotsUsed: s.slotsUsed + s.slotsReserved, SlotsTotal: slotsPerEngine,
		PiecesUsed: s.piecesUsed + s.piecesReserved, PiecesTotal: s.sim.scenario.decodePieces(),
	}
}

// reserve decides like the agent whether to grant a reservation, for a prefill
// that ends after timeToPrefillEnd.
func (s *decodeServer) reserve(t *decodeTask, timeToPrefillEnd time.Duration) bool {
	capacity := placement.DecodeCapacity{
		SlotsTotal: slotsPerEngine, PiecesTotal: s.sim.scenario.decodePieces(),
		SlotsUsed: s.slotsUsed, PiecesUsed: s.piecesUsed,
		SlotsReserved: s.slotsReserved, PiecesReserved: s.piecesReserved,
		MeanDuration: time.Duration(s.decodeTimes.Value(assumedDecodeTime) * float64(time.Millisecond)),
	}
	now, provider := s.sim.clock.now, s.sim.fleet.Providers[t.req.provider]
	if !placement.CanReserve(capacity, t.pieces, timeToPrefillEnd, placement.ReservationConfidence) {
		s.shares.RecordUnmetDemand(now, provider.Name, provider.Weight)
		return false
	}
	if !s.sim.policy.UnfairSlots && s.shares.MustYield(now, provider.Name, provider.Weight) {
		return false
	}
	s.shares.Acquire(provider.Name, provider.Weight)
	s.slotsReserved++
	s.piecesReserved += t.pieces
	t.phase = decodeReserved
	s.tasks = append(s.tasks, t)
	return true
}

// start queues the import of a KV cache, which begins when there is memory for it.
// The attempt fails if the KV cache expires before then.
func (s *decodeServer) start(t *decodeTask, kv *kvResult) {
	if t.phase != decodeReserved {
		t.onFailure(failedServer)
		return
	}
	t.kv, t.phase = kv, decodeWaiting
	s.waiting = insertByPriority(s.waiting, t)
	s.sim.clock.at(kv.expires, func() {
		if t.phase == decodeWaiting {
			s.release(t)
			t.onFailure(failedEvicted)
		}
	})
	s.startPending()
}

// startPending starts the waiting imports that fit into the free memory, and the
// imported decodes that have a free slot.
func (s *decodeServer) startPending() {
	for len(s.waiting) > 0 && s.piecesUsed+s.waiting[0].pieces <= s.sim.scenario.decodePieces() {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.importKV(t)
	}
	for len(s.ready) > 0 && s.slotsUsed < slotsPerEngine {
		t := s.ready[0]
		s.ready = s.ready[1:]
		s.startRunning(t)
	}
}

// importKV allocates the memory and starts the transfer. The slot is occupied only
// once the transfer has ended. A transfer that takes longer than its max wait is
// aborted, except with NoTransferTimeout.
func (s *decodeServer) importKV(t *decodeTask) {
	t.phase = decodeImporting
	s.piecesReserved -= t.pieces
	s.piecesUsed += t.pieces
	if t.kv.source.dead || s.sim.clock.now > t.kv.expires {
		s.release(t)
		t.onFailure(failedEvicted)
		return
	}
	link := &t.kv.source.link
	maxWait := placement.TransferTimeout(t.kv.pieces, float64(pieceTransferTime)/float64(time.Millisecond), link.remainingTime())
	t.transfer = link.add(t.kv.pieces, func() { s.imported(t) })
	if s.sim.policy.NoTransferTimeout {
		return
	}
	s.sim.clock.after(maxWait, func() {
		if t.phase == decodeImporting {
			s.release(t)
			t.onFailure(failedTransfer)
		}
	})
}

func (s *decodeServer) imported(t *decodeTask) {
	if t.phase != decodeImporting {
		return
	}
	t.phase = decodeReady
	s.ready = insertByPriority(s.ready, t)
	s.startPending()
}

func (s *decodeServer) startRunning(t *decodeTask) {
	t.phase, t.started = decodeRunning, s.sim.clock.now
	s.slotsReserved--
	s.slotsUsed++
	s.batch = append(s.batch, t)
	s.step()
}

// insertByPriority inserts an attempt behind those of the same or a higher
// priority.
func insertByPriority(list []*decodeTask, t *decodeTask) []*decodeTask {
	i := len(list)
	for i > 0 && list[i-1].priority < t.priority {
		i--
	}
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = t
	return list
}

// step starts the next step of the batch, which computes one token of each decode
// in it, unless a step is running.
func (s *decodeServer) step() {
	if s.stepping || len(s.batch) == 0 {
		return
	}
	s.stepping = true
	d := stepBase + time.Duration(len(s.batch))*stepPerSlot
	if s.slow {
		d *= slowFactor
	}
	members, incarnation := append([]*decodeTask(nil), s.batch...), s.incarnation
	s.sim.clock.after(d, func() {
		if s.incarnation != incarnation {
			return
		}
		s.stepping = false
		s.deliverTokens(members)
		s.startPending()
		s.step()
	})
}

// deliverTokens passes on one token of each decode that was in the batch when the
// step began, and releases those that are complete.
func (s *decodeServer) deliverTokens(members []*decodeTask) {
	for _, t := range members {
		if t.phase != decodeRunning {
			continue
		}
		t.tokens++
		if t.req.received+1 >= t.req.answer {
			s.decodeTimes.Add(float64(s.sim.clock.now-t.started) / float64(time.Millisecond))
			s.release(t)
		}
		t.onToken()
	}
}

// release frees the slot and the memory of an attempt, reserved or in use, and
// ends it.
func (s *decodeServer) release(t *decodeTask) {
	switch t.phase {
	case decodeEnded:
		return
	case decodeReserved, decodeWaiting:
		s.slotsReserved--
		s.piecesReserved -= t.pieces
	case decodeImporting, decodeReady:
		s.slotsReserved--
		s.piecesUsed -= t.pieces
	default:
		s.slotsUsed--
		s.piecesUsed -= t.pieces
	}
	if t.phase == decodeImporting && t.transfer != nil {
		t.kv.source.link.drop(t.transfer)
	}
	s.shares.Release(s.sim.clock.now, s.sim.fleet.Providers[t.req.provider].Name)
	t.phase = decodeEnded
	s.tasks = removeTask(s.tasks, t)
	s.waiting = removeTask(s.waiting, t)
	s.ready = removeTask(s.ready, t)
	s.batch = removeTask(s.batch, t)
}

func removeTask(list []*decodeTask, t *decodeTask) []*decodeTask {
	for i, x := range list {
		if x == t {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// crash ends all attempts at the server. Their entries receive the failures after
// detectionTime.
func (s *decodeServer) crash() {
	s.dead = true
	s.incarnation++
	s.stepping = false
	for _, t := range append([]*decodeTask(nil), s.tasks...) {
		s.release(t)
		s.sim.clock.after(detectionTime, func() { t.onFailure(failedServer) })
	}
}

func (s *decodeServer) restart() { s.dead = false }
