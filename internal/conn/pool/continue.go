package pool

import (
	"errors"
	"io"
	"sync"
)

// continueBody is the body of a request with "Expect: 100-continue". Reads block
// until the server asks for the body, or the exchange ends without it.
type continueBody struct {
	body     io.ReadCloser
	flush    func() error  // sends the buffered header
	released chan struct{} // closed by release and abandon

	mu         sync.Mutex
	abandoned  bool // whether reads fail
	isReleased bool // whether released is closed
}

// Read implements io.Reader. The first call flushes the request's header, without
// which the server would never ask for the body.
func (b *continueBody) Read(p []byte) (int, error) {
	select {
	case <-b.released:
	default:
		if err := b.flush(); err != nil {
			return 0, err
		}
		<-b.released
	}
	b.mu.Lock()
	abandoned := b.abandoned
	b.mu.Unlock()
	if abandoned {
		return 0, errors.New("the exchange ended before the server asked for the body")
	}
	return b.body.Read(p)
}

// Close implements io.Closer.
func (b *continueBody) Close() error {
	return b.body.Close()
}

// release lets reads proceed. It has no effect on a nil body.
func (b *continueBody) release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isReleased {
		b.isReleased = true
		close(b.released)
	}
}

// abandon makes reads fail if the body has not been released yet, and reports
// whether it did. It returns false for a nil body.
func (b *continueBody) abandon() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isReleased {
		return false
	}
	b.abandoned = true
	b.isReleased = true
	close(b.released)
	return true
}
