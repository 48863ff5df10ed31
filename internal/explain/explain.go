// Package explain tells the story of one request from the logs of the processes
// that it went through, with what those processes came to believe of the servers
// that it met.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Line is one line of a log.
type Line struct {
	// At is the clock of the process that wrote the line.
	At   time.Time `json:"ts"`
	Node string    `json:"node"`
	Msg  string    `json:"msg"`
	// Request is the ID of the request that the line is about, "" for none.
	Request string `json:"request,omitempty"`
	// Server is the backend server that the line is about, "" for none.
	Server string `json:"server,omitempty"`
	// Fields are all fields of the line.
	Fields map[string]any `json:"fields"`
}

// Story is what the logs tell of one request.
type Story struct {
	Request string `json:"request"`
	// Outcome is how the request ended, as the field of the same name or the
	// message of its last line.
	Outcome string `json:"outcome"`
	// Cause is the line that decided the end, with the inputs of the decision.
	Cause *Line `json:"cause,omitempty"`
	// Lines are those of the request, in order.
	Lines []Line `json:"lines"`
	// Context are the lines about servers that the request met, or about what the
	// process depends on, from contextBefore before the request until its end.
	Context []Line `json:"context"`
	// LeftOut are the lines that the processes left out of their logs, by kind.
	LeftOut map[string]int `json:"left_out,omitempty"`
}

// contextBefore is the time before a request in which changes of belief are
// told: a lost server's registration lapses within it.
const contextBefore = 10 * time.Second

// Outcomes of requests whose last line does not tell.
const (
	outcomeUnfinished = "unfinished"
	outcomeGone       = "caller gone"
)

// ends are the messages that end a request.
var ends = map[string]bool{"answered": true, "failed": true, "aborted": true, "caller gone": true, "server failed": true, "request not taken": true}

// decisive are the messages of decisions that make a request fail.
var decisive = map[string]bool{
	"refused by prediction": true, "refused before it was sent": true, "request not taken": true,
	"retry refused": true, "attempt failed": true, "response broken": true, "response without proof": true,
	"server failure": true, "server refused": true, "decode failed": true, "stream broken": true,
	"decode refused": true, "decode not reached": true, "prefill failed": true, "prefill refused": true, "prefill wasted": true,
}

// dependencies are the messages about what a whole process depends on.
var dependencies = map[string]bool{
	"store lost": true, "store regained": true, "reading the store again": true, "configuration read": true,
	"configuration ignored": true, "lifecycle": true, "started": true, "stopped": true, "peer lost": true, "settings reloaded": true,
}

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Read reads the lines of a log. Lines that are not JSON objects are counted and
// passed over.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		text := in.Bytes()
		if i := bytes.IndexByte(text, '{'); i > 0 {
			text = text[i:] // collectors put the name of the process in front
		}
		l, ok := parse(text)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Annotate(in.Err(), "reading the log")
}

func parse(text []byte) (Line, bool) {
	var l Line
	if json.Unmarshal(text, &l) != nil || l.Msg == "" || json.Unmarshal(text, &l.Fields) != nil {
		return Line{}, false
	}
	return l, true
}

// Tell tells the story of a request. It reports false when no line is about it.
func Tell(request string, lines []Line) (*Story, bool) {
	s := &Story{Request: request, Outcome: outcomeUnfinished, LeftOut: map[string]int{}}
	for _, l := range lines {
		if l.Request == request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return nil, false
	}
	byTime(s.Lines)
	s.end()
	s.gather(lines)
	return s, true
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// end finds the outcome, and the decision before it that led there.
func (s *Story) end() {
	last := -1
	for i, l := range s.Lines {
		if ends[l.Msg] {
			last = i
		}
	}
	if last < 0 {
		return
	}
	final := s.Lines[last]
	s.Outcome = final.Msg
	if o, ok := final.Fields["outcome"].(string); ok {
		s.Outcome = o
	}
	switch final.Msg {
	case "answered":
		return
	case outcomeGone:
		s.Cause = &s.Lines[last]
		return
	}
	for i := last; i >= 0; i-- {
		if decisive[s.Lines[i].Msg] {
			s.Cause = &s.Lines[i]
			return
		}
	}
	s.Cause = &s.Lines[last]
}

// gather collects what the processes of the request came to believe meanwhile.
func (s *Story) gather(lines []Line) {
	nodes, servers := map[string]bool{}, map[string]bool{}
	for _, l := range s.Lines {
		nodes[l.Node] = true
		for _, field := range []string{"server", "prefill", "decode"} {
			if id, ok := l.Fields[field].(string); ok {
				servers[id] = true
			}
		}
	}
	from, to := s.Lines[0].At.Add(-contextBefore), s.Lines[len(s.Lines)-1].At
	for _, l := range lines {
		if !nodes[l.Node] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		switch {
		case l.Msg == "log lines left out":
			kind, _ := l.Fields["kind"].(string)
			n, _ := l.Fields["count"].(float64)
			s.LeftOut[kind] += int(n)
		case l.Request != s.Request && (dependencies[l.Msg] || servers[l.Server] && beliefs[l.Msg]):
			s.Context = append(s.Context, l)
		}
	}
	byTime(s.Context)
}

// beliefs are the messages about what a process believes of a server.
var beliefs = map[string]bool{
	"server suspected": true, "server reached again": true, "server gone": true, "server registered": true,
	"registration removed": true, "stage ordered": true, "server paused": true, "server replaced": true, "prefill results lapse early": true,
}

// Keys returns the names of a line's fields beyond those that each line has, in
// order.
func (l Line) Keys() []string {
	var out []string
	for k := range l.Fields {
		switch k {
		case "ts", "node", "msg", "request", "level":
		default:
			out = append(out, k)
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
