package entry

import (
	"context"
	"net/http"
	"testing"
)

// Guards against charging the error budget of a service for failures of the caller, and against missing those of the
// service.
func TestOutcomeCause(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		caller       context.Context
		answer       answerRecord
		fail         *Error
		cause        string
		attributable bool
	}{
		"whole answer":        {attributable: true},
		"not found at target": {answer: answerRecord{status: 404}, attributable: true},
		"error at target":     {answer: answerRecord{status: 503}, cause: causeServerError, attributable: true},
		"no target":           {fail: notRun(CodeUnavailable, "pick target", "e", ""), cause: causeNoTarget, attributable: true},
		"target lost":         {answer: answerRecord{target: "t"}, fail: notRun(CodeUnavailable, "pick target", "e", ""), cause: "unavailable", attributable: true},
		"deadline":            {fail: &Error{Code: CodeDeadline}, cause: "deadline_exceeded", attributable: true},
		"cut answer":          {fail: &Error{Code: CodeInterrupted, Step: "receive"}, cause: "answer_interrupted", attributable: true},
		"caller gone":         {caller: gone, fail: &Error{Code: CodeInterrupted, Step: "receive"}},
		"caller not reading":  {fail: &Error{Code: CodeInterrupted, Step: stepAnswerCaller}},
		"caller over limit":   {fail: &Error{Code: CodeWorkspaceLimit}},
		"bad request":         {fail: &Error{Code: CodeInvalid}},
	} {
		if c.caller == nil {
			c.caller = context.Background()
		}
		cause, attributable := outcomeCause(c.caller, &c.answer, c.fail)
		if cause != c.cause || attributable != c.attributable {
			t.Errorf("%s: cause %q, attributable %v; want %q, %v", name, cause, attributable, c.cause, c.attributable)
		}
	}
}

// Guards against reporting an error for a response that was delivered completely, or none for a truncated one.
func TestAnswerRecordComplete(t *testing.T) {
	for name, c := range map[string]struct {
		length    string
		delivered int64
		whole     bool
	}{
		"all":         {"5", 5, true},
		"part":        {"5", 4, false},
		"no length":   {"", 5, false},
		"bad length":  {"x", 0, false},
		"empty body":  {"0", 0, false},
		"head's body": {"5", 0, false},
	} {
		var answer answerRecord
		answer.recordHead(http.StatusOK, http.Header{"Content-Length": {c.length}})
		answer.deliveredBytes = c.delivered
		if answer.complete() != c.whole {
			t.Errorf("%s: complete() = %v", name, answer.complete())
		}
	}
}
