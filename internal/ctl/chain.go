package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/controlplane"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// readNote reads and parses a file with a release note.
func readNote(file string) (release.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return release.Document{}, errors.Annotate(err, "reading a release note")
	}
	doc, err := release.Parse(raw)
	return doc, markInvalid(err, file)
}

// markInvalid marks an error as the failure of a check, for ExitInvalid, and adds the
// file to its problems.
func markInvalid(err error, file string) error {
	if err == nil {
		return nil
	}
	return errors.WithType(strictyaml.SetFile(err, file), errInvalid)
}

// applyFiles applies the notes in files to a fleet state, in order.
func applyFiles(state *release.FleetState, files []string) (*release.FleetState, release.Document, error) {
	var last release.Document
	for _, file := range files {
		doc, err := readNote(file)
		if err != nil {
			return nil, doc, err
		}
		next, err := state.Apply(doc)
		if err != nil {
			return nil, doc, markInvalid(err, file)
		}
		state, last = next, doc
	}
	return state, last, nil
}

// splitFiles splits a list of files at commas.
func splitFiles(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// publishedChain reads the chain of release notes of a configuration service.
type publishedChain struct{ client *controlplane.Client }

func newPublishedChain(service string) publishedChain {
	return publishedChain{controlplane.NewClient(strings.TrimSuffix(service, "/"), "")}
}

// head returns the number of the latest note.
func (p publishedChain) head(ctx context.Context) (uint64, error) {
	n, err := p.client.Head(ctx, 0, 0)
	return n, errors.Annotate(err, "give the URL of the configuration service with -service")
}

// state returns the state of the fleet after the note with this number, and the note.
func (p publishedChain) state(ctx context.Context, number uint64) (*release.FleetState, release.Document, error) {
	state, last := release.EmptyState(), release.Document{}
	for n := uint64(1); n <= number; n++ {
		raw, err := p.client.Note(ctx, n)
		if err != nil {
			return nil, last, errors.Annotate(err, "give the number of a published note")
		}
		if last, err = release.Parse(raw); err == nil {
			state, err = state.Apply(last)
		}
		if err != nil {
			return nil, last, errors.Annotatef(err, "published note %d", n)
		}
	}
	return state, last, nil
}

// predecessors returns the state of the fleet after the notes that the flag -fold or
// -service selects; the empty state without either.
func predecessors(ctx context.Context, files, service string) (*release.FleetState, error) {
	switch {
	case files != "" && service != "":
		return nil, usagef("-fold and -service contradict each other: give one")
	case service != "":
		p := newPublishedChain(service)
		head, err := p.head(ctx)
		if err != nil {
			return nil, err
		}
		state, _, err := p.state(ctx, head)
		return state, err
	default:
		state, _, err := applyFiles(release.EmptyState(), splitFiles(files))
		return state, err
	}
}
