package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a result code with the details of one failure. RetryAt is the time after
// which the caller may retry; the zero time means that a retry will not help.
type Error struct {
	Code    Code
	Detail  string
	RetryAt time.Time
}

// Errorf returns an Error with the given code and a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the number, the title and, if present, the detail.
func (e *Error) Error() string {
	entry := byCode[e.Code]
	if e.Detail == "" {
		return fmt.Sprintf("%s %s", e.Code, entry.Title)
	}
	return fmt.Sprintf("%s %s: %s", e.Code, entry.Title, e.Detail)
}

// From returns the Error in err's chain. If there is none, it returns an Error
// with the code fallback and the text of err as its detail. It returns nil if err
// is nil.
func From(err error, fallback Code) *Error {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Code: fallback, Detail: err.Error()}
}

// CodeOf returns the code of the Error in err's chain: OK if err is nil, and
// OutcomeUnknown if the chain contains no Error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err, OutcomeUnknown).Code
}

// Problem is the JSON form of an Error. RetryAfterMs is relative to the time of
// sending, because the clocks of VMs differ.
type Problem struct {
	Code         string
	Name         string
	Title        string
	Detail       string `json:",omitempty"`
	Outcome      Outcome
	RetryAfterMs int64 `json:",omitempty"`
	Number       Code
}

// Problem returns the JSON form of the error as sent at the time now.
func (e *Error) Problem(now time.Time) Problem {
	problem := Problem{
		Code:    e.Code.String(),
		Name:    e.Code.Name(),
		Title:   byCode[e.Code].Title,
		Detail:  e.Detail,
		Outcome: e.Code.Outcome(),
		Number:  e.Code,
	}
	if !e.RetryAt.IsZero() {
		problem.RetryAfterMs = max(1, e.RetryAt.Sub(now).Milliseconds())
	}
	return problem
}

// Err converts a problem that was received at the time now back to an Error.
func (problem Problem) Err(now time.Time) *Error {
	e := &Error{Code: problem.Number, Detail: problem.Detail}
	if problem.RetryAfterMs > 0 {
		e.RetryAt = now.Add(time.Duration(problem.RetryAfterMs) * time.Millisecond)
	}
	return e
}
