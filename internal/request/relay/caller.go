package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// connKey is the context key of a caller's connection, and keyedKey that of whether a key has
// come on it.
type (
	connKey  struct{}
	keyedKey struct{}
)

// CallerContext returns a context that holds the connection of a caller, of another node
// or of the upstream. It is the ConnContext of the servers.
func CallerContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(context.WithValue(ctx, connKey{}, conn), keyedKey{}, new(atomic.Bool))
}

// keyedConn takes whether a request on the connection in ctx has a key, and reports whether
// any has had one: the upstream sends none, so the connection is not the upstream's.
func keyedConn(ctx context.Context, hasKey bool) bool {
	keyed, ok := ctx.Value(keyedKey{}).(*atomic.Bool)
	if !ok {
		return hasKey
	}
	if hasKey {
		keyed.Store(true)
	}
	return keyed.Load()
}

// errCallerClosed means that the caller has closed its connection.
var errCallerClosed = errors.New("the caller has left")

const (
	// callerPollInterval is how often the connection of a waiting caller is checked.
	callerPollInterval = 200 * time.Millisecond
	// minCallerWait is the time after which the connection is checked again before a request
	// is sent on.
	minCallerWait = 5 * time.Millisecond
)

// callerLeft reports whether a request that has waited since a time is not to be sent on,
// because its caller has closed its side of the connection in ctx or ctx has ended. It does
// not look at the connection of a request that has hardly waited.
func callerLeft(ctx context.Context, now, since time.Time) bool {
	return ctx.Err() != nil || now.Sub(since) >= minCallerWait && callerClosed(ctx)
}

// callerLeftRefusal returns the refusal of a request whose caller has left.
func callerLeftRefusal() *refuse.Refusal {
	return refuse.New(refuse.DeadlineExceeded, 0, "the caller left before the request ran")
}

// callerWatch cancels a request when its caller closes the connection. No other
// lock is acquired while its lock is held.
type callerWatch struct {
	cancel context.CancelCauseFunc
	ctx    context.Context

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// watchCaller starts a callerWatch for the connection in ctx. The caller must stop
// it.
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

// callerClosed reports whether the caller has closed its side of the connection
// in ctx, or this node its own; without a connection it returns false. net/http does
// not notice the caller's close while a pipelined request or a part of the request's
// body is unread on the connection.
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
	if err := raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Events: unix.POLLRDHUP, Fd: int32(fd)}}
		n, err := unix.Poll(polled, 0)
		closed = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}); err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	return closed
}

// resetOnClose sets whether the connection in ctx is reset when it is closed.
func resetOnClose(ctx context.Context, reset bool) {
	if conn, ok := ctx.Value(connKey{}).(interface{ ResetOnClose(reset bool) error }); ok {
		// An error means that the connection is closed already.
		_ = conn.ResetOnClose(reset)
	}
}
