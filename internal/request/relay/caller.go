package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a caller's connection in its context.
type connKey struct{}

// CallerContext returns the context of a connection of a caller.
func CallerContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// gone reports whether the caller has closed its side of the connection. The
// server finds out by itself only if no other request was sent behind the one
// that it serves.
func gone(ctx context.Context) bool {
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
