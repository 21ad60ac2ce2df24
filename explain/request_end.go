package explain

import "fmt"

// endCauses explains why requests got no complete answer, where their codes do not say it.
var endCauses = map[string]string{
	"caller-closed":  "the caller closed its connection before the answer was complete",
	"reset":          "the caller's side reset the connection before the answer was complete",
	"read-deadline":  "a read deadline of the router passed on the caller's connection, although the request was read whole",
	"write-deadline": "the answer was not written before a write deadline: the caller did not read, or the router stood still",
	"closed":         "the router closed the connection",
	"router-end":     "the router ended before the answer was complete",
	"panic":          "a fault in the router: see its line \"Request handler panicked.\"",
	"unknown":        "the connection ended without a known reason",
}

// endCause returns why the request of line got no complete answer, and whether its EndReason says
// more than its code.
func endCause(line Line) (string, bool) {
	cause, known := endCauses[line.EndReason]
	if line.CloseReason != "" {
		cause += " as " + line.CloseReason
	}
	return cause, known
}

// describeEnd returns how the connection of a request without a complete answer ended, and what the
// router did then, or an empty text for other requests.
func describeEnd(line Line) string {
	if line.EndReason == "" {
		return ""
	}
	text := ", no complete answer: " + line.EndReason
	if line.CloseReason != "" {
		text += " as " + line.CloseReason
	}
	if line.ReadError != "" {
		text += ", last read failed with " + line.ReadError
	}
	if line.WriteError != "" {
		text += ", last write failed with " + line.WriteError
	}
	if line.VersionInForce != 0 {
		text += fmt.Sprintf(", configuration %d in force for %d ms", line.VersionInForce, line.InForceMs)
	}
	if line.StallMs > 0 {
		text += fmt.Sprintf(", process last stood still for %d ms until %d ms before", line.StallMs, line.StallAgoMs)
	}
	return text
}

// isFailure reports whether line is that of a request that was not served. An answer that could
// not be written has another line before, which is that of a failure unless its code is OK.
func isFailure(line Line) bool {
	switch line.Message {
	case requestFinished:
		return line.Code != "OK" || line.EndReason != ""
	case answerUnwritten:
		return line.Code == "OK"
	}
	return false
}
