package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a result code with its particulars. RetryAt is the time at which a
// caller may come back; the zero time means that coming back will not help.
type Error struct {
	Code    Code
	Detail  string
	RetryAt time.Time
}

// Errorf returns an Error of code with a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the number, the title and the detail.
func (e *Error) Error() string {
	entry := byCode[e.Code]
	if e.Detail == "" {
		return fmt.Sprintf("%s %s", e.Code, entry.Title)
	}
	return fmt.Sprintf("%s %s: %s", e.Code, entry.Title, e.Detail)
}

// From returns the Error in err's chain. Any other error becomes fallback with
// the error's text as its detail; a nil error stays nil.
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

// CodeOf returns the code in err's chain, OK for nil and OutcomeUnknown for an
// error that carries none.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err, OutcomeUnknown).Code
}

// Problem is the JSON form of an Error. RetryAfterMs is the remaining time in
// milliseconds, since the clocks of VMs differ.
type Problem struct {
	Code         string
	Name         string
	Title        string
	Detail       string `json:",omitempty"`
	Outcome      Outcome
	RetryAfterMs int64 `json:",omitempty"`
	Number       Code
}

// Problem returns the JSON form of the error at the time now.
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

// Err returns the Error that problem describes, as received at the time now.
func (problem Problem) Err(now time.Time) *Error {
	e := &Error{Code: problem.Number, Detail: problem.Detail}
	if problem.RetryAfterMs > 0 {
		e.RetryAt = now.Add(time.Duration(problem.RetryAfterMs) * time.Millisecond)
	}
	return e
}
