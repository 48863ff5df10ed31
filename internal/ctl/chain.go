package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/strictyaml"
	"github.com/samphirestream/samphirestream/internal/surroundings"
)

// readNote reads and parses a file with a release note.
func readNote(file string) (release.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return release.Document{}, errors.Annotate(err, "reading a release note")
	}
	doc, err := release.Parse(raw)
	return doc, invalid(err, file)
}

// invalid marks an error of a check, and names the file in its problems.
func invalid(err error, file string) error {
	if err == nil {
		return nil
	}
	return errors.WithType(strictyaml.InFile(err, file), errInvalid)
}

// foldFiles applies the notes in files to a fold, in order.
func foldFiles(fold *release.Fold, files []string) (*release.Fold, release.Document, error) {
	var last release.Document
	for _, file := range files {
		doc, err := readNote(file)
		if err != nil {
			return nil, doc, err
		}
		next, err := fold.Apply(doc)
		if err != nil {
			return nil, doc, invalid(err, file)
		}
		fold, last = next, doc
	}
	return fold, last, nil
}

// splitFiles splits a list of files at commas.
func splitFiles(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// published reads the chain of a configuration service.
type published struct{ client *surroundings.Client }

func newPublished(service string) published {
	return published{surroundings.NewClient(strings.TrimSuffix(service, "/"), "")}
}

// head returns the number of the latest note.
func (p published) head(ctx context.Context) (uint64, error) {
	n, err := p.client.Head(ctx, 0, 0)
	return n, errors.Annotate(err, "give the URL of the configuration service with -service")
}

// fold returns the state after a note, and the note.
func (p published) fold(ctx context.Context, number uint64) (*release.Fold, release.Document, error) {
	fold, last := release.Empty(), release.Document{}
	for n := uint64(1); n <= number; n++ {
		raw, err := p.client.Note(ctx, n)
		if err != nil {
			return nil, last, errors.Annotate(err, "give the number of a published note")
		}
		if last, err = release.Parse(raw); err == nil {
			fold, err = fold.Apply(last)
		}
		if err != nil {
			return nil, last, errors.Annotatef(err, "published note %d", n)
		}
	}
	return fold, last, nil
}

// predecessors returns the state that the flags -fold or -service name.
func predecessors(ctx context.Context, files, service string) (*release.Fold, error) {
	switch {
	case files != "" && service != "":
		return nil, usagef("-fold and -service contradict each other: give one")
	case service != "":
		p := newPublished(service)
		head, err := p.head(ctx)
		if err != nil {
			return nil, err
		}
		fold, _, err := p.fold(ctx, head)
		return fold, err
	default:
		fold, _, err := foldFiles(release.Empty(), splitFiles(files))
		return fold, err
	}
}
