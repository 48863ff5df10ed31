package router

import "net/http"

// withheldError is the reason why a complete response of a server is not passed on. The caller
// gets an unknown outcome in its place, which bears nothing of the response.
type withheldError string

// Error implements the error interface.
func (e withheldError) Error() string { return string(e) }

const (
	// errUnproven is for successes: without the proof they may not come from the server.
	errUnproven withheldError = "it bears no proof of its server"
	// errUnstated is for failures whose status would promise the caller that the request did
	// not run, although the server does not state that.
	errUnstated withheldError = "its status promises that the request did not run, and the server does not state that"
)

// withheld returns why the response to a request that the server may have run must not be passed
// on; nil if it may. A response that may is passed on unchanged.
func (r *Reply) withheld() error {
	switch {
	case r.Status < http.StatusMultipleChoices && !r.Proven:
		return errUnproven
	case r.PromisesNotRun:
		return errUnstated
	default:
		return nil
	}
}

// withhold returns the error of withheld, which it records.
func (x *exchange) withhold(b *backend, reply *Reply) error {
	err := reply.withheld()
	if err != nil {
		x.router.count.withheld.Add(1)
		x.warn("response withheld", "server", b.Name(), "status", reply.Status, "proven", reply.Proven, "err", err)
	}
	return err
}
