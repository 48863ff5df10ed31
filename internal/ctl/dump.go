package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxDumpBytes bounds the dump of one process.
const maxDumpBytes = 64 << 20

const dumpHelp = `Prints the state of a process as JSON. ADDR is its listen.admin address.

EXAMPLES
  samphirectl dump 10.0.0.7:7001
  samphirectl dump -timeout 10s 10.0.0.7:7001

EXIT CODES
  0 success, 1 the process does not answer, 2 wrong usage`

func (p *printer) dumpCommand() *ffcli.Command {
	fs := p.flags("samphirectl dump")
	timeout := fs.Duration("timeout", 5*time.Second, "time to wait for the process")
	fs.Bool("json", true, "the result is always JSON")
	return p.command("dump", "samphirectl dump [-timeout D] ADDR", "print the state of a process as JSON", dumpHelp, fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("give one ADDR, the listen.admin address of a process")
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			state, err := readState(ctx, args[0])
			if err != nil {
				return err
			}
			_, err = p.out.Write(state)
			return errors.Trace(err)
		})
}

// readState returns the state dump of the process at an admin address.
func readState(ctx context.Context, addr string) ([]byte, error) {
	return readJSON(ctx, addr, "/debug/state")
}

// readJSON returns what the admin interface at an address answers to a path.
func readJSON(ctx context.Context, addr, path string) ([]byte, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, usagef("address %q: give an IP address and a port, such as 10.0.0.7:7001", addr)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "no answer; give the listen.admin address of a running process")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answered %s; give the listen.admin address of a process", addr, resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDumpBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "the answer of %s broke off; try again", addr)
	}
	if len(data) > maxDumpBytes {
		return nil, errors.Errorf("the answer of %s is longer than %d MiB; read http://%s%s directly", addr, maxDumpBytes>>20, addr, path)
	}
	if !json.Valid(data) {
		return nil, errors.Errorf("%s answered no state; give the listen.admin address of a process", addr)
	}
	return data, nil
}
