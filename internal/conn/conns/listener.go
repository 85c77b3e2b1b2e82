package conns

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/wasabibend/wasabibend/internal/pause"
)

// Waiting times of Quiesce.
const (
	// handshakeTime is how long TCP handshakes in progress may take: some round
	// trips within a region.
	handshakeTime = 20 * time.Millisecond
	// backlogPoll is the interval of checks for connections in the backlog.
	backlogPoll = time.Millisecond
)

// Listener is a TCP listener that can be closed, after Quiesce, without resetting
// the connections in its backlog, which the kernel has opened but Accept has not
// returned yet. Only Quiesce may set its deadline.
type Listener struct {
	*net.TCPListener
	accept func() (*net.TCPConn, error) // AcceptTCP
	closed atomic.Bool
	filter func(fd int) error // makes the kernel accept no new connections

	// mu is held by Quiesce while Accept must wait. No other lock is acquired while it is
	// held.
	mu sync.Mutex
	// waiting is whether Accept waits for mu. It is set without mu and unset with it.
	waiting atomic.Bool
}

// Listen returns a Listener on an address. It disables Multipath TCP, as the
// kernel does not apply the socket filter of Quiesce to it.
func Listen(ctx context.Context, address netip.AddrPort) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	listener := l.(*net.TCPListener)
	return &Listener{TCPListener: listener, accept: listener.AcceptTCP, filter: dropSYN}, nil
}

// Accept implements net.Listener. The connections that it returns are of type *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err == nil {
			return newConn(conn), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		// Quiesce has set the deadline. It holds mu until it has looked at the backlog.
		l.waiting.Store(true)
		l.mu.Lock()
		l.waiting.Store(false)
		l.mu.Unlock()
	}
}

// Close implements net.Listener. It does nothing if the listener is closed, as by Quiesce.
func (l *Listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.TCPListener.Close()
}

// Quiesce makes the kernel accept no new connections, waits until Accept has returned all
// those in the backlog and has been called again, and closes the listener, which resets no
// connection then. Accept must be called in a loop meanwhile, by one goroutine. Quiesce
// returns an error if the context ends first; the listener is not closed then, but gets no
// new connections. It also returns one if the kernel rejects the socket filter; the backlog
// was empty then, but connections that were opened just before the close may be reset.
func (l *Listener) Quiesce(ctx context.Context) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var filterErr error
	if err := raw.Control(func(fd uintptr) { filterErr = l.filter(int(fd)) }); err != nil {
		return trace.Wrap(err)
	}
	if err := pause.For(ctx, handshakeTime); err != nil {
		return trace.Wrap(err)
	}
	for closed := false; !closed; {
		if err := l.awaitEmptyBacklog(ctx); err != nil {
			return trace.Wrap(err)
		}
		if closed, err = l.closeIfEmpty(ctx); err != nil {
			return trace.Wrap(errors.Join(filterErr, err))
		}
	}
	return trace.Wrap(filterErr)
}

// awaitEmptyBacklog waits until no connection is in the backlog. Accept may just have taken
// the last one and not have returned it yet.
func (l *Listener) awaitEmptyBacklog(ctx context.Context) error {
	for {
		waiting, err := l.hasBacklog()
		if err != nil || !waiting {
			return trace.Wrap(err)
		}
		if err := pause.For(ctx, backlogPoll); err != nil {
			return trace.Wrap(err)
		}
	}
}

// closeIfEmpty makes Accept wait, which holds no connection then, and closes the listener
// if no connection is in the backlog. It reports whether it did.
func (l *Listener) closeIfEmpty(ctx context.Context) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeIfEmptyLocked(ctx)
}

// closeIfEmptyLocked is closeIfEmpty with the lock held.
func (l *Listener) closeIfEmptyLocked(ctx context.Context) (bool, error) {
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		return false, trace.Wrap(err)
	}
	// An error means that the listener is closed.
	defer func() { _ = l.SetDeadline(time.Time{}) }()
	for !l.waiting.Load() {
		if _, err := l.hasBacklog(); err != nil {
			return false, trace.Wrap(err)
		}
		if err := pause.For(ctx, backlogPoll); err != nil {
			return false, trace.Wrap(err)
		}
	}
	waiting, err := l.hasBacklog()
	if err != nil || waiting {
		return false, trace.Wrap(err)
	}
	return true, l.Close()
}

// Offset of the byte with the flags in a TCP header, and bits of it.
const (
	tcpFlags  = 13
	tcpSYN    = 0x02
	tcpSYNACK = 0x12
)

// dropSYN attaches a socket filter that drops the packets that start a TCP
// handshake (SYN without ACK). Packets of open connections, and of handshakes in
// progress, still pass.
func dropSYN(fd int) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYNACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: ^uint32(0)},
	}
	program := unix.SockFprog{Filter: unsafe.SliceData(filter), Len: uint16(len(filter))}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// hasBacklog reports whether the listener has connections in its backlog. It also returns
// true if the socket cannot be polled. It returns an error if the listener is closed.
func (l *Listener) hasBacklog() (bool, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false, trace.Wrap(err)
	}
	waiting := true
	if err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Events: unix.POLLIN, Fd: int32(fd)}}
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		waiting = err != nil || n > 0
	}); err != nil {
		return false, trace.Wrap(err)
	}
	return waiting, nil
}
