package framing

// byteClass is a set of the classes that a byte belongs to.
type byteClass uint8

const (
	// tokenByte may be in a method or in the name of a header.
	tokenByte byteClass = 1 << iota
	// targetByte may be in the target of a request. Bytes beyond ASCII, which RFC 3986 does not
	// allow there, are common and end nothing.
	targetByte
	// textByte may be in the value of a header, a reason phrase or the extension of a chunk.
	textByte
	// hexByte is a hexadecimal digit.
	hexByte
)

// classes holds the classes of each byte.
var classes = newClasses()

func newClasses() (classes [256]byteClass) {
	for b := range classes {
		if b > ' ' && b != 0x7f {
			classes[b] |= targetByte | textByte
		}
		if b == ' ' || b == '\t' {
			classes[b] |= textByte
		}
	}
	mark := func(bytes string, class byteClass) {
		for _, b := range []byte(bytes) {
			classes[b] |= class
		}
	}
	const digits, letters = "0123456789", "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	mark("!#$%&'*+-.^_`|~"+digits+letters, tokenByte)
	mark(digits+"abcdefABCDEF", hexByte)
	return classes
}

func (class byteClass) has(b byte) bool { return classes[b]&class != 0 }

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// lower returns an ASCII letter in lower case, and any other byte unchanged.
func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}
