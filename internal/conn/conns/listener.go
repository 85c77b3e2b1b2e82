package conns

import (
	"context"
	"errors"
	"net"
	"net/netip"
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
// returned yet.
type Listener struct {
	*net.TCPListener
	accepting atomic.Bool // whether a call of Accept is in progress
	closed    atomic.Bool
	filter    func(fd int) error // makes the kernel accept no new connections
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
	return &Listener{TCPListener: l.(*net.TCPListener), filter: dropSYN}, nil
}

// Accept implements net.Listener. The connections that it returns are of type *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Store(true)
	defer l.accepting.Store(false)
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return newConn(conn), nil
}

// Close implements net.Listener. It does nothing if the listener is closed, as by Quiesce.
func (l *Listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.TCPListener.Close()
}

// Quiesce makes the kernel accept no new connections, waits until Accept has returned all
// those in the backlog, and closes the listener, which resets no connection then. Accept
// must be called in a loop meanwhile. Quiesce returns an error if the context ends first,
// and does not close the listener then. It also returns one if the kernel rejects the socket
// filter; the backlog was empty then, but connections that were opened just before the close
// may be reset.
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
	// One poll is not enough, as Accept may just have taken the last connection from
	// the backlog and not have returned it yet.
	for emptyPolls := 0; emptyPolls < 2; {
		waiting := true
		if err := raw.Control(func(fd uintptr) { waiting = hasBacklog(int(fd)) }); err != nil {
			return trace.Wrap(err)
		}
		emptyPolls++
		if waiting || !l.accepting.Load() {
			emptyPolls = 0
		}
		if err := pause.For(ctx, backlogPoll); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(errors.Join(filterErr, l.Close()))
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

// hasBacklog reports whether a listening socket has connections in its backlog. It
// also returns true if the socket cannot be polled.
func hasBacklog(fd int) bool {
	fds := []unix.PollFd{{Events: unix.POLLIN, Fd: int32(fd)}}
	n, err := unix.Poll(fds, 0)
	return err != nil || n > 0
}
