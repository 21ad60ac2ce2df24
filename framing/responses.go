package framing

import (
	"math"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrMalformed means that a peer sent bytes that are not in the form of an HTTP/1.1 response.
var ErrMalformed = errors.New("bytes that are no HTTP/1.1 response")

const (
	// statusLength is how many digits a status code has.
	statusLength = 3
	// minStatus and maxStatus bound the status codes that have a meaning (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// endOfConnection is the length of a body that ends with its connection.
	endOfConnection = math.MaxInt64
)

// Responses checks the responses of a connection as they are read, so that a parser behind it gets
// only such as are in the form of RFC 9112. The zero value expects the response to a request other
// than HEAD. It is not safe for concurrent use.
type Responses struct {
	scanner Scanner
}

// Expect sets the method of the request whose response is read next.
func (responses *Responses) Expect(method string) {
	responses.scanner.bodiless = method == http.MethodHead
}

// Check takes the result of a read, and returns what the read is to return instead: the bytes up
// to the first that is out of form, and ErrMalformed from there on.
func (responses *Responses) Check(data []byte, err error) (int, error) {
	responses.scanner.responses = true
	count := responses.scanner.scan(data)
	if responses.scanner.invalid {
		return count, ErrMalformed
	}
	return count, err
}

// Malformed reports whether a byte was out of form.
func (responses *Responses) Malformed() bool { return responses.scanner.invalid }

// Between reports whether all responses so far have ended, and no byte of a further one was read.
func (responses *Responses) Between() bool {
	return responses.scanner.next == nil && responses.scanner.remaining == 0 && !responses.scanner.invalid
}

func beforeStatus(scanner *Scanner, b byte) bool {
	return b == ' ' && scanner.expect(inStatus, 0)
}

// inStatus expects a digit of the status code.
func inStatus(scanner *Scanner, b byte) bool {
	head := &scanner.head
	head.status = 10*head.status + int(b-'0')
	head.statusDigits++
	if !isDigit(b) || head.statusDigits < statusLength {
		return isDigit(b)
	}
	return minStatus <= head.status && head.status <= maxStatus && scanner.expect(afterStatus, 0)
}

// afterStatus expects a reason phrase, or the end of the line. Many servers leave out the blank before
// an empty phrase, which changes no meaning.
func afterStatus(scanner *Scanner, b byte) bool {
	if b == ' ' {
		return scanner.expect(endStartLine, textByte)
	}
	return endStartLine(scanner, b)
}

// endsWithHead reports whether the message is a response that has no body, whatever its head says.
func (scanner *Scanner) endsWithHead() bool {
	if !scanner.responses {
		return false
	}
	status := scanner.head.status
	return scanner.bodiless || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}
