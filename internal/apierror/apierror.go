// Package apierror defines the typed errors that samphirestream returns to
// callers and passes between its processes. Each error states whether the
// request ran, whether a retry is safe, and how to correct the cause.
package apierror

import (
	stderrors "errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is the cause of an error.
type Kind string

// Kinds of errors.
const (
	KindBadRequest       Kind = "bad_request"
	KindUnauthenticated  Kind = "unauthenticated"
	KindNotFound         Kind = "not_found"
	KindMethodNotAllowed Kind = "method_not_allowed"
	KindUnknownModel     Kind = "unknown_model"
	KindWithdrawnVersion Kind = "withdrawn_version"
	KindBodyTooLarge     Kind = "body_too_large"
	KindHeaderTooLarge   Kind = "header_too_large"
	KindRequestTimeout   Kind = "request_timeout"
	KindPromptTooLong    Kind = "prompt_too_long"
	KindQuotaExceeded    Kind = "quota_exceeded"
	KindOverloaded       Kind = "overloaded"
	KindDraining         Kind = "draining"
	KindStarting         Kind = "starting"
	KindDeadlineExceeded Kind = "deadline_exceeded"
	KindCancelled        Kind = "cancelled"
	KindUnavailable      Kind = "unavailable"
	KindInvalidTicket    Kind = "invalid_ticket"
	KindMoved            Kind = "moved"
	// KindEndsServers is for requests under which servers have ended.
	KindEndsServers Kind = "ends_servers"
	KindInternal    Kind = "internal"
)

// Outcome states what is known about the execution of a request.
type Outcome string

// Outcomes of a request that ended in an error.
const (
	// OutcomeNotRun means that no backend server ran or will run the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomePartial means that a part of the answer was delivered.
	OutcomePartial Outcome = "partial"
)

// Error is an error with a typed cause. It is encoded as CBOR between
// processes and as JSON towards callers.
type Error struct {
	Kind    Kind    `cbor:"1,keyasint" json:"type"`
	Outcome Outcome `cbor:"2,keyasint" json:"outcome"`
	Message string  `cbor:"3,keyasint" json:"message"`
	Remedy  string  `cbor:"4,keyasint" json:"remedy"`
	// RetryAfter is the recommended delay before a retry. Zero means that a
	// retry does not help.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty" json:"-"`
}

// NotRun returns an error for a request that did not run.
func NotRun(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Outcome: OutcomeNotRun, Message: message, Remedy: remedy}
}

// Unknown returns an error for a request that may have run.
func Unknown(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Outcome: OutcomeUnknown, Message: message, Remedy: remedy}
}

// InvalidTicket returns the error for a ticket that fails verification. The
// outcome is unknown: the ticket may have been truncated, or minted with a
// previous key of the fleet, and its call may have run.
func InvalidTicket() *Error {
	return Unknown(KindInvalidTicket, "the ticket is malformed, forged, or of a former key", "read the service's records before you send the call with a new ticket")
}

// WithRetryAfter returns a copy of e that recommends a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// Error implements the error interface. The text includes the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", e.Kind, e.Outcome, e.Message, e.Remedy)
}

// Status returns the HTTP status code for e.
func (e *Error) Status() int {
	switch e.Kind {
	case KindBadRequest, KindPromptTooLong, KindInvalidTicket:
		return http.StatusBadRequest
	case KindUnauthenticated:
		return http.StatusUnauthorized
	case KindNotFound, KindUnknownModel:
		return http.StatusNotFound
	case KindMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case KindWithdrawnVersion, KindMoved:
		return http.StatusGone
	case KindBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case KindRequestTimeout:
		return http.StatusRequestTimeout
	case KindQuotaExceeded:
		return http.StatusTooManyRequests
	case KindOverloaded, KindDraining, KindStarting, KindUnavailable, KindEndsServers:
		return http.StatusServiceUnavailable
	case KindDeadlineExceeded:
		return http.StatusGatewayTimeout
	case KindCancelled:
		return statusClientClosedRequest
	default:
		return http.StatusInternalServerError
	}
}

// statusClientClosedRequest is the conventional, non-standard status code for a
// request whose client has disconnected.
const statusClientClosedRequest = 499

// From returns err as an *Error. Any other error becomes an internal error with
// an unknown outcome.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed
	}
	return Unknown(KindInternal, err.Error(), "report the request ID to the operators")
}

// Is reports whether err is an *Error of the given kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return stderrors.As(err, &typed) && typed.Kind == kind
}
