package links

import (
	"context"
	"net/netip"
	"sync"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/guard"
)

// link is a WebSocket connection to another node, the peer. The node that opened
// it sends requests on it, and the other node answers them.
type link struct {
	cancel context.CancelFunc
	conn   *websocket.Conn
	ctx    context.Context
	mesh   *Mesh
	peer   netip.AddrPort

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan wire.Frame // by request ID, for requests that await an answer
}

func newLink(m *Mesh, peer netip.AddrPort, conn *websocket.Conn) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	conn.SetReadLimit(maxFrame)
	return &link{cancel: cancel, conn: conn, ctx: ctx, mesh: m, peer: peer, pending: make(map[uint64]chan wire.Frame)}
}

func (l *link) closed() bool {
	return l.ctx.Err() != nil
}

// close closes the connection and removes the link from the mesh.
func (l *link) close() {
	l.cancel()
	_ = l.conn.CloseNow()
	l.mesh.remove(l)
}

// call sends a request and waits for its answer, until the context or the link
// ends.
func (l *link) call(ctx context.Context, frame wire.Frame) (wire.Frame, error) {
	answer := make(chan wire.Frame, 1)
	l.mu.Lock()
	l.lastID++
	frame.ID = l.lastID
	l.pending[frame.ID] = answer
	l.mu.Unlock()
	defer l.dropPending(frame.ID)
	if err := l.send(ctx, frame); err != nil {
		return wire.Frame{}, trace.Wrap(err)
	}
	select {
	case <-ctx.Done():
		return wire.Frame{}, trace.Wrap(ctx.Err())
	case <-l.ctx.Done():
		return wire.Frame{}, trace.ConnectionProblem(nil, "the link to %v was closed before the answer came", l.peer)
	case frame = <-answer:
		return frame, nil
	}
}

func (l *link) dropPending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// send writes a frame. If the write fails or the context ends first, it closes
// the link, as a part of the frame may have been written.
func (l *link) send(ctx context.Context, frame wire.Frame) error {
	data, err := wire.Encode(frame)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		l.close()
		return trace.ConnectionProblem(err, "cannot write to the link to %v", l.peer)
	}
	l.mesh.traffic.BytesOut.Add(int64(len(data)))
	l.mesh.traffic.FramesOut.Add(1)
	return nil
}

// read handles frames until the link is closed, an invalid frame arrives, or no
// frame arrives within idleTimeout. It closes the link.
func (l *link) read() {
	defer l.close()
	for {
		ctx, cancel := context.WithTimeout(l.ctx, idleTimeout)
		_, data, err := l.conn.Read(ctx)
		cancel()
		if err != nil {
			return
		}
		l.mesh.traffic.BytesIn.Add(int64(len(data)))
		l.mesh.traffic.FramesIn.Add(1)
		var frame wire.Frame
		if err := wire.Decode(data, &frame); err != nil {
			return
		}
		if frame.Answer {
			l.deliver(frame)
			continue
		}
		if err := l.handle(frame); err != nil {
			return
		}
	}
}

// deliver passes an answer to the call that waits for it. If that call has
// returned already, as after the end of its context, the answer is dropped.
func (l *link) deliver(frame wire.Frame) {
	l.mu.Lock()
	answer := l.pending[frame.ID]
	delete(l.pending, frame.ID)
	l.mu.Unlock()
	if answer != nil {
		answer <- frame
	}
}

// handle answers a request, on another goroutine if its handler may block. While
// maxSlowRequests of those are in progress, it answers further ones with an
// error. It returns an error if the answer could not be written.
func (l *link) handle(frame wire.Frame) error {
	slowHandler := l.mesh.slowHandlers[frame.Kind]
	if slowHandler == nil {
		return l.answer(frame, l.mesh.handlers[frame.Kind])
	}
	select {
	case l.mesh.slowSlots <- struct{}{}:
	default:
		return l.answer(frame, nil)
	}
	l.mesh.workers.Go(func() {
		defer func() { <-l.mesh.slowSlots }()
		_ = l.answer(frame, slowHandler)
	})
	return nil
}

// answer calls the handler of a request and sends its result or its error. If the
// handler is nil, it sends an error. A request with ID 0 gets no answer.
func (l *link) answer(frame wire.Frame, handler Handler) error {
	reply := wire.Frame{ID: frame.ID, Answer: true}
	if handler == nil {
		reply.Failure = "the kind of message is unknown, or there are too many"
	} else {
		err := guard.Call(l.mesh.log, "handler of a message", func() error {
			answer, err := handler(l.peer, frame.Body)
			if err == nil && frame.ID != 0 {
				reply.Body, err = wire.Encode(answer)
			}
			return err
		})
		if err != nil {
			reply.Failure = err.Error()
		}
	}
	if frame.ID == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	return trace.Wrap(l.send(ctx, reply))
}
