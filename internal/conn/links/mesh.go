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
	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// Path is the HTTP path at which the listener for other nodes accepts links.
const Path = "/link"

// headerFrom carries the address at which the dialing node accepts links.
const headerFrom = "Wasabibend-From"

// Limits of links.
const (
	dialTimeout     = time.Second // also for writing an answer
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

// Traffic counts the frames on all links, and their bytes.
type Traffic struct {
	BytesIn, BytesOut, FramesIn, FramesOut atomic.Int64
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
	secret       *fleet.Secret
	self         netip.AddrPort
	slowHandlers map[wire.Kind]Handler
	slowSlots    chan struct{} // has an element for each slow handler in progress
	traffic      Traffic
	workers      conc.WaitGroup // readers of own links, and slow handlers

	mu       sync.Mutex
	accepted int                      // links that other nodes opened
	links    map[netip.AddrPort]*link // links that this node opened
}

// Option configures a Mesh in NewMesh.
type Option func(*Mesh)

// WithDialer makes the mesh open its connections with a Dialer.
func WithDialer(dialer Dialer) Option {
	return func(m *Mesh) {
		m.client.Transport = &http.Transport{DialContext: dialer.DialContext}
	}
}

// WithLog sets where unexpected errors are logged.
func WithLog(log zerolog.Logger) Option {
	return func(m *Mesh) { m.log = log }
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
		client:       &http.Client{Transport: &http.Transport{}},
		handlers:     make(map[wire.Kind]Handler),
		links:        make(map[netip.AddrPort]*link),
		log:          zerolog.Nop(),
		secret:       secret,
		self:         self,
		slowSlots:    make(chan struct{}, maxSlowRequests),
		slowHandlers: make(map[wire.Kind]Handler),
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
	return trace.Wrap(l.send(ctx, wire.Frame{Kind: kind, Body: body}))
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

// open returns the open link to a node, or else a new one.
func (m *Mesh) open(ctx context.Context, to netip.AddrPort) (*link, error) {
	if l := m.lookup(to); l != nil {
		return l, nil
	}
	conn, err := m.dial(ctx, to)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l := newLink(m, to, conn)
	switch registered := m.register(l); {
	case registered == nil:
		l.close()
		return nil, ErrClosed
	case registered != l:
		l.close()
		return registered, nil
	}
	return l, nil
}

// register stores a new link, starts to read it and returns it. If another call
// has opened a link to the node meanwhile, it returns that one instead. It
// returns nil if the mesh is closed.
func (m *Mesh) register(l *link) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return nil
	}
	if other := m.links[l.peer]; other != nil && !other.closed() {
		return other
	}
	m.links[l.peer] = l
	m.workers.Go(l.read)
	return l
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
	conn, _, err := websocket.Dial(ctx, "ws://"+to.String()+Path, &websocket.DialOptions{HTTPClient: m.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot open a link to %v", to)
	}
	return conn, nil
}

// remove removes a closed link, unless it has been replaced.
func (m *Mesh) remove(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] == l {
		delete(m.links, l.peer)
	}
}
