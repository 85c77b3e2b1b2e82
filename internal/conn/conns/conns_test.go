package conns

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testIdleTimeout is the idle timeout of trackers in tests.
const testIdleTimeout = 10 * time.Second

// TestTracker checks at which numbers of open connections callers are asked to
// close theirs and the idle timeout is shortened.
func TestTracker(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(10, testIdleTimeout)
	conns := make([]*Conn, 7)
	for i := range conns {
		conns[i], _ = connPair(t)
		tracker.SetState(now, conns[i], http.StateNew)
		assert.Equal(t, tracker.NearLimit(), i+1 >= 4, "%d open", i+1)
		if i == 4 {
			assert.Equal(t, tracker.CloseIdle(now.Add(2*time.Second)), 0, "the idle timeout is not shortened at half of the descriptors")
		}
	}
	tracker.SetState(now, conns[0], http.StateActive)
	assert.Equal(t, tracker.CloseIdle(now.Add(2*time.Second)), 6, "past 60% of the descriptors, all but the active connection are closed after a tenth of the idle timeout")
	for _, conn := range conns[1:] {
		tracker.SetState(now, conn, http.StateClosed)
	}
	assert.Equal(t, tracker.Open(), 1)
	tracker.SetState(now, conns[0], http.StateIdle)
	assert.Equal(t, tracker.CloseIdle(now.Add(testIdleTimeout+idleSlack-1)), 0)
	assert.Equal(t, tracker.CloseIdle(now.Add(testIdleTimeout+idleSlack)), 1)
}

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = accepted.Close()
		_ = client.Close()
	})
	return accepted.(*Conn), client.(*net.TCPConn)
}
