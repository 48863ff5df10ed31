package blame

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
)

var began = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func keys(parts ...string) []Key {
	var out []Key
	for _, p := range parts {
		out = append(out, PartKey("org", p))
	}
	return out
}

// evidence plays what servers went through.
type evidence struct {
	*Record
	now  time.Time
	ends int
}

func newEvidence() *evidence { return &evidence{Record: NewRecord(), now: began} }

// end ends a server in a data centre under requests with the given parts each, a second
// after the last event.
func (e *evidence) end(dataCentre string, requests ...[]Key) {
	e.now = e.now.Add(time.Second)
	e.endNow(dataCentre, requests...)
}

func (e *evidence) endNow(dataCentre string, requests ...[]Key) {
	e.ends++
	end := End{Boot: advisory.Boot{ID: fmt.Sprint("s", e.ends), Started: 1}, DataCentre: dataCentre, At: e.now}
	for i, causes := range requests {
		end.Requests = append(end.Requests, Request{Own: keys(fmt.Sprint("own", e.ends, i)), Shared: causes})
	}
	e.AddEnd(end)
}

func (e *evidence) survives(causes []Key) {
	e.now = e.now.Add(time.Second)
	e.AddSurvived(Request{Shared: causes}, e.now)
}

func TestBlame(t *testing.T) {
	type parts = []string
	for name, test := range map[string]struct {
		play           func(e *evidence)
		refused, taken []parts
	}{
		"the part that all ends have in common": {
			play: func(e *evidence) {
				e.end("a", keys("x", "fatal"), keys("innocent"))
				e.end("a", keys("y", "fatal"), keys("innocent"))
				e.end("a", keys("z", "fatal"))
			},
			refused: []parts{{"fatal"}, {"new", "fatal"}}, taken: []parts{{"innocent"}, {"x"}, {}},
		},
		"two servers are too few": {
			play:  func(e *evidence) { e.end("a", keys("fatal")); e.end("a", keys("fatal")) },
			taken: []parts{{"fatal"}},
		},
		"parts that always come together are refused together": {
			play: func(e *evidence) {
				for range 4 {
					e.end("a", keys("common", "fatal"))
				}
			},
			refused: []parts{{"common", "fatal"}}, taken: []parts{{"common"}, {"fatal"}},
		},
		"a request that has all common parts explains an end rather than one that has some": {
			play: func(e *evidence) {
				for range 4 {
					e.end("a", keys("common", "fatal"), keys("common"))
				}
			},
			refused: []parts{{"common", "fatal"}}, taken: []parts{{"common"}},
		},
		"one more end tells common parts apart": {
			play: func(e *evidence) {
				for range 4 {
					e.end("a", keys("common", "fatal"))
				}
				e.end("a", keys("fatal"))
			},
			refused: []parts{{"fatal"}}, taken: []parts{{"common"}},
		},
		"a common part that servers survived is blamed less": {
			play: func(e *evidence) {
				e.survives(keys("common"))
				for range 4 {
					e.end("a", keys("common", "fatal"))
				}
			},
			refused: []parts{{"fatal"}}, taken: []parts{{"common"}},
		},
		"a popular part in a fleet that ends for other reasons": {
			play: func(e *evidence) {
				for range 20 {
					e.end("a", keys("popular"))
					e.survives(keys("popular"))
				}
			},
			taken: []parts{{"popular"}},
		},
		"a lost data centre": {
			play: func(e *evidence) {
				for range 20 {
					e.endNow("a", keys("popular"))
					e.now = e.now.Add(time.Millisecond)
				}
			},
			taken: []parts{{"popular"}},
		},
		"a survival afterwards lifts the blame": {
			play: func(e *evidence) {
				for range 5 {
					e.end("a", keys("popular"))
				}
				e.survives(keys("popular"))
			},
			taken: []parts{{"popular"}},
		},
		"servers that end again after a survival": {
			play: func(e *evidence) {
				e.survives(keys("fatal"))
				for range 3 {
					e.end("a", keys("fatal"))
				}
			},
			refused: []parts{{"fatal"}},
		},
		"a part of which only one request is known": {
			play: func(e *evidence) {
				for i := range 5 {
					e.now = e.now.Add(time.Second)
					e.AddEnd(End{Boot: advisory.Boot{ID: fmt.Sprint(i)}, At: e.now, Requests: []Request{{Own: keys("same"), Shared: keys("part")}}})
				}
			},
			taken: []parts{{"part"}},
		},
		"two causes at once": {
			play: func(e *evidence) {
				for range 5 {
					e.end("a", keys("fatal"))
					e.end("b", keys("deadly"))
				}
			},
			refused: []parts{{"fatal"}, {"deadly"}},
		},
		"a blame lapses, and the next end renews it": {
			play: func(e *evidence) {
				for range 3 {
					e.end("a", keys("lapsed"))
				}
				e.now = e.now.Add(holdTime)
				for range 3 {
					e.end("a", keys("renewed"))
				}
				e.now = e.now.Add(holdTime)
				e.end("a", keys("renewed"))
			},
			refused: []parts{{"renewed"}}, taken: []parts{{"lapsed"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEvidence()
			test.play(e)
			for _, p := range test.refused {
				is.True(e.Blamed(Request{Shared: keys(p...)}, e.now) != nil) // refused
			}
			for _, p := range test.taken {
				is.True(e.Blamed(Request{Shared: keys(p...)}, e.now) == nil) // taken
			}
		})
	}
}

// TestRepetitionsOfOneRequestAreBlamed ends servers under one request of one caller, while
// others that send the same survive.
func TestRepetitionsOfOneRequestAreBlamed(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	fatal, another := Request{Own: keys("content", "caller")}, Request{Own: keys("content", "another")}
	for i := range 3 {
		is.True(e.Blamed(fatal, e.now) == nil)
		e.AddEnd(End{Boot: advisory.Boot{ID: fmt.Sprint(i)}, At: e.now, Requests: []Request{fatal, {Own: keys(fmt.Sprint("bystander", i))}}})
		e.now = e.now.Add(time.Second)
	}
	is.True(e.Blamed(fatal, e.now) != nil)
	is.True(e.Blamed(another, e.now) == nil)
	is.Equal(e.AddSurvived(another, e.now), keys("content"))
	is.True(e.Blamed(fatal, e.now) != nil)
	is.Equal(e.Blamed(fatal, e.now).Causes, keys("caller"))
}

func TestOrganisationsAreNotBlamedForEachOther(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for range 5 {
		e.end("a", keys("fatal"))
	}
	is.True(e.Blamed(Request{Shared: keys("fatal")}, e.now) != nil)
	is.True(e.Blamed(Request{Shared: []Key{PartKey("another", "fatal")}}, e.now) == nil)
}

// TestRequestsWithoutIdentityAreIgnored reports requests as a faulty peer might.
func TestRequestsWithoutIdentityAreIgnored(t *testing.T) {
	r := NewRecord()
	for i := range 5 {
		r.AddEnd(End{Boot: advisory.Boot{ID: fmt.Sprint(i)}, At: began.Add(time.Duration(i) * time.Second), Requests: []Request{{Shared: keys("fatal")}}})
	}
	is.New(t).Equal(len(r.Blames(began)), 0)
}

func TestObservationsOfOneEndAddUp(t *testing.T) {
	is := is.New(t)
	r := NewRecord()
	for i := range 5 {
		for entry := range 3 {
			r.AddEnd(End{Boot: advisory.Boot{ID: fmt.Sprint(i)}, At: began.Add(time.Duration(i) * time.Second), Requests: []Request{{Own: keys(fmt.Sprint("own", i, entry)), Shared: keys("fatal")}}})
		}
	}
	all := r.Blames(began)
	is.Equal(len(all), 1)
	is.Equal(all[0].Ends, 5)
	is.Equal(all[0].Requests, 15)
	is.Equal(all[0].Servers, []string{"4", "3", "2", "1", "0"})
}

// TestEvidenceIsReadWhileItGrows has entries report ends, each earlier than the one before it,
// while requests are judged.
func TestEvidenceIsReadWhileItGrows(t *testing.T) {
	r := NewRecord()
	q := Request{Own: keys("own"), Shared: keys("fatal")}
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			for n := range 200 {
				at := began.Add(-time.Duration(n) * time.Millisecond)
				r.AddEnd(End{Boot: advisory.Boot{ID: fmt.Sprint(n % 5)}, At: at, Requests: []Request{{Own: keys(fmt.Sprint(i, n)), Shared: keys("fatal")}, q}})
			}
		})
		all.Go(func() {
			for range 2000 {
				if end, _ := r.Suspected(q, began); end != nil && end.At.After(began) {
					t.Error("an end is later than it was reported")
				}
				r.Blamed(q, began)
			}
		})
	}
	all.Wait()
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 4 * maxEnds {
		e.end("a", keys(fmt.Sprint("a", i)), keys(fmt.Sprint("b", i)))
	}
	is.Equal(len(e.Record.ends), maxEnds)
	is.Equal(len(e.current.Load().suspects), 4*maxEnds)
	for i := range 5 * maxSurvived {
		e.AddSurvived(Request{Shared: keys(fmt.Sprint(i))}, e.now)
	}
	is.True(len(e.Record.survived.present)+len(e.Record.survived.former) <= 2*maxSurvived)
}
