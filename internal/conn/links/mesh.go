// Package links carries control messages between nodes over persistent
// WebSocket connections.
package links

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/heads"
	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// Path is the HTTP path at which the listener for other nodes accepts links.
const Path = "/link"

// headerFrom carries the address at which the dialing node accepts links.
const headerFrom = "Wasabibend-From"

// Limits of links.
const (
	dialTimeout     = time.Second // also for writing a frame
	idleTimeout     = time.Minute
	maxFrame        = 2 << 20 // bytes
	maxLinks        = 16384   // accepted from other nodes
	maxSlowRequests = 1024    // requests of slow handlers in progress
)

// ErrClosed means that the mesh's context has ended.
var ErrClosed = errors.New("the mesh is closed")

// Handler answers a request from the node at an address. The body is the encoded
// message. A handler must not block, unless it was set by HandleSlow.
type Handler = func(from netip.AddrPort, body []byte) (any, error)

// Dialer opens connections. It is implemented by *net.Dialer.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Traffic counts the frames on all links, their bytes, and the links that were replaced
// because they were silent.
type Traffic struct {
	BytesIn, BytesOut, FramesIn, FramesOut, SilentLinks atomic.Int64
}

// Mesh manages the links of a node. A node sends its requests only on links that
// it opened itself, so there may be two links between a pair of nodes. If they
// shared one, two nodes that open links to each other at the same time could
// each close the link that the other one keeps.
//
// Lock order: Mesh.mu before link.mu.
type Mesh struct {
	ctx          context.Context
	client       *http.Client
	handlers     map[wire.Kind]Handler
	log          zerolog.Logger
	onRefused    func(peer netip.AddrPort)
	secret       *fleet.Secret
	self         netip.AddrPort
	slowHandlers map[wire.Kind]Handler
	slowSlots    chan struct{} // has an element for each slow handler in progress
	traffic      Traffic
	trips        *roundTrips
	workers      conc.WaitGroup // readers of own links, and slow handlers

	mu       sync.Mutex
	accepted int                      // links that other nodes opened
	links    map[netip.AddrPort]*link // links that this node opened
	opening  map[netip.AddrPort]chan struct{}
}

// maxHeaderBytes is the maximum size of the header of the response that accepts a link.
const maxHeaderBytes = 64 << 10

// newTransport returns a transport that opens its connections with a Dialer.
func newTransport(dialer Dialer) http.RoundTripper {
	return &heads.Transport{Base: &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxHeaderBytes}}
}

// Option configures a Mesh in NewMesh.
type Option func(*Mesh)

// WithDialer makes the mesh open its connections with a Dialer.
func WithDialer(dialer Dialer) Option {
	return func(m *Mesh) {
		m.client.Transport = newTransport(dialer)
	}
}

// WithLog sets where unexpected errors are logged.
func WithLog(log zerolog.Logger) Option {
	return func(m *Mesh) { m.log = log }
}

// WithRefused sets a function that is called when a node refuses a link because it does not
// know the fleet's secret, or another one. It must not block.
func WithRefused(onRefused func(peer netip.AddrPort)) Option {
	return func(m *Mesh) { m.onRefused = onRefused }
}

// WithSource sets the local address of the mesh's connections. An invalid address
// has no effect.
func WithSource(source netip.Addr) Option {
	return func(m *Mesh) {
		if source.IsValid() {
			WithDialer(&net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))})(m)
		}
	}
}

// NewMesh returns a Mesh for the node that accepts links at the address self. The
// end of the context closes all links.
func NewMesh(ctx context.Context, self netip.AddrPort, secret *fleet.Secret, options ...Option) *Mesh {
	m := &Mesh{
		ctx:          ctx,
		client:       &http.Client{Transport: newTransport(&net.Dialer{})},
		handlers:     make(map[wire.Kind]Handler),
		links:        make(map[netip.AddrPort]*link),
		log:          zerolog.Nop(),
		onRefused:    func(netip.AddrPort) {},
		opening:      make(map[netip.AddrPort]chan struct{}),
		secret:       secret,
		self:         self,
		slowSlots:    make(chan struct{}, maxSlowRequests),
		slowHandlers: make(map[wire.Kind]Handler),
		trips:        newRoundTrips(),
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Handle sets the handler of a kind of request, which must not block. It must be
// called before the mesh is used.
func (m *Mesh) Handle(kind wire.Kind, handler Handler) {
	m.handlers[kind] = handler
}

// HandleSlow sets the handler of a kind of request, which may block. It must be
// called before the mesh is used.
func (m *Mesh) HandleSlow(kind wire.Kind, handler Handler) {
	m.slowHandlers[kind] = handler
}

// Traffic returns the mesh's live counters.
func (m *Mesh) Traffic() *Traffic {
	return &m.traffic
}

// Links returns the number of open links, accepted ones included.
func (m *Mesh) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted + len(m.links)
}

// RoundTrip returns how long a node lately took to answer, also if the answer came after
// the end of its call, or 0 if that is unknown. Kinds with slow handlers do not count.
func (m *Mesh) RoundTrip(to netip.AddrPort) time.Duration {
	return m.trips.of(to)
}

// Wait waits until the links that the node opened, and all slow handlers, have
// ended. It does not wait for accepted links, which end in ServeHTTP.
func (m *Mesh) Wait() {
	m.workers.Wait()
}

// Call sends a request to a node and decodes its answer. If it returns an error,
// the node may or may not have handled the request.
func (m *Mesh) Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error {
	body, err := wire.Encode(request)
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := m.open(ctx, to)
	if err != nil {
		return trace.Wrap(err)
	}
	frame, err := l.call(ctx, wire.Frame{Kind: kind, Body: body})
	if err != nil {
		return trace.Wrap(err)
	}
	if frame.Failure != "" {
		return trace.Errorf("node %v answered with an error: %s", to, frame.Failure)
	}
	return trace.Wrap(wire.Decode(frame.Body, answer))
}

// Send sends a message without waiting for an answer. It opens a link to the node
// if there is none. A nil error means that the message was written, not that the
// node received it.
func (m *Mesh) Send(ctx context.Context, to netip.AddrPort, kind wire.Kind, message any) error {
	body, err := wire.Encode(message)
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := m.open(ctx, to)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := l.send(ctx, wire.Frame{Kind: kind, Body: body}); err != nil {
		return trace.Wrap(err)
	}
	l.sentUnanswered(time.Now())
	return nil
}

// Reset closes the node's own link to another node, if there is one. The next
// Call or Send opens a new one.
func (m *Mesh) Reset(to netip.AddrPort) {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// ServeHTTP accepts a link and serves requests on it until it is closed. It
// rejects nodes that do not prove that they know the fleet's secret, and closes
// a link at once if maxLinks are open already.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !fleet.Verify(r.Header, m.secret.Proof(m.self)) {
		http.Error(w, "the fleet's secret is wrong", http.StatusForbidden)
		return
	}
	from, err := netip.ParseAddrPort(r.Header.Get(headerFrom))
	if err != nil {
		http.Error(w, headerFrom+" is missing", http.StatusBadRequest)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	defer m.countAccepted(-1)
	if m.countAccepted(1) {
		newLink(m, from, conn).read()
	} else {
		_ = conn.CloseNow()
	}
}

// countAccepted adds to the number of accepted links and reports whether it is at
// most maxLinks.
func (m *Mesh) countAccepted(add int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted += add
	return m.accepted <= maxLinks
}

// open returns the open link to a node, or else a new one. Requests that need a link to the
// same node at the same time wait for one of them to open it.
func (m *Mesh) open(ctx context.Context, to netip.AddrPort) (*link, error) {
	for {
		l, opening, mine := m.lookupOrBegin(to)
		if l != nil {
			return l, nil
		}
		if mine {
			defer m.endOpening(to, opening)
			return m.openNew(ctx, to)
		}
		select {
		case <-ctx.Done():
			return nil, trace.ConnectionProblem(ctx.Err(), "cannot open a link to %v", to)
		case <-opening:
		}
	}
}

// lookupOrBegin returns the open link to a node. If there is none, it returns the channel
// that is closed when the opening of one ends, and whether the caller must open it.
func (m *Mesh) lookupOrBegin(to netip.AddrPort) (l *link, opening chan struct{}, mine bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[to]; l != nil && !l.closed() {
		return l, nil, false
	}
	if opening := m.opening[to]; opening != nil {
		return nil, opening, false
	}
	opening = make(chan struct{})
	m.opening[to] = opening
	return nil, opening, true
}

// endOpening wakes the requests that wait for the opening of a link.
func (m *Mesh) endOpening(to netip.AddrPort, opening chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.opening, to)
	close(opening)
}

// openNew opens a link to a node.
func (m *Mesh) openNew(ctx context.Context, to netip.AddrPort) (*link, error) {
	conn, err := m.dial(ctx, to)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l := newLink(m, to, conn)
	if !m.register(l) {
		l.close()
		return nil, ErrClosed
	}
	return l, nil
}

// register stores a new link and starts to read it. It returns false if the mesh is
// closed.
func (m *Mesh) register(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	m.links[l.peer] = l
	m.workers.Go(l.read)
	return true
}

// lookup returns the open link to a node, or nil if there is none.
func (m *Mesh) lookup(to netip.AddrPort) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[to]; l != nil && !l.closed() {
		return l
	}
	return nil
}

// dial opens a connection to a node and proves that this node knows the fleet's
// secret.
func (m *Mesh) dial(ctx context.Context, to netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(fleet.Header, m.secret.Proof(to))
	header.Set(headerFrom, m.self.String())
	conn, response, err := websocket.Dial(ctx, "ws://"+to.String()+Path, &websocket.DialOptions{HTTPClient: m.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		if response != nil && response.StatusCode == http.StatusForbidden {
			m.onRefused(to)
		}
		return nil, trace.ConnectionProblem(err, "cannot open a link to %v", to)
	}
	return conn, nil
}

// countRetired counts and logs a link that is replaced because it is silent.
func (m *Mesh) countRetired(l *link) {
	m.traffic.SilentLinks.Add(1)
	m.log.Info().Stringer("Peer", l.peer).Msg("replacing a silent link")
}

// remove removes a link that is closed or retired, unless it has been replaced.
func (m *Mesh) remove(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] == l {
		delete(m.links, l.peer)
	}
}
