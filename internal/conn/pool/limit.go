package pool

import (
	"errors"
	"io"
)

// errHeadTooLong means that a server sent more bytes before the body of a response than
// are read.
var errHeadTooLong = errors.New("the head of the answer is too long")

// noLimit is the number of bytes left of a readLimit that is not set.
const noLimit = -1

// readLimit is an io.Reader that fails with errHeadTooLong once a number of bytes or of header
// lines has been read.
type readLimit struct {
	head   *headLines // of the head that is read; nil for none
	left   int        // bytes, or noLimit
	reader io.Reader
}

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if l.left == noLimit {
		return l.reader.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	if l.head != nil && !l.head.count(p[:n]) {
		return 0, errHeadTooLong
	}
	return n, err
}

// headLines counts the lines of a head. Once parsed, a short line takes some thirty times as
// much memory as on the wire.
type headLines struct {
	blank bool // nothing but a carriage return has come since the last line
	ended bool // what follows belongs to the body
	left  int  // lines that may follow
}

// count takes the next bytes, and reports whether the head has no more lines than it may.
func (h *headLines) count(data []byte) bool {
	for _, b := range data {
		switch {
		case h.ended:
			return true
		case b == '\n':
			if h.left--; h.left < 0 {
				return false
			}
			h.ended = h.blank
			h.blank = true
		case b != '\r':
			h.blank = false
		}
	}
	return true
}
