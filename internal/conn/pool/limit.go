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

// readLimit is an io.Reader that fails with errHeadTooLong once a number of bytes has been
// read.
type readLimit struct {
	left   int // bytes, or noLimit
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
	return n, err
}
