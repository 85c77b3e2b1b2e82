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
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// Path is the path of the peers' listener that serves links.
const Path = "/link"

// headerFrom carries the peers' address of the dialing node.
const headerFrom = "Wasabibend-From"

// Bounds of links.
const (
	dialTimeout = time.Second
	idleTimeout = time.Minute
	maxFrame    = 2 << 20 // bytes
	maxLinks    = 16384
	maxSlow     = 1024 // requests worked on by slow handlers
)

// ErrClosed means that the mesh has been closed.
var ErrClosed = errors.New("the mesh is closed")

// Handler answers a request. It must not block.
type Handler = func(from netip.AddrPort, body []byte) (any, error)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Traffic counts what the links carried.
type Traffic struct {
	BytesIn, BytesOut, FramesIn, FramesOut atomic.Int64
}

// Mesh keeps the links of a node. A node calls others on the links that it
// opened itself, so that two nodes that open links to each other at once do not
// both give up the link that the other keeps. Lock order: Mesh.mu before
// link.mu.
type Mesh struct {
	ctx      context.Context
	client   *http.Client
	handlers map[wire.Kind]Handler
	secret   *fleet.Secret
	self     netip.AddrPort
	slow     map[wire.Kind]Handler
	slots    chan struct{}
	traffic  Traffic
	workers  conc.WaitGroup

	mu       sync.Mutex
	accepted int                      // links that other nodes opened
	links    map[netip.AddrPort]*link // links that this node opened
}

// Option changes a Mesh when it is made.
type Option func(*Mesh)

// WithDialer lets the mesh open its connections by a Dialer.
func WithDialer(dialer Dialer) Option {
	return func(m *Mesh) {
		m.client.Transport = &http.Transport{DialContext: dialer.DialContext}
	}
}

// WithSource lets the mesh's connections come from an address, if it is valid.
func WithSource(source netip.Addr) Option {
	return func(m *Mesh) {
		if source.IsValid() {
			WithDialer(&net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))})(m)
		}
	}
}

// NewMesh returns a Mesh whose links end with a context.
func NewMesh(ctx context.Context, self netip.AddrPort, secret *fleet.Secret, options ...Option) *Mesh {
	m := &Mesh{
		ctx:      ctx,
		client:   &http.Client{Transport: &http.Transport{}},
		handlers: make(map[wire.Kind]Handler),
		links:    make(map[netip.AddrPort]*link),
		secret:   secret,
		self:     self,
		slots:    make(chan struct{}, maxSlow),
		slow:     make(map[wire.Kind]Handler),
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Handle sets the handler of a kind of request. It is called before the mesh
// is used.
func (m *Mesh) Handle(kind wire.Kind, handler Handler) {
	m.handlers[kind] = handler
}

// HandleSlow sets the handler of a kind of request that may block. It is called
// before the mesh is used.
func (m *Mesh) HandleSlow(kind wire.Kind, handler Handler) {
	m.slow[kind] = handler
}

// Traffic returns the mesh's counters.
func (m *Mesh) Traffic() *Traffic {
	return &m.traffic
}

// Links returns the number of open links.
func (m *Mesh) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted + len(m.links)
}

// Wait waits until all links have ended.
func (m *Mesh) Wait() {
	m.workers.Wait()
}

// Call sends a request to a node and decodes its answer. An error leaves open
// whether the node handled the request.
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
		return trace.Errorf("%v: %s", to, frame.Failure)
	}
	return trace.Wrap(wire.Decode(frame.Body, answer))
}

// Send sends a message that wants no answer on a link that is open already,
// or else opens one.
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

// Reset closes the link to a node, so that the next call opens a new one.
func (m *Mesh) Reset(to netip.AddrPort) {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// ServeHTTP accepts a link.
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
	if m.countAccepted(1) {
		newLink(m, from, conn).read()
	} else {
		_ = conn.CloseNow()
	}
	m.countAccepted(-1)
}

// countAccepted adds to the number of accepted links and reports whether it is
// within the bound.
func (m *Mesh) countAccepted(add int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted += add
	return m.accepted <= maxLinks
}

// open returns the link to a node and dials it if need be.
func (m *Mesh) open(ctx context.Context, to netip.AddrPort) (*link, error) {
	if l := m.lookup(to); l != nil {
		return l, nil
	}
	conn, err := m.dial(ctx, to)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l := newLink(m, to, conn)
	switch kept := m.keep(l); {
	case kept == nil:
		l.close()
		return nil, ErrClosed
	case kept != l:
		l.close()
		return kept, nil
	}
	return l, nil
}

// keep stores a new link and begins to read it, and returns it. It returns
// another link to the node if there is one by now, or nil if the mesh is
// closed.
func (m *Mesh) keep(l *link) *link {
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

func (m *Mesh) lookup(to netip.AddrPort) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[to]; l != nil && !l.closed() {
		return l
	}
	return nil
}

func (m *Mesh) dial(ctx context.Context, to netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(fleet.Header, m.secret.Proof(to))
	header.Set(headerFrom, m.self.String())
	conn, _, err := websocket.Dial(ctx, "ws://"+to.String()+Path, &websocket.DialOptions{HTTPClient: m.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no link to %v", to)
	}
	return conn, nil
}

func (m *Mesh) forget(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] == l {
		delete(m.links, l.peer)
	}
}
