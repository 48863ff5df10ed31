package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestJudgeFindsRequestsAgainstTheWordOfAServer plays arrivals that keep or break what a server
// said.
func TestJudgeFindsRequestsAgainstTheWordOfAServer(t *testing.T) {
	start := time.Now()
	type got struct {
		seconds    float64
		limit      float64
		leaving    bool
		retryAfter time.Duration
		born       int64
	}
	many := func(from, step float64, n int, g got) []got {
		var out []got
		for i := range n {
			g.seconds = from + step*float64(i)
			out = append(out, g)
		}
		return out
	}
	for name, tc := range map[string]struct {
		arrivals  []got
		disturbed float64 // when the entry was; 0: never
		broken    bool
	}{
		"within the limit":       {many(0, 0.5, 40, got{limit: 2}), 0, false},
		"above the limit":        {many(0, 0.1, 100, got{limit: 2}), 0, true},
		"above it, entry killed": {many(0, 0.1, 50, got{limit: 2}), 2.5, false},
		"leaving, at once":       {many(0, 0.5, 4, got{leaving: true}), 0, false},
		"leaving, later":         {many(0, 1, 6, got{leaving: true}), 0, true},
		"another life":           {append(many(0, 1, 2, got{leaving: true}), many(5, 1, 9, got{born: 1})...), 0, false},
		"another life leaves":    {append(many(0, 1, 2, got{leaving: true}), many(7, 0.1, 2, got{leaving: true, born: 1})...), 0, false},
		"leaves, and not":        {append(append(many(0, 1, 2, got{leaving: true}), got{seconds: 3}), many(7, 0.1, 2, got{leaving: true})...), 0, true},
		"left alone":             {append(many(0, 0.1, 3, got{retryAfter: 4 * time.Second}), many(5, 0.1, 9, got{})...), 0, false},
		"started again":          {append(many(0, 0.1, 3, got{retryAfter: 4 * time.Second}), many(2, 0.1, 9, got{born: 1})...), 0, false},
		"the same boot":          {append(many(0, 0.1, 3, got{retryAfter: 4 * time.Second}), many(2, 0.1, 9, got{})...), 0, true},
		"not left alone":         {many(0, 0.5, 9, got{retryAfter: 4 * time.Second}), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
			s, results := &server{id: "s0"}, map[string]result{}
			d := &disturbances{all: map[string][]time.Time{}}
			if tc.disturbed > 0 {
				d.all["entry1"] = []time.Time{at(tc.disturbed)}
			}
			for i, g := range tc.arrivals {
				id := fmt.Sprint("r", i)
				results[id] = result{id: id, entry: 1, sent: at(g.seconds)}
				a := arrival{id: id, at: at(g.seconds), limit: g.limit, leaving: g.leaving, retryAfter: g.retryAfter, born: g.born}
				if g.limit > 0 {
					a.limitSince = start
				}
				s.advice.arrivals = append(s.advice.arrivals, a)
			}
			is.Equal(len(judgeAdvice(s, results, d)) > 0, tc.broken)
		})
	}
}

// TestBrokenStreamsAreFound joins parts of streams as callers do.
func TestBrokenStreamsAreFound(t *testing.T) {
	one, two := event("a", 1, "v1"), event("a", 2, "v1")
	for name, tc := range map[string]struct {
		parts  []string
		broken bool
	}{
		"one part":              {[]string{one + two}, false},
		"taken up":              {[]string{one, two}, false},
		"cut within an event":   {[]string{one + two[:10], two}, false},
		"nothing was received":  {[]string{"", one + two}, false},
		"two versions":          {[]string{one, event("a", 2, "v2")}, true},
		"an event missing":      {[]string{one, event("a", 3, "v1")}, true},
		"an event twice":        {[]string{one, one + two}, true},
		"going back":            {[]string{one + two, one}, true},
		"of another stream":     {[]string{one, event("b", 2, "v1")}, true},
		"versions in one part":  {[]string{one + event("a", 2, "v2")}, true},
		"the first one missing": {[]string{two}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var results []result
			for _, body := range tc.parts {
				results = append(results, result{id: "a", stream: "a", status: 200, events: usual.eventCount, body: body})
			}
			is.New(t).Equal(len(brokenStreams(results)) > 0, tc.broken)
		})
	}
}
