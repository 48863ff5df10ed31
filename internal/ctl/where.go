package ctl

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const whereHelp = `Shows as JSON where an entry on the users' platform would send a request now, and
why: the route, the quota of the organisation, what drops each server, the parts of
its cost in milliseconds, the ages of what is known, and the refusal if there is one.
Nothing is sent, queued or charged. ADDR is the entry's admin address.

EXAMPLES
  samphirectl where -host h.example -path /ledger/ 10.0.0.7:7675
  samphirectl where -host h.example -path /llm/ -organisation north -prompt 5000 -answer 400 10.0.0.7:7675

EXIT CODES
  0 success, 1 the process does not answer, 2 wrong usage`

func (p *printer) whereCommand() *ffcli.Command {
	fs := p.flags("samphirectl where")
	host := fs.String("host", "", "host of the request")
	path := fs.String("path", "/", "path of the request")
	organisation := fs.String("organisation", "", "name of the caller's organisation")
	prompt := fs.Int("prompt", 0, "length of the prompt in tokens")
	answer := fs.Int("answer", 0, "length of the longest answer in tokens")
	timeout := fs.Duration("timeout", 5*time.Second, "time to wait for the process")
	fs.Bool("json", true, "the result is always JSON")
	return p.command("where", "samphirectl where -host HOST -path PATH [flags] ADDR", "show where a request would go now, and why", whereHelp, fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 || *host == "" {
				return usagef("give -host and one ADDR, the admin address of an entry")
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			query := url.Values{
				"host": {*host}, "path": {*path}, "organisation": {*organisation},
				"prompt": {strconv.Itoa(*prompt)}, "answer": {strconv.Itoa(*answer)},
			}
			out, err := readJSON(ctx, args[0], "/debug/where?"+query.Encode())
			if err != nil {
				return err
			}
			_, err = p.out.Write(out)
			return errors.Trace(err)
		})
}
