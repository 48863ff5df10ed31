package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/ticket"
)

// maxGrace is the longest grace that a caller can request. Engine memory stays
// reserved for its duration.
const maxGrace = 30 * time.Second

// headerLastEventID is the header in which SSE clients send the ID of the last
// event that they received.
const headerLastEventID = "Last-Event-Id"

// resumeRecord is the state that an entry needs to take over a request. The
// agent stores it.
type resumeRecord struct {
	Request   string        `cbor:"1,keyasint"`
	Model     string        `cbor:"2,keyasint"` // as the caller named it
	Prompt    string        `cbor:"3,keyasint"`
	MaxTokens int           `cbor:"4,keyasint"`
	Chat      bool          `cbor:"5,keyasint"`
	Usage     bool          `cbor:"6,keyasint"`
	Created   int64         `cbor:"7,keyasint"`
	Grace     time.Duration `cbor:"8,keyasint"`
	Adapter   string        `cbor:"9,keyasint,omitempty"`
	// Name and Version identify the model that serves the request.
	Name    string `cbor:"10,keyasint"`
	Version string `cbor:"11,keyasint"`
	// Software is the version of the engine's software that began the answer.
	Software string `cbor:"12,keyasint,omitempty"`
}

func newResumeRecord(j *job, in completionRequest, f format) resumeRecord {
	_, chat := f.(chatFormat)
	return resumeRecord{
		Request: j.id, Model: in.Model, Prompt: j.prompt, MaxTokens: j.maxTokens, Chat: chat,
		Usage: in.StreamOptions.IncludeUsage, Created: time.Now().Unix(), Grace: j.grace,
		Adapter: j.adapter, Name: j.model.Name, Version: j.model.Version,
	}
}

func (r resumeRecord) encode() []byte {
	data, _ := cbor.Marshal(r) // a struct of plain fields encodes
	return data
}

// restoreJob rebuilds the job from the record and not from the release note,
// since the model may have been withdrawn while its running requests continue.
func (r resumeRecord) restoreJob(p release.Provider, delivered []string) *job {
	return &job{
		id: r.Request, provider: p, model: release.Model{Name: r.Name, Version: r.Version}, adapter: r.Adapter,
		prompt: r.Prompt, promptTokens: len(strings.Fields(r.Prompt)), maxTokens: r.MaxTokens,
		delivered: delivered, software: r.Software, mayHaveRun: true, grace: r.Grace, record: r,
	}
}

func (r resumeRecord) format() format {
	if r.Chat {
		return chatFormat{}
	}
	return completionFormat{}
}

// parseGrace sets the job's grace to the value of the header headerResume.
func (j *job) parseGrace(header string) *apierror.Error {
	if header == "" {
		return nil
	}
	grace, err := time.ParseDuration(header)
	if err != nil || grace <= 0 || grace > maxGrace {
		return badRequest("%s is %q; give a duration up to %v", headerResume, header, maxGrace)
	}
	j.grace = grace
	return nil
}

// resumeTicket returns a ticket that resumes a started attempt.
func (e *Entry) resumeTicket(j *job, res *reservation) string {
	text, _ := e.minter.MintResume(ticket.Resume{
		Request: j.id, Attempt: res.attempt.ID, Provider: j.provider.Name, Backend: res.decode.server.Name,
	})
	return text
}

// serveResume streams the answer to a running request from an offset. The
// request may have been sent through another entry.
func (e *Entry) serveResume(w http.ResponseWriter, r *http.Request, p release.Provider) {
	t, err := e.minter.VerifyResume(r.PathValue("ticket"))
	if err != nil || t.Provider != p.Name {
		e.writeError(w, r, apierror.Unknown(apierror.KindInvalidTicket, "the ticket is malformed, forged, of a former key or for another provider", "send the request again"))
		return
	}
	offset, refusal := resumeOffset(r)
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	c, done, ok := e.connectTo(r.Context(), t.Backend)
	if !ok {
		e.writeError(w, r, apierror.Unknown(apierror.KindNotFound, "the server of the request was withdrawn", "send the request again"))
		return
	}
	defer done()
	j, running, refusal := takeOver(r, c, t, offset, p)
	if refusal != nil {
		e.writeError(w, r, refusal)
		return
	}
	e.count.resumed.Add(1)
	head := answerHead{id: j.id, model: j.record.Model, created: j.record.Created}
	s := &sseWriter{w: w, rc: http.NewResponseController(w), format: j.record.format(), head: head, includeUsage: j.record.Usage, sent: offset}
	s.sendResumeTicket(e.resumeTicket(j, running))
	e.serveStream(w, r, j, s, running)
}

// resumeOffset returns the number of tokens that the caller has received. The request to
// resume may have run, whatever the offset is.
func resumeOffset(r *http.Request) (int, *apierror.Error) {
	text := r.FormValue("offset")
	if text == "" {
		text = r.Header.Get(headerLastEventID)
	}
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		refusal := badRequest("offset is %q; give the number of tokens received", text)
		return 0, apierror.Unknown(refusal.Kind, refusal.Message, refusal.Remedy)
	}
	return offset, nil
}

// connectTo returns the connection to a server. If this entry has none, it
// opens one, which closes once done is called and its requests have ended.
func (e *Entry) connectTo(ctx context.Context, name string) (c *agentConn, done func(), ok bool) {
	if c, ok := e.fleet.get(name); ok {
		return c, func() {}, true
	}
	servers := e.store.Current().Servers()
	i := slices.IndexFunc(servers, func(s release.BackendServer) bool { return s.Name == name })
	if i < 0 {
		return nil, nil, false
	}
	c = newAgentConn(e, servers[i])
	c.inFlight.Add(1)
	c.removed.Store(true) // it ends when it is idle
	e.fleet.wg.Go(func() { c.run(context.WithoutCancel(ctx)) })
	return c, func() { c.inFlight.Add(-1) }, true
}

// takeOver makes this entry the owner of a running attempt.
func takeOver(r *http.Request, c *agentConn, t ticket.Resume, offset int, p release.Provider) (*job, *reservation, *apierror.Error) {
	ctx := r.Context()
	c.failRelay(t.Attempt)
	var reply protocol.ResumeReply
	args := protocol.ResumeArgs{Header: c.header(ctx), Attempt: t.Attempt, Request: t.Request, Provider: p.Name, Offset: offset}
	if err := c.call(ctx, protocol.ServiceDecode+".Resume", args, &reply); err != nil {
		return nil, nil, apierror.From(err)
	}
	var record resumeRecord
	if err := cbor.Unmarshal(reply.ResumeState, &record); err != nil {
		return nil, nil, apierror.Unknown(apierror.KindInternal, fmt.Sprintf("the agent's record is malformed: %v", err), "send the request again")
	}
	j := record.restoreJob(p, reply.Delivered)
	return j, &reservation{attempt: protocol.Attempt{ID: t.Attempt, StartOffset: offset}, decode: c, started: true}, nil
}

// failRelay ends the relay of an attempt that its caller resumes on another
// connection.
func (c *agentConn) failRelay(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.relays[attempt]; r != nil {
		r.fail(movedError())
	}
}
