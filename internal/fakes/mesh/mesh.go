// Package mesh is an in-memory fake of the links between nodes. Tests can delay
// messages, partition nodes and remove them.
package mesh

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// Handler handles the CBOR-encoded body of a message from another node and returns
// the answer.
type Handler = func(from netip.AddrPort, body []byte) (any, error)

// Network connects nodes. No other lock is acquired while mu is held.
type Network struct {
	mu        sync.Mutex
	delay     time.Duration
	onMessage func(from, to netip.AddrPort, kind wire.Kind, size int)
	lost      map[[2]netip.AddrPort]bool // by sender and receiver
	nodes     map[netip.AddrPort]*Node
}

// NewNetwork returns a Network without nodes that delivers each message, and each
// answer, after a delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{lost: make(map[[2]netip.AddrPort]bool), delay: delay, nodes: make(map[netip.AddrPort]*Node)}
}

// Node is the endpoint of one node. It has the methods of links.Mesh for messages.
type Node struct {
	address  netip.AddrPort
	handlers map[wire.Kind]Handler // guarded by Network.mu
	network  *Network
}

// AddNode adds a node with an address, in place of any that had it before, and
// returns its endpoint.
func (n *Network) AddNode(address netip.AddrPort) *Node {
	node := &Node{address: address, handlers: make(map[wire.Kind]Handler), network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
	return node
}

// SetDelay sets the delay of messages and answers that are sent from now on.
func (n *Network) SetDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Remove removes a node, as if its host had failed. Messages to it return an error
// after the delay, and its own are lost.
func (n *Network) Remove(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// OnMessage sets a function that is called with each message and each answer that is
// sent: the nodes that send and receive it, the kind of the message or of the one that
// is answered, and the size in bytes.
func (n *Network) OnMessage(observe func(from, to netip.AddrPort, kind wire.Kind, size int)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onMessage = observe
}

// observe calls the function set by OnMessage, if there is one.
func (n *Network) observe(from, to netip.AddrPort, kind wire.Kind, size int) {
	n.mu.Lock()
	onMessage := n.onMessage
	n.mu.Unlock()
	if onMessage != nil {
		onMessage(from, to, kind, size)
	}
}

// SetPartitioned sets whether messages between two nodes are lost, in both directions.
func (n *Network) SetPartitioned(a, b netip.AddrPort, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[[2]netip.AddrPort{a, b}] = lost
	n.lost[[2]netip.AddrPort{b, a}] = lost
}

// Handle sets the handler of a kind of message. A message that arrives before gets an
// error.
func (n *Node) Handle(kind wire.Kind, handler Handler) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.handlers[kind] = handler
}

// HandleSlow sets a handler that may block. It does the same as Handle, as each
// handler runs in the sender's goroutine.
func (n *Node) HandleSlow(kind wire.Kind, handler Handler) {
	n.Handle(kind, handler)
}

// Reset does nothing, as there are no connections to reset.
func (n *Node) Reset(netip.AddrPort) {}

// RoundTrip returns how long answers take at the time.
func (n *Node) RoundTrip(netip.AddrPort) time.Duration {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return 2 * n.network.delay
}

// Send sends a message and discards the answer. It returns the error of the
// receiver's handler, too.
func (n *Node) Send(ctx context.Context, to netip.AddrPort, kind wire.Kind, message any) error {
	_, err := n.exchange(ctx, to, kind, message)
	return trace.Wrap(err)
}

// Call sends a request and decodes its answer. A lost message or answer blocks it
// until the context ends.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error {
	reply, err := n.exchange(ctx, to, kind, request)
	if err != nil {
		return trace.Wrap(err)
	}
	data, err := wire.Encode(reply)
	if err != nil {
		return trace.Wrap(err)
	}
	n.network.observe(to, n.address, kind, len(data))
	if err := n.waitForDelivery(ctx, to); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(wire.Decode(data, answer))
}

// exchange delivers a message after the delay and returns the handler's answer.
func (n *Node) exchange(ctx context.Context, to netip.AddrPort, kind wire.Kind, message any) (any, error) {
	data, err := wire.Encode(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.network.observe(n.address, to, kind, len(data))
	if err := n.waitForDelivery(ctx, to); err != nil {
		return nil, trace.Wrap(err)
	}
	n.network.mu.Lock()
	var handler Handler
	peer := n.network.nodes[to]
	if peer != nil {
		handler = peer.handlers[kind]
	}
	n.network.mu.Unlock()
	switch {
	case peer == nil:
		return nil, trace.ConnectionProblem(nil, "no node at %v", to)
	case handler == nil:
		return nil, trace.NotFound("the kind of message is unknown")
	}
	return handler(n.address, data)
}

// waitForDelivery waits for the delay of a message between this node and another.
// If the message is lost, it waits until the context ends and returns its error.
func (n *Node) waitForDelivery(ctx context.Context, to netip.AddrPort) error {
	n.network.mu.Lock()
	delay := n.network.delay
	n.network.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-timer.C:
	}
	n.network.mu.Lock()
	lost := n.network.lost[[2]netip.AddrPort{n.address, to}] || n.network.nodes[n.address] != n
	n.network.mu.Unlock()
	if lost {
		<-ctx.Done()
		return trace.Wrap(ctx.Err())
	}
	return nil
}
