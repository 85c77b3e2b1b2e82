package links

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/guard"
)

// Times after which a link counts as silent.
const (
	// silentAfter is how long a request waits for its answer, without any frame on the
	// link, until further requests are sent on a new link. At a peer that lately took
	// longer to answer, it is slowFactor times that, and at most maxSilence.
	silentAfter = 300 * time.Millisecond
	maxSilence  = 3 * time.Second
	slowFactor  = 2
	// minSilence is the same for a request that ends sooner.
	minSilence = 100 * time.Millisecond
	// minLinkAge is the age from which a link is replaced. It limits how often a node opens
	// links to a peer that is slow or does not run.
	minLinkAge = time.Second
	// retiredTime is how long a link that was replaced is kept for answers that may still
	// come.
	retiredTime = 5 * time.Second
)

// link is a WebSocket connection to another node, the peer. The node that opened
// it sends requests on it, and the other node answers them.
type link struct {
	cancel   context.CancelFunc
	conn     *websocket.Conn
	ctx      context.Context
	mesh     *Mesh
	openedAt time.Time
	peer     netip.AddrPort
	writing  chan struct{} // has an element while a frame is written

	mu      sync.Mutex
	late    map[uint64]time.Time // by request ID: when requests were sent whose calls have ended
	lastID  uint64
	pending map[uint64]chan wire.Frame // by request ID, for requests that await an answer
	probing bool                       // probe is running
	readAt  time.Time                  // when the last frame was read
	retired bool
	// unansweredSince is when the first request was sent after the last frame was read.
	unansweredSince time.Time
}

func newLink(m *Mesh, peer netip.AddrPort, conn *websocket.Conn) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	conn.SetReadLimit(maxFrame)
	now := time.Now()
	return &link{cancel: cancel, conn: conn, ctx: ctx, late: make(map[uint64]time.Time), mesh: m, openedAt: now, peer: peer, pending: make(map[uint64]chan wire.Frame), readAt: now, writing: make(chan struct{}, 1)}
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

// retireIfSilent removes the link from the mesh, so that further requests are sent on a new
// one, if no frame has been read on it since a time. The connection may be silent for good
// although new ones work.
func (l *link) retireIfSilent(now, since time.Time) {
	l.mu.Lock()
	silent := !l.retired && !l.readAt.After(since) && now.Sub(l.openedAt) >= minLinkAge
	l.retired = l.retired || silent
	l.mu.Unlock()
	if !silent {
		return
	}
	l.mesh.countRetired(l)
	l.mesh.remove(l)
	time.AfterFunc(retiredTime, l.close)
}

// sentUnanswered is called after a message without an answer was sent. If nothing has been
// read lately either, it checks in the background whether the peer answers a WebSocket ping.
func (l *link) sentUnanswered(now time.Time) {
	l.mu.Lock()
	due := !l.probing && now.Sub(l.readAt) >= minLinkAge
	l.probing = l.probing || due
	l.mu.Unlock()
	if due {
		l.mesh.workers.Go(func() { l.probe(now) })
	}
}

// probe sends a WebSocket ping and retires the link if no answer comes.
func (l *link) probe(now time.Time) {
	ctx, cancel := context.WithTimeout(l.ctx, l.silenceLimit(silentAfter))
	defer cancel()
	err := l.conn.Ping(ctx)
	l.mu.Lock()
	l.probing = false
	if err == nil {
		l.readAt = time.Now()
	}
	l.mu.Unlock()
	if err != nil {
		l.retireIfSilent(time.Now(), now)
	}
}

// call sends a request and waits for its answer, until the context or the link
// ends. If nothing comes on the link in the meantime, it retires the link.
func (l *link) call(ctx context.Context, frame wire.Frame) (wire.Frame, error) {
	answer := make(chan wire.Frame, 1)
	l.mu.Lock()
	l.lastID++
	frame.ID = l.lastID
	l.pending[frame.ID] = answer
	l.mu.Unlock()
	defer l.dropPending(frame.ID)
	sent := time.Now()
	if err := l.send(ctx, frame); err != nil {
		return wire.Frame{}, trace.Wrap(err)
	}
	l.recordSent(sent)
	slow := l.mesh.slowHandlers[frame.Kind] != nil
	silence := time.NewTimer(l.silenceLimit(silentAfter))
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			now := time.Now()
			if !slow {
				l.expectLate(now, frame.ID, sent)
			}
			if since := l.waitingSince(sent); now.Sub(since) >= l.silenceLimit(minSilence) {
				l.retireIfSilent(now, since)
			}
			return wire.Frame{}, trace.Wrap(ctx.Err())
		case <-l.ctx.Done():
			return wire.Frame{}, trace.ConnectionProblem(nil, "the link to %v was closed before the answer came", l.peer)
		case frame = <-answer:
			if !slow {
				l.mesh.trips.record(l.peer, time.Since(sent))
			}
			return frame, nil
		case now := <-silence.C:
			l.retireIfSilent(now, sent)
		}
	}
}

// waitingSince returns since when requests wait without a frame on the link, given when one
// that still waits was sent.
func (l *link) waitingSince(sent time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.After(l.unansweredSince) || sent.Before(l.unansweredSince) {
		return sent
	}
	return l.unansweredSince
}

// silenceLimit returns the time without a frame after which the link counts as silent, given
// that for a peer that answers fast.
func (l *link) silenceLimit(fast time.Duration) time.Duration {
	return max(fast, min(slowFactor*l.mesh.trips.of(l.peer), maxSilence))
}

// expectLate records that the answer to a request may come after its call has ended. It
// then still tells how long the peer takes.
func (l *link) expectLate(now time.Time, id uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, at := range l.late {
		if now.Sub(at) >= lateAnswerTime {
			delete(l.late, other)
		}
	}
	l.late[id] = sent
}

func (l *link) dropPending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// send writes a frame. If the write fails, or does not end within the time limit of the
// context, or dialTimeout if it has none, it closes the link, as a part of the frame may have
// been written. It writes nothing if the context has ended, and a cancellation does not
// interrupt the write: other calls wait for answers on the link. If the frame has waited
// long for others and nothing was read meanwhile, it retires the link.
func (l *link) send(ctx context.Context, frame wire.Frame) error {
	data, err := wire.Encode(frame)
	if err != nil {
		return trace.Wrap(err)
	}
	began := time.Now()
	select {
	case l.writing <- struct{}{}:
		defer func() { <-l.writing }()
	case <-ctx.Done():
		if now := time.Now(); now.Sub(began) >= l.silenceLimit(minSilence) {
			l.retireIfSilent(now, began)
		}
		return trace.Wrap(ctx.Err())
	case <-l.ctx.Done():
		return trace.ConnectionProblem(nil, "the link to %v is closed", l.peer)
	}
	if err := ctx.Err(); err != nil {
		return trace.Wrap(err)
	}
	end, limited := ctx.Deadline()
	if !limited {
		end = time.Now().Add(dialTimeout)
	}
	writeCtx, cancel := context.WithDeadline(l.ctx, end)
	defer cancel()
	if err := l.conn.Write(writeCtx, websocket.MessageBinary, data); err != nil {
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
		l.recordRead(time.Now())
		l.mesh.traffic.BytesIn.Add(int64(len(data)))
		l.mesh.traffic.FramesIn.Add(1)
		var frame wire.Frame
		if err := wire.Decode(data, &frame); err != nil {
			return
		}
		if frame.Answer {
			l.deliver(time.Now(), frame)
			continue
		}
		if err := l.handle(frame); err != nil {
			return
		}
	}
}

// recordSent records that a request was sent.
func (l *link) recordSent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.After(l.unansweredSince) {
		l.unansweredSince = now
	}
}

// recordRead records that a frame was read.
func (l *link) recordRead(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = now
}

// deliver passes an answer to the call that waits for it. If that call has
// returned already, as after the end of its context, the answer only tells how long the
// peer took.
func (l *link) deliver(now time.Time, frame wire.Frame) {
	l.mu.Lock()
	answer := l.pending[frame.ID]
	delete(l.pending, frame.ID)
	sent, late := l.late[frame.ID]
	delete(l.late, frame.ID)
	l.mu.Unlock()
	if late {
		l.mesh.trips.record(l.peer, now.Sub(sent))
	}
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
