package relay

import (
	"net/http"
	"sync"
	"time"
)

// heartbeat sends interim responses until the final response is ready, so that the
// other node can tell a call that waits at the gate, for the rest of its body or for the
// upstream from a dead connection. The lock keeps it from using the writer after stop, when
// the handler uses it.
type heartbeat struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	writer  http.ResponseWriter
}

// startHeartbeat starts a heartbeat, which the caller must stop before it uses w.
func startHeartbeat(w http.ResponseWriter) *heartbeat {
	h := &heartbeat{writer: w}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(heartbeatInterval, h.send)
	return h
}

func (h *heartbeat) send() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	h.writer.WriteHeader(http.StatusProcessing)
	h.timer.Reset(heartbeatInterval)
}

// sendContinue sends 100 Continue, for which the other node waits before it sends the body.
// The first read of the body would send it too, but not under the lock.
func (h *heartbeat) sendContinue() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writer.WriteHeader(http.StatusContinue)
}

func (h *heartbeat) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}
