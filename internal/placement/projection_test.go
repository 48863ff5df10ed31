package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rate of one piece a millisecond makes a second of an answer 1,000 pieces.
const testRate = 1.0

func TestProjectionCountsGrowthUntilTheEnd(t *testing.T) {
	is := is.New(t)
	run := &Run{Prompt: 5000, Answer: 3000, Began: 0}
	p := NewProjection(second, testRate, []*Run{run}, nil)
	is.Equal(p.at(second), 6000.0)
	is.Equal(p.at(3*second), 8000.0)
	is.Equal(p.at(3*second+1), 0.0) // all memory comes free at the end
}

func TestPeakLiesBeforeTheEndOfARun(t *testing.T) {
	is := is.New(t)
	own := []*Run{{Prompt: 1000, Answer: 2000, Began: 0}}
	others := []*Run{{Prompt: 1000, Answer: 4000, Began: 0}}
	p := NewProjection(0, testRate, own, others)
	// At 2 s: 3,000 and 3,000 of the others, and 2,000 of its own.
	is.Equal(p.Peak(&Run{Prompt: 0, Answer: 2500, Began: 0}), 8000.0)
	// A run that ends before counts only what is there until then.
	is.Equal(p.Peak(&Run{Prompt: 0, Answer: 1000, Began: 0}), 5000.0)
}

func TestOverrunningRunsKeepTheirMemory(t *testing.T) {
	is := is.New(t)
	run := &Run{Prompt: 1000, Answer: 1000, Began: 0}
	p := NewProjection(2*second, testRate, []*Run{run}, nil)
	is.True(p.at(2*second) > 0)                      // longer than expected, and still there
	is.Equal(run.end(10*second, testRate), 4*second) // but not for ever
}

func TestEarliestIsTheEndThatMakesRoom(t *testing.T) {
	is := is.New(t)
	runs := []*Run{{Prompt: 4000, Answer: 1000, Began: 0}, {Prompt: 4000, Answer: 3000, Began: 0}}
	p := NewProjection(0, testRate, runs, nil)
	extra := Run{Prompt: 3000, Answer: 500, Began: 0}
	is.Equal(p.Earliest(extra, 20_000), time.Duration(0))
	is.Equal(p.Earliest(extra, 9_600), second)
	is.Equal(p.Earliest(extra, 4_000), 3*second)
}

func countedServer(id int32, slots, pieces int) *Server {
	s := &Server{ID: id}
	s.Count(slots, pieces)
	s.ObserveStep(0, time.Millisecond, 0)
	return s
}

func TestProjectedRoomCountsTheRunsOfOthers(t *testing.T) {
	is := is.New(t)
	s := countedServer(1, 4, 10_000)
	filter := ProjectedRoom{Share: 1}
	r := &Request{PromptTokens: 4000, AnswerTokens: 1000}
	is.True(filter.Keep(r, s))
	s.Others(Use{Slots: 1}, []*Run{{Prompt: 5000, Answer: 1000}})
	is.True(!filter.Keep(r, s))
	s.Others(Use{}, nil)
	r.Reserve = 0.6
	is.True(!filter.Keep(r, s)) // leaves room to others
	r.Reserve = 0
	s.Refused(0)
	is.True(!filter.Keep(r, s)) // it has just refused
}

func TestEndedRunsComeFree(t *testing.T) {
	is := is.New(t)
	s := countedServer(1, 1, 10_000)
	u := Use{Slots: 1, Run: &Run{Prompt: 4000, Answer: 1000}}
	s.Sent(0, u)
	_, runs := s.Own()
	is.Equal(len(runs), 1)
	is.Equal(s.SlotsUsed(), 1)
	s.Ended(second, u)
	_, runs = s.Own()
	is.Equal(len(runs), 0)
	is.Equal(s.SlotsUsed(), 0)
}

func TestRequestsInTurnTakeDifferentServers(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Decode.Must = []Filter{Usable{}, ProjectedRoom{Share: 1}}
	prefills := []*Server{countedServer(1, 4, 10_000)}
	decodes := []*Server{countedServer(2, 4, 10_000), countedServer(3, 4, 10_000), countedServer(4, 4, 10_000)}
	decodes[1].Others(Use{Slots: 4}, nil)
	for turn, want := range []int{0, 2} {
		plan, ok := p.PlanTurn(testRand(), &Request{PromptTokens: 1000, AnswerTokens: 10}, prefills, decodes, turn)
		is.True(ok)
		is.Equal(plan.Decode, want)
	}
	_, ok := p.PlanTurn(testRand(), &Request{PromptTokens: 1000, AnswerTokens: 10}, prefills, decodes, 2)
	is.True(!ok) // no server is left for the third
}

func TestWaitIsTheRoomInTurn(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	busy, busier := countedServer(1, 4, 6_000), countedServer(2, 4, 6_000)
	busy.Others(Use{Slots: 1}, []*Run{{Prompt: 4000, Answer: 1000}})
	busier.Others(Use{Slots: 1}, []*Run{{Prompt: 4000, Answer: 2000}})
	r := &Request{PromptTokens: 4000, AnswerTokens: 1000}
	for ahead, want := range []time.Duration{second, 2 * second, 2 * second} {
		wait, ok := p.Wait(r, []*Server{busier, busy}, 1, ahead)
		is.True(ok)
		is.Equal(wait, want)
	}
	_, ok := p.Wait(r, []*Server{{}}, 1, 0)
	is.True(!ok) // servers that report are not foreseen so
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
