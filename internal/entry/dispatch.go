package entry

import (
	"time"

	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
)

// Bounds on the dispatch of a request.
const (
	// ackTokens is the number of tokens that one acknowledgement covers. It is
	// well below the number that an agent buffers.
	ackTokens = 32
)

// job is one model request on its way.
type job struct {
	id       string
	provider release.Provider
	model    release.Model
	adapter  string
	prompt   string
	// promptTokens is the length of the prompt.
	promptTokens int
	maxTokens    int
	// given are the tokens that the caller has.
	given []string
	// dispatched is set when a server may have run a part of the request.
	dispatched bool
	// failed names the servers that an attempt failed at.
	failed map[string]bool
	out    answerWriter
	// grace is the time for which a caller that is gone may resume the request.
	grace time.Duration
	// record is what another entry needs to take the request over.
	record resumeRecord

	// prefixes are the hashes of the prompt's whole-piece prefixes.
	prefixes []uint64
	// urgent is set when a later attempt continues what an earlier one began.
	urgent bool
	// givenUp is set when the job was refused for good.
	givenUp bool
	// use is what the job takes at its servers.
	use dispatch.Use
}

// answerWriter passes an answer to the caller.
type answerWriter interface {
	// write passes tokens on. An error means that the caller is gone.
	write(tokens []string) error
	// resumable tells the caller the ticket that resumes the request.
	resumable(ticket string)
}

// place is a reserved attempt.
type place struct {
	attempt protocol.Attempt
	decode  *agentConn
	prefill *agentConn
	// maxWait is the wait that is tolerated at the prefill server.
	maxWait time.Duration
	// started is set when the decode agent has confirmed the start.
	started bool
}
