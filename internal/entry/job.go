package entry

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
)

const (
	// ackTokens is the number of tokens per acknowledgement. It is well below
	// the number that an agent buffers.
	ackTokens = 32
)

// job is a model request in progress.
type job struct {
	id           string
	provider     release.Provider
	model        release.Model
	adapter      string
	prompt       string
	promptTokens int
	maxTokens    int
	// delivered are the tokens passed to out so far, or received by the caller on
	// an earlier connection.
	delivered []string
	// software is the version of the engine's software that made delivered.
	software string
	// mayHaveRun is set when a server may have run a part of the request.
	mayHaveRun bool
	// failedServers holds the names of the servers at which an attempt failed. The
	// value is true if the scheduler must avoid the server: the decode had started,
	// or the prefill or the KV transfer failed.
	failedServers map[string]bool
	// answeredServers are the decode servers that found no prefill result to fetch. They work,
	// and are avoided only while there are others.
	answeredServers map[string]bool
	out             answerWriter
	// grace is the time for which a caller that has disconnected may resume the
	// request.
	grace time.Duration
	// record is the state from which another entry can resume the request.
	record resumeRecord

	// prefixes are the hashes of the prompt's prefixes that fill whole memory
	// blocks.
	prefixes []uint64
	// urgent is set after the first failed attempt; retries have priority.
	urgent bool
	// refused is set when the scheduler refused the job, so that it is not
	// retried.
	refused bool
	// use is the capacity that the job takes up at its servers.
	use dispatch.Use
}

// answerWriter writes an answer to the caller.
type answerWriter interface {
	// write writes tokens. An error means that the caller has disconnected.
	write(tokens []string) error
	// streams reports whether the caller gets tokens as they are written.
	streams() bool
	// sendResumeTicket sends the caller the ticket that resumes the request.
	sendResumeTicket(ticket string)
}

// reservation is an attempt with a decode server that has reserved memory for
// it, and the prefill server to use.
type reservation struct {
	attempt protocol.Attempt
	decode  *agentConn
	prefill *agentConn
	// maxWait is the maximum queueing time at the prefill server.
	maxWait time.Duration
	// started is set when the decode agent has confirmed the start.
	started bool
}
