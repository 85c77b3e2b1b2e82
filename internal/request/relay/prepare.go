package relay

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// prepare builds the header to forward and sets up the body. It buffers a body of at
// most maxReplayBytes, so that it can be sent again.
func (s *session) prepare(cancel context.CancelCauseFunc) *refuse.Refusal {
	s.header = s.relay.forwardRequestHeader(s.request.Header)
	length := s.request.ContentLength
	if s.maxBody > 0 && length > s.maxBody {
		limitDiscard(s.writer, time.Now())
		return s.bodyTooLarge()
	}
	if length == 0 {
		return nil
	}
	u := newUpload(s.writer, s.request, s.deadline, s.relay.Idle, s.maxBody, cancel)
	if length < 0 || length > maxReplayBytes {
		s.upload = u
		return nil
	}
	smallBody, err := readSmallBody(u, length)
	if err != nil {
		u.beginRefusal(s.writer.Header())
		return s.bodyRefusal(err)
	}
	s.smallBody = smallBody
	return nil
}

// awaitUpload waits for the first chunk of a body without a length. A node is chosen
// afterwards: one that is chosen earlier may leave meanwhile.
func (s *session) awaitUpload() *refuse.Refusal {
	if s.upload == nil || s.request.ContentLength >= 0 {
		return nil
	}
	if _, err := s.upload.Read(nil); err != nil && !errors.Is(err, io.EOF) {
		return s.bodyRefusal(err)
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body cannot be read.
func (s *session) bodyRefusal(err error) *refuse.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(s.deadline) {
		return refuse.New(refuse.DeadlineExceeded, 0, "the deadline passed before the whole body came")
	}
	return refuse.New(refuse.BadRequest, 0, "the body is cut")
}

// bodyTooLarge returns the refusal of a request with a body above the limit.
func (s *session) bodyTooLarge() *refuse.Refusal {
	return refuse.New(refuse.BodyTooLarge, 0, "the row allows %d bytes", s.maxBody)
}
