package conns

import (
	"io"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestLateRead runs the cases of testdata/late.csv. It guards against a caller whose bytes, or
// whose close, have arrived in time and are not seen because the process was paused until the
// read deadline had passed.
func TestLateRead(t *testing.T) {
	steps.Cases(t, "testdata/late.csv", func(t *testing.T, record []string) {
		conn, caller := connPair(t)
		_, err := io.WriteString(caller, record[1])
		assert.NilError(t, err)
		for record[1] != "" && !conn.unread() {
			time.Sleep(time.Millisecond)
		}
		if record[2] == "true" {
			assert.NilError(t, caller.CloseWrite())
			awaitClosed(t, conn)
		}
		assert.NilError(t, conn.SetReadDeadline(time.Unix(1, 0)))
		b := make([]byte, 10)
		n, err := conn.Read(b)
		assert.Equal(t, string(b[:n]), record[3])
		if record[4] == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, record[4])
		}
	})
}

// awaitClosed waits until a caller's close has arrived.
func awaitClosed(t *testing.T, conn *Conn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	for closed := false; !closed; time.Sleep(time.Millisecond) {
		assert.NilError(t, raw.Control(func(fd uintptr) {
			polled := []unix.PollFd{{Events: unix.POLLRDHUP, Fd: int32(fd)}}
			n, err := unix.Poll(polled, 0)
			closed = err == nil && n > 0
		}))
	}
}
