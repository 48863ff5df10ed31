package gossip

import (
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/membership"
	"github.com/samphirestream/samphirestream/internal/release"
)

// ServiceNotes is the name of the RPC service that peers pull notes from.
const ServiceNotes = "Notes"

// maxBulkBytes bounds the notes in one SinceReply.
const maxBulkBytes = 4 << 20

// SinceArgs asks for the notes after a number.
type SinceArgs struct {
	After uint64 `cbor:"1,keyasint"`
}

// SinceReply holds the notes, or a snapshot when the store no longer keeps the next
// note.
type SinceReply struct {
	From     string   `cbor:"1,keyasint"`
	Notes    [][]byte `cbor:"2,keyasint,omitempty"`
	Snapshot []byte   `cbor:"3,keyasint,omitempty"`
}

// NotesService is the RPC service for notes that do not fit datagrams.
type NotesService struct {
	Self  string
	Store *release.Store
}

// Since returns the notes after a number.
func (s *NotesService) Since(args SinceArgs, reply *SinceReply) error {
	reply.From = s.Self
	docs, ok := s.Store.Since(args.After, maxBulkBytes)
	for _, d := range docs {
		reply.Notes = append(reply.Notes, d.Raw)
	}
	latest := s.Store.Latest()
	if ok || latest.Number <= args.After {
		return nil
	}
	var err error
	reply.Snapshot, err = latest.Snapshot()
	return errors.Trace(err)
}

// Dump is the state of a node, for operators.
type Dump struct {
	State string `json:"state"`
	// Note is the latest verified note. It is in force once State is Current.
	Note       uint64 `json:"note"`
	NoteDigest string `json:"note_digest"`
	// BestNote is the highest number that a peer claimed.
	BestNote uint64 `json:"best_note"`
	// ServiceNote is the highest number that the configuration service
	// returned.
	ServiceNote uint64 `json:"service_note"`
	// Reader and Contact are the roles of the process in its data centre.
	Reader  bool `json:"reader"`
	Contact bool `json:"contact"`
	// Listed is set when the VM list contains the process.
	Listed bool `json:"listed"`
	// Answers is the number of peers that have answered since the process started
	// or resumed from a pause.
	Answers  int              `json:"answers"`
	Forks    int64            `json:"forks"`
	LastFork *release.Fork    `json:"last_fork,omitempty"`
	View     *membership.View `json:"membership"`
}

// Dump returns the state as last published. It is safe for concurrent use.
func (n *Node) Dump() Dump {
	d := *n.dump.Load()
	d.View = n.View()
	return d
}

// publish makes the state visible to View and Dump.
func (n *Node) publish() {
	if n.table.TakeChanged() {
		n.updateRoles()
		v := n.table.View()
		v.RemoteEntries = n.vms.remoteEntries
		for _, backend := range n.vms.remoteLeaving {
			v.Unavailable[backend] = membership.Leaving
		}
		n.view.Store(v)
		n.summariesChanged = true
	}
	n.publishSummaries()
	d := &Dump{
		State: n.syncState.Current(), Note: n.notes.head.Number, NoteDigest: n.cfg.Store.Latest().Digest,
		BestNote: n.notes.bestClaim.Number, ServiceNote: n.reader.serviceHead, Reader: n.reader.isReader, Contact: n.vms.isContact,
		Listed: n.vms.listed, Answers: len(n.learning.peerHeads), Forks: n.cfg.Store.Forks(),
	}
	if fork, ok := n.cfg.Store.LastFork(); ok {
		d.LastFork = &fork
	}
	n.dump.Store(d)
}

// publishSummaries publishes a copy of the view with the current summaries, if they
// have changed.
func (n *Node) publishSummaries() {
	if !n.summariesChanged {
		return
	}
	n.summariesChanged = false
	v := *n.view.Load()
	v.Summaries = make(map[string]membership.Summary, len(n.summaries))
	for dc, s := range n.summaries {
		v.Summaries[dc] = s
	}
	n.view.Store(&v)
}
