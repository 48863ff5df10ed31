// Package explain reconstructs the timeline of one request from the logs of the
// processes that handled it, with the state changes that those processes logged
// about the servers involved.
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
	// At is the time by the clock of the process that wrote the line.
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

// Timeline is the timeline of one request.
type Timeline struct {
	Request string `json:"request"`
	// Outcome is the "outcome" field of the line that ended the request, or the
	// message of that line if it has no such field.
	Outcome string `json:"outcome"`
	// Cause is the line of the decision that led to the outcome, with the inputs of
	// the decision. It is nil for answered and unfinished requests.
	Cause *Line `json:"cause,omitempty"`
	// Lines are the lines of the request, by time.
	Lines []Line `json:"lines"`
	// Context are the lines about the servers of the request and the dependencies
	// of its processes, by time, from contextBefore before its first line to its
	// last line.
	Context []Line `json:"context"`
	// Dropped is the number of lines that the processes dropped from their logs in
	// the time of Context, by kind.
	Dropped map[string]int `json:"left_out,omitempty"`
}

// contextBefore is the time before a request from which context is included. The
// registration of a lost server expires within it.
const contextBefore = 10 * time.Second

// Outcomes that are not from an "outcome" field.
const (
	outcomeUnfinished         = "unfinished"
	outcomeCallerDisconnected = "caller gone"
)

// finalMessages are the messages of lines that end a request.
var finalMessages = map[string]bool{"answered": true, "failed": true, "aborted": true, "caller gone": true, "server failed": true, "request not taken": true}

// failureMessages are the messages of decisions that can make a request fail.
var failureMessages = map[string]bool{
	"refused by prediction": true, "refused before it was sent": true, "request not taken": true,
	"retry refused": true, "attempt failed": true, "response broken": true, "response withheld": true,
	"server failure": true, "server refused": true, "decode failed": true, "stream broken": true,
	"decode refused": true, "decode not reached": true, "prefill failed": true, "prefill refused": true, "prefill wasted": true,
	"decode not offered": true, "server ended under the request": true, "refused since servers end under it": true, "refused under suspicion": true, "stream of unknown origin": true,
}

// processMessages are the messages about a process as a whole and its dependencies.
var processMessages = map[string]bool{
	"store lost": true, "store regained": true, "reading the store again": true, "configuration read": true,
	"configuration ignored": true, "lifecycle": true, "started": true, "stopped": true, "peer lost": true, "settings reloaded": true,
}

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. It skips and counts lines that are not JSON
// objects with a message.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		text := in.Bytes()
		if i := bytes.IndexByte(text, '{'); i > 0 {
			text = text[i:] // log collectors prefix lines with the process name
		}
		l, ok := parseLine(text)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Annotate(in.Err(), "reading the log")
}

func parseLine(text []byte) (Line, bool) {
	var l Line
	if json.Unmarshal(text, &l) != nil || l.Msg == "" || json.Unmarshal(text, &l.Fields) != nil {
		return Line{}, false
	}
	return l, true
}

// Reconstruct returns the timeline of a request, or false if no line is about it.
func Reconstruct(request string, lines []Line) (*Timeline, bool) {
	tl := &Timeline{Request: request, Outcome: outcomeUnfinished, Dropped: map[string]int{}}
	for _, l := range lines {
		if l.Request == request {
			tl.Lines = append(tl.Lines, l)
		}
	}
	if len(tl.Lines) == 0 {
		return nil, false
	}
	sortByTime(tl.Lines)
	tl.resolveOutcome()
	tl.collectContext(lines)
	return tl, true
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// resolveOutcome sets the outcome by the last line that ends the request, and the
// cause to the last failure decision up to that line.
func (tl *Timeline) resolveOutcome() {
	last := -1
	for i, l := range tl.Lines {
		if finalMessages[l.Msg] {
			last = i
		}
	}
	if last < 0 {
		return
	}
	final := tl.Lines[last]
	tl.Outcome = final.Msg
	if o, ok := final.Fields["outcome"].(string); ok {
		tl.Outcome = o
	}
	switch final.Msg {
	case "answered":
		return
	case outcomeCallerDisconnected:
		tl.Cause = &tl.Lines[last]
		return
	}
	for i := last; i >= 0; i-- {
		if failureMessages[tl.Lines[i].Msg] {
			tl.Cause = &tl.Lines[i]
			return
		}
	}
	tl.Cause = &tl.Lines[last]
}

// collectContext sets Context and Dropped from the lines of the processes that
// handled the request.
func (tl *Timeline) collectContext(lines []Line) {
	nodes, servers := map[string]bool{}, map[string]bool{}
	for _, l := range tl.Lines {
		nodes[l.Node] = true
		for _, field := range []string{"server", "prefill", "decode"} {
			if id, ok := l.Fields[field].(string); ok {
				servers[id] = true
			}
		}
	}
	from, to := tl.Lines[0].At.Add(-contextBefore), tl.Lines[len(tl.Lines)-1].At
	for _, l := range lines {
		if !nodes[l.Node] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		switch {
		case l.Msg == "log lines left out":
			kind, _ := l.Fields["kind"].(string)
			n, _ := l.Fields["count"].(float64)
			tl.Dropped[kind] += int(n)
		case l.Request != tl.Request && (processMessages[l.Msg] || servers[l.Server] && serverMessages[l.Msg]):
			tl.Context = append(tl.Context, l)
		}
	}
	sortByTime(tl.Context)
}

// serverMessages are the messages about changes in the recorded state of a server.
var serverMessages = map[string]bool{
	"server suspected": true, "server reached again": true, "server gone": true, "server registered": true,
	"registration removed": true, "stage ordered": true, "server paused": true, "server replaced": true, "prefill results lapse early": true,
	"server names a limit": true, "server names its limit no longer": true, "server says that it leaves": true, "server wants nothing for a while": true,
}

// Keys returns the names of a line's fields in alphabetical order, without the
// common ones: time, node, message, request and level.
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
