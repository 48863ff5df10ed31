package release

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrFork reports two different notes with the same number.
const ErrFork = errors.ConstError("two release notes carry one number; keep the first and publish a new note")

// Bounds on the published notes that a store keeps. Processes that lack older notes
// receive a snapshot instead.
const (
	maxKeptNotes = 512
	maxKeptBytes = 4 << 20
)

// Fork describes a note that was refused because the chain has another note with the
// same number.
type Fork struct {
	Number  uint64 `json:"number"`
	Kept    string `json:"kept_digest"`
	Refused string `json:"refused_digest"`
}

// Store holds the fleet state in force in this process and the latest notes that
// led to it. The number of the note in force never decreases. Current and Latest
// take no lock; writers are serialised.
type Store struct {
	// current is the fleet state in force. It stays empty while activation is
	// deferred.
	current atomic.Pointer[FleetState]
	// latest is the fleet state at the end of the verified chain.
	latest atomic.Pointer[FleetState]

	mu        sync.Mutex // guards the fields below; forks is also read without it
	deferred  bool
	kept      []Document // the last notes of the chain, up to the number of latest
	keptBytes int
	changed   chan struct{}
	lastFork  Fork
	forks     atomic.Int64
}

// NewStore returns a store in which no note is in force.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	empty := EmptyState()
	s.current.Store(empty)
	s.latest.Store(empty)
	return s
}

// Current returns the fleet state in force.
func (s *Store) Current() *FleetState { return s.current.Load() }

// Latest returns the fleet state at the end of the verified chain. It is in force
// unless activation is deferred.
func (s *Store) Latest() *FleetState { return s.latest.Load() }

// DeferActivation defers the activation of notes until Activate, for a starting
// process that may not have received the latest notes yet. It has no effect once a
// note is in force.
func (s *Store) DeferActivation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferred = s.Current().Number == 0
}

// Activate brings the end of the chain into force. From then on, later notes come
// into force as soon as they are applied.
func (s *Store) Activate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferred = false
	s.activateLatestLocked()
}

// Forks returns the number of conflicting notes that were refused.
func (s *Store) Forks() int64 { return s.forks.Load() }

// LastFork returns the last conflict, if there was one.
func (s *Store) LastFork() (Fork, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFork, s.forks.Load() > 0
}

// Changed returns a channel that is closed when the next note comes into force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Document returns a note of the chain by number, if the store still keeps it.
func (s *Store) Document(number uint64) (Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documentLocked(number)
}

func (s *Store) documentLocked(number uint64) (Document, bool) {
	last := s.latest.Load().Number
	if number > last || last-number >= uint64(len(s.kept)) {
		return Document{}, false
	}
	return s.kept[uint64(len(s.kept))-1-(last-number)], true
}

// Since returns the kept notes after a number, in order, up to limit bytes in total.
// ok is false when there is no next note, or it is not kept or exceeds the limit.
func (s *Store) Since(after uint64, limit int) (docs []Document, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number := after + 1; number <= s.latest.Load().Number; number++ {
		d, kept := s.documentLocked(number)
		if !kept || len(d.Raw) > limit {
			break
		}
		limit -= len(d.Raw)
		docs = append(docs, d)
	}
	return docs, len(docs) > 0
}

// Apply appends the next note to the chain. A note that the chain already contains is
// accepted without effect, and so is, unchecked, a note whose number the store no longer
// keeps. The error is ErrFork for a different note with a number of the chain.
func (s *Store) Apply(d Document) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Note.Number <= s.latest.Load().Number {
		return s.checkDigestLocked(d.Note.Number, d.Digest)
	}
	next, err := s.latest.Load().Apply(d)
	if err != nil {
		return errors.Trace(err)
	}
	s.kept = append(s.kept, d)
	s.keptBytes += len(d.Raw)
	s.trimLocked()
	s.latest.Store(next)
	s.activateLatestLocked()
	return nil
}

// CheckDigest compares the digest that another process has for a note, or a prefix
// of it, with the chain. The error is ErrFork when they differ. A number that the
// store does not keep can not be compared; the result is then nil.
func (s *Store) CheckDigest(number uint64, digest string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkDigestLocked(number, digest)
}

// checkDigestLocked implements CheckDigest and counts conflicts.
func (s *Store) checkDigestLocked(number uint64, digest string) error {
	expected := s.latest.Load().Digest
	if number != s.latest.Load().Number {
		d, ok := s.documentLocked(number)
		if !ok {
			return nil
		}
		expected = d.Digest
	}
	if strings.HasPrefix(expected, digest) {
		return nil
	}
	s.forks.Add(1)
	s.lastFork = Fork{Number: number, Kept: expected, Refused: digest}
	return errors.Annotatef(ErrFork, "note %d", number)
}

// InstallSnapshot replaces the end of the chain by a later snapshot, whose digests
// the caller has verified. A snapshot that is not later has no effect; the error is
// ErrFork if it contradicts the chain.
func (s *Store) InstallSnapshot(state *FleetState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Number <= s.latest.Load().Number {
		return s.checkDigestLocked(state.Number, state.Digest)
	}
	s.kept, s.keptBytes = nil, 0
	s.latest.Store(state)
	s.activateLatestLocked()
	return nil
}

// trimLocked drops the oldest notes beyond the bounds.
func (s *Store) trimLocked() {
	for len(s.kept) > maxKeptNotes || (s.keptBytes > maxKeptBytes && len(s.kept) > 1) {
		s.keptBytes -= len(s.kept[0].Raw)
		s.kept[0] = Document{}
		s.kept = s.kept[1:]
	}
}

// activateLatestLocked brings the end of the chain into force, unless activation is
// deferred.
func (s *Store) activateLatestLocked() {
	if s.deferred || s.current.Load() == s.latest.Load() {
		return
	}
	s.current.Store(s.latest.Load())
	close(s.changed)
	s.changed = make(chan struct{})
}
