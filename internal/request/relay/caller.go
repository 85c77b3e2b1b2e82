package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a caller's connection in its context.
type connKey struct{}

// CallerContext returns the context of a connection of a caller.
func CallerContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// errCallerLeft means that the caller has closed its connection.
var errCallerClosed = errors.New("the caller has left")

// callerPoll is how often the connection of a caller that waits is looked at.
const callerPollInterval = 200 * time.Millisecond

// callerWatch ends the work on a request when its caller leaves. Its lock is a
// leaf.
type callerWatch struct {
	cancel context.CancelCauseFunc
	ctx    context.Context

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func watchCaller(ctx context.Context, cancel context.CancelCauseFunc) *callerWatch {
	w := &callerWatch{cancel: cancel, ctx: ctx}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(callerPollInterval, w.poll)
	return w
}

func (w *callerWatch) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case callerClosed(w.ctx):
		w.cancel(errCallerClosed)
	default:
		w.timer.Reset(callerPollInterval)
	}
}

func (w *callerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// gone reports whether the caller has closed its side of the connection. The
// server finds out by itself only if no other request was sent behind the one
// that it serves.
func callerClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Events: unix.POLLRDHUP, Fd: int32(fd)}}
		n, err := unix.Poll(polled, 0)
		closed = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}
