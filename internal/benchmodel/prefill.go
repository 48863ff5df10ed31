package benchmodel

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirestream/samphirestream/internal/placement"
)

// prefillTask is one prefill at a server and its result.
type prefillTask struct {
	req      *request
	tokens   int // of the prompt and of the answer so far
	priority int
	claim    func() bool // with TwoPrefillBids: claims the request for this server
	done     func(result *kvResult, ok bool)

	started     time.Duration
	computeTime time.Duration
}

// kvResult is the KV cache that a prefill produced.
type kvResult struct {
	source      *prefillServer
	pieces      int
	computeTime time.Duration
	expires     time.Duration // on the virtual clock
}

// prefillServer is a prefill engine with its agent and its link.
type prefillServer struct {
	sim         *simulation
	id          int
	centre      int
	dead        bool
	incarnation int // number of crashes

	queue   []*prefillTask
	running *prefillTask
	backlog placement.Backlog
	cache   *simplelru.LRU[uint64, struct{}]

	link linkModel
}

func newPrefillServer(sim *simulation, id, centre int) *prefillServer {
	s := &prefillServer{sim: sim, id: id, centre: centre}
	s.link = linkModel{sim: sim, shared: sim.policy.SharedLinks}
	s.clearCache()
	return s
}

func (s *prefillServer) clearCache() {
	s.cache, _ = simplelru.NewLRU[uint64, struct{}](cachePrefixes, nil)
}

func (s *prefillServer) report() placement.Report {
	return placement.Report{QueuedTokens: int(s.backlog.WaitMillis(s.sim.clock.now) * prefillRate)}
}

// accept decides like the agent whether to accept a prefill, and queues it if so.
// A maxWait of zero accepts any wait.
func (s *prefillServer) accept(t *prefillTask, maxWait time.Duration) bool {
	wait := time.Duration(s.backlog.WaitMillis(s.sim.clock.now) * float64(time.Millisecond))
	if !placement.AcceptPrefill(wait, maxWait) {
		return false
	}
	s.enqueue(t)
	return true
}

func (s *prefillServer) enqueue(t *prefillTask) {
	i := len(s.queue)
	for i > 0 && s.queue[i-1].priority < t.priority {
		i--
	}
	s.queue = append(s.queue, nil)
	copy(s.queue[i+1:], s.queue[i:])
	s.queue[i] = t
	s.backlog.Add(s.sim.clock.now, float64(t.tokens-s.cachedTokens(t.req))/prefillRate)
	s.startNext()
}

// cachedTokens returns the length of the longest cached prefix of a prompt, at most
// all tokens but one: the last one is always computed.
func (s *prefillServer) cachedTokens(r *request) int {
	n := 0
	for _, p := range r.prefixes {
		if !s.cache.Contains(p) {
			break
		}
		n += pieceTokens
	}
	return min(n, r.prompt-1)
}

// startNext starts the first task of the queue if the server is idle. A bid has to
// claim its request first.
func (s *prefillServer) startNext() {
	if s.running != nil || s.dead {
		return
	}
	if len(s.queue) == 0 {
		s.backlog.Reset(s.sim.clock.now)
		return
	}
	t := s.queue[0]
	s.queue = s.queue[1:]
	s.running = t
	if t.claim == nil {
		s.compute(t)
		return
	}
	incarnation := s.incarnation
	s.sim.clock.after(2*remoteDelay, func() { // the claim and its answer
		if s.incarnation != incarnation {
			return
		}
		if !t.claim() {
			s.running = nil
			s.startNext()
			return
		}
		s.compute(t)
	})
}

func (s *prefillServer) compute(t *prefillTask) {
	t.started = s.sim.clock.now
	t.computeTime = time.Duration(float64(t.tokens-s.cachedTokens(t.req)) / prefillRate * float64(time.Millisecond))
	incarnation := s.incarnation
	s.sim.clock.after(t.computeTime, func() {
		if s.incarnation == incarnation {
			s.finish(t)
		}
	})
}

func (s *prefillServer) finish(t *prefillTask) {
	for _, p := range t.req.prefixes {
		s.cache.Add(p, struct{}{})
	}
	s.sim.totals.spent += t.computeTime
	s.running = nil
	s.startNext()
	t.done(&kvResult{source: s, pieces: piecesOf(t.tokens), computeTime: t.computeTime, expires: s.sim.clock.now + resultTTL}, true)
}

// crash drops the queue, the running prefill, the cache and the transfers. The
// entries of the lost prefills are notified after detectionTime.
func (s *prefillServer) crash() {
	s.dead = true
	s.incarnation++
	lost := s.queue
	if s.running != nil {
		if s.running.computeTime > 0 {
			done := s.sim.clock.now - s.running.started
			s.sim.totals.spent += done
			s.sim.totals.wasted += done
		}
		lost = append(lost, s.running)
	}
	s.queue, s.running = nil, nil
	s.clearCache()
	s.link.reset()
	for _, t := range lost {
		s.sim.clock.after(detectionTime, func() { t.done(nil, false) })
	}
}

func (s *prefillServer) restart() {
	s.dead = false
	s.backlog.Reset(s.sim.clock.now)
}
