package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// TestCallerLeaves runs the cases of testdata/left.csv. It guards against a request that
// reaches an upstream although its caller has left while it waited, which net/http does not
// notice before it has read the request's body.
func TestCallerLeaves(t *testing.T) {
	steps.Cases(t, "testdata/left.csv", func(t *testing.T, record []string) {
		t.Parallel()
		runCallerLeaves(t, record)
	})
}

// leftCase is a node whose caller leaves.
type leftCase struct {
	arrived atomic.Int64    // requests at the upstream
	conn    context.Context // of the caller's connection, once it is accepted
	handled chan struct{}   // is closed when the caller's request has been handled
	relay   *Relay
}

// newLeftCase returns a case whose node serves requests with a handler, and the address of
// the node.
func newLeftCase(t *testing.T, handler func(*Relay) http.HandlerFunc) (*leftCase, net.Conn) {
	c := &leftCase{handled: make(chan struct{})}
	upstream := serveConns(t, func(conn net.Conn) {
		c.arrived.Add(1)
		serveOK(conn)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := netip.MustParseAddrPort(listener.Addr().String())
	c.relay = newRelay(t, self, upstream, member.Record{Health: member.Alive, Incarnation: 1 << 62, Peers: self, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
	c.relay.Table.SetSelf(time.Now(), "ledger", member.Ready)
	accepted := make(chan struct{})
	server := &http.Server{
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			c.conn = CallerContext(ctx, conn)
			close(accepted)
			return c.conn
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(c.handled)
			handler(c.relay)(w, r)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err := net.Dial("tcp", self.String())
	assert.NilError(t, err)
	<-accepted
	return c, caller
}

// runCallerLeaves runs one record. Its fields are the name, where the request waits ("gate"
// or "rate"), the form of its body and whether its turn comes before the next poll of the
// connection.
func runCallerLeaves(t *testing.T, record []string) {
	handler := func(r *Relay) http.HandlerFunc { return r.ServePeer }
	if record[1] == "rate" {
		handler = func(r *Relay) http.HandlerFunc { return r.ServeCaller }
	}
	c, caller := newLeftCase(t, handler)
	turn := c.waitingAt(t, record[1])
	_, err := io.WriteString(caller, c.request(t, record[2]))
	assert.NilError(t, err)
	turn.await(true)
	assert.NilError(t, caller.Close())
	for !callerClosed(c.conn) {
		time.Sleep(time.Millisecond)
	}
	if record[3] == "true" {
		time.Sleep(2 * minCallerWait)
		turn.grant()
	} else {
		turn.await(false)
	}
	<-c.handled
	turn.grant()
	assert.Equal(t, c.arrived.Load(), int64(0), "requests at the upstream after their caller had left")
}

// turn is what a request waits for.
type turn struct {
	await func(waits bool) // waits until the request waits, or no longer does
	grant func()
}

// waitingAt makes requests wait at the gate or for their customer's rate.
func (c *leftCase) waitingAt(t *testing.T, where string) turn {
	if where == "rate" {
		admitter := &slowAdmitter{granted: make(chan struct{}), waits: make(chan struct{})}
		c.relay.Admitter = admitter
		return turn{await: func(bool) { <-admitter.waits }, grant: admitter.grant}
	}
	now := time.Now()
	c.relay.Gate = gates.NewGate(gates.Static(1))
	running := &gates.Ticket{Customer: "other", Deadline: now.Add(time.Hour), Weight: 1}
	assert.Check(t, c.relay.Gate.Enter(t.Context(), now, running) == nil)
	return turn{
		await: func(waits bool) {
			for (c.relay.Gate.Load(time.Now()).Waiting > 0) != waits {
				time.Sleep(time.Millisecond)
			}
		},
		grant: func() { c.relay.Gate.Leave(time.Now(), running, false) },
	}
}

// request returns the text of a request to the node, with a body of a form.
func (c *leftCase) request(t *testing.T, form string) string {
	encoded, err := (&chain.Chain{Customer: "amis", Remaining: time.Minute, Service: "ledger", Weight: 1}).Encode()
	assert.NilError(t, err)
	head := fmt.Sprintf("/ledger/x HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\n", chain.Header, encoded, fleet.Header, c.relay.Secret.Proof(c.relay.Self))
	if _, ok := c.relay.Admitter.(*slowAdmitter); !ok {
		head = PathCall + head
	}
	switch form {
	case "chunked":
		return "POST " + head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	case "held back":
		return "POST " + head + "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"
	case "length":
		return "POST " + head + "Content-Length: 1500\r\n\r\n" + strings.Repeat("a", 1500)
	case "none":
		return "GET " + head + "\r\n"
	}
	t.Fatalf("unknown body %q", form)
	return ""
}

// slowAdmitter is an Admitter that admits a request once that is granted.
type slowAdmitter struct {
	closed         atomic.Bool
	granted, waits chan struct{}
}

// Admit implements Admitter.
func (a *slowAdmitter) Admit(context.Context, time.Time, quota.Key, quota.Limit, time.Duration) *refuse.Refusal {
	close(a.waits)
	<-a.granted
	return nil
}

// grant admits the request.
func (a *slowAdmitter) grant() {
	if !a.closed.Swap(true) {
		close(a.granted)
	}
}

// TestUpstreamLeaves guards against a request that waits for a slot at an upstream and is
// sent to it after it has left.
func TestUpstreamLeaves(t *testing.T) {
	c, caller := newLeftCase(t, func(r *Relay) http.HandlerFunc { return r.ServePeer })
	turn := c.waitingAt(t, "gate")
	_, err := io.WriteString(caller, c.request(t, "length"))
	assert.NilError(t, err)
	turn.await(true)
	time.Sleep(2 * minCallerWait)
	c.relay.Local.(fakeDeps).left.Store(true)
	turn.grant()
	<-c.handled
	assert.Equal(t, c.arrived.Load(), int64(0), "requests at the upstream that has left")
	assert.NilError(t, caller.Close())
}
