package conns

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/wasabibend/wasabibend/internal/pause"
)

// Times of the end of a Listener.
const (
	// handshakeTime is how long connections that are being opened may take: some
	// round trips within a region.
	handshakeTime = 20 * time.Millisecond
	// quietPoll is how often it is looked whether connections wait.
	quietPoll = time.Millisecond
)

// Listener is a listener that can end without a reset of connections which wait
// to be accepted.
type Listener struct {
	*net.TCPListener
	accepting atomic.Bool
}

// Listen returns a Listener on an address. It is one of plain TCP, as the kernel
// does not filter packets of Multipath TCP.
func Listen(ctx context.Context, address netip.AddrPort) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Store(true)
	defer l.accepting.Store(false)
	return l.TCPListener.Accept()
}

// Quiesce makes the kernel take no more connections, and waits until all that it
// has taken are accepted. The listener can be closed then without cutting any.
// Accept must go on being called. It returns an error if the kernel does not
// filter packets, or if the context ends before no connection waits.
func (l *Listener) Quiesce(ctx context.Context) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var filterErr error
	if err := raw.Control(func(fd uintptr) { filterErr = dropOpening(int(fd)) }); err != nil {
		return trace.Wrap(err)
	}
	if filterErr != nil {
		return trace.Wrap(filterErr)
	}
	if err := pause.For(ctx, handshakeTime); err != nil {
		return trace.Wrap(err)
	}
	for quiet := 0; quiet < 2; {
		waits := true
		if err := raw.Control(func(fd uintptr) { waits = readable(int(fd)) }); err != nil {
			return trace.Wrap(err)
		}
		quiet++
		if waits || !l.accepting.Load() {
			quiet = 0
		}
		if err := pause.For(ctx, quietPoll); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Offset and bits of the flags in a TCP header.
const (
	tcpFlags    = 13
	tcpSYN      = 0x02
	tcpSYNOrACK = 0x12
)

// dropOpening makes the kernel drop packets that open a connection. Those of
// connections that are open, or half open, still come in.
func dropOpening(fd int) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYNOrACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: ^uint32(0)},
	}
	program := unix.SockFprog{Filter: unsafe.SliceData(filter), Len: uint16(len(filter))}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// readable reports whether a connection waits to be accepted.
func readable(fd int) bool {
	polled := []unix.PollFd{{Events: unix.POLLIN, Fd: int32(fd)}}
	n, err := unix.Poll(polled, 0)
	return err != nil || n > 0
}
