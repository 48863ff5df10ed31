package ctl

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirestream/samphirestream/internal/explain"
)

const explainHelp = `Shows the timeline of one request from the logs of the entries: its decisions in
order with their inputs, how it ended and which decision led there, and the changes
of state that the entry recorded for the servers of the request. FILE - is the
standard input.

EXAMPLES
  samphirectl explain 9c41d07be2a35f68 front-*.log
  samphirectl explain -json 9c41d07be2a35f68 front-*.log

EXIT CODES
  0 success, 1 a file can not be read or no line names the request, 2 wrong usage`

func (p *printer) explainCommand() *ffcli.Command {
	fs := p.flags("samphirectl explain")
	asJSON := jsonFlag(fs)
	return p.command("explain", "samphirectl explain [-json] REQUEST-ID FILE...", "show what happened to a request", explainHelp, fs,
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usagef("give the ID of a request and the log files of the entries")
			}
			return p.explain(args[0], args[1:], *asJSON)
		})
}

func (p *printer) explain(request string, files []string, asJSON bool) error {
	var lines []explain.Line
	for _, file := range files {
		more, skipped, err := readLog(file)
		if err != nil {
			return err
		}
		if skipped > 0 {
			fmt.Fprintf(p.errOut, "samphirectl: %s: passed over %d lines that are no JSON log lines\n", file, skipped)
		}
		lines = append(lines, more...)
	}
	timeline, ok := explain.Reconstruct(request, lines)
	if !ok {
		return errors.NotFoundf("request %q in %d lines; give the logs of all entries for the time of the request;", request, len(lines))
	}
	if asJSON {
		return p.writeJSON(timeline)
	}
	p.showTimeline(timeline)
	return nil
}

// readLog reads a log file, or the standard input for "-". It also returns the number
// of lines that are not JSON log lines.
func readLog(file string) ([]explain.Line, int, error) {
	if file == "-" {
		return explain.Read(os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, errors.Annotate(err, "reading a log")
	}
	defer f.Close()
	return explain.Read(f)
}

// timeOfDay is the format of log times, to the millisecond.
const timeOfDay = "15:04:05.000"

// showTimeline prints the outcome of a request, the decision that led there, and the
// log lines about the request and its servers.
func (p *printer) showTimeline(timeline *explain.Timeline) {
	p.printf("request %s: %s\n", timeline.Request, timeline.Outcome)
	if timeline.Cause != nil {
		p.printf("decided by: %s\n", describeLine(*timeline.Cause))
	}
	p.printf("\nits decisions:\n")
	p.showLines(timeline.Lines)
	if len(timeline.Context) > 0 {
		p.printf("\nwhat its entry learnt around that time:\n")
		p.showLines(timeline.Context)
	}
	for _, kind := range slices.Sorted(maps.Keys(timeline.Dropped)) {
		p.printf("\n%d lines %q were left out of the log\n", timeline.Dropped[kind], kind)
	}
}

func (p *printer) showLines(lines []explain.Line) {
	for _, l := range lines {
		p.printf("  %s %s  %s\n", l.At.Format(timeOfDay), l.Node, describeLine(l))
	}
}

// describeLine returns the message and fields of a line, without its time and
// process.
func describeLine(l explain.Line) string {
	var b strings.Builder
	b.WriteString(l.Msg)
	for _, k := range l.Keys() {
		fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}
