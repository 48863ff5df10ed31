package ctl

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

func (p *printer) noteCommand() *ffcli.Command {
	return p.group("note", "samphirectl note check|diff|show [flags] [arguments]", "check, compare and show release notes",
		"Release notes form a chain: each names the digest of the one before it. The\nformat is in docs/OPERATIONS.md.",
		p.noteCheck(), p.noteDiff(), p.noteShow())
}

const noteCheckHelp = `Checks release notes against the state that their predecessors leave, before they
are published. Without flags, the files are the whole chain in order, the new
note last. Warnings name models and services without the servers that they
need: the note is valid, but requests for them fail.

EXAMPLES
  samphirectl note check 1.yaml 2.yaml next.yaml
  samphirectl note check -fold 1.yaml,2.yaml next.yaml
  samphirectl note check -service http://10.0.0.2:9000 next.yaml

EXIT CODES
  0 valid, 1 a file or the service can not be read, 2 wrong usage, 3 invalid`

// checkResult is the result of a check.
type checkResult struct {
	Valid    bool                `json:"valid"`
	Number   uint64              `json:"number,omitempty"`
	Digest   string              `json:"digest,omitempty"`
	Warnings []string            `json:"warnings,omitempty"`
	Problems strictyaml.Problems `json:"problems,omitempty"`
}

func (p *printer) noteCheck() *ffcli.Command {
	fs := p.flags("samphirectl note check")
	files := fs.String("fold", "", "files with the notes before, in order, separated by commas")
	service := fs.String("service", "", "URL of the configuration service with the notes before")
	asJSON := jsonFlag(fs)
	return p.command("check", "samphirectl note check [-fold FILES | -service URL] [-json] FILE...", "check release notes before they are published", noteCheckHelp, fs,
		func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("no file: give the new note, and the notes before it with -fold or -service")
			}
			state, err := predecessors(ctx, *files, *service)
			if err != nil {
				return errors.Trace(err)
			}
			state, _, err = applyFiles(state, args)
			return p.showCheck(state, err, *asJSON)
		})
}

// showCheck prints the result of a check and returns the error of the check.
func (p *printer) showCheck(state *release.FleetState, err error, asJSON bool) error {
	if err != nil {
		if ps, ok := strictyaml.ProblemsOf(err); ok && asJSON {
			return errors.Trace(firstError(p.writeJSON(checkResult{Problems: ps}), err))
		}
		return err
	}
	result := checkResult{Valid: true, Number: state.Number, Digest: state.Digest, Warnings: unservedWarnings(state)}
	if asJSON {
		return p.writeJSON(result)
	}
	for _, w := range result.Warnings {
		p.printf("warning: %s\n", w)
	}
	p.printf("valid: note %d, digest %s\n", result.Number, result.Digest)
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// unservedWarnings returns a warning for each model without prefill or decode servers
// and each service without servers.
func unservedWarnings(state *release.FleetState) []string {
	var out []string
	for _, m := range state.Models() {
		prefill, decode := len(state.Pool(release.RolePrefill, m.Key())), len(state.Pool(release.RoleDecode, m.Key()))
		if prefill == 0 || decode == 0 {
			out = append(out, fmt.Sprintf("model %s has %d prefill and %d decode servers: requests for it fail", m.Key(), prefill, decode))
		}
	}
	for _, s := range state.Services() {
		if len(state.ServiceServers(s.Name)) == 0 {
			out = append(out, fmt.Sprintf("service %s has no servers: calls to it fail", s.Name))
		}
	}
	return out
}

const noteShowHelp = `Shows a release note: its digest, which the next note names as previous, and what
it adds, changes and withdraws.

EXAMPLES
  samphirectl note show next.yaml
  samphirectl note show -service http://10.0.0.2:9000
  samphirectl note show -service http://10.0.0.2:9000 -number 17 -json

EXIT CODES
  0 success, 1 a file or the service can not be read, 2 wrong usage, 3 invalid`

// noteView is the result of note show.
type noteView struct {
	Number   uint64   `json:"number"`
	Previous string   `json:"previous,omitempty"`
	Digest   string   `json:"digest"`
	Summary  string   `json:"summary,omitempty"`
	Changes  []change `json:"changes"`
}

// change is one item that a note adds, changes or withdraws.
type change struct {
	Action string `json:"action"`
	Item   string `json:"item"`
}

func (p *printer) noteShow() *ffcli.Command {
	fs := p.flags("samphirectl note show")
	service := fs.String("service", "", "URL of the configuration service")
	number := fs.Uint64("number", 0, "number of a published note; 0 for the latest")
	asJSON := jsonFlag(fs)
	return p.command("show", "samphirectl note show [-json] FILE | -service URL [-number N]", "show a release note and its digest", noteShowHelp, fs,
		func(ctx context.Context, args []string) error {
			doc, err := p.noteToShow(ctx, args, *service, *number)
			if err != nil {
				return err
			}
			view := newNoteView(doc)
			if *asJSON {
				return p.writeJSON(view)
			}
			p.showNote(view)
			return nil
		})
}

// noteToShow reads the note that the arguments and flags of note show select.
func (p *printer) noteToShow(ctx context.Context, args []string, service string, number uint64) (release.Document, error) {
	if (len(args) == 1) == (service != "") || len(args) > 1 {
		return release.Document{}, usagef("give one file, or -service")
	}
	if len(args) == 1 {
		return readNote(args[0])
	}
	published := newPublishedChain(service)
	if number == 0 {
		head, err := published.head(ctx)
		if err != nil {
			return release.Document{}, err
		}
		if number = head; head == 0 {
			return release.Document{}, errors.NotFoundf("a published note: publish note 1;")
		}
	}
	raw, err := published.client.Note(ctx, number)
	if err != nil {
		return release.Document{}, errors.Annotate(err, "give the number of a published note")
	}
	return release.Parse(raw)
}

func (p *printer) showNote(v noteView) {
	p.printf("note      %d\n", v.Number)
	if v.Previous != "" {
		p.printf("previous  %s\n", v.Previous)
	}
	p.printf("digest    %s\n", v.Digest)
	if v.Summary != "" {
		p.printf("summary   %s\n", v.Summary)
	}
	for _, c := range v.Changes {
		p.printf("%-9s %s\n", c.Action, c.Item)
	}
}

func newNoteView(doc release.Document) noteView {
	n := doc.Note
	v := noteView{Number: n.Number, Previous: n.Previous, Digest: doc.Digest, Summary: n.Summary, Changes: []change{}}
	add := func(action, kind string, names []string) {
		for _, name := range names {
			v.Changes = append(v.Changes, change{action, kind + " " + name})
		}
	}
	for _, part := range []struct {
		action string
		keys   release.ItemKeys
	}{{"added", n.Added.Keys()}, {"changed", n.Changed.Keys()}, {"withdrawn", n.Withdrawn}} {
		add(part.action, "model", part.keys.Models)
		add(part.action, "adapter", part.keys.Adapters)
		add(part.action, "backend_server", part.keys.BackendServers)
		add(part.action, "service", part.keys.Services)
		add(part.action, "provider", part.keys.Providers)
	}
	return v
}
