package framing

// beginRequest expects a method, or an empty line before it.
func beginRequest(scanner *Scanner, b byte) bool {
	if b == '\r' {
		return scanner.expectLineFeed(beginRequest)
	}
	return tokenByte.has(b) && scanner.expect(afterMethod, tokenByte)
}

func afterMethod(scanner *Scanner, b byte) bool {
	return b == ' ' && scanner.expect(beginTarget, 0)
}

func beginTarget(scanner *Scanner, b byte) bool {
	return targetByte.has(b) && scanner.expect(afterTarget, targetByte)
}

func afterTarget(scanner *Scanner, b byte) bool {
	return b == ' ' && scanner.expect(inVersion, 0)
}

// protocol begins the version of all messages that are taken.
const protocol = "HTTP/1."

// inVersion expects protocol and a digit.
func inVersion(scanner *Scanner, b byte) bool {
	if scanner.head.matched < len(protocol) {
		scanner.head.matched++
		return b == protocol[scanner.head.matched-1]
	}
	scanner.head.minorVersion = b
	if scanner.responses {
		return isDigit(b) && scanner.expect(beforeStatus, 0)
	}
	return isDigit(b) && scanner.expect(endStartLine, 0)
}

func endStartLine(scanner *Scanner, b byte) bool {
	return b == '\r' && scanner.expectLineFeed(beginField)
}
