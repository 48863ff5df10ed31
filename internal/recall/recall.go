// Package recall finds out from a registry which servers it held before a process that has started
// lately first read it. Every change raises the revision of the registry by one. Many revisions are
// those in which a present item was created or last written; of the others the registry's history
// tells, for as long as it is kept. Changes bear no times: one that the history no longer has is
// older than that.
package recall

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// Change is the last write of a present registration, or a change in the history.
type Change struct {
	ID string
	// Revision is that of the change, and Created that in which the registration was made; 0 if
	// unknown.
	Revision, Created uint64
	Removed           bool
	// Server is nil for removals, and for registrations that name no usable server.
	Server *directory.Server
}

// Source is a registry.
type Source interface {
	// Present returns the present registrations, and a state of the registry of which they lack
	// nothing.
	Present(ctx context.Context) ([]Change, directory.Version, error)
	// After returns all changes of registrations after a revision. It fails with ErrRemoved if the
	// history no longer has them.
	After(ctx context.Context, revision uint64) ([]Change, error)
}

// Errors of Read.
var (
	ErrRemoved = errors.New("the history no longer reaches back so far")
	ErrGap     = errors.New("the history has a gap")
	errTooLong = errors.New("the history is too long to be read")
)

const (
	// MaxCalls bounds the questions about the history in one read.
	MaxCalls = 16
	// maxUnaccounted is the number of changes that are looked for in the history at most, from the
	// newest one on.
	maxUnaccounted = 4096
	// clockError is the time by which the clocks of VMs may differ.
	clockError = 2 * time.Second
	// firstEra is the era of a registry that has not come back from an older copy.
	firstEra = 1
)

// Options configure Read.
type Options struct {
	// Kept is the time for which the registry keeps its history; 0 if unknown.
	Kept time.Duration
	// Others are revisions of known changes of other items.
	Others []uint64
}

// Past is what Read has found out.
type Past struct {
	// Whole is set if nothing was before it. Otherwise all changes within Kept are known.
	Whole bool
	// After is a revision after which all changes are known.
	After uint64
	// Roles are those that servers had, besides the present ones.
	Roles []directory.Role
}

// Read reads the past of a registry. In doubt it fails.
func Read(ctx context.Context, s Source, o Options) (*Past, error) {
	present, at, err := s.Present(ctx)
	if err != nil {
		return nil, err
	}
	if at.Era > firstEra {
		return nil, errors.Annotate(ErrGap, "it came back from an older copy")
	}
	p, changes, err := search(ctx, s, unaccounted(present, o.Others, at.Revision))
	if err != nil {
		return nil, err
	}
	if !p.Whole {
		if err := checkKept(ctx, s, present, o.Kept); err != nil {
			return nil, err
		}
	}
	p.Roles, err = rolesIn(changes)
	return p, err
}

// unaccounted returns the revisions up to a given one of which the present items tell nothing, the
// newest first.
func unaccounted(present []Change, others []uint64, newest uint64) (out []uint64) {
	known := map[uint64]bool{}
	for _, r := range others {
		known[r] = true
	}
	for _, c := range present {
		known[c.Revision], known[c.Created] = true, true
	}
	for r := newest; r > 0 && len(out) < maxUnaccounted; r-- {
		if !known[r] {
			out = append(out, r)
		}
	}
	return out
}

// search finds how many of the missing changes the history has: in growing steps from the newest
// one on until one was removed, and then in halves between. It returns the changes from the last
// one on.
func search(ctx context.Context, s Source, missing []uint64) (*Past, []Change, error) {
	var changes []Change
	held, removed := -1, len(missing) // indices of changes that the history has, and has no longer
	for calls, step := 0, 1; held+1 < removed; calls++ {
		if calls == MaxCalls {
			return nil, nil, errTooLong
		}
		next := min(held+step, len(missing)-1)
		if removed < len(missing) {
			next = (held + removed) / 2
		}
		found, err := s.After(ctx, missing[next]-1)
		switch {
		case errors.Is(err, ErrRemoved):
			removed = next
		case err != nil:
			return nil, nil, err
		default:
			held, changes = next, found
		}
		step *= 2
	}
	switch {
	case removed < len(missing):
		return &Past{After: missing[removed]}, changes, nil
	case len(missing) == maxUnaccounted:
		return nil, nil, errTooLong
	}
	return &Past{Whole: true}, changes, nil
}

// checkKept returns an error if the registry has discarded changes that it should still have. It
// keeps changes for a time, and so the registrations of present servers that started within it.
func checkKept(ctx context.Context, s Source, present []Change, kept time.Duration) error {
	if kept <= 0 {
		return errors.Annotate(ErrGap, "it is not known for how long it is kept")
	}
	oldest := uint64(0)
	for _, c := range present {
		young := c.Server != nil && time.Since(time.UnixMilli(c.Server.Started)) < kept-clockError
		if young && c.Created > 0 && (oldest == 0 || c.Created < oldest) {
			oldest = c.Created
		}
	}
	if oldest == 0 {
		return nil
	}
	_, err := s.After(ctx, oldest-1)
	return errors.Annotate(err, "registrations that should be in the history")
}

// rolesIn returns the roles that servers had according to changes. It fails if they tell of a
// server that left, and not what it was.
func rolesIn(changes []Change) ([]directory.Role, error) {
	written, seen := map[string]bool{}, map[directory.Role]bool{}
	var out []directory.Role
	for _, c := range changes {
		if c.Removed && !written[c.ID] {
			return nil, errors.Annotatef(ErrGap, "it doesn't tell what %s was", c.ID)
		}
		written[c.ID] = true
		if c.Server != nil && !seen[c.Server.Role()] {
			seen[c.Server.Role()] = true
			out = append(out, c.Server.Role())
		}
	}
	return out, nil
}
