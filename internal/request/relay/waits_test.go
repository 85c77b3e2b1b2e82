package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestLongWaitAtGate runs the cases of testdata/waits.csv in virtual time. It guards against
// a node that is taken for silent because a call waits at its gate. The call would be given
// up although it would run in time, or sent to another node at the cost of a retry, and the
// node would get no other calls for a time.
func TestLongWaitAtGate(t *testing.T) {
	steps.Cases(t, "testdata/waits.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runLongWait(t, record) })
	})
}

// runLongWait runs one record. Its fields are the name, the form of the body, whether the
// request may run more than once, and how long it waits at the gate.
func runLongWait(t *testing.T, record []string) {
	idempotent, err := strconv.ParseBool(record[2])
	assert.NilError(t, err)
	waits, err := time.ParseDuration(record[3])
	assert.NilError(t, err)
	n := newPipeNodes(t, 2)
	defer n.close()
	now := time.Now()
	gate := gates.NewGate(gates.Static(1))
	n.nodes[0].Gate = gate
	running := &gates.Ticket{Customer: "other", Deadline: now.Add(time.Hour), Weight: 1}
	assert.Check(t, gate.Enter(t.Context(), now, running) == nil)
	ejected := make(chan bool, 1)
	time.AfterFunc(min(waits, peerHeaderTimeout+heartbeatInterval), func() {
		n.entry.balancer.mu.Lock()
		defer n.entry.balancer.mu.Unlock()
		ejected <- n.entry.balancer.isEjected(time.Now(), n.nodes[0].Self)
	})

	request := httptest.NewRequest(http.MethodPut, "/ledger/x", nil)
	response := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	leaveAfter := waits
	switch record[1] {
	case "streamed":
		request = httptest.NewRequest(http.MethodPut, "/ledger/x", io.MultiReader(strings.NewReader("body")))
	case "streamed late":
		caller, conn := net.Pipe()
		defer conn.Close()
		response.conn = conn
		request = httptest.NewRequest(http.MethodPut, "/ledger/x", conn)
		leaveAfter = 0
		time.AfterFunc(waits, func() {
			defer caller.Close()
			if _, err := io.WriteString(caller, "body"); err != nil {
				t.Log("the body was not read:", err)
			}
		})
	}
	time.AfterFunc(leaveAfter, func() { gate.Leave(time.Now(), running, false) })
	c := &call{
		budget:      chain.NewBudget(1),
		chain:       chain.Chain{Importance: rows.MaxImportance, Service: "ledger", Weight: 1},
		deadline:    now.Add(10 * time.Second),
		idempotent:  idempotent,
		maxAttempts: maxAttempts,
		received:    now,
	}
	refusal, status := n.entry.serve(response, request, c)
	assert.Check(t, refusal == nil, "%v", refusal)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, time.Since(now), waits)
	assert.Equal(t, n.arrived[1], 0, "calls at the other node")
	assert.Check(t, !<-ejected, "the node gets no other calls")
}

// deadlineRecorder is a recorder of the response to a request whose body comes from a
// connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	conn net.Conn // nil without a body from a connection
}

// SetReadDeadline sets the deadline for reads of the body.
func (r *deadlineRecorder) SetReadDeadline(end time.Time) error {
	if r.conn == nil {
		return http.ErrNotSupported
	}
	return r.conn.SetReadDeadline(end)
}

// pipeNodes are an entry node and the nodes beside the upstreams of a service, connected by
// pipes. The entry node prefers the first of them.
type pipeNodes struct {
	arrived []int // calls, by node
	entry   *Relay
	nodes   []*Relay
	servers map[string]*pipeListener // by address
	// serveUpstream serves a connection to an upstream.
	serveUpstream func(net.Conn)

	mu     sync.Mutex
	conns  []net.Conn
	dialed map[string]int // connections, by address
}

// upstreamOfPipes is the address of all upstreams.
const upstreamOfPipes = "10.0.1.1:1"

func newPipeNodes(t *testing.T, count int) *pipeNodes {
	n := &pipeNodes{arrived: make([]int, count), dialed: make(map[string]int), servers: make(map[string]*pipeListener), serveUpstream: serveOK}
	var members []member.Record
	for i := range count {
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(2 + i)}), 1)
		node := newRelay(t, self, netip.MustParseAddrPort(upstreamOfPipes))
		node.Dialer, node.Pool = n, pool.New(pool.WithDialer(n))
		listener := &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
		n.servers[self.String()] = listener
		listener.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n.arrived[i]++
			node.ServePeer(w, r)
		})}
		go func() { _ = listener.server.Serve(listener) }()
		zone := "zone"
		if i > 0 {
			zone = "other"
		}
		n.nodes = append(n.nodes, node)
		members = append(members, member.Record{Health: member.Alive, Incarnation: 1, Peers: self, Readiness: member.Ready, Service: "ledger", Zone: zone})
	}
	n.entry = newRelay(t, netip.MustParseAddrPort("10.0.0.1:1"), netip.AddrPort{}, members...)
	n.entry.Pool = pool.New(pool.WithDialer(n))
	return n
}

// DialContext implements pool.Dialer.
func (n *pipeNodes) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	n.mu.Lock()
	n.conns = append(n.conns, client)
	n.dialed[address]++
	n.mu.Unlock()
	if address == upstreamOfPipes {
		go n.serveUpstream(server)
		return client, nil
	}
	n.servers[address].accept <- server
	return client, nil
}

// close waits for calls that have been given up, and ends the servers and their connections.
func (n *pipeNodes) close() {
	time.Sleep(time.Minute)
	for _, listener := range n.servers {
		_ = listener.server.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// pipeListener is a net.Listener for one end of pipes.
type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
	server *http.Server
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.accept:
		return c, nil
	}
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
