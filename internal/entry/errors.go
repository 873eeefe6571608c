package entry

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is whether a request ran, as reported to the caller.
type Outcome string

// Outcomes of a request without a complete response.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// Code is the error code that callers see.
type Code string

// Error codes.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeInvalid        Code = "invalid_request"
	CodeNoService      Code = "service_not_found"
	CodeOverloaded     Code = "overloaded"
	CodeWorkspaceLimit Code = "workspace_limit"
	CodeDeadline       Code = "deadline_exceeded"
	CodeUnavailable    Code = "unavailable"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeInProgress     Code = "in_progress"
	CodeKeyExpired     Code = "idempotency_key_expired"
	CodeAlreadyRan     Code = "already_ran"
	CodeInterrupted    Code = "answer_interrupted"
	CodeStopping       Code = "stopping"
	CodeNotReady       Code = "not_ready"
)

// Error is the response to a request that has no complete response of a target.
type Error struct {
	Code       Code
	Outcome    Outcome
	Step       string // processing step that failed
	Peer       string // instance or target where it failed
	Message    string
	RetryAfter time.Duration // zero omits the Retry-After header
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s (%s), %s: %s", e.Code, e.Step, e.Peer, e.Outcome, e.Message)
}

// status returns the HTTP status of the error.
func (e *Error) status() int {
	switch e.Code {
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeNoService:
		return http.StatusNotFound
	case CodeWorkspaceLimit:
		return http.StatusTooManyRequests
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodeOutcomeUnknown, CodeInterrupted:
		return http.StatusBadGateway
	case CodeInProgress, CodeKeyExpired, CodeAlreadyRan:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// notRun returns an error of a request that did not run.
func notRun(code Code, step, peer, message string) *Error {
	return &Error{Code: code, Outcome: OutcomeNotRun, Step: step, Peer: peer, Message: message}
}

// errorBody is the JSON form of an Error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the value of "error" in an errorBody.
type errorDetail struct {
	Code       Code    `json:"code"`
	Outcome    Outcome `json:"outcome"`
	Step       string  `json:"step,omitempty"`
	Peer       string  `json:"peer,omitempty"`
	Message    string  `json:"message"`
	RequestID  string  `json:"request_id"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
}

// body returns the JSON form of the error.
func (e *Error) body(requestID string) errorBody {
	return errorBody{Error: errorDetail{
		Code:       e.Code,
		Outcome:    e.Outcome,
		Step:       e.Step,
		Peer:       e.Peer,
		Message:    e.Message,
		RequestID:  requestID,
		RetryAfter: e.RetryAfter.Seconds(),
	}}
}
