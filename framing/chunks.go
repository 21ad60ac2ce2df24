package framing

import "strconv"

// maxChunkDigits limits the digits of the size of a chunk.
const maxChunkDigits = 15

// beginChunk expects the first digit of the size of a chunk.
func beginChunk(scanner *Scanner, b byte) bool {
	scanner.head.size = scanner.head.size[:0]
	return hexByte.has(b) && scanner.expect(inChunkSize, 0) && inChunkSize(scanner, b)
}

// inChunkSize expects the rest of the size of a chunk, and what may stand behind it.
func inChunkSize(scanner *Scanner, b byte) bool {
	if hexByte.has(b) {
		scanner.head.size = append(scanner.head.size, b)
		return len(scanner.head.size) <= maxChunkDigits
	}
	return beforeExtension(scanner, b)
}

// beforeExtension expects the extension of a chunk, with blanks before it, or the end of the line.
func beforeExtension(scanner *Scanner, b byte) bool {
	switch {
	case isBlank(b):
		return scanner.expect(beforeSemicolon, 0)
	case b == ';':
		return scanner.expect(endChunkLine, textByte)
	}
	return endChunkLine(scanner, b)
}

// beforeSemicolon expects the extension of a chunk behind a blank.
func beforeSemicolon(scanner *Scanner, b byte) bool {
	return isBlank(b) || b == ';' && scanner.expect(endChunkLine, textByte)
}

func endChunkLine(scanner *Scanner, b byte) bool {
	return b == '\r' && scanner.expect(beginChunkData, 0)
}

// beginChunkData expects the end of the line with the size of a chunk.
func beginChunkData(scanner *Scanner, b byte) bool {
	size, err := strconv.ParseUint(string(scanner.head.size), 16, sizeBits)
	switch {
	case b != '\n' || err != nil:
		return false
	case size == 0:
		return scanner.expect(beginField, 0)
	}
	scanner.remaining = int64(size)
	return scanner.expect(endChunk, 0)
}

// endChunk expects the end of the line behind the data of a chunk.
func endChunk(scanner *Scanner, b byte) bool {
	return b == '\r' && scanner.expectLineFeed(beginChunk)
}
